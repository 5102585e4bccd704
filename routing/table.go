// Package routing chooses the upstream and the rank that run a request.
//
// The control goroutine of an entry builds a Table, an immutable snapshot of the upstreams, and passes it to a
// Picker. Traffic goroutines call Pick for each attempt and record its progress on the Attempt in the Choice. Load
// reports may be seconds old; the picker counts the entry's own attempts at once.
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
	// Upstream describes one upstream to the picker. Values are immutable; the Services slice must not be changed.
	Upstream struct {
		// Name identifies the upstream.
		Name string
		// Address is the address of its sidecar.
		Address string
		// FailureDomain is the failure domain in which the upstream runs.
		FailureDomain string
		// Group is the model group that the upstream serves; empty for a plain service.
		Group string
		// Services are the services and models that the upstream offers.
		Services []string
		// Capacity is the number of requests that the upstream runs at once; zero stands for DefaultCapacity.
		Capacity int
		// Ranks is the number of ranks of the group; zero when the engine places requests itself.
		Ranks int
		// Epoch is the admission epoch of its sidecar.
		Epoch uint64
		// Draining is true when the upstream accepts no new work.
		Draining bool
		// SlowFactor is the ratio of the upstream's step time to that of its peers, as measured by control; zero
		// stands for 1.
		SlowFactor float64
		// Expires is the end of the membership lease; the zero time means that it does not expire.
		Expires time.Time
		// Load is the last load report that came with the membership; nil when there is none.
		Load *wire.Load
	}

	// Table is an immutable snapshot of the upstreams. The zero value is an empty table without a lease.
	Table struct {
		upstreams  map[string]Upstream
		version    *version // shared by tables with the same upstreams
		leaseUntil time.Time
		entries    int
	}

	// version is compared by address. Its field gives it a size, so that two versions have different addresses.
	version struct{ _ byte }
)

// UpstreamOf converts a member of control's view to an upstream.
func UpstreamOf(m *wire.Member) Upstream {
	u := Upstream{
		Name: m.GetName(), Address: m.GetAddress(), FailureDomain: m.GetFailureDomain(), Group: m.GetGroup(),
		Services: slices.Clone(m.GetServices()), Ranks: int(m.GetRanks()), Epoch: m.GetEpoch(),
		Draining: m.GetDraining(), Load: m.GetLoad(),
	}
	u.Capacity = int(m.GetLoad().GetCapacity())
	return u
}

// WithDraining returns a copy with Draining set to the given value.
func (u Upstream) WithDraining(draining bool) Upstream {
	u.Draining = draining
	return u
}

// WithExpires returns a copy with another end of the membership lease.
func (u Upstream) WithExpires(expires time.Time) Upstream {
	u.Expires = expires
	return u
}

// WithSlowFactor returns a copy with another slow factor.
func (u Upstream) WithSlowFactor(factor float64) Upstream {
	u.SlowFactor = factor
	return u
}

// AcceptsWork reports whether the upstream accepts new work at the given time: it is not draining and its membership
// lease has not expired.
func (u Upstream) AcceptsWork(now time.Time) bool {
	return !u.Draining && (u.Expires.IsZero() || now.Before(u.Expires))
}

// With returns a copy with the given upstreams added; each replaces an upstream of the same name.
func (t Table) With(upstreams ...Upstream) Table {
	next := Table{
		upstreams: make(map[string]Upstream, len(t.upstreams)+len(upstreams)), version: &version{},
		leaseUntil: t.leaseUntil, entries: t.entries,
	}
	maps.Copy(next.upstreams, t.upstreams)
	for _, u := range upstreams {
		next.upstreams[u.Name] = u
	}
	return next
}

// Without returns a copy without the named upstreams.
func (t Table) Without(names ...string) Table {
	next := Table{upstreams: maps.Clone(t.upstreams), version: &version{}, leaseUntil: t.leaseUntil, entries: t.entries}
	for _, name := range names {
		delete(next.upstreams, name)
	}
	return next
}

// WithLease returns a copy that a picker may use until the given time; the zero time means no limit.
func (t Table) WithLease(until time.Time) Table {
	t.leaseUntil = until
	return t
}

// WithEntries returns a copy for a picker that shares the upstreams with other entries. The argument is the total
// number of entries; zero stands for an unknown number.
func (t Table) WithEntries(entries int) Table {
	t.entries = entries
	return t
}

// Lease returns the time until which a picker may use the table; the zero time means no limit.
func (t Table) Lease() time.Time { return t.leaseUntil }

// Upstream returns the named upstream and whether the table holds it.
func (t Table) Upstream(name string) (Upstream, bool) {
	u, ok := t.upstreams[name]
	return u, ok
}

// Upstreams returns all upstreams, sorted by name.
func (t Table) Upstreams() []Upstream {
	all := make([]Upstream, 0, len(t.upstreams))
	for _, name := range slices.Sorted(maps.Keys(t.upstreams)) {
		all = append(all, t.upstreams[name])
	}
	return all
}

// equalExceptLease reports whether the other table has the same upstreams and number of entries. Only the lease may
// differ.
func (t Table) equalExceptLease(other Table) bool {
	return t.version != nil && t.version == other.version && t.entries == other.entries
}

// Len returns the number of upstreams.
func (t Table) Len() int { return len(t.upstreams) }
