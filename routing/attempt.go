package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failuresToClose is the number of failures in a row that close an upstream for a while.
	failuresToClose = 2
	// shortestClosing is the time for which the first closing lasts; each further failure doubles it.
	shortestClosing = 250 * time.Millisecond
	// stalledAfter is the silence after which a cancelled attempt tells of a stalled upstream.
	stalledAfter = time.Second
	// longestClosing bounds the time for which failures close an upstream.
	longestClosing = 8 * time.Second
)

type (
	// Attempt takes the reports on one attempt. Its methods may be called from any goroutine, in any order;
	// what comes after the end is ignored.
	Attempt struct {
		account *account
		output  *atomic.Int64 // mean length of an answer of the service, in tokens
		work    work
		settle  func()

		mutex      sync.Mutex
		dispatched time.Time
		first      time.Time
		last       time.Time
		uncached   int64
		ended      bool
	}

	// work is what an attempt adds to an account.
	work struct {
		tokens  int64
		pending int64
		rank    int
	}
)

// FirstToken reports that the first token came.
func (a *Attempt) FirstToken(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended || !a.last.IsZero() {
		return
	}
	a.first, a.last = now, now
	a.account.pending.Add(-a.work.pending)
	a.account.waiting.Add(-1)
	a.account.quiet.set(now)
	a.account.alive.set(now)
}

// Tokens reports that further tokens came.
func (a *Attempt) Tokens(now time.Time, count int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended || a.last.IsZero() || count <= 0 {
		return
	}
	smooth(&a.account.step, now.Sub(a.last)/time.Duration(count), stepGain)
	a.last = now
	a.account.alive.set(now)
}

// Ended reports that the attempt ended with an answer or was cancelled. An upstream that brought nothing to any request
// for stalledAfter until then is closed for as long as it was silent.
func (a *Attempt) Ended(now time.Time) {
	silence := min(a.account.silence(now), now.Sub(a.account.alive.get()))
	if !a.close(now) {
		return
	}
	switch {
	case !a.last.IsZero():
		a.account.failures.Store(0)
		a.account.full.set(time.Time{})
		a.account.alive.set(now)
		a.learn(now)
	case silence >= stalledAfter:
		a.account.closed.set(now.Add(min(silence, longestClosing)))
	}
	a.settle()
}

// learn takes what a whole answer tells of the upstream and of the service.
func (a *Attempt) learn(now time.Time) {
	step := a.account.stepTime()
	smooth(&a.account.stay, now.Sub(a.dispatched), stayGain)
	smooth(a.output, now.Sub(a.dispatched)/step, outputGain)
	// An answer that came in one piece does not tell when its first token was ready.
	if a.uncached >= BlockTokens && now.Sub(a.first) >= step {
		smooth(&a.account.prefill, a.first.Sub(a.dispatched)/time.Duration(a.uncached), prefillGain)
	}
}

// Refused reports that the upstream proved not to run the attempt for want of room.
func (a *Attempt) Refused(now time.Time) {
	if a.close(now) {
		a.account.full.set(now)
		a.settle()
	}
}

// Draining reports that the upstream refused the attempt because it takes no new work. It is chosen no more until
// it starts again under another epoch.
func (a *Attempt) Draining(now time.Time) {
	a.account.draining.Store(true)
	a.Refused(now)
}

// Failed reports that the upstream failed the attempt or could not be reached.
func (a *Attempt) Failed(now time.Time) {
	if !a.close(now) {
		return
	}
	failures := a.account.failures.Add(1)
	if failures >= failuresToClose {
		length := shortestClosing << min(failures-failuresToClose, 5)
		a.account.closed.set(now.Add(min(length, longestClosing)))
	}
	a.settle()
}

func (a *Attempt) close(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return false
	}
	a.ended = true
	if a.last.IsZero() {
		a.account.pending.Add(-a.work.pending)
		a.account.waiting.Add(-1)
	}
	a.account.end(now, a.work)
	return true
}
