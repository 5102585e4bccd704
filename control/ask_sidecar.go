// The question to a sidecar about an attempt that nobody settles.

package control

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

// fetchWaitMs is the longest wait for one piece of an answer, in milliseconds.
const fetchWaitMs = 1000

// AskSidecar returns the ask function of a Reconciler over the sidecars' own protocol: Cancel bars what has
// not started, and the answer of what ran is fetched whole.
func AskSidecar(client func(address string) wire.Sidecar) func(context.Context, *wire.Member, *wire.StoredClaim) claim.Finding {
	return func(ctx context.Context, member *wire.Member, stored *wire.StoredClaim) claim.Finding {
		unknown := claim.Finding{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
		if stored.Upstream == "" {
			return claim.Finding{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
		}
		if member == nil {
			return unknown
		}
		sidecar := client(member.Address)
		reply, err := sidecar.Cancel(ctx, &wire.CancelRequest{Id: stored.Id, Epoch: stored.Epoch, Reference: stored.Key})
		if err != nil {
			return unknown
		}
		found := claim.Finding{Outcome: reply.Outcome, Epoch: reply.Epoch}
		if reply.Outcome == wire.Outcome_OUTCOME_RAN {
			found.Answer = fetchWhole(ctx, sidecar, stored)
		}
		return found
	}
}

// fetchWhole returns the whole answer of an attempt, or nil when the sidecar does not hold it whole.
func fetchWhole(ctx context.Context, sidecar wire.Sidecar, stored *wire.StoredClaim) *wire.Answer {
	answer := &wire.Answer{}
	for ctx.Err() == nil && len(answer.Body) <= MaxAnswerBytes {
		piece, err := sidecar.Fetch(ctx, &wire.FetchRequest{
			Id: stored.Id, Epoch: stored.Epoch, Offset: int64(len(answer.Body)), WaitMs: fetchWaitMs,
		})
		if err != nil || piece.Failure != nil || !proto.Equal(piece.Id, stored.Id) || piece.Offset != int64(len(answer.Body)) {
			return nil
		}
		if piece.Status != 0 {
			answer.Status, answer.Headers = piece.Status, piece.Headers
		}
		answer.Body = append(answer.Body, piece.Data...)
		if !piece.End {
			continue
		}
		if piece.Length != int64(len(answer.Body)) || piece.Checksum != xxhash.Sum64(answer.Body) {
			return nil
		}
		return answer
	}
	return nil
}
