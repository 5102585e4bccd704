package routing

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// DefaultSubset is the default number of upstreams of one service that an entry uses.
	DefaultSubset = 16
	// DefaultOvercommit is the default number of requests that an upstream may hold beyond its capacity.
	DefaultOvercommit = 2
	// stepPick is the Step of errors from this package.
	stepPick = "pick"
	// fullRetryAfter is the retry advice when all upstreams are full.
	fullRetryAfter = 500 * time.Millisecond
	// unavailableRetryAfter is the retry advice when no upstream of the service is available or the table is too old.
	unavailableRetryAfter = 2 * time.Second
)

type (
	// Settings configures a Picker.
	Settings struct {
		// Entry is the name of the entry; it selects the subset of upstreams.
		Entry string
		// FailureDomain is the failure domain of the entry.
		FailureDomain string
		// Seed starts the pseudo-random sequence that breaks ties and spreads choices.
		Seed uint64
		// Subset is the number of upstreams of one service that the entry uses; zero stands for DefaultSubset.
		Subset int
		// Overcommit is the number of requests beyond its capacity that an upstream may hold, so that it has work
		// until the report of a free slot reaches the entries. Zero stands for DefaultOvercommit, a negative value
		// for none.
		Overcommit int
		// IgnorePrefixes makes estimates ignore the prefix caches.
		IgnorePrefixes bool
		// IgnoreUnreported disables the allowance for requests that other entries have sent since the last reports.
		IgnoreUnreported bool
		// OnCapacityFreed is called when an upstream may have a free slot; it may be nil. It must not block, and it
		// must not call a fairness.Gate on the same goroutine, because the gate may be the caller.
		OnCapacityFreed func()
	}

	// Picker chooses upstreams for the traffic of one entry. All methods are safe for concurrent use.
	Picker struct {
		settings Settings
		index    atomic.Pointer[index]
		sequence atomic.Uint64
		mutex    sync.Mutex
	}
)

// NewPicker returns a picker without upstreams. Call Use before the first Pick.
func NewPicker(s Settings) *Picker {
	if s.Subset <= 0 {
		s.Subset = DefaultSubset
	}
	if s.Overcommit == 0 {
		s.Overcommit = DefaultOvercommit
	}
	s.Overcommit = max(s.Overcommit, 0)
	if s.OnCapacityFreed == nil {
		s.OnCapacityFreed = func() {}
	}
	p := &Picker{settings: s}
	p.index.Store(&index{})
	return p
}

// Use replaces the table. The state of an upstream is kept while its epoch and its number of ranks stay the same.
func (p *Picker) Use(t Table) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.index.Store(newIndex(t, p.index.Load(), p.settings))
	p.settings.OnCapacityFreed()
}

// Table returns the table in use.
func (p *Picker) Table() Table { return p.index.Load().table }

// Observe applies a load report of an upstream that was sampled at the given time. Reports of another epoch and
// reports out of order are dropped.
func (p *Picker) Observe(sampled time.Time, name string, epoch uint64, load *wire.Load) {
	c, ok := p.index.Load().byName[name]
	if !ok || load == nil || c.upstream.Epoch != epoch {
		return
	}
	c.state.observe(sampled, load)
	p.settings.OnCapacityFreed()
}

// ObservePrefix applies an event of an upstream's prefix cache. Events of another epoch are dropped.
func (p *Picker) ObservePrefix(e PrefixEvent) {
	c, ok := p.index.Load().byName[e.Upstream]
	if !ok || c.upstream.Epoch != e.Epoch {
		return
	}
	c.state.cache.apply(e)
}

// HasRoom reports whether an available upstream in the entry's subset for the service has a free slot, by the latest
// known load. The slots include the overcommit.
func (p *Picker) HasRoom(now time.Time, service string) bool {
	l, ok := p.index.Load().services[service]
	if !ok {
		return false
	}
	for _, c := range l.subset {
		slots := c.state.capacity.Load() + int64(p.settings.Overcommit)
		if c.isAvailable(now) && !c.state.isFull(now) && c.running() < slots {
			return true
		}
	}
	return false
}

// LatestStart returns the latest time to start a request: its deadline less the expected time of its answer at the
// upstream that would answer first. The expected time is a mean, so at least half of the time left may be spent
// waiting. LatestStart is the zero time for a request without a deadline.
func (p *Picker) LatestStart(now time.Time, r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	latest := r.Deadline.Add(-p.expectedTime(now, r))
	if half := now.Add(r.Deadline.Sub(now) / 2); latest.Before(half) {
		return half
	}
	return latest
}

// expectedTime predicts the time from the dispatch of a request to the end of its answer. It is zero when no upstream
// of the service is available.
func (p *Picker) expectedTime(now time.Time, r Request) time.Duration {
	l, ok := p.index.Load().services[r.Service]
	if !ok {
		return 0
	}
	shortest := time.Duration(0)
	for _, c := range l.subset {
		if !c.isAvailable(now) {
			continue
		}
		if e := c.estimate(now, l, r, p.settings); shortest == 0 || e.total < shortest {
			shortest = e.total
		}
	}
	return shortest
}

