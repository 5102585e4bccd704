package routing

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// DefaultSubset is the number of upstreams of one service that one entry uses.
	DefaultSubset = 16
	// DefaultOvercommit is the number of requests that an upstream may hold beyond its capacity.
	DefaultOvercommit = 2
	// stepPick is the step that errors of this package name.
	stepPick = "pick"
	// roomRetry is the retry advice when all upstreams are full.
	roomRetry = 500 * time.Millisecond
	// absentRetry is the retry advice when no upstream of the service is open.
	absentRetry = 2 * time.Second
)

type (
	// Settings are the settings of a picker.
	Settings struct {
		// Entry is the name of the entry; it selects the subset.
		Entry string
		// FailureDomain is the failure domain of the entry.
		FailureDomain string
		// Seed starts the sequence by which equal candidates are told apart.
		Seed uint64
		// Subset is the number of upstreams of one service that the entry uses; zero stands for DefaultSubset.
		Subset int
		// Overcommit is the number of requests beyond its capacity that an upstream may hold, so that it has work
		// while the news of a free place is on its way; zero stands for DefaultOvercommit, less for none.
		Overcommit int
		// IgnorePrefixes turns the use of prefix views off.
		IgnorePrefixes bool
		// IgnoreUnseen turns off the allowance for what other entries have sent since their last report.
		IgnoreUnseen bool
		// OnRoom is called when a place at an upstream came free; it may be nil. It must not block, nor call a
		// fairness.Gate on the same goroutine, for it may be called from within the gate.
		OnRoom func()
	}

	// Picker chooses upstreams for the traffic of one entry. All methods may be called from any goroutine.
	Picker struct {
		settings Settings
		plan     atomic.Pointer[plan]
		sequence atomic.Uint64
		mutex    sync.Mutex
	}
)

// NewPicker returns a picker without upstreams.
func NewPicker(s Settings) *Picker {
	if s.Subset <= 0 {
		s.Subset = DefaultSubset
	}
	if s.Overcommit == 0 {
		s.Overcommit = DefaultOvercommit
	}
	s.Overcommit = max(s.Overcommit, 0)
	if s.OnRoom == nil {
		s.OnRoom = func() {}
	}
	p := &Picker{settings: s}
	p.plan.Store(&plan{})
	return p
}

// Use replaces the table. What is known of an upstream is kept while its epoch stays the same.
func (p *Picker) Use(t Table) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.plan.Store(newPlan(t, p.plan.Load(), p.settings))
	p.settings.OnRoom()
}

// Table returns the table in use.
func (p *Picker) Table() Table { return p.plan.Load().table }

// Observe takes a load report of an upstream that was sampled at the given time. Reports of another epoch and
// reports out of order are dropped.
func (p *Picker) Observe(sampled time.Time, name string, epoch uint64, load *wire.Load) {
	c, ok := p.plan.Load().byName[name]
	if !ok || load == nil || c.upstream.Epoch != epoch {
		return
	}
	c.account.observe(sampled, load)
	p.settings.OnRoom()
}

// ObservePrefix takes an event of an upstream's prefix cache.
func (p *Picker) ObservePrefix(e PrefixEvent) {
	c, ok := p.plan.Load().byName[e.Upstream]
	if !ok || c.upstream.Epoch != e.Epoch {
		return
	}
	c.account.cache.apply(e)
}

// HasRoom reports whether an upstream of the service has a free place, as far as is known.
func (p *Picker) HasRoom(now time.Time, service string) bool {
	l, ok := p.plan.Load().services[service]
	if !ok {
		return false
	}
	for _, c := range l.subset {
		places := c.account.capacity.Load() + int64(p.settings.Overcommit)
		if c.isOpen(now) && !c.account.isFull(now) && c.running() < places {
			return true
		}
	}
	return false
}

// Latest returns the latest time to start a request: its deadline less the expected time of its answer at the upstream
// that would answer first. At least half of the time left may be spent waiting, for the expectation is of a mean. The
// zero time never comes.
func (p *Picker) Latest(now time.Time, r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	latest := r.Deadline.Add(-p.expected(now, r))
	if half := now.Add(r.Deadline.Sub(now) / 2); latest.Before(half) {
		return half
	}
	return latest
}

// expected predicts the time from the dispatch of a request to the end of its answer; zero when nothing is known.
func (p *Picker) expected(now time.Time, r Request) time.Duration {
	l, ok := p.plan.Load().services[r.Service]
	if !ok {
		return 0
	}
	shortest := time.Duration(0)
	for _, c := range l.subset {
		if !c.isOpen(now) {
			continue
		}
		if e := c.estimate(now, l, r, p.settings); shortest == 0 || e.total < shortest {
			shortest = e.total
		}
	}
	return shortest
}

