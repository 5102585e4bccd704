// The query to a sidecar about an attempt that was not settled.

package control

import (
	"context"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/sidecar"
	"guavahitch.example/guavahitch/wire"
)

// AskSidecar returns the ask function of a Reconciler. It uses the protocol of the sidecars: Cancel bars an
// attempt that has not started, and Fetch returns the full answer of an attempt that ran.
func AskSidecar(
	client func(address string) wire.Sidecar,
) func(context.Context, *wire.Member, *wire.StoredClaim) claim.Finding {
	return func(ctx context.Context, member *wire.Member, stored *wire.StoredClaim) claim.Finding {
		unknown := claim.Finding{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
		if stored.Upstream == "" {
			return claim.Finding{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
		}
		if member == nil {
			return unknown
		}
		asked := client(member.Address)
		reply, err := asked.Cancel(ctx, &wire.CancelRequest{Id: stored.Id, Epoch: stored.Epoch, Reference: stored.Key})
		if err != nil {
			return unknown
		}
		found := claim.Finding{Outcome: reply.Outcome, Epoch: reply.Epoch}
		if reply.Outcome == wire.Outcome_OUTCOME_RAN {
			found.Answer = sidecar.FetchWhole(ctx, asked.Fetch, stored.Id, stored.Epoch)
		}
		return found
	}
}
