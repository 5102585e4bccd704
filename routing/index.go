package routing

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// index.go prepares a table for fast decisions: for each service, the subset that this entry uses and a hash ring of
// all upstreams.

type (
	// index is a table prepared for decisions.
	index struct {
		table    Table
		services map[string]*pool
		byName   map[string]*candidate
	}

	// pool holds the candidates of one service: the subset that this entry uses, and all of them on a hash ring.
	pool struct {
		subset     []*candidate
		ring       []ringPoint
		meanOutput *atomic.Int64 // mean length of an answer, in tokens; 0 when unknown
	}

	// ringPoint is the place of one candidate on the hash ring.
	ringPoint struct {
		hash      uint64
		candidate *candidate
	}

	// candidate is an upstream with its state. It is remote when it runs in another failure domain than the entry.
	candidate struct {
		upstream   Upstream
		state      *upstreamState
		isRemote   bool
		slowFactor float64
	}
)

// newIndex returns the index of a table. It keeps the upstream states of the old index, and reuses all of it when
// only the lease differs.
func newIndex(t Table, old *index, s Settings) *index {
	if old.table.equalExceptLease(t) {
		return &index{table: t, services: old.services, byName: old.byName}
	}
	next := &index{table: t, services: map[string]*pool{}, byName: make(map[string]*candidate, t.Len())}
	offers := map[string][]string{}
	for _, u := range t.Upstreams() {
		next.byName[u.Name] = newCandidate(old, u, s)
		for _, service := range u.Services {
			offers[service] = append(offers[service], u.Name)
		}
	}
	for service, names := range offers {
		next.services[service] = next.newPool(old, service, names, s)
	}
	return next
}

func newCandidate(old *index, u Upstream, s Settings) *candidate {
	c := &candidate{upstream: u, slowFactor: max(u.SlowFactor, 1), isRemote: u.FailureDomain != s.FailureDomain}
	if known, ok := old.byName[u.Name]; ok && known.upstream.Epoch == u.Epoch && known.upstream.Ranks == u.Ranks {
		c.state = known.state
		return c
	}
	c.state = newUpstreamState(u)
	if u.Load != nil {
		c.state.observe(time.Time{}, u.Load)
	}
	return c
}

func (p *index) newPool(old *index, service string, names []string, s Settings) *pool {
	l := &pool{meanOutput: &atomic.Int64{}}
	if known, ok := old.services[service]; ok {
		l.meanOutput = known.meanOutput
	}
	for _, name := range Subset(s.Entry+"/"+service, names, s.Subset) {
		l.subset = append(l.subset, p.byName[name])
	}
	for _, name := range names {
		l.ring = append(l.ring, ringPoint{hash: pairHash(service, name), candidate: p.byName[name]})
	}
	slices.SortFunc(l.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return l
}

// considerOutsideSubset adds the home upstreams of the prompt. When the whole subset is unavailable, it also adds
// random upstreams of the service.
func (l *pool) considerOutsideSubset(consider func(*candidate), r Request, draw uint64, open bool) {
	for _, c := range l.homeUpstreams(r.PrefixHashes) {
		consider(c)
	}
	for n := uint64(0); !open && n < uint64(len(l.subset)); n++ {
		consider(l.ring[mix(draw+n)%uint64(len(l.ring))].candidate)
	}
}

// homeUpstreams returns the two upstreams that every entry considers for the first block of a prompt, whatever its
// subset. When a service has more upstreams than a subset, this lets entries share the prefix caches.
func (l *pool) homeUpstreams(hashes []uint64) []*candidate {
	if len(hashes) == 0 {
		return nil
	}
	n := l.find(hashes[0])
	return []*candidate{l.ring[n].candidate, l.ring[(n+1)%len(l.ring)].candidate}
}

// find returns the position of a key on the ring.
func (l *pool) find(key uint64) int {
	n, _ := slices.BinarySearchFunc(l.ring, mix(key), func(p ringPoint, hash uint64) int {
		return cmp.Compare(p.hash, hash)
	})
	return n % len(l.ring)
}

// isServing reports whether the upstream accepts work, according to control and to the upstream itself.
func (c *candidate) isServing(now time.Time) bool {
	return c.isStaying(now) && !now.Before(c.state.backoffUntil.get())
}

// isStaying reports whether the upstream accepts work or will do so after a backoff.
func (c *candidate) isStaying(now time.Time) bool {
	return c.upstream.AcceptsWork(now) && !c.state.draining.Load()
}

// backoffLeft returns the time until the first backoff of an upstream of the service ends, if all that stay are in one.
func (l *pool) backoffLeft(now time.Time) (wait time.Duration, isBackingOff bool) {
	for _, point := range l.ring {
		c := point.candidate
		if !c.isStaying(now) {
			continue
		}
		left := c.state.backoffUntil.get().Sub(now)
		if left <= 0 {
			return 0, false
		}
		if !isBackingOff || left < wait {
			wait, isBackingOff = left, true
		}
	}
	return wait, isBackingOff
}

// isAvailable reports whether the upstream is serving and not excluded because of failures.
func (c *candidate) isAvailable(now time.Time) bool {
	return c.isServing(now) && !now.Before(c.state.trippedUntil.get())
}

// running returns the own requests in flight and the reported ones of other entries.
func (c *candidate) running() int64 { return c.state.running.Load() + c.state.others.Load() }
