package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failuresToTrip is the number of consecutive failures that exclude an upstream for a while, as a circuit breaker
	// does.
	failuresToTrip = 2
	// minTripTime is how long the first exclusion lasts; each further failure doubles it.
	minTripTime = 250 * time.Millisecond
	// stalledAfter is the silence after which the end of an attempt without output counts as a stall of the upstream.
	stalledAfter = time.Second
	// maxTripTime bounds the time for which failures exclude an upstream.
	maxTripTime = 8 * time.Second
)

type (
	// Attempt records the progress of one attempt. Its methods may be called from any goroutine, in any order. Calls
	// after the end of the attempt are ignored, except that Draining still marks the upstream.
	Attempt struct {
		state      *upstreamState
		meanOutput *atomic.Int64 // mean length of an answer of the service, in tokens
		work       work
		onEnd      func()

		mutex      sync.Mutex
		dispatched time.Time
		first      time.Time
		last       time.Time
		uncached   int64
		ended      bool
	}

	// work is the load that an attempt adds to an upstream.
	work struct {
		tokens  int64
		pending int64
		rank    int
	}
)

// FirstToken records that the first token arrived.
func (a *Attempt) FirstToken(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended || !a.last.IsZero() {
		return
	}
	a.first, a.last = now, now
	a.state.pending.Add(-a.work.pending)
	a.state.waiting.Add(-1)
	a.state.silentSince.set(now)
	a.state.lastOutput.set(now)
}

// Tokens records that count further tokens arrived.
func (a *Attempt) Tokens(now time.Time, count int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended || a.last.IsZero() || count <= 0 {
		return
	}
	updateMean(&a.state.ownStep, now.Sub(a.last)/time.Duration(count), stepGain)
	a.last = now
	a.state.lastOutput.set(now)
}

// Ended records that the attempt ended with an answer or was cancelled. When it brought no token and the upstream has
// sent nothing to any request for stalledAfter or longer, the upstream is excluded for as long as it was silent, up
// to maxTripTime.
func (a *Attempt) Ended(now time.Time) {
	silence := min(a.state.silence(now), now.Sub(a.state.lastOutput.get()))
	if !a.markEnded(now) {
		return
	}
	switch {
	case !a.last.IsZero():
		a.state.failures.Store(0)
		a.state.refusedAt.set(time.Time{})
		a.state.lastOutput.set(now)
		a.recordTimings(now)
	case silence >= stalledAfter:
		a.state.trippedUntil.set(now.Add(min(silence, maxTripTime)))
	}
	a.onEnd()
}

// recordTimings updates the averages of the upstream and of the service from an attempt that brought tokens.
func (a *Attempt) recordTimings(now time.Time) {
	step := a.state.stepTime()
	updateMean(&a.state.attemptTime, now.Sub(a.dispatched), attemptTimeGain)
	updateMean(a.meanOutput, now.Sub(a.dispatched)/step, outputGain)
	// An answer that arrives in one piece does not show when its first token was ready.
	if a.uncached >= BlockTokens && now.Sub(a.first) >= step {
		updateMean(&a.state.prefill, a.first.Sub(a.dispatched)/time.Duration(a.uncached), prefillGain)
	}
}

// Refused records that the upstream did not run the attempt because it was full.
func (a *Attempt) Refused(now time.Time) {
	if a.markEnded(now) {
		a.state.refusedAt.set(now)
		a.onEnd()
	}
}

// Draining records that the upstream refused the attempt because it is draining. The upstream is not chosen again
// until it restarts under another epoch.
func (a *Attempt) Draining(now time.Time) {
	a.state.draining.Store(true)
	a.Refused(now)
}

// BackOff records that the upstream refused the attempt because it has asked for backoff.
func (a *Attempt) BackOff(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(a.state.backoffUntil.get()) {
		a.state.backoffUntil.set(until)
	}
	if a.markEnded(now) {
		a.onEnd()
	}
}

// Failed records that the upstream failed the attempt or could not be reached.
func (a *Attempt) Failed(now time.Time) {
	if !a.markEnded(now) {
		return
	}
	failures := a.state.failures.Add(1)
	if failures >= failuresToTrip {
		length := minTripTime << min(failures-failuresToTrip, 5)
		a.state.trippedUntil.set(now.Add(min(length, maxTripTime)))
	}
	a.onEnd()
}

// markEnded ends the attempt and removes its work from the upstream. It returns false when the attempt had already
// ended.
func (a *Attempt) markEnded(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return false
	}
	a.ended = true
	if a.last.IsZero() {
		a.state.pending.Add(-a.work.pending)
		a.state.waiting.Add(-1)
	}
	a.state.end(now, a.work)
	return true
}
