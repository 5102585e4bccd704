package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/engine"
	"guavahitch.example/guavahitch/fairness"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/retry"
	"guavahitch.example/guavahitch/routing"
	"guavahitch.example/guavahitch/sidecar"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

// job.go runs one request: the fair queue, then attempts until one brings the whole answer or no further one
// is of use.

const (
	// expectedAttempt is the shortest time that a further attempt is worth, until the request's own first
	// prediction is known.
	expectedAttempt = 5 * time.Millisecond
	// crashLimit is the number of upstreams that one request may lose.
	crashLimit = 2
	// statusClientClosed is noted for a caller that has gone; it is never sent.
	statusClientClosed = 499
)

// eventStart begins each event of a stream; an event brings a token.
var eventStart = []byte("data: ")

type job struct {
	d       *Dispatcher
	request *Request
	sink    Sink
	// fingerprint names the request however it is resent; it is a hash over the body, made once.
	fingerprint quarantine.Fingerprint
	alone       bool
	// number counts the attempts from 1.
	number int
	// isRoomless is true when the last attempt was refused for want of room.
	isRoomless bool
	// crashes counts the upstreams that died while they ran this request.
	crashes int
	// exclude names upstreams that failed this request.
	exclude []string
	ticket  *fairness.Ticket
	// ran is the strongest doubt of all attempts so far: NotRun until one may have run.
	ran outcome.Outcome
	out *output
}

func (j *job) routingRequest() routing.Request {
	r := j.request
	aloneKey := uint64(0)
	if j.alone {
		aloneKey = j.fingerprint.Key()
	}
	return routing.Request{
		Service: r.Service, Organisation: r.Organisation, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		PrefixHashes: r.PrefixHashes, Deadline: r.Deadline, Exclude: j.exclude, Alone: j.alone, AloneKey: aloneKey, Admitted: j.number > 1,
	}
}

// admit waits in the fair queue for the first place, and for another one when the upstream had no room after all.
// A further attempt after a failure takes its place at once.
func (j *job) admit(ctx context.Context) (routing.Choice, *outcome.Error) {
	j.number++
	now := time.Now()
	if j.number > 1 && !j.isRoomless {
		return j.d.picker.Pick(now, j.routingRequest())
	}
	w := &waiting{request: j.routingRequest()}
	w.request.Admitted = false
	if refusal := j.acquire(ctx, now, w); refusal != nil {
		j.ticket = nil
		return routing.Choice{}, refusal
	}
	return w.choice, w.refusal
}

// acquire waits in the fair queue, behind its own organisation the first time and before it afterwards.
func (j *job) acquire(ctx context.Context, now time.Time, w *waiting) *outcome.Error {
	gate := j.d.gate(j.request.Service)
	if j.ticket != nil {
		j.ticket.Value = w
		return gate.Reacquire(ctx, j.ticket)
	}
	j.ticket = &fairness.Ticket{
		Organisation: j.request.Organisation, Weight: j.request.Weight,
		Cost:   float64(j.request.PromptTokens + j.request.OutputTokens),
		Latest: j.d.picker.Latest(now, w.request), Value: w,
	}
	return gate.Acquire(ctx, j.ticket)
}

func (j *job) release() {
	if j.ticket != nil {
		j.d.gate(j.request.Service).Release(j.ticket, 0)
		j.ticket = nil
	}
}

// run makes attempts until one succeeds.
func (j *job) run(ctx context.Context) *outcome.Error {
	defer j.release()
	j.ran = outcome.NotRun
	j.out = newOutput(j.request, j.sink)
	j.d.budget(j.request.Service).Attempted(time.Now())
	var last *outcome.Error
	for {
		choice, refusal := j.admit(ctx)
		if refusal != nil {
			return j.final(explained(refusal, last))
		}
		failure := j.attempt(ctx, choice, j.newAttempt(choice))
		if failure == nil {
			return nil
		}
		last = failure
		j.doubt(failure)
		j.isRoomless = failure.Reason == admission.ReasonOverloaded
		if failure.Reason == engine.ReasonDied {
			if refusal := j.crashed(ctx, failure); refusal != nil {
				return j.final(refusal)
			}
			continue
		}
		if !j.again(ctx, failure) {
			return j.final(failure)
		}
	}
}

// explained returns the refusal of a further attempt, or in its place the failure that made it necessary, with the
// refusal's advice when to come back.
func explained(refusal, last *outcome.Error) *outcome.Error {
	if last == nil {
		return refusal
	}
	e := *last
	e.RetryAfter = max(e.RetryAfter, refusal.RetryAfter)
	return &e
}

// crashed counts the deaths of upstreams that ran this request. After the first one it waits for control's
// verdict on that crash and, unless the request is refused then, has it tried alone. After the second one the
// request is given up, so that it takes no third upstream with it.
func (j *job) crashed(ctx context.Context, failure *outcome.Error) *outcome.Error {
	j.crashes++
	if j.crashes >= crashLimit {
		j.d.verdicts.RefuseLocally(time.Now(), j.request.Organisation, j.fingerprint)
		return &outcome.Error{
			Step: "dispatch", Peer: failure.Peer, Outcome: failure.Outcome, Reason: "crashed-upstreams",
			Detail: "two upstreams failed while they ran this request", Status: http.StatusBadGateway,
		}
	}
	if !j.request.Repeatable || !j.out.canContinue() || !wait.For(ctx, quarantine.TrialDelay) {
		return failure
	}
	_, refusal := j.d.verdicts.Check(time.Now(), j.request.Organisation, j.fingerprint, true)
	j.alone = true
	return refusal
}

