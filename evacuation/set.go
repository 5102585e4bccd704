// Package evacuation holds the set of failure domains that operators have ordered to be evacuated: no new requests are
// sent to the upstreams of such a domain. The set has a revision, so that a process that receives it from several
// sources keeps the newest, and each order has a start, from which the load of the domain drains gradually. The package is
// pure: time is an argument.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

type (
	// Order is the order to evacuate one domain.
	Order struct {
		Domain string
		// Revision is the revision of the set that the order brought about. It distinguishes the order from an earlier one
		// for the same domain.
		Revision uint64
		// Started is when the order was written to the log.
		Started time.Time
	}

	// Set is the set of evacuated domains. It is immutable, and its zero value is the empty set before the first order.
	Set struct {
		revision uint64
		orders   map[string]Order
	}
)

// NewSet returns the set with a revision and its orders.
func NewSet(revision uint64, orders []Order) Set {
	s := Set{revision: revision, orders: make(map[string]Order, len(orders))}
	for _, o := range orders {
		s.orders[o.Domain] = o
	}
	return s
}

// Revision returns the number of changes of the set.
func (s Set) Revision() uint64 { return s.revision }

// IsEmpty reports whether no domain is evacuated.
func (s Set) IsEmpty() bool { return len(s.orders) == 0 }

// Has reports whether the domain is evacuated or drains.
func (s Set) Has(domain string) bool {
	_, isOrdered := s.orders[domain]
	return isOrdered
}

// Orders returns the orders by domain name.
func (s Set) Orders() []Order {
	orders := make([]Order, 0, len(s.orders))
	for _, domain := range slices.Sorted(maps.Keys(s.orders)) {
		orders = append(orders, s.orders[domain])
	}
	return orders
}

// WithStart returns the set after an order to evacuate the domain, and whether that changes it.
func (s Set) WithStart(domain string, started time.Time) (Set, bool) {
	if s.Has(domain) {
		return s, false
	}
	next := Set{revision: s.revision + 1, orders: make(map[string]Order, len(s.orders)+1)}
	maps.Copy(next.orders, s.orders)
	next.orders[domain] = Order{Domain: domain, Revision: next.revision, Started: started}
	return next, true
}

// WithFinish returns the set after the end of the evacuation of the domain, and whether that changes it.
func (s Set) WithFinish(domain string) (Set, bool) {
	if !s.Has(domain) {
		return s, false
	}
	next := Set{revision: s.revision + 1, orders: maps.Clone(s.orders)}
	delete(next.orders, domain)
	return next, true
}

// Merge returns the newer of the set and one that was received, and whether it differs from the set. A set with a lower
// revision is ignored. One with the same revision can only move the start of an order to an earlier time: the process that
// sent the larger age has known the order for longer.
func (s Set) Merge(received Set) (Set, bool) {
	if received.revision > s.revision {
		return received.withEarlierStarts(s), true
	}
	if received.revision < s.revision {
		return s, false
	}
	next := s.withEarlierStarts(received)
	return next, !maps.EqualFunc(next.orders, s.orders, func(a, b Order) bool { return a.Started.Equal(b.Started) })
}

// withEarlierStarts returns the set in which each order that the other set holds too has the earlier start of both.
func (s Set) withEarlierStarts(other Set) Set {
	next := Set{revision: s.revision, orders: make(map[string]Order, len(s.orders))}
	for domain, o := range s.orders {
		known, isKnown := other.orders[domain]
		if isKnown && known.Revision == o.Revision && known.Started.Before(o.Started) {
			o.Started = known.Started
		}
		next.orders[domain] = o
	}
	return next
}

// OpenShare returns the fraction of requests that may still be sent to the domain. It decreases linearly from 1 at the start
// of the order to 0 after the drain time.
func (s Set) OpenShare(domain string, now time.Time, drain time.Duration) float64 {
	o, isOrdered := s.orders[domain]
	if !isOrdered {
		return 1
	}
	age := now.Sub(o.Started)
	if age >= drain {
		return 0
	}
	return min(1-float64(age)/float64(drain), 1)
}
