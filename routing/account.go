package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// changeLimit is the number of latest changes of its own work that an account remembers.
	changeLimit = 128
	// stepGain is the weight of a new sample in the mean time of a decode step.
	stepGain = 0.05
	// stayGain is the weight of a new sample in the mean time of an attempt.
	stayGain = 0.05
	// outputGain is the weight of a new sample in the mean length of an answer.
	outputGain = 0.02
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
		pending  atomic.Int64 // own prompt tokens whose first token has not come
		waiting  atomic.Int64 // own requests whose first token has not come
		ownThen  atomic.Int64 // own requests in flight when the last report was sampled
		others   atomic.Int64 // requests of other entries, as of the last report
		step     atomic.Int64 // mean decode step as own answers show it, in nanoseconds; 0 when unknown
		reported atomic.Int64 // mean decode step of the last report, in nanoseconds; 0 when unknown
		prefill  atomic.Int64 // prefill time of a token, in nanoseconds; 0 when unknown
		capacity atomic.Int64
		failures atomic.Int64 // failures in a row
		stay     atomic.Int64 // mean time of an own attempt, in nanoseconds; 0 when unknown
		sampled  instant      // time of the last report's sample
		full     instant      // time of the last refusal for want of room
		quiet    instant      // time of the last first token, or from which requests wait for one
		alive    instant      // time at which anything last came
		closed   instant      // time until which failures keep the upstream closed
		draining atomic.Bool  // the upstream said that it takes no new work
		ranks    atomic.Pointer[rankView]
		rankWork []atomic.Int64 // own tokens in flight on each rank
		cache    *prefixCache

		mutex    sync.Mutex
		sequence uint64
		changes  [changeLimit]change
		next     int
	}

	// change is a change of the own work in flight.
	change struct {
		at       time.Time
		requests int64
		tokens   int64
		rank     int
	}

	// instant is a time that goroutines share; it starts as the zero time.
	instant struct{ value atomic.Pointer[time.Time] }
)

func (i *instant) set(t time.Time) { i.value.Store(&t) }

func (i *instant) get() time.Time {
	if t := i.value.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

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
	a.pending.Add(w.pending)
	if a.waiting.Add(1) == 1 {
		a.quiet.set(now)
	}
	a.add(change{at: now, requests: 1, tokens: w.tokens, rank: w.rank})
}

// end takes back what begin counted.
func (a *account) end(now time.Time, w work) {
	a.add(change{at: now, requests: -1, tokens: -w.tokens, rank: w.rank})
}

func (a *account) add(c change) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.running.Add(c.requests)
	if c.rank >= 0 && c.rank < len(a.rankWork) {
		a.rankWork[c.rank].Add(c.tokens)
	}
	a.changes[a.next] = c
	a.next = (a.next + 1) % changeLimit
}

// workAt returns the own requests, and the own tokens on each rank, that were in flight at an earlier time. The
// caller holds the mutex.
func (a *account) workAt(at time.Time) (requests int64, tokens []int64) {
	requests = a.running.Load()
	tokens = make([]int64, len(a.rankWork))
	for n := range a.rankWork {
		tokens[n] = a.rankWork[n].Load()
	}
	for n := 1; n <= changeLimit; n++ {
		c := a.changes[(a.next+changeLimit-n)%changeLimit]
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

// observe takes a load report that was sampled at the given time. Reports out of order are dropped.
func (a *account) observe(sampled time.Time, load *wire.Load) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if load.Sequence != 0 && load.Sequence <= a.sequence {
		return
	}
	a.sequence = load.Sequence
	a.sampled.set(sampled)
	total := int64(load.Running) + int64(load.Queued)
	own, ownTokens := a.workAt(sampled)
	a.ownThen.Store(own)
	a.others.Store(max(0, total-own))
	if load.Capacity > 0 {
		a.capacity.Store(int64(load.Capacity))
	}
	if load.StepUs > 0 {
		a.reported.Store(load.StepUs * int64(time.Microsecond))
	}
	if len(load.Ranks) > 0 {
		a.ranks.Store(newRankView(load.Ranks, ownTokens))
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
	if a.others.Load() == 0 {
		return 0
	}
	stay := a.stay.Load()
	if stay == 0 {
		stay = int64(a.stepTime() * typicalOutput)
	}
	return min(1, max(0, float64(now.Sub(a.sampled.get()))/float64(stay)))
}

// isFull reports whether the upstream refused a request for want of room and nothing newer is known.
func (a *account) isFull(now time.Time) bool {
	full := a.full.get()
	return now.Sub(full) < fullFor && a.sampled.get().Before(full)
}

// silence returns for how long requests have waited in vain for a first token.
func (a *account) silence(now time.Time) time.Duration {
	if a.waiting.Load() == 0 {
		return 0
	}
	return max(0, now.Sub(a.quiet.get()))
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
