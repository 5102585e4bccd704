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

// race.go waits for the first data of an answer. When it is late, a repeatable request gets a second attempt
// beside the first; the one whose data come first goes on and the other is cancelled.

const (
	// lateWithoutSamples is how long first data may take before a service has shown how long they take.
	lateWithoutSamples = 2 * time.Second
	// stallLimit is the longest pause within an answer of a repeatable request.
	stallLimit = 2 * time.Second
	// hedgeAgain is the pause before another look for room and budget for a second attempt.
	hedgeAgain = 100 * time.Millisecond
)

type (
	// leg is one attempt that runs.
	leg struct {
		choice  routing.Choice
		attempt *sidecar.Attempt
		ctx     context.Context
		cancel  context.CancelFunc
	}

	// start is the first data of a leg, with the pieces that came before them, or its failure.
	start struct {
		leg     *leg
		pieces  []*wire.Piece
		failure *outcome.Error
	}
)

// firstData returns the leg whose data come first and its pieces so far. When all legs fail it returns the
// last failure; the others are counted as doubts of the job.
func (j *job) firstData(ctx context.Context, first *leg) (*leg, []*wire.Piece, *outcome.Error) {
	starts := make(chan start, 2)
	legs := []*leg{first}
	begun := time.Now()
	go first.run(starts)
	late := time.NewTimer(j.lateAfter(begun, first.choice))
	defer late.Stop()
	for running := 1; ; {
		select {
		case s := <-starts:
			running--
			if s.failure == nil {
				j.hedge().Observe(time.Since(begun))
				cancelOthers(legs, s.leg)
				return s.leg, s.pieces, nil
			}
			j.reportFailure(s.leg.choice, s.failure, time.Now())
			if running == 0 {
				return nil, nil, s.failure
			}
			j.doubt(s.failure)
		case <-late.C:
			second := j.secondLeg(ctx)
			if second == nil {
				late.Reset(hedgeAgain)
				continue
			}
			legs = append(legs, second)
			running++
			go second.run(starts)
		}
	}
}

func (j *job) hedge() *retry.Hedge {
	kind := "/whole"
	if j.request.Stream {
		kind = "/stream"
	}
	return j.d.hedge(j.request.Service + kind)
}

// lateAfter returns when first data are late; for a request that may not be repeated they never are.
func (j *job) lateAfter(now time.Time, choice routing.Choice) time.Duration {
	const never = 1 << 62
	if !j.request.Repeatable || j.alone {
		return never
	}
	hasRoom := j.d.picker.HasRoom(now, j.request.Service)
	if after, ok := j.hedge().After(now, j.request.Deadline, true, hasRoom); ok {
		return after
	}
	return max(lateWithoutSamples, 2*choice.Wait)
}

// secondLeg starts a further attempt elsewhere when the retry budget and the upstreams allow it.
func (j *job) secondLeg(ctx context.Context) *leg {
	now := time.Now()
	if !j.d.picker.HasRoom(now, j.request.Service) || !j.d.budget(j.request.Service).Spend(now) {
		return nil
	}
	j.number++
	choice, refusal := j.d.picker.Pick(now, j.routingRequest())
	if refusal != nil {
		return nil
	}
	j.d.note("hedge", j.request, choice.Upstream.Name, nil)
	return j.newLeg(ctx, choice, j.newAttempt(choice))
}

func (j *job) newLeg(ctx context.Context, choice routing.Choice, attempt *sidecar.Attempt) *leg {
	up := choice.Upstream
	attempt.OnLoad = func(load *wire.Load) { j.d.picker.Observe(time.Now(), up.Name, up.Epoch, load) }
	j.exclude = append(j.exclude, up.Name)
	j.d.note("dispatch", j.request, up.Name, nil)
	l := &leg{choice: choice, attempt: attempt}
	l.ctx, l.cancel = context.WithCancel(ctx)
	return l
}

// run fetches pieces up to the first data and reports them. The caller goes on with the leg afterwards.
func (l *leg) run(starts chan<- start) {
	var pieces []*wire.Piece
	for {
		piece, failure := l.attempt.Next(l.ctx)
		if failure != nil {
			l.attempt.Close()
			starts <- start{leg: l, failure: failure}
			return
		}
		pieces = append(pieces, piece)
		if len(piece.Data) > 0 || piece.End {
			starts <- start{leg: l, pieces: pieces}
			return
		}
	}
}

// cancelOthers cancels the legs that lost the race. Each tells its sidecar and closes its own stream.
func cancelOthers(legs []*leg, winner *leg) {
	for _, l := range legs {
		if l != winner {
			l.cancel()
			l.choice.Attempt.Ended(time.Now())
		}
	}
}

// next returns the next piece of the leg that won. A repeatable request whose answer pauses for stallLimit
// is given up here, so that it can go on elsewhere.
func (j *job) next(l *leg) (*wire.Piece, *outcome.Error) {
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