// Pick chooses the upstream and rank of one attempt and counts the attempt there at once. The Outcome of an error is
// always NotRun. Its Reason is "no-lease" when the lease on the table has expired, "backoff" when all upstreams of the
// service have asked for it, "no-upstream" when no upstream of the service is available, "no-room" when all are full or the
// entry's share of them is used up, and "too-late" when the first token would come after the deadline.
func (p *Picker) Pick(now time.Time, r Request) (Choice, *outcome.Error) {
	current := p.index.Load()
	if until := current.table.leaseUntil; !until.IsZero() && !now.Before(until) {
		return Choice{}, refusal("no-lease", "the view of the upstreams is too old", unavailableRetryAfter)
	}
	l, ok := current.services[r.Service]
	if !ok {
		return Choice{}, refusal("no-upstream", "no upstream offers "+r.Service, unavailableRetryAfter)
	}
	if r.Alone {
		return p.pickAlone(now, l, r)
	}
	chosen, open := p.best(now, current.table.entries, l, r)
	if chosen.candidate == nil && !open {
		chosen = l.firstToRecover(now, r, p.settings)
	}
	best, e := chosen.candidate, chosen.estimate
	if best == nil {
		if wait, isBackingOff := l.backoffLeft(now); isBackingOff {
			return Choice{}, p.backoffRefusal(r.Service, wait)
		}
	}
	switch {
	case best == nil && open:
		return Choice{}, refusal("no-room", "all upstreams are full", fullRetryAfter)
	case best == nil:
		return Choice{}, refusal("no-upstream", "no upstream of "+r.Service+" is open", unavailableRetryAfter)
	case !r.Deadline.IsZero() && now.Add(e.wait).After(r.Deadline):
		return Choice{}, refusal("too-late", "the first token would come after the deadline", max(e.wait, fullRetryAfter))
	}
	return p.dispatch(now, l, best, e, r), nil
}

// backoffRefusal returns the refusal of a request whose upstreams are all in a backoff. Callers return spread over the ramp
// after the first one that ends.
func (p *Picker) backoffRefusal(service string, wait time.Duration) *outcome.Error {
	spread := unitInterval(mix(p.settings.Seed ^ p.sequence.Add(1)))
	wait += time.Duration(spread * float64(availability.RampTime))
	return refusal("backoff", "all upstreams of "+service+" have asked for backoff", wait)
}

// firstToRecover returns the upstream whose exclusion by failures ends first, or the zero value when there is none.
// When failures have excluded all upstreams of a service, trying one of them is better than refusing the request.
func (l *pool) firstToRecover(now time.Time, r Request, settings Settings) scored {
	var first *candidate
	for _, c := range l.subset {
		if !c.isServing(now) || r.isExcluded(c.upstream.Name) {
			continue
		}
		if first == nil || c.state.trippedUntil.get().Before(first.state.trippedUntil.get()) {
			first = c
		}
	}
	if first == nil {
		return scored{}
	}
	return scored{candidate: first, estimate: first.estimate(now, l, r, settings)}
}

// pickAlone chooses the first available upstream on the hash ring from the request's key on, whether it is full or
// not.
func (p *Picker) pickAlone(now time.Time, l *pool, r Request) (Choice, *outcome.Error) {
	first := l.find(r.aloneKey())
	for n := range l.ring {
		c := l.ring[(first+n)%len(l.ring)].candidate
		if c.isAvailable(now) && !r.isExcluded(c.upstream.Name) {
			return p.dispatch(now, l, c, c.estimate(now, l, r, p.settings), r), nil
		}
	}
	return Choice{}, refusal("no-upstream", "no upstream of "+r.Service+" is open", unavailableRetryAfter)
}

// best chooses among the available candidates that may take the request. The result open is true when any candidate
// is available, even if none may take the request.
func (p *Picker) best(now time.Time, entries int, l *pool, r Request) (chosen scored, open bool) {
	var space, fullSpace [DefaultSubset + 2]scored
	found, full := space[:0], fullSpace[:0]
	shared := p.newShare(now, entries, l)
	consider := func(c *candidate) {
		if !c.isAvailable(now) || r.isExcluded(c.upstream.Name) {
			return
		}
		open = true
		e := c.estimate(now, l, r, p.settings)
		if r.Admitted || e.freeSlots+int64(p.settings.Overcommit) > 0 {
			found = append(found, scored{candidate: c, estimate: e})
			return
		}
		if !c.state.isFull(now) {
			full = append(full, scored{candidate: c, estimate: e})
		}
	}
	draw := mix(p.settings.Seed ^ p.sequence.Add(1))
	for n := range l.subset {
		c := l.subset[(uint64(n)+draw)%uint64(len(l.subset))]
		if c.isAvailable(now) {
			shared.add(c.state, p.settings.Overcommit)
		}
		consider(c)
	}
	if len(l.ring) > len(l.subset) {
		l.considerOutsideSubset(consider, r, draw, open)
	}
	switch {
	case len(found) > 0 && (r.Admitted || shared.isBelowEqualShare() || shared.mayUseFreeSlots()):
		return choose(found, draw), open
	case len(found) == 0 && shared.isBelowEqualShare():
		return choose(full, draw), open
	default:
		return scored{}, open
	}
}

// dispatch counts the attempt at its upstream and returns the choice.
func (p *Picker) dispatch(now time.Time, l *pool, c *candidate, e estimate, r Request) Choice {
	uncached := int64(r.PromptTokens - e.cached)
	w := work{tokens: int64(r.PromptTokens + r.OutputTokens), pending: uncached}
	w.rank = c.state.pickRank(w.tokens)
	c.state.begin(now, w)
	c.state.cache.store(r.PrefixHashes)
	attempt := &Attempt{
		state: c.state, meanOutput: l.meanOutput, work: w, dispatched: now, uncached: uncached,
		onEnd: p.settings.OnCapacityFreed,
	}
	return Choice{
		Upstream: c.upstream, Rank: w.rank, Wait: e.wait, Total: e.total, CachedTokens: e.cached, Attempt: attempt,
	}
}

func refusal(reason, detail string, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: stepPick, Outcome: outcome.NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter,
		Status: http.StatusServiceUnavailable,
	}
}
