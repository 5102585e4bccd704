// The calls of wire.Control on idempotency keys.

package control

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

// Claim takes the idempotency key of a non-repeatable call, or tells who holds it. When another attempt
// runs, it waits for that one's end as long as the request allows.
func (s *Server) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if failure := checkClaim(request); failure != nil {
		return &wire.ClaimReply{State: claim.StateRefused, Failure: failure}, nil
	}
	deadline := time.Now().Add(min(time.Duration(request.WaitMs)*time.Millisecond, MaxWait))
	for {
		if leads, leader := s.isLeader(); !leads {
			return &wire.ClaimReply{State: claim.StateRefused, Failure: notLeader("claim"), Leader: leader}, nil
		}
		settled := s.settings.State.Settled(request.Organisation, request.Key)
		result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Claim{Claim: request}})
		if err != nil {
			return &wire.ClaimReply{State: claim.StateRefused, Failure: unsettled("claim", err)}, nil
		}
		if result.Failure != nil {
			return &wire.ClaimReply{State: claim.StateRefused, Failure: result.Failure}, nil
		}
		if result.Claim.State != claim.StateRunning || !waitUntil(ctx, settled, deadline) {
			return result.Claim, nil
		}
	}
}

// waitUntil reports whether the channel was closed before the deadline.
func waitUntil(ctx context.Context, settled <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-settled:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func checkClaim(request *wire.ClaimRequest) *wire.Failure {
	if failure := checkName("claim", "key", request.Key); failure != nil {
		return failure
	}
	if failure := checkName("claim", "organisation", request.Organisation); failure != nil {
		return failure
	}
	if request.Id.GetRequest() == "" {
		return refusal("claim", ReasonInvalid, "the attempt has no id")
	}
	return nil
}

// Settle stores the end of a claimed call.
func (s *Server) Settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleReply, error) {
	if len(request.Answer.GetBody()) > MaxAnswerBytes {
		return &wire.SettleReply{Failure: refusal("settle", ReasonOversized, "the answer is too long to be kept")}, nil
	}
	if leads, leader := s.isLeader(); !leads {
		return &wire.SettleReply{Failure: notLeader("settle"), Leader: leader}, nil
	}
	result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Settle{Settle: request}})
	if err != nil {
		return &wire.SettleReply{Failure: unsettled("settle", err)}, nil
	}
	if result.Failure != nil {
		return &wire.SettleReply{Failure: result.Failure}, nil
	}
	return result.Settle, nil
}
