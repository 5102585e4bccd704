package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"guavahitch.example/guavahitch/availability"
)

// This file divides the bound on the requests that a cold upstream gets in any second. Each entry may use a share by itself,
// and the leader grants the rest. Shares and grants are separate parts of the bound, so that an error in one of them cannot
// use up the other.

const (
	// ColdLifetime is how long a request that the leader has granted under a cold bound may be sent. It counts from when the
	// entry asked, so that an answer which is read late is not valid for longer.
	ColdLifetime = 500 * time.Millisecond
	// coldGrantWindow is the time over which the leader counts its grants: those of ColdLifetime ago may still be used.
	coldGrantWindow = availability.ColdWindow + ColdLifetime
	// coldHandover is how long after the start of its term a leader grants nothing: the one before may have gone on for the
	// time in which it notices that it has lost its quorum, and its grants are counted for coldGrantWindow.
	coldHandover = coldGrantWindow + 1300*time.Millisecond
	// sharedPart is the part of the bound for the shares of the entries. It lets 20 entries send one request each when they
	// count twice as many, as they do without a leader, under a bound of 56.
	sharedPart = 5.0 / 7.0
	// coldPruneInterval is the time between two removals of records that are no longer needed.
	coldPruneInterval = 10 * time.Second
	// maxColdBound bounds the requests a second in calculations.
	maxColdBound = 1 << 20
)

type (
	// ColdRule turns the rate of a service into the bound for each of its upstreams: Overage times the rate and Slack
	// requests in any second. An Overage of 0 counts as 1.
	ColdRule struct{ Overage, Slack float64 }

	// ColdBound is the number of requests that an upstream may get in any second, divided into those for the shares of the
	// entries and those that the leader grants.
	ColdBound struct{ Shared, Granted int }

	// Target is an upstream at which requests can be granted.
	Target struct {
		ID   string
		Born int64
	}

	// coldRecord counts the requests that were granted at an incarnation of an upstream.
	coldRecord struct {
		born    int64
		granted availability.Window
	}
)

// Bound returns the bound for a rate in requests a second. It is zero for a service without one.
func (r ColdRule) Bound(perSecond float64) ColdBound {
	if !(perSecond > 0) {
		return ColdBound{}
	}
	whole := int(min(math.Floor(perSecond*cmp.Or(r.Overage, 1)+r.Slack), maxColdBound))
	whole = max(whole, 1)
	shared := int(math.Floor(float64(whole) * sharedPart))
	return ColdBound{Shared: shared, Granted: whole - shared}
}

// IsZero reports whether there is no bound.
func (b ColdBound) IsZero() bool { return b == ColdBound{} }

// Share returns the number of requests that one of several entries may send to an upstream in each availability.ColdWindow
// without a grant. Where there is less than one for each entry, a few entries get one. These are drawn for each entry and
// upstream by a number in [0, 1), so few that more than Shared of them at the same upstream are improbable (less than 1 in
// 100,000). Without entries the share is 0.
func (b ColdBound) Share(entries int, draw float64) int {
	switch {
	case entries < 1:
		return 0
	case b.Shared >= entries:
		return b.Shared / entries
	case draw < b.expectedUsers()/float64(entries):
		return 1
	default:
		return 0
	}
}

// expectedUsers returns the expected number of entries that get a share when there is less than one for each. Shared is 5
// standard deviations and 2 above it.
func (b ColdBound) expectedUsers() float64 {
	const deviations, margin = 5.0, 2.0
	if float64(b.Shared) <= margin {
		return 0
	}
	root := (math.Sqrt(deviations*deviations+4*(float64(b.Shared)-margin)) - deviations) / 2
	return root * root
}

// GrantCold returns what an entry may send to the upstreams of a service of the number of requests that it asks for beyond
// its shares.
func (a *Allocator) GrantCold(now time.Time, entry, service string, requests int, bound ColdBound, targets []Target) []Grant {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	share := a.share(now, demandKey{service: service, entry: entry, isCold: true}, requests)
	if now.Sub(a.leads) < coldHandover || requests <= 0 {
		return nil
	}
	a.pruneCold(now)
	left, available := a.coldLeft(now, bound, targets)
	count := min(requests, int(math.Ceil(float64(available)*share)))
	granted := spreadOver(left, count)
	var grants []Grant
	for n, target := range targets {
		if granted[n] == 0 {
			continue
		}
		grants = append(grants, Grant{Upstream: target.ID, Born: target.Born, Requests: granted[n], IsCold: true})
		r := a.cold[target.ID]
		r.granted = r.granted.With(now, granted[n])
	}
	return grants
}

// coldLeft returns the requests that can be granted at each target, and their sum. It makes records for new incarnations.
func (a *Allocator) coldLeft(now time.Time, bound ColdBound, targets []Target) (left []int, available int) {
	left = make([]int, len(targets))
	for n, target := range targets {
		r := a.cold[target.ID]
		if r != nil && r.born > target.Born {
			continue
		}
		if r == nil || r.born < target.Born {
			r = &coldRecord{born: target.Born}
			a.cold[target.ID] = r
		}
		left[n] = max(bound.Granted-r.granted.Count(now, coldGrantWindow), 0)
		available += left[n]
	}
	return left, available
}

// spreadOver divides a number of requests, one by one, among the places, those with most requests left first.
func spreadOver(left []int, count int) []int {
	order := make([]int, len(left))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(m, n int) int { return cmp.Compare(left[n], left[m]) })
	granted := make([]int, len(left))
	for round := 1; count > 0; round++ {
		before := count
		for _, n := range order {
			if left[n] < round || count == 0 {
				break
			}
			granted[n]++
			count--
		}
		if count == before {
			break
		}
	}
	return granted
}

// pruneCold removes, at intervals, the records whose grants no longer count.
func (a *Allocator) pruneCold(now time.Time) {
	if now.Sub(a.coldPruned) < coldPruneInterval {
		return
	}
	a.coldPruned = now
	maps.DeleteFunc(a.cold, func(_ string, r *coldRecord) bool { return r.granted.Count(now, coldGrantWindow) == 0 })
}
