package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// historySteps is the number of past moments for which an account remembers its own work.
	historySteps = 64
	// historyStep is the least time between two remembered moments.
	historyStep = 25 * time.Millisecond
	// stepGain is the weight of a new sample in the mean time of a decode step.
	stepGain = 0.05
	// stayGain is the weight of a new sample in the mean time of an attempt.
	stayGain = 0.05
	// prefillGain is the weight of a new sample in the mean prefill time of a token.
	prefillGain = 0.1
	// fullFor bounds the time for which a refusal for want of room counts.
	fullFor = time.Second
	// defaultStep is the decode step time of an upstream of which nothing is known.
	defaultStep = 30 * time.Millisecond
	// defaultPrefill is the prefill time of a token of which nothing is known.
	defaultPrefill = 100 * time.Microsecond
)

type (
	// account holds what one entry knows of one epoch of one upstream: its own work there, to the moment, and
	// the work of other entries, from the last report. Traffic goroutines read it without locking.
	account struct {
		running  atomic.Int64 // own requests in flight
		tokens   atomic.Int64 // own tokens in flight, prompt and expected output
		pending  atomic.Int64 // own prompt tokens whose first token has not come
		ownThen  atomic.Int64 // own requests in flight when the last report was sampled
		others   atomic.Int64 // requests of other entries, as of the last report
		step     atomic.Int64 // mean decode step as own answers show it, in nanoseconds; 0 when unknown
		reported atomic.Int64 // mean decode step of the last report, in nanoseconds; 0 when unknown
		prefill  atomic.Int64 // prefill time of a token, in nanoseconds; 0 when unknown
		capacity atomic.Int64
		failures atomic.Int64 // failures in a row
		stay     atomic.Int64 // mean time of an own attempt, in nanoseconds; 0 when unknown
		sampled  atomic.Int64 // time of the last report's sample, Unix nanoseconds; 0 before the first
		full     atomic.Int64 // time of the last refusal for want of room, Unix nanoseconds; 0 for none
		closed   atomic.Int64 // time until which failures keep the upstream closed, Unix nanoseconds
		ranks    atomic.Pointer[rankView]
		rankWork []atomic.Int64 // own tokens in flight on each rank
		cache    *prefixCache

		mutex    sync.Mutex
		sequence uint64
		history  [historySteps]moment
		next     int
	}

	// moment is the own work in flight from a time on.
	moment struct {
		at      time.Time
		running int64
	}
)

func newAccount(u Upstream) *account {
	a := &account{cache: newPrefixCache(), rankWork: make([]atomic.Int64, u.Ranks)}
	capacity := u.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	a.capacity.Store(int64(capacity))
	return a
}

// begin counts a dispatch.
func (a *account) begin(now time.Time, w work) {
	running := a.running.Add(1)
	a.tokens.Add(w.tokens)
	a.pending.Add(w.pending)
	if w.rank >= 0 && w.rank < len(a.rankWork) {
		a.rankWork[w.rank].Add(w.tokens)
	}
	a.remember(now, running)
}

// end takes back what begin counted.
func (a *account) end(now time.Time, w work) {
	running := a.running.Add(-1)
	a.tokens.Add(-w.tokens)
	if w.rank >= 0 && w.rank < len(a.rankWork) {
		a.rankWork[w.rank].Add(-w.tokens)
	}
	a.remember(now, running)
}

func (a *account) remember(now time.Time, running int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	last := &a.history[(a.next+historySteps-1)%historySteps]
	if !last.at.IsZero() && now.Sub(last.at) < historyStep {
		last.running = running
		return
	}
	a.history[a.next] = moment{at: now, running: running}
	a.next = (a.next + 1) % historySteps
}

// runningAt returns the own work in flight at an earlier time. The caller holds the mutex.
func (a *account) runningAt(at time.Time) int64 {
	for n := 1; n <= historySteps; n++ {
		m := a.history[(a.next+historySteps-n)%historySteps]
		if m.at.IsZero() {
			return 0
		}
		if !m.at.After(at) {
			return m.running
		}
	}
	return a.running.Load()
}

// observe takes a load report that was sampled at the given time. Reports out of order are dropped.
func (a *account) observe(sampled time.Time, load *wire.Load) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if load.Sequence != 0 && load.Sequence <= a.sequence {
		return
	}
	a.sequence = load.Sequence
	a.sampled.Store(sampled.UnixNano())
	total := int64(load.Running) + int64(load.Queued)
	own := a.runningAt(sampled)
	a.ownThen.Store(own)
	a.others.Store(max(0, total-own))
	if load.Capacity > 0 {
		a.capacity.Store(int64(load.Capacity))
	}
	if load.StepUs > 0 {
		a.reported.Store(load.StepUs * int64(time.Microsecond))
	}
	if len(load.Ranks) > 0 {
		a.ranks.Store(newRankView(load.Ranks, len(a.rankWork)))
	}
}

// stepTime returns the best known decode step time.
func (a *account) stepTime() time.Duration {
	own := a.step.Load()
	reported := a.reported.Load()
	switch {
	case own > 0 && reported > 0:
		return time.Duration((own + reported) / 2)
	case own > 0:
		return time.Duration(own)
	case reported > 0:
		return time.Duration(reported)
	default:
		return defaultStep
	}
}

// turnover returns the part of the reported work of others that has ended since the report was sampled; as much
// new work has come in its place, at upstreams that the report does not tell.
func (a *account) turnover(now time.Time) float64 {
	sampled := a.sampled.Load()
	if sampled == 0 {
		return 0
	}
	stay := a.stay.Load()
	if stay == 0 {
		stay = int64(a.stepTime() * typicalOutput)
	}
	return min(1, max(0, float64(now.UnixNano()-sampled)/float64(stay)))
}

// isFull reports whether the upstream refused a request for want of room and nothing newer is known.
func (a *account) isFull(now time.Time) bool {
	full := a.full.Load()
	return full != 0 && a.sampled.Load() < full && now.UnixNano()-full < int64(fullFor)
}

// prefillTime returns the prefill time of one token.
func (a *account) prefillTime() time.Duration {
	if known := a.prefill.Load(); known > 0 {
		return time.Duration(known)
	}
	return defaultPrefill
}

// smooth moves the stored mean towards a sample.
func smooth(mean *atomic.Int64, sample time.Duration, gain float64) {
	for {
		old := mean.Load()
		next := int64(sample)
		if old > 0 {
			next = int64(math.Round(float64(old) + gain*float64(int64(sample)-old)))
		}
		if mean.CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}
