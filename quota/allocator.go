// Package quota divides the rate limits that upstreams name, and the bounds for upstreams that may be cold, among the entries
// that send to them. An Allocator at the leader of control hears the limits from the entries and grants them requests, as many
// as all limits together allow. It does no I/O and reads no clock.
package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"guavahitch.example/guavahitch/availability"
)

const (
	// Lifetime is how long a granted request may be sent.
	Lifetime = time.Second
	// leaderlessPart is the part of a limit that all entries use together without a leader. An entry may then count too few
	// others, and what they send at once is left to chance.
	leaderlessPart = 0.7
	// demandLifetime is how long the demand of an entry counts after it was last heard.
	demandLifetime = time.Second
	// recordLifetime is how long a limit is kept after an entry last reported it.
	recordLifetime = 2 * time.Minute
)

type (
	// Limit is what one incarnation of an upstream said of its limit, and when.
	Limit struct {
		Upstream string
		Born     int64
		Service  string
		availability.RateLimit
		Heard time.Time
	}

	// Demand is the number of requests that an entry would send to the limited upstreams of a service. Cold is the number
	// that it would send beyond its shares of the cold bounds.
	Demand struct {
		Service  string
		Requests int
		Cold     int
	}

	// Grant is a number of requests that an entry may send to an upstream within Lifetime or, under a cold bound, within
	// ColdLifetime after it asked.
	Grant struct {
		Upstream string
		Born     int64
		Requests int
		IsCold   bool
		// Asked is when the entry asked, set by the entry.
		Asked time.Time
	}

	// Allocator grants requests to entries. It is safe for concurrent use.
	Allocator struct {
		mutex sync.Mutex
		term  uint64
		// leads is when this allocator began to grant in its term.
		leads   time.Time
		records map[string]*record
		demands map[demandKey]demand
		// cold holds what was granted under the cold bounds, coldPruned is when old records were last removed.
		cold       map[string]*coldRecord
		coldPruned time.Time
		// revision is incremented with each change of a limit.
		revision uint64
		// changed is closed and replaced at each change of a limit.
		changed chan struct{}
	}

	// record is a limit and the requests that can be granted under it.
	record struct {
		Limit
		bucket   availability.Bucket
		reported time.Time
		revision uint64
	}

	demandKey struct {
		service, entry string
		isCold         bool
	}

	// demand is the number of requests that an entry asked for last.
	demand struct {
		requests int
		asked    time.Time
	}
)

// LeaderlessShare returns the part of each limit that one of several entries may use without a leader.
func LeaderlessShare(entries int64) float64 {
	if entries <= 1 {
		return 1
	}
	return leaderlessPart / float64(entries)
}

// Wanted returns the number of requests to hold for a time in which this number is expected: enough for more of them than
// expected.
func Wanted(expected float64) int { return int(math.Ceil(expected + math.Sqrt(expected))) }

// NewAllocator returns an allocator that knows no limits.
func NewAllocator() *Allocator {
	return &Allocator{
		records: map[string]*record{}, demands: map[demandKey]demand{}, cold: map[string]*coldRecord{}, changed: make(chan struct{}),
	}
}

// Lead begins a term, unless it has begun. What was heard in an earlier term is forgotten.
func (a *Allocator) Lead(now time.Time, term uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if term == a.term {
		return
	}
	a.term, a.leads = term, now
	a.records, a.demands, a.cold = map[string]*record{}, map[demandKey]demand{}, map[string]*coldRecord{}
}

// Hear adds what an entry heard of the limits of upstreams. Of what is heard of one upstream the latest counts.
func (a *Allocator) Hear(now time.Time, limits []Limit) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	isChange := false
	for _, l := range limits {
		isChange = a.hear(now, l) || isChange
	}
	if isChange {
		close(a.changed)
		a.changed = make(chan struct{})
	}
	for id, r := range a.records {
		if now.Sub(r.reported) > recordLifetime {
			delete(a.records, id)
		}
	}
}

// hear adds one limit and reports whether it changes anything.
func (a *Allocator) hear(now time.Time, l Limit) bool {
	r := a.records[l.Upstream]
	if r != nil && r.Born > l.Born {
		return false
	}
	if r == nil || r.Born < l.Born {
		r = &record{Limit: Limit{Upstream: l.Upstream, Born: l.Born, Service: l.Service}, bucket: a.firstBucket(now, l)}
		a.records[l.Upstream] = r
	}
	r.reported = now
	if !l.Heard.After(r.Heard) {
		return false
	}
	r.bucket = r.bucket.WithRate(now, r.Rate())
	isChange := r.RateLimit != l.RateLimit
	r.Limit = l
	if isChange {
		a.revision++
		r.revision = a.revision
	}
	return isChange
}

// firstBucket returns the bucket of a limit that is new to this term. What an earlier leader may have granted is still used
// for Lifetime.
func (a *Allocator) firstBucket(now time.Time, l Limit) availability.Bucket {
	left := max(a.leads.Add(Lifetime).Sub(now), 0)
	return availability.NewBucket(now, 1-l.Rate()*left.Seconds())
}

// Limits returns the limits that have changed since a revision, the revision of now, and a channel that is closed at the next
// change.
func (a *Allocator) Limits(since uint64) (limits []Limit, revision uint64, changed <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, r := range a.records {
		if r.revision > since {
			limits = append(limits, r.Limit)
		}
	}
	return limits, a.revision, a.changed
}

// Grant returns what an entry may send to the upstreams of a service of the number of requests that it asks for. What there
// is goes to the entries by what they ask for.
func (a *Allocator) Grant(now time.Time, entry, service string, requests int) []Grant {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	limited, available := a.limited(now, service)
	share := a.share(now, demandKey{service: service, entry: entry}, requests)
	count := min(requests, int(math.Ceil(float64(available)*share)))
	granted := make([]int, len(limited))
	for ; count > 0; count-- {
		most := fullest(limited)
		limited[most].bucket = limited[most].bucket.Without(1)
		granted[most]++
	}
	var grants []Grant
	for n, r := range limited {
		if granted[n] > 0 {
			grants = append(grants, Grant{Upstream: r.Upstream, Born: r.Born, Requests: granted[n]})
		}
	}
	return grants
}

// limited returns the upstreams of a service that name a limit, by ID, and the requests that can be granted at them.
func (a *Allocator) limited(now time.Time, service string) (limited []*record, available int) {
	for _, r := range a.records {
		if r.Service != service || !r.IsNamed {
			continue
		}
		r.bucket = r.bucket.WithRate(now, r.Rate())
		available += r.bucket.Tokens()
		limited = append(limited, r)
	}
	slices.SortFunc(limited, func(r, s *record) int { return cmp.Compare(r.Upstream, s.Upstream) })
	return limited, available
}

// fullest returns the index of the upstream at which most requests can be granted.
func fullest(limited []*record) int {
	most := 0
	for n, r := range limited {
		if r.bucket.Tokens() > limited[most].bucket.Tokens() {
			most = n
		}
	}
	return most
}

// share records the demand of an entry and returns its share of the demand of all.
func (a *Allocator) share(now time.Time, key demandKey, requests int) float64 {
	a.demands[key] = demand{requests: requests, asked: now}
	total := 0
	for other, d := range a.demands {
		if now.Sub(d.asked) > demandLifetime {
			delete(a.demands, other)
			continue
		}
		if other.service == key.service && other.isCold == key.isCold {
			total += d.requests
		}
	}
	return float64(requests) / float64(max(total, 1))
}
