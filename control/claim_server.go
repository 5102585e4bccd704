// The calls of wire.Control that claim and settle idempotency keys.

package control

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

// Claim claims the idempotency key of a non-repeatable call, or returns the state of the key. While another
// attempt runs, it waits for the end of that attempt for as long as the request allows.
func (s *Server) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if failure := checkClaim(request); failure != nil {
		return &wire.ClaimReply{State: claim.StateRefused, Failure: failure}, nil
	}
	deadline := time.Now().Add(min(time.Duration(request.WaitMs)*time.Millisecond, MaxWait))
	reply := s.claim(ctx, request)
	for reply.State == claim.StateRunning && time.Now().Before(deadline) && ctx.Err() == nil {
		reply = s.claimAfter(ctx, request, deadline)
	}
	return reply, nil
}

// claim proposes the claim once.
func (s *Server) claim(ctx context.Context, request *wire.ClaimRequest) *wire.ClaimReply {
	if leads, leader := s.isLeader(); !leads {
		return &wire.ClaimReply{State: claim.StateRefused, Failure: notLeader("claim"), Leader: leader}
	}
	result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Claim{Claim: request}})
	if err != nil {
		return &wire.ClaimReply{State: claim.StateRefused, Failure: unsettled("claim", err)}
	}
	if result.Failure != nil {
		return &wire.ClaimReply{State: claim.StateRefused, Failure: result.Failure}
	}
	return result.Claim
}

// claimAfter waits until the running call ends or the deadline passes, and then claims again. It checks the key
// after it has registered as a waiter, because the call may have ended in between.
func (s *Server) claimAfter(ctx context.Context, request *wire.ClaimRequest, deadline time.Time) *wire.ClaimReply {
	settled, done := s.settings.State.Wait(request.Organisation, request.Key)
	defer done()
	held, err := s.settings.State.Peek(request.Organisation, request.Key)
	if err == nil && held != nil && held.State == claim.StateRunning {
		waitUntil(ctx, settled, deadline)
	}
	return s.claim(ctx, request)
}

// waitUntil returns when the channel is closed, the deadline passes or the context ends.
func waitUntil(ctx context.Context, settled <-chan struct{}, deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	case <-ctx.Done():
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

// Settle stores the outcome of a claimed call.
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
