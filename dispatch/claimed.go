package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/routing"
	"guavahitch.example/guavahitch/sidecar"
	"guavahitch.example/guavahitch/wire"
)

// claimed.go runs a call that may not be repeated. It claims the call's idempotency key through the quorum before it
// dispatches, stores the whole answer for resends with the same key, and settles claims that another entry left open.

const (
	// claimWait is how long a claim waits for the call that holds the key to end before the call's sidecar is asked
	// about it.
	claimWait = time.Second
	// settleTimeout bounds the attempts to report the end of a claimed call to control.
	settleTimeout = 10 * time.Second
	// claimTimeout bounds one claim request, apart from claimWait.
	claimTimeout = 3 * time.Second
)

// runClaimed makes attempts under the claim of the key. The call continues when its caller disconnects, so that a
// resend finds the answer.
func (j *job) runClaimed(ctx context.Context) *outcome.Error {
	defer j.release()
	j.combinedOutcome = outcome.NotRun
	j.d.budget(j.request.Service).RecordFirstAttempt(time.Now())
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.request.Deadline)
	defer cancel()
	for {
		choice, refusal := j.admit(ctx)
		answer, failure := j.claimAndRun(ctx, choice, refusal)
		if failure == nil {
			return j.deliver(answer)
		}
		if refusal != nil {
			return j.final(failure)
		}
		j.recordOutcome(failure)
		j.wasOverloaded = failure.Reason == admission.ReasonOverloaded
		j.out = newOutput(j.request, j.sink)
		if failure.Outcome != outcome.NotRun || !j.shouldRetry(ctx, failure) {
			return j.final(failure)
		}
	}
}

func (j *job) deliver(answer *wire.Answer) *outcome.Error {
	head := headOf(&wire.Piece{Status: answer.Status, Headers: answer.Headers})
	j.sink.Head(head, int64(len(answer.Body)))
	if err := j.sink.Data(answer.Body); err != nil {
		return outcome.Error{
			Step: "deliver", Outcome: outcome.Ran, Reason: "caller-gone", Status: statusClientClosed,
		}.WithCause(err)
	}
	return nil
}

// claimAndRun claims the key for one attempt and runs the attempt when the claim is granted. A request that was
// refused a slot claims its key too, because an answer may already be stored under it.
func (j *job) claimAndRun(ctx context.Context, choice routing.Choice, refusal *outcome.Error) (*wire.Answer, *outcome.Error) {
	attempt := j.newAttempt(choice)
	request := &wire.ClaimRequest{
		Organisation: j.request.Organisation, Key: j.request.Key, Fingerprint: j.fingerprint.Bytes(), Id: attempt.ID(),
		Upstream: choice.Upstream.Name, Epoch: choice.Upstream.Epoch, Entry: j.d.settings.Entry,
	}
	for {
		reply, failure := j.claim(ctx, request)
		if failure == nil && reply.State == claim.StateGranted && refusal == nil {
			return j.runGranted(ctx, choice, attempt)
		}
		if failure == nil && reply.State == claim.StateGranted {
			j.settle(ctx, attempt.ID(), outcome.NotRun, nil)
			return nil, refusal
		}
		answer, failure, again := j.resolve(ctx, reply, failure)
		if !again {
			releaseUnused(choice)
			return answer, failure
		}
	}
}

// releaseUnused frees the slot of a choice that was not used.
func releaseUnused(choice routing.Choice) {
	if choice.Attempt != nil {
		choice.Attempt.Ended(time.Now())
	}
}

func (j *job) claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, *outcome.Error) {
	left := time.Until(j.request.Deadline)
	request.WaitMs = min(claimWait, left).Milliseconds()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout+claimWait)
	defer cancel()
	reply, failure := j.d.settings.Leader.Claim(ctx, request)
	if failure != nil {
		return nil, failure.WithOutcome(outcome.NotRun)
	}
	return reply, nil
}

// resolve handles a claim that was not granted. It returns the stored answer or an error, or true when the claim is
// to be tried again.
func (j *job) resolve(ctx context.Context, reply *wire.ClaimReply, failure *outcome.Error) (*wire.Answer, *outcome.Error, bool) {
	if failure != nil {
		return nil, failure, false
	}
	switch reply.State {
	case claim.StateSettled:
		j.d.recordEvent("replayed", j.request, reply.Upstream, nil)
		return reply.Answer, nil, false
	case claim.StateMismatch:
		return nil, &outcome.Error{
			Step: "claim", Outcome: outcome.NotRun, Reason: "key-reused", Status: http.StatusUnprocessableEntity,
			Detail: "the idempotency key belongs to a request with another method, path or body",
		}, false
	case claim.StateRunning, claim.StateUnknown:
		return j.reconcile(ctx, reply)
	default:
		refusal := outcome.FromWire(reply.Failure)
		if refusal == nil {
			refusal = &outcome.Error{Step: "claim", Reason: "barred", RetryAfter: time.Second}
		}
		return nil, refusal.WithOutcome(outcome.NotRun), false
	}
}

