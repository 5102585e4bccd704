package dispatch

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/retry"
	"guavahitch.example/guavahitch/routing"
	"guavahitch.example/guavahitch/sidecar"
	"guavahitch.example/guavahitch/wire"
)

// hedging.go waits for the first data of an answer. When they are late, a repeatable request gets a second attempt (a
// hedge) beside the first. The attempt whose data arrive first continues and the other one is cancelled.

const (
	// defaultHedgeDelay is the minimum delay before a hedge while a service has too few samples for an estimate or
	// hedging by the estimate is not allowed.
	defaultHedgeDelay = 2 * time.Second
	// stallLimit is the longest pause within the answer of a repeatable request; after it, the attempt is given up as
	// stalled.
	stallLimit = 2 * time.Second
	// hedgeRetryInterval is the delay before the next check for a free slot and retry budget for a hedge.
	hedgeRetryInterval = 100 * time.Millisecond
)

type (
	// runningAttempt is an attempt in progress.
	runningAttempt struct {
		choice  routing.Choice
		attempt *sidecar.Attempt
		ctx     context.Context
		cancel  context.CancelFunc
	}

	// firstResult is the first data of an attempt with all pieces so far, or the failure of the attempt.
	firstResult struct {
		attempt *runningAttempt
		pieces  []*wire.Piece
		failure *outcome.Error
	}
)

// firstData returns the attempt whose data arrive first, and its pieces so far. When all attempts fail, it returns
// the last failure; the outcomes of the others are recorded on the job.
func (j *job) firstData(ctx context.Context, first *runningAttempt) (*runningAttempt, []*wire.Piece, *outcome.Error) {
	results := make(chan firstResult, 2)
	attempts := []*runningAttempt{first}
	begun := time.Now()
	go first.run(results)
	hedgeTimer := time.NewTimer(j.hedgeDelay(begun, first.choice))
	defer hedgeTimer.Stop()
	for running := 1; ; {
		select {
		case s := <-results:
			running--
			if s.failure == nil {
				j.hedge().Observe(time.Since(begun))
				cancelLosers(attempts, s.attempt)
				return s.attempt, s.pieces, nil
			}
			j.reportFailure(s.attempt.choice, s.failure, time.Now())
			if running == 0 {
				return nil, nil, s.failure
			}
			j.recordOutcome(s.failure)
		case <-hedgeTimer.C:
			second := j.startHedge(ctx)
			if second == nil {
				hedgeTimer.Reset(hedgeRetryInterval)
				continue
			}
			attempts = append(attempts, second)
			running++
			go second.run(results)
		}
	}
}

// hedge returns the estimator for the service and for the kind of answer, whole or streamed.
func (j *job) hedge() *retry.Hedge {
	kind := "/whole"
	if j.request.Stream {
		kind = "/stream"
	}
	return j.d.hedge(j.request.Service + kind)
}

// hedgeDelay returns the delay before a hedge. A request that may not be repeated or that runs alone is never hedged.
func (j *job) hedgeDelay(now time.Time, choice routing.Choice) time.Duration {
	const never = 1 << 62
	if !j.request.Repeatable || j.alone {
		return never
	}
	hasRoom := j.d.picker.HasRoom(now, j.request.Service)
	if after, ok := j.hedge().After(now, j.request.Deadline, true, hasRoom); ok {
		return after
	}
	return max(defaultHedgeDelay, 2*choice.Wait)
}

// startHedge starts a second attempt at another upstream, if the retry budget and a free slot allow it. Otherwise it
// returns nil.
func (j *job) startHedge(ctx context.Context) *runningAttempt {
	now := time.Now()
	if !j.d.picker.HasRoom(now, j.request.Service) || !j.d.budget(j.request.Service).Spend(now) {
		return nil
	}
	j.attemptNumber++
	choice, refusal := j.d.picker.Pick(now, j.routingRequest())
	if refusal != nil {
		return nil
	}
	j.d.recordEvent("hedge", j.request, choice.Upstream.Name, nil)
	return j.newRunningAttempt(ctx, choice, j.newAttempt(choice))
}

func (j *job) newRunningAttempt(ctx context.Context, choice routing.Choice, attempt *sidecar.Attempt) *runningAttempt {
	up := choice.Upstream
	attempt.OnLoad = func(load *wire.Load) { j.d.picker.Observe(time.Now(), up.Name, up.Epoch, load) }
	j.exclude = append(j.exclude, up.Name)
	j.d.recordEvent("dispatch", j.request, up.Name, nil)
	l := &runningAttempt{choice: choice, attempt: attempt}
	l.ctx, l.cancel = context.WithCancel(ctx)
	return l
}

// run receives pieces up to the first data and sends the result to results. The receiver then continues with the
// attempt.
func (l *runningAttempt) run(results chan<- firstResult) {
	var pieces []*wire.Piece
	for {
		piece, failure := l.attempt.Next(l.ctx)
		if failure != nil {
			l.attempt.Close()
			results <- firstResult{attempt: l, failure: failure}
			return
		}
		pieces = append(pieces, piece)
		if len(piece.Data) > 0 || piece.End {
			results <- firstResult{attempt: l, pieces: pieces}
			return
		}
	}
}

// cancelLosers cancels all attempts but the winner. Each then cancels its run at the sidecar and closes its own
// stream.
func cancelLosers(attempts []*runningAttempt, winner *runningAttempt) {
	for _, l := range attempts {
		if l != winner {
			l.cancel()
			l.choice.Attempt.Ended(time.Now())
		}
	}
}

// next returns the next piece of the attempt. When the answer to a repeatable request pauses for stallLimit, the
// attempt fails with the reason "stalled", so that the answer can continue at another upstream.
func (j *job) next(l *runningAttempt) (*wire.Piece, *outcome.Error) {
	if !j.request.Repeatable {
		return l.attempt.Next(l.ctx)
	}
	stalled := time.AfterFunc(stallLimit, l.cancel)
	piece, failure := l.attempt.Next(l.ctx)
	if failure != nil && !stalled.Stop() {
		failure.Reason = "stalled"
	}
	stalled.Stop()
	return piece, failure
}
