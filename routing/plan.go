package routing

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// plan.go makes a table ready for decisions: for each service the subset of this entry and the ring of all.

type (
	// plan is a table made ready for decisions.
	plan struct {
		table    Table
		services map[string]*pool
		byName   map[string]*candidate
	}

	// pool holds the candidates of one service: the subset of this entry, and all in the order of a hash ring.
	pool struct {
		subset []*candidate
		ring   []point
		output *atomic.Int64 // mean length of an answer, in tokens; 0 when unknown
	}

	point struct {
		hash      uint64
		candidate *candidate
	}

	candidate struct {
		upstream Upstream
		account  *account
		far      bool
		slow     float64
	}
)

// newPlan returns the plan of a table. It keeps the accounts of the old plan, and all of it when only the lease differs.
func newPlan(t Table, old *plan, s Settings) *plan {
	if old.table.isSameButLease(t) {
		return &plan{table: t, services: old.services, byName: old.byName}
	}
	next := &plan{table: t, services: map[string]*pool{}, byName: make(map[string]*candidate, t.Len())}
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

func newCandidate(old *plan, u Upstream, s Settings) *candidate {
	c := &candidate{upstream: u, slow: max(u.SlowFactor, 1), far: u.FailureDomain != s.FailureDomain}
	if known, ok := old.byName[u.Name]; ok && known.upstream.Epoch == u.Epoch && known.upstream.Ranks == u.Ranks {
		c.account = known.account
		return c
	}
	c.account = newAccount(u)
	if u.Load != nil {
		c.account.observe(time.Time{}, u.Load)
	}
	return c
}

func (p *plan) newPool(old *plan, service string, names []string, s Settings) *pool {
	l := &pool{output: &atomic.Int64{}}
	if known, ok := old.services[service]; ok {
		l.output = known.output
	}
	for _, name := range Subset(s.Entry+"/"+service, names, s.Subset) {
		l.subset = append(l.subset, p.byName[name])
	}
	for _, name := range names {
		l.ring = append(l.ring, point{hash: pairHash(service, name), candidate: p.byName[name]})
	}
	slices.SortFunc(l.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return l
}

// considerBeyond adds the prompt's home upstreams, and when all of the subset are closed, others at random.
func (l *pool) considerBeyond(consider func(*candidate), r Request, draw uint64, open bool) {
	for _, c := range l.homes(r.PrefixHashes) {
		consider(c)
	}
	for n := uint64(0); !open && n < uint64(len(l.subset)); n++ {
		consider(l.ring[mix(draw+n)%uint64(len(l.ring))].candidate)
	}
}

// homes returns the upstreams at which all entries look for the prompt's first block, in a table larger than
// their subsets.
func (l *pool) homes(hashes []uint64) []*candidate {
	if len(hashes) == 0 {
		return nil
	}
	n := l.find(hashes[0])
	return []*candidate{l.ring[n].candidate, l.ring[(n+1)%len(l.ring)].candidate}
}

// find returns the place of a key on the ring.
func (l *pool) find(key uint64) int {
	n, _ := slices.BinarySearchFunc(l.ring, mix(key), func(p point, hash uint64) int { return cmp.Compare(p.hash, hash) })
	return n % len(l.ring)
}

// isServing reports whether the upstream takes new work as far as it and control have told.
func (c *candidate) isServing(now time.Time) bool {
	return c.upstream.AcceptsWork(now) && !c.account.draining.Load()
}

func (c *candidate) isOpen(now time.Time) bool {
	return c.isServing(now) && !now.Before(c.account.closed.get())
}

func (c *candidate) running() int64 { return c.account.running.Load() + c.account.others.Load() }