// doubt remembers the strongest doubt: once an attempt may have run, no later one proves the contrary.
func (j *job) doubt(failure *outcome.Error) {
	if j.ran == outcome.NotRun || failure.Outcome == outcome.Ran {
		j.ran = failure.Outcome
	}
}

// final returns the answer to a request that is given up on: at once, with what is known of all attempts.
func (j *job) final(failure *outcome.Error) *outcome.Error {
	j.doubt(failure)
	if j.ran != failure.Outcome {
		failure = failure.WithOutcome(j.ran)
	}
	j.d.note("failed", j.request, failure.Peer, failure)
	return failure
}

// again decides whether to try again and waits the time before it.
func (j *job) again(ctx context.Context, failure *outcome.Error) bool {
	if ctx.Err() != nil || !j.out.canContinue() {
		return false
	}
	decision := retry.Decide(time.Now(), retry.Attempt{
		Number: j.number, Repeatable: j.request.Repeatable, Deadline: j.request.Deadline, Expected: expectedAttempt,
		Failure: failure,
	}, j.d.budget(j.request.Service))
	return decision.Again && wait.For(ctx, decision.Wait)
}

// newAttempt returns the attempt at the chosen upstream, not sent yet.
func (j *job) newAttempt(choice routing.Choice) *sidecar.Attempt {
	r := j.request
	left, _ := retry.Pass(time.Now(), r.Deadline)
	start := &wire.StartRequest{
		Id: &wire.AttemptID{
			Request: r.ID, Attempt: int32(j.number), Entry: j.d.settings.Entry + "/" + j.d.settings.Incarnation,
		},
		Epoch: choice.Upstream.Epoch, Organisation: r.Organisation, Service: r.Service, Method: r.Method, Path: r.Path,
		Headers: sidecar.HeadersToWire(r.Headers), Body: r.Body, DeadlineMs: left.Milliseconds(), Priority: r.Priority, Repeatable: r.Repeatable,
		Fingerprint: j.fingerprint.Bytes(), Alone: j.alone, Rank: int32(choice.Rank), Revision: j.d.Holder().Revision(),
	}
	if j.out != nil {
		start.ResumeText = j.out.resumeText()
	}
	return sidecar.NewAttempt(j.d.link(choice.Upstream.Address), choice.Upstream.Name, start)
}

// attempt runs one attempt to its end and feeds its pieces to the output.
func (j *job) attempt(ctx context.Context, choice routing.Choice, attempt *sidecar.Attempt) *outcome.Error {
	l, pieces, failure := j.firstData(ctx, j.newLeg(ctx, choice, attempt))
	if failure != nil {
		return failure
	}
	defer l.cancel()
	defer l.attempt.Close()
	l.choice.Attempt.FirstToken(time.Now())
	for {
		for _, piece := range pieces {
			isEnd, failure := j.take(ctx, l, piece)
			if isEnd || failure != nil {
				return failure
			}
		}
		piece, failure := j.next(l)
		if failure != nil {
			j.reportFailure(l.choice, failure, time.Now())
			return failure
		}
		pieces = []*wire.Piece{piece}
	}
}

// take hands a piece to the output and reports whether it was the last one.
func (j *job) take(ctx context.Context, l *leg, piece *wire.Piece) (isEnd bool, failure *outcome.Error) {
	if err := j.out.add(headOf(piece), piece.Data, piece.End); err != nil {
		l.choice.Attempt.Ended(time.Now())
		known := l.attempt.Cancel(ctx)
		return false, outcome.Error{
			Step: "deliver", Outcome: known, Reason: "caller-gone", Status: statusClientClosed,
		}.WithCause(err)
	}
	if !piece.End {
		l.choice.Attempt.Tokens(time.Now(), bytes.Count(piece.Data, eventStart))
		return false, nil
	}
	l.choice.Attempt.Ended(time.Now())
	l.attempt.Done()
	j.d.note("answered", j.request, l.choice.Upstream.Name, nil)
	j.clearSuspicion(ctx)
	return true, nil
}

// clearSuspicion tells control that a suspect request ran alone to its end.
func (j *job) clearSuspicion(ctx context.Context) {
	if !j.alone {
		return
	}
	request := &wire.ClearRequest{Fingerprint: j.fingerprint.Bytes(), Organisation: j.request.Organisation}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleFor)
	go func() {
		defer cancel()
		_, failure := j.d.settings.Leader.Clear(ctx, request)
		j.d.note("clear-suspicion", j.request, "", failure)
	}()
}

// reportFailure tells the picker whether the upstream is to blame.
func (j *job) reportFailure(choice routing.Choice, failure *outcome.Error, now time.Time) {
	j.d.note("attempt-failed", j.request, choice.Upstream.Name, failure)
	switch {
	case failure.Reason == "cancelled" || failure.Reason == "deadline":
		choice.Attempt.Ended(now)
	case failure.Reason == admission.ReasonDraining:
		choice.Attempt.Draining(now)
	case failure.Outcome == outcome.NotRun && failure.Reason != "unreachable" && failure.Reason != "engine-down":
		choice.Attempt.Refused(now)
	default:
		choice.Attempt.Failed(now)
	}
}

func headOf(piece *wire.Piece) admission.Head {
	return admission.Head{Status: int(piece.Status), Headers: sidecar.HeadersFromWire(piece.Headers)}
}

// StatusOf returns the HTTP status of a failure towards the caller.
func StatusOf(failure *outcome.Error) int {
	switch {
	case failure.Status != 0:
		return failure.Status
	case failure.Reason == "deadline" || failure.Reason == "cancelled" || failure.Reason == "too-late":
		return http.StatusGatewayTimeout
	case failure.Reason == "limit":
		return http.StatusTooManyRequests
	case failure.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}