// reconcile finds out what became of the attempt that holds the key. It asks the attempt's sidecar to cancel it; a
// sidecar that does not know the attempt asks its upstream by the key whether the call ran. When the outcome is known,
// reconcile settles the claim and returns true, so that the claim is tried again. It also returns true while the
// attempt still runs under the sidecar's present epoch and more than claimWait is left until the deadline.
func (j *job) reconcile(ctx context.Context, held *wire.ClaimReply) (*wire.Answer, *outcome.Error, bool) {
	member := j.d.Holder().Member(held.Upstream)
	known := outcome.Unknown
	if member != nil {
		link := j.d.link(member.Address)
		bounded, cancel := context.WithTimeout(ctx, claimWait)
		known = link.Cancel(bounded, &wire.CancelRequest{Id: held.Id, Epoch: held.Epoch, Reference: j.request.Key})
		cancel()
		j.d.recordEvent("reconcile", j.request, held.Upstream, &outcome.Error{
			Step: "reconcile", Reason: "asked", Outcome: known,
		})
		if known == outcome.Ran {
			if answer := link.FetchWhole(ctx, held.Id, held.Epoch); answer != nil {
				j.settle(ctx, held.Id, outcome.Ran, answer)
				return nil, nil, true
			}
		}
	}
	if held.Upstream == "" {
		known = outcome.NotRun
	}
	switch known {
	case outcome.NotRun:
		j.settle(ctx, held.Id, outcome.NotRun, nil)
		return nil, nil, true
	case outcome.Ran:
		j.settle(ctx, held.Id, outcome.Ran, lostAnswer(held.Upstream))
		return nil, nil, true
	}
	if held.State == claim.StateRunning && time.Until(j.request.Deadline) > claimWait && member != nil && member.Epoch == held.Epoch {
		return nil, nil, true
	}
	return nil, &outcome.Error{
		Step: "claim", Peer: held.Upstream, Outcome: outcome.Unknown, Reason: "unsettled", RetryAfter: 2 * time.Second,
		Status: http.StatusConflict, Detail: "an earlier attempt with this key may have run; ask again with the same key",
	}, false
}

// lostAnswer returns the answer that is stored for a call that ran but whose real answer was lost.
func lostAnswer(upstream string) *wire.Answer {
	lost := &outcome.Error{
		Step: "fetch", Peer: upstream, Outcome: outcome.Ran, Reason: "answer-lost",
		Detail: "the call ran; its answer was lost",
	}
	body, _ := json.Marshal(NewRefusal(lost))
	return &wire.Answer{
		Status: http.StatusBadGateway, Headers: []*wire.Header{{Name: "Content-Type", Value: []byte("application/json")}}, Body: body,
	}
}

// runGranted runs the attempt that holds the key and stores its outcome.
func (j *job) runGranted(ctx context.Context, choice routing.Choice, attempt *sidecar.Attempt) (*wire.Answer, *outcome.Error) {
	answer := &wire.Answer{}
	j.out = newOutput(j.request, Sink{
		Head: func(head admission.Head, _ int64) {
			answer.Status, answer.Headers = int32(head.Status), sidecar.HeadersToWire(head.Headers)
		},
		Data: func(data []byte) error {
			answer.Body = append(answer.Body, data...)
			return nil
		},
	})
	failure := j.attempt(ctx, choice, attempt)
	if failure == nil {
		j.settle(ctx, attempt.ID(), outcome.Ran, answer)
		return answer, nil
	}
	switch failure.Outcome {
	case outcome.Ran:
		j.settle(ctx, attempt.ID(), outcome.Ran, lostAnswer(choice.Upstream.Name))
	default:
		j.settle(ctx, attempt.ID(), failure.Outcome, nil)
	}
	return nil, failure
}

// settle stores the outcome of an attempt. It continues past the caller's deadline, because a resend needs the
// answer.
func (j *job) settle(ctx context.Context, id *wire.AttemptID, known outcome.Outcome, answer *wire.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_, failure := j.d.settings.Leader.Settle(ctx, &wire.SettleRequest{
		Organisation: j.request.Organisation, Key: j.request.Key, Id: id, Outcome: wire.Outcome(known), Answer: answer,
	})
	j.d.recordEvent("settle", j.request, id.GetRequest(), failure)
}
