package dispatch

import (
	"bytes"
	"context"
	"errors"
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

// job.go runs one request: it waits in the fair queue, then makes attempts until one delivers the whole answer or
// another attempt would be of no use.

const (
	// expectedAttemptTime is the expected time of a further attempt when it is decided whether one still fits before
	// the deadline.
	expectedAttemptTime = 5 * time.Millisecond
	// crashLimit is the number of upstreams that may fail while they run one request; the request is then given up.
	crashLimit = 2
	// statusClientClosed is recorded for a caller that has disconnected; it is never sent.
	statusClientClosed = 499
)

// eventStart begins each event of a stream; each event carries one token.
var eventStart = []byte("data: ")

// job is one request in progress.
type job struct {
	d       *Dispatcher
	request *Request
	sink    Sink
	// fingerprint identifies the request across resends. It hashes the body, so it is computed only once.
	fingerprint quarantine.Fingerprint
	alone       bool
	// attemptNumber is the number of the current attempt, from 1.
	attemptNumber int
	// wasOverloaded is true when the upstream refused the last attempt because it was full.
	wasOverloaded bool
	// crashes counts the upstreams that failed while they ran this request.
	crashes int
	// exclude names the upstreams of earlier attempts.
	exclude []string
	ticket  *fairness.Ticket
	// combinedOutcome is what is known from all attempts so far: NotRun until one may have run.
	combinedOutcome outcome.Outcome
	out             *output
}

func (j *job) routingRequest() routing.Request {
	r := j.request
	aloneKey := uint64(0)
	if j.alone {
		aloneKey = j.fingerprint.Key()
	}
	return routing.Request{
		Service: r.Service, Organisation: r.Organisation, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		PrefixHashes: r.PrefixHashes, Deadline: r.Deadline, Exclude: j.exclude,
		Alone: j.alone, AloneKey: aloneKey, Admitted: j.attemptNumber > 1,
	}
}

// admit waits in the fair queue for a slot at an upstream. It does so for the first attempt, and again when the
// upstream refused the attempt because it was full. A further attempt after another failure picks an upstream at
// once.
func (j *job) admit(ctx context.Context) (routing.Choice, *outcome.Error) {
	j.attemptNumber++
	now := time.Now()
	if j.attemptNumber > 1 && !j.wasOverloaded {
		return j.d.picker.Pick(now, j.routingRequest())
	}
	w := &queuedRequest{request: j.routingRequest()}
	w.request.Admitted = false
	if refusal := j.acquire(ctx, now, w); refusal != nil {
		j.ticket = nil
		return routing.Choice{}, refusal
	}
	return w.choice, w.refusal
}

// acquire waits in the fair queue. The first time, the request is queued last in its organisation; after that, first.
func (j *job) acquire(ctx context.Context, now time.Time, w *queuedRequest) *outcome.Error {
	gate := j.d.gate(j.request.Service)
	if j.ticket != nil {
		j.ticket.Value = w
		return gate.Reacquire(ctx, j.ticket)
	}
	j.ticket = &fairness.Ticket{
		Organisation: j.request.Organisation, Weight: j.request.Weight,
		Cost:        float64(j.request.PromptTokens + j.request.OutputTokens),
		LatestStart: j.d.picker.LatestStart(now, w.request), Value: w,
	}
	return gate.Acquire(ctx, j.ticket)
}

func (j *job) release() {
	if j.ticket != nil {
		j.d.gate(j.request.Service).Release(j.ticket, 0)
		j.ticket = nil
	}
}

// run makes attempts until one succeeds or no further one is allowed.
func (j *job) run(ctx context.Context) *outcome.Error {
	defer j.release()
	j.combinedOutcome = outcome.NotRun
	j.out = newOutput(j.request, j.sink)
	j.d.budget(j.request.Service).RecordFirstAttempt(time.Now())
	var last *outcome.Error
	for {
		choice, refusal := j.admit(ctx)
		if refusal != nil {
			return j.final(preferLastFailure(refusal, last))
		}
		failure := j.attempt(ctx, choice, j.newAttempt(choice))
		if failure == nil {
			return nil
		}
		last = failure
		j.recordOutcome(failure)
		j.wasOverloaded = failure.Reason == admission.ReasonOverloaded
		if failure.Reason == engine.ReasonDied {
			if refusal := j.handleCrash(ctx, failure); refusal != nil {
				return j.final(refusal)
			}
			continue
		}
		if !j.shouldRetry(ctx, failure) {
			return j.final(failure)
		}
	}
}

// preferLastFailure returns the failure that made a further attempt necessary, with the retry advice of the refusal
// of that attempt if it is longer. Without an earlier failure it returns the refusal.
func preferLastFailure(refusal, last *outcome.Error) *outcome.Error {
	if last == nil {
		return refusal
	}
	e := *last
	e.RetryAfter = max(e.RetryAfter, refusal.RetryAfter)
	return &e
}

// handleCrash counts an upstream that failed while it ran this request. After the first crash it waits for control's
// verdict on the request and, unless the request is now refused, returns nil for another attempt that runs alone.
// After the second crash it ends the request, so that no third upstream is lost to it. A request that cannot be
// repeated or continued ends with the failure.
func (j *job) handleCrash(ctx context.Context, failure *outcome.Error) *outcome.Error {
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
	now := time.Now()
	_, refusal := j.d.verdicts.Check(now, j.request.Organisation, j.fingerprint, true)
	if refusal == nil {
		refusal = j.d.verdicts.CheckParts(now, j.request.Parts)
	}
	j.alone = true
	return refusal
}

// recordOutcome adds the outcome of an attempt to combinedOutcome. Once an attempt may have run, no later attempt
// changes the outcome back to NotRun.
func (j *job) recordOutcome(failure *outcome.Error) {
	if j.combinedOutcome == outcome.NotRun || failure.Outcome == outcome.Ran {
		j.combinedOutcome = failure.Outcome
	}
}

// final returns the error for the caller, with the combined outcome of all attempts.
func (j *job) final(failure *outcome.Error) *outcome.Error {
	j.recordOutcome(failure)
	if j.combinedOutcome != failure.Outcome {
		failure = failure.WithOutcome(j.combinedOutcome)
	}
	j.d.recordEvent("failed", j.request, failure.Peer, failure)
	return failure
}

// shouldRetry decides whether to make another attempt, and waits for its backoff.
func (j *job) shouldRetry(ctx context.Context, failure *outcome.Error) bool {
	if ctx.Err() != nil || !j.out.canContinue() {
		return false
	}
	decision := retry.Decide(time.Now(), retry.Attempt{
		Number: j.attemptNumber, Repeatable: j.request.Repeatable, Deadline: j.request.Deadline, Expected: expectedAttemptTime,
		Failure: failure,
	}, j.d.budget(j.request.Service))
	return decision.Retry && wait.For(ctx, decision.Wait)
}

// newAttempt returns an attempt at the chosen upstream that has not been sent yet.
func (j *job) newAttempt(choice routing.Choice) *sidecar.Attempt {
	r := j.request
	left, _ := retry.NextHopTimeout(time.Now(), r.Deadline)
	start := &wire.StartRequest{
		Id: &wire.AttemptID{
			Request: r.ID, Attempt: int32(j.attemptNumber), Entry: j.d.settings.Entry + "/" + j.d.settings.Incarnation,
		},
		Epoch: choice.Upstream.Epoch, Organisation: r.Organisation, Service: r.Service, Method: r.Method, Path: []byte(r.Path),
		Headers: sidecar.HeadersToWire(r.Headers), Body: r.Body, DeadlineMs: left.Milliseconds(), Priority: r.Priority, Repeatable: r.Repeatable,
		Fingerprint: j.fingerprint.Bytes(), Alone: j.alone, Rank: int32(choice.Rank), Revision: j.d.Holder().Revision(),
	}
	if j.out != nil {
		start.ResumeText = j.out.resumeText()
	}
	start.Parts = quarantine.EncodeAll(r.Parts)
	return sidecar.NewAttempt(j.d.link(choice.Upstream.Address), choice.Upstream.Name, start)
}

// attempt runs one attempt to its end and delivers its pieces. A hedge may take the place of the attempt before the
// first data.
func (j *job) attempt(ctx context.Context, choice routing.Choice, attempt *sidecar.Attempt) *outcome.Error {
	l, pieces, failure := j.firstData(ctx, j.newRunningAttempt(ctx, choice, attempt))
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

// take passes a piece to the output and reports whether it was the last one.
func (j *job) take(ctx context.Context, l *runningAttempt, piece *wire.Piece) (isEnd bool, failure *outcome.Error) {
	err := j.out.add(headOf(piece), piece.Data, piece.End)
	if errors.Is(err, errNotContinued) {
		return false, j.failContinuation(ctx, l, err)
	}
	if err != nil {
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
	l.attempt.Release()
	j.d.recordEvent("answered", j.request, l.choice.Upstream.Name, nil)
	j.clearSuspicion(ctx)
	return true, nil
}

// failContinuation ends an attempt whose answer does not continue the stream.
func (j *job) failContinuation(ctx context.Context, l *runningAttempt, err error) *outcome.Error {
	known := l.attempt.Cancel(ctx)
	failure := outcome.Error{
		Step: "deliver", Peer: l.choice.Upstream.Name, Outcome: known, Reason: "not-continued", Status: http.StatusBadGateway,
	}.WithCause(err)
	j.reportFailure(l.choice, failure, time.Now())
	return failure
}

// clearSuspicion reports to control that a suspect request completed while it ran alone, and that a request with suspect
// parts completed.
func (j *job) clearSuspicion(ctx context.Context) {
	for _, part := range j.d.verdicts.TakeSuspectParts(time.Now(), j.request.Parts) {
		j.clear(ctx, &wire.ClearRequest{Fingerprint: part.Bytes(), IsPart: true})
	}
	if j.alone {
		j.clear(ctx, &wire.ClearRequest{Fingerprint: j.fingerprint.Bytes(), Organisation: j.request.Organisation})
	}
}

func (j *job) clear(ctx context.Context, request *wire.ClearRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	go func() {
		defer cancel()
		_, failure := j.d.settings.Leader.Clear(ctx, request)
		j.d.recordEvent("clear-suspicion", j.request, "", failure)
	}()
}

// reportFailure tells the picker how the attempt ended, and whether the failure counts against the upstream.
func (j *job) reportFailure(choice routing.Choice, failure *outcome.Error, now time.Time) {
	j.d.recordEvent("attempt-failed", j.request, choice.Upstream.Name, failure)
	switch {
	case failure.Reason == "cancelled" || failure.Reason == "deadline":
		choice.Attempt.Ended(now)
	case failure.Reason == admission.ReasonDraining:
		choice.Attempt.Draining(now)
	case failure.Reason == admission.ReasonBackoff || failure.Reason == engine.ReasonBusy:
		choice.Attempt.BackOff(now, failure.RetryAfter)
	case failure.Outcome == outcome.NotRun && failure.Reason != "unreachable" && failure.Reason != "engine-down":
		choice.Attempt.Refused(now)
	default:
		choice.Attempt.Failed(now)
	}
}

func headOf(piece *wire.Piece) admission.Head {
	return admission.Head{Status: int(piece.Status), Headers: sidecar.HeadersFromWire(piece.Headers)}
}

// StatusOf returns the HTTP status that a failure has towards the caller.
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