// Pick chooses the upstream and rank of one attempt and counts it there at once. The error is always NotRun:
// reason "no-lease" when the table is too old to act on, "no-upstream" when nothing that serves the request is
// open, "no-room" when all are full, and "too-late" when no answer can come before the deadline.
func (p *Picker) Pick(now time.Time, r Request) (Choice, *outcome.Error) {
	current := p.plan.Load()
	if until := current.table.until; !until.IsZero() && !now.Before(until) {
		return Choice{}, refusal("no-lease", "the view of the upstreams is too old", absentRetry)
	}
	l, ok := current.services[r.Service]
	if !ok {
		return Choice{}, refusal("no-upstream", "no upstream offers "+r.Service, absentRetry)
	}
	if r.Alone {
		return p.pickAlone(now, l, r)
	}
	chosen, open := p.best(now, current.table.entries, l, r)
	if chosen.candidate == nil && !open {
		chosen = l.leastClosed(now, r, p.settings)
	}
	best, e := chosen.candidate, chosen.estimate
	switch {
	case best == nil && open:
		return Choice{}, refusal("no-room", "all upstreams are full", roomRetry)
	case best == nil:
		return Choice{}, refusal("no-upstream", "no upstream of "+r.Service+" is open", absentRetry)
	case !r.Deadline.IsZero() && now.Add(e.wait).After(r.Deadline):
		return Choice{}, refusal("too-late", "the first token would come after the deadline", max(e.wait, roomRetry))
	}
	return p.dispatch(now, l, best, e, r), nil
}

// leastClosed returns the upstream whose closing by failures ends first, or none. When failures have closed all
// upstreams of a service, one of them is a better answer than a refusal.
func (l *pool) leastClosed(now time.Time, r Request, settings Settings) scored {
	var first *candidate
	for _, c := range l.subset {
		if !c.isServing(now) || r.isExcluded(c.upstream.Name) {
			continue
		}
		if first == nil || c.account.closed.get().Before(first.account.closed.get()) {
			first = c
		}
	}
	if first == nil {
		return scored{}
	}
	return scored{candidate: first, estimate: first.estimate(now, l, r, settings)}
}

// pickAlone chooses the open upstream that comes first on the ring from the key on, whether it has room or not.
func (p *Picker) pickAlone(now time.Time, l *pool, r Request) (Choice, *outcome.Error) {
	first := l.find(r.aloneKey())
	for n := range l.ring {
		c := l.ring[(first+n)%len(l.ring)].candidate
		if c.isOpen(now) && !r.isExcluded(c.upstream.Name) {
			return p.dispatch(now, l, c, c.estimate(now, l, r, p.settings), r), nil
		}
	}
	return Choice{}, refusal("no-upstream", "no upstream of "+r.Service+" is open", absentRetry)
}

// best returns the choice among the open candidates that may take the request; open tells whether any is open at all.
func (p *Picker) best(now time.Time, entries int, l *pool, r Request) (chosen scored, open bool) {
	var space, fullSpace [DefaultSubset + 2]scored
	found, full := space[:0], fullSpace[:0]
	shared := p.newShare(now, entries, l)
	consider := func(c *candidate) {
		if !c.isOpen(now) || r.isExcluded(c.upstream.Name) {
			return
		}
		open = true
		e := c.estimate(now, l, r, p.settings)
		if r.Admitted || e.room+int64(p.settings.Overcommit) > 0 {
			found = append(found, scored{candidate: c, estimate: e})
			return
		}
		if !c.account.isFull(now) {
			full = append(full, scored{candidate: c, estimate: e})
		}
	}
	draw := mix(p.settings.Seed ^ p.sequence.Add(1))
	for n := range l.subset {
		c := l.subset[(uint64(n)+draw)%uint64(len(l.subset))]
		if c.isOpen(now) {
			shared.add(c.account, p.settings.Overcommit)
		}
		consider(c)
	}
	if len(l.ring) > len(l.subset) {
		l.considerBeyond(consider, r, draw, open)
	}
	switch {
	case len(found) > 0 && (r.Admitted || shared.isOwed() || shared.mayTakeFree()):
		return choose(found, draw), open
	case len(found) == 0 && shared.isOwed():
		return choose(full, draw), open
	default:
		return scored{}, open
	}
}

func (p *Picker) dispatch(now time.Time, l *pool, c *candidate, e estimate, r Request) Choice {
	uncached := int64(r.PromptTokens - e.cached)
	w := work{tokens: int64(r.PromptTokens + r.OutputTokens), pending: uncached}
	w.rank = c.account.pickRank(w.tokens)
	c.account.begin(now, w)
	c.account.cache.store(r.PrefixHashes)
	attempt := &Attempt{account: c.account, output: l.output, work: w, dispatched: now, uncached: uncached, settle: p.settings.OnRoom}
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
