package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// changeHistory is the number of recent changes of its own work that a state remembers.
	changeHistory = 128
	// stepGain, attemptTimeGain, outputGain and prefillGain are the weights of a new sample in the moving averages of
	// the decode step time, the time of an attempt, the length of an answer and the prefill time of a token.
	stepGain        = 0.05
	attemptTimeGain = 0.05
	outputGain      = 0.02
	prefillGain     = 0.1
	// refusalLifetime bounds the time for which a refusal marks an upstream as full.
	refusalLifetime = time.Second
	// defaultStep is the decode step time of an upstream without samples.
	defaultStep = 30 * time.Millisecond
	// defaultPrefill is the prefill time of a prompt token without samples.
	defaultPrefill = 100 * time.Microsecond
)

type (
	// upstreamState is what one entry knows about one epoch of an upstream. Its own work there is counted at once;
	// the work of other entries is as of the last load report. Traffic goroutines read it without a lock.
	upstreamState struct {
		running      atomic.Int64 // own requests in flight
		pending      atomic.Int64 // own uncached prompt tokens of requests without a first token
		waiting      atomic.Int64 // own requests without a first token
		ownAtReport  atomic.Int64 // own requests in flight when the last report was sampled
		others       atomic.Int64 // requests of other entries, as of the last report
		ownStep      atomic.Int64 // moving average of the decode step from own answers, in nanoseconds; 0 when unknown
		reportedStep atomic.Int64 // mean decode step of the last report, in nanoseconds; 0 when unknown
		prefill      atomic.Int64 // prefill time of a token, in nanoseconds; 0 when unknown
		capacity     atomic.Int64
		failures     atomic.Int64 // consecutive failures
		attemptTime  atomic.Int64 // moving average of the time of an own attempt, in nanoseconds; 0 when unknown
		sampledAt    atomicTime   // when the last report was sampled
		refusedAt    atomicTime   // last refusal of a request because the upstream was full
		silentSince  atomicTime   // last first token, or the time since which requests wait for one
		lastOutput   atomicTime   // last token or end of an answer
		trippedUntil atomicTime   // end of the time for which repeated failures exclude the upstream
		backoffUntil atomicTime   // end of the backoff that the upstream asked for
		draining     atomic.Bool  // the upstream has refused work because it drains
		ranks        atomic.Pointer[rankView]
		rankTokens   []atomic.Int64 // own tokens in flight on each rank
		cache        *prefixCache

		mutex    sync.Mutex
		sequence uint64
		changes  [changeHistory]workChange
		next     int
	}

	// workChange is one change of the entry's own work in flight.
	workChange struct {
		at       time.Time
		requests int64
		tokens   int64
		rank     int
	}

	// atomicTime is a time that goroutines share. It starts as the zero time.
	atomicTime struct{ value atomic.Pointer[time.Time] }
)

func (i *atomicTime) set(t time.Time) { i.value.Store(&t) }

func (i *atomicTime) get() time.Time {
	if t := i.value.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func newUpstreamState(u Upstream) *upstreamState {
	a := &upstreamState{cache: newPrefixCache(), rankTokens: make([]atomic.Int64, u.Ranks)}
	capacity := u.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	a.capacity.Store(int64(capacity))
	return a
}

// begin counts an attempt that is dispatched.
func (a *upstreamState) begin(now time.Time, w work) {
	a.pending.Add(w.pending)
	if a.waiting.Add(1) == 1 {
		a.silentSince.set(now)
	}
	a.add(workChange{at: now, requests: 1, tokens: w.tokens, rank: w.rank})
}

// end removes the running request and its tokens that begin counted.
func (a *upstreamState) end(now time.Time, w work) {
	a.add(workChange{at: now, requests: -1, tokens: -w.tokens, rank: w.rank})
}

func (a *upstreamState) add(c workChange) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.running.Add(c.requests)
	if c.rank >= 0 && c.rank < len(a.rankTokens) {
		a.rankTokens[c.rank].Add(c.tokens)
	}
	a.changes[a.next] = c
	a.next = (a.next + 1) % changeHistory
}

// workAt returns the own requests, and the own tokens on each rank, that were in flight at an earlier time. The
// caller holds the mutex.
func (a *upstreamState) workAt(at time.Time) (requests int64, tokens []int64) {
	requests = a.running.Load()
	tokens = make([]int64, len(a.rankTokens))
	for n := range a.rankTokens {
		tokens[n] = a.rankTokens[n].Load()
	}
	for n := 1; n <= changeHistory; n++ {
		c := a.changes[(a.next+changeHistory-n)%changeHistory]
		if c.at.IsZero() || !c.at.After(at) {
			break
		}
		requests -= c.requests
		if c.rank >= 0 && c.rank < len(tokens) {
			tokens[c.rank] -= c.tokens
		}
	}
	return max(requests, 0), tokens
}

// observe applies a load report that was sampled at the given time. It drops reports that arrive out of order.
func (a *upstreamState) observe(sampled time.Time, load *wire.Load) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if load.Sequence != 0 && load.Sequence <= a.sequence {
		return
	}
	a.sequence = load.Sequence
	a.sampledAt.set(sampled)
	total := int64(load.Running) + int64(load.Queued)
	own, ownTokens := a.workAt(sampled)
	a.ownAtReport.Store(own)
	a.others.Store(max(0, total-own))
	if load.Capacity > 0 {
		a.capacity.Store(int64(load.Capacity))
	}
	if load.StepUs > 0 {
		a.reportedStep.Store(load.StepUs * int64(time.Microsecond))
	}
	if len(load.Ranks) > 0 {
		a.ranks.Store(newRankView(load.Ranks, ownTokens))
	}
}

// stepTime returns the decode step time: the mean of the own and the reported value when both are known.
func (a *upstreamState) stepTime() time.Duration {
	own := a.ownStep.Load()
	reported := a.reportedStep.Load()
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

// turnover returns the share of the reported work of other entries that has ended since the report was sampled. An
// equal amount of new work has started meanwhile, but the reports do not show at which upstreams.
func (a *upstreamState) turnover(now time.Time) float64 {
	if a.others.Load() == 0 {
		return 0
	}
	attemptTime := a.attemptTime.Load()
	if attemptTime == 0 {
		attemptTime = int64(a.stepTime() * defaultOutput)
	}
	return min(1, max(0, float64(now.Sub(a.sampledAt.get()))/float64(attemptTime)))
}

// isFull reports whether the upstream refused a request because it was full and no load report has been sampled
// since. The refusal counts for refusalLifetime at most.
func (a *upstreamState) isFull(now time.Time) bool {
	full := a.refusedAt.get()
	return now.Sub(full) < refusalLifetime && a.sampledAt.get().Before(full)
}

// silence returns how long requests have waited without any first token from the upstream.
func (a *upstreamState) silence(now time.Time) time.Duration {
	if a.waiting.Load() == 0 {
		return 0
	}
	return max(0, now.Sub(a.silentSince.get()))
}

// prefillTime returns the prefill time of one prompt token.
func (a *upstreamState) prefillTime() time.Duration {
	if known := a.prefill.Load(); known > 0 {
		return time.Duration(known)
	}
	return defaultPrefill
}

// updateMean moves the stored exponential moving average towards a sample.
func updateMean(mean *atomic.Int64, sample time.Duration, gain float64) {
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
