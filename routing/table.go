// Package routing chooses the upstream and the rank that run a request.
//
// The control thread of an entry builds a Table, an immutable snapshot of the upstreams, and hands it to a
// Picker. Traffic goroutines ask the Picker for a Choice per attempt and report on the attempt as it goes on.
// Load reports may be seconds old; the picker's own dispatches count at once.
package routing

import (
	"maps"
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// DefaultCapacity is the number of requests that an upstream of unknown capacity runs at once.
const DefaultCapacity = 8

type (
	// Upstream is one upstream as the entry knows it. Values are immutable; Services must not be changed.
	Upstream struct {
		// Name identifies the upstream.
		Name string
		// Address is the address of its sidecar.
		Address string
		// FailureDomain is the failure domain in which it runs.
		FailureDomain string
		// Group is the model group that it serves, empty for a plain service.
		Group string
		// Services are the services and models that it offers.
		Services []string
		// Capacity is the number of requests that it runs at once; zero stands for DefaultCapacity.
		Capacity int
		// Ranks is the number of ranks of its group; zero when the engine places requests itself.
		Ranks int
		// Epoch is the admission epoch of its sidecar.
		Epoch uint64
		// Draining is true when it takes no new work.
		Draining bool
		// SlowFactor is the time of its step relative to its peers, as control sees it; zero stands for 1.
		SlowFactor float64
		// Expires is the end of its membership lease; the zero time never comes.
		Expires time.Time
		// Load is the last load that came with the membership; nil when there is none.
		Load *wire.Load
	}

	// Table is an immutable snapshot of the upstreams. The zero value is empty and always valid.
	Table struct {
		upstreams map[string]Upstream
		version   *version // one for each content of upstreams
		until     time.Time
		entries   int
	}

	// version is told from others by its address; its field gives it one.
	version struct{ _ byte }
)

// UpstreamOf returns the upstream that a member announces.
func UpstreamOf(m *wire.Member) Upstream {
	u := Upstream{
		Name: m.GetName(), Address: m.GetAddress(), FailureDomain: m.GetFailureDomain(), Group: m.GetGroup(),
		Services: slices.Clone(m.GetServices()), Ranks: int(m.GetRanks()), Epoch: m.GetEpoch(),
		Draining: m.GetDraining(), Load: m.GetLoad(),
	}
	u.Capacity = int(m.GetLoad().GetCapacity())
	return u
}

// WithDraining returns a copy that is draining or not.
func (u Upstream) WithDraining(draining bool) Upstream {
	u.Draining = draining
	return u
}

// WithExpires returns a copy with another end of its lease.
func (u Upstream) WithExpires(expires time.Time) Upstream {
	u.Expires = expires
	return u
}

// WithSlowFactor returns a copy with another slow factor.
func (u Upstream) WithSlowFactor(factor float64) Upstream {
	u.SlowFactor = factor
	return u
}

// AcceptsWork reports whether the upstream takes new work at the given time.
func (u Upstream) AcceptsWork(now time.Time) bool {
	return !u.Draining && (u.Expires.IsZero() || now.Before(u.Expires))
}

// With returns a copy that holds the given upstreams, each in place of one of the same name.
func (t Table) With(upstreams ...Upstream) Table {
	next := Table{upstreams: make(map[string]Upstream, len(t.upstreams)+len(upstreams)), version: &version{}, until: t.until, entries: t.entries}
	maps.Copy(next.upstreams, t.upstreams)
	for _, u := range upstreams {
		next.upstreams[u.Name] = u
	}
	return next
}

// Without returns a copy that lacks the named upstreams.
func (t Table) Without(names ...string) Table {
	next := Table{upstreams: maps.Clone(t.upstreams), version: &version{}, until: t.until, entries: t.entries}
	for _, name := range names {
		delete(next.upstreams, name)
	}
	return next
}

// WithLease returns a copy on which a picker may act until the given time; the zero time never comes.
func (t Table) WithLease(until time.Time) Table {
	t.until = until
	return t
}

// WithEntries returns a copy for a picker that shares the upstreams with others: entries is the number of entries in
// all. Zero stands for an unknown number.
func (t Table) WithEntries(entries int) Table {
	t.entries = entries
	return t
}

// Lease returns the time until which a picker may act on the table; zero when there is no bound.
func (t Table) Lease() time.Time { return t.until }

// Upstream returns the named upstream and whether the table holds it.
func (t Table) Upstream(name string) (Upstream, bool) {
	u, ok := t.upstreams[name]
	return u, ok
}

// Upstreams returns all upstreams in the order of their names.
func (t Table) Upstreams() []Upstream {
	all := make([]Upstream, 0, len(t.upstreams))
	for _, name := range slices.Sorted(maps.Keys(t.upstreams)) {
		all = append(all, t.upstreams[name])
	}
	return all
}

// isSameButLease reports whether the other table differs in the lease at most.
func (t Table) isSameButLease(other Table) bool {
	return t.version != nil && t.version == other.version && t.entries == other.entries
}

// Len returns the number of upstreams.
func (t Table) Len() int { return len(t.upstreams) }
