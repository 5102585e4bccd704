package scheduling

import (
	"maps"
	"math"
	"time"

	"guavahitch.example/guavahitch/fairness"
)

const (
	// demandTime is the time constant over which the service that an organisation or a priority has had is compared.
	demandTime = 8 * time.Second
	// rescaleTime is the time after which the counts are scaled down, so that they stay finite.
	rescaleTime = 10 * demandTime
	// floorShare is the part of the overall service that every organisation and priority gets. It is above the quarter
	// that is required, since each entry sees only a part of the requests.
	floorShare = 0.4
	// maxHeadroom is the part of the limit that the least urgent requests leave free while more urgent ones arrive. The limit
	// keeps the usual pause of a stream within its objective, but the longest one decides whether it is late: the headroom
	// keeps that of the urgent streams within the objective too.
	maxHeadroom = 0.18
	// maxExcess is the part by which the most urgent requests may exceed the limit at an entry without streams.
	maxExcess = 0.2
	// minUseRate is the number of requests a second from which a priority counts as in use.
	minUseRate = 0.1
	// forgottenCount is the count below which an organisation is forgotten.
	forgottenCount = 0.01
)

type (
	// counts holds the new requests that have arrived and all that have started, with the work of those, in units of the
	// demand.
	counts struct{ arrived, started, work float64 }

	// demand gives the unit of the counts. Instead of decreasing all counts with the time, new ones are made larger.
	demand struct{ since time.Time }
)

// unit returns the weight of a request at a time.
func (d *demand) unit(now time.Time) float64 {
	return math.Exp(now.Sub(d.since).Seconds() / demandTime.Seconds())
}

// served returns the share of requests that have started.
func (c *counts) served() float64 {
	if c.arrived == 0 {
		return 1
	}
	return min(c.started/c.arrived, 1)
}

// count adds an arrived or started request to the counts of all, of the priority and of the organisation.
func (s *Scheduler) count(now time.Time, r *Request, arrived, started float64) {
	s.rescale(now)
	unit := s.demand.unit(now)
	flow := r.class.flows[r.Organisation]
	if flow == nil {
		flow = &counts{}
		r.class.flows[r.Organisation] = flow
	}
	for _, c := range []*counts{&s.total, &r.class.total, flow} {
		c.arrived += arrived * unit
		c.started += started * unit
		c.work += started * unit * max(r.Work, 1)
	}
}

// rescale moves the time at which the unit is 1 to now, once in rescaleTime.
func (s *Scheduler) rescale(now time.Time) {
	if s.demand.since.IsZero() {
		s.demand.since = now
	}
	if now.Sub(s.demand.since) < rescaleTime {
		return
	}
	factor := 1 / s.demand.unit(now)
	s.demand.since = now
	s.total.scale(factor)
	for _, c := range s.classes {
		c.total.scale(factor)
		maps.DeleteFunc(c.flows, func(_ string, f *counts) bool {
			f.scale(factor)
			return f.arrived+f.started < forgottenCount
		})
	}
}

func (c *counts) scale(factor float64) {
	c.arrived *= factor
	c.started *= factor
	c.work *= factor
}

// owed returns the number of requests that must start until the counts reach floorShare of a share of service.
func (c *counts) owed(served float64) float64 { return floorShare*served*c.arrived - c.started }

// head returns the first waiting request of the organisation that has started the least work of late, or nil if none
// waits. The name decides between equal amounts, so that the order does not depend on that of the map.
func (c *class) head() *fairness.Ticket {
	least, first := 0.0, ""
	isFound := false
	for organisation := range c.waiting {
		work := c.workOf(organisation)
		if !isFound || work < least || work == least && organisation < first {
			least, first, isFound = work, organisation, true
		}
	}
	if !isFound {
		return nil
	}
	return c.queue.HeadOf(first)
}

// workOf returns the work that an organisation has started of late.
func (c *class) workOf(organisation string) float64 {
	if flow := c.flows[organisation]; flow != nil {
		return flow.work
	}
	return 0
}

// owedTo returns the number of requests that an organisation is owed, 0 if nothing is known of it.
func (c *class) owedTo(organisation string, served float64) float64 {
	if flow := c.flows[organisation]; flow != nil {
		return flow.owed(served)
	}
	return 0
}

// mostOwed returns the first waiting request of the organisation or priority that is owed the most. It returns nil if none
// is owed a whole request.
func (s *Scheduler) mostOwed(now time.Time) *fairness.Ticket {
	served, most := s.total.served(), s.demand.unit(now)
	var owed *fairness.Ticket
	for _, c := range s.classes {
		if c.queue.Len() == 0 {
			continue
		}
		if amount := c.total.owed(served); amount >= most {
			most, owed = amount, c.head()
		}
		for organisation := range c.waiting {
			// The name decides between equal amounts, so that the order does not depend on that of the map.
			amount := c.owedTo(organisation, served)
			if amount > most || amount == most && owed != nil && organisation < owed.Organisation {
				most, owed = amount, c.queue.HeadOf(organisation)
			}
		}
	}
	return owed
}

// Share returns the part of the limit below which a request may start. While more urgent requests arrive, less urgent
// ones leave them room, so that they find it at any entry. The most urgent ones may exceed the limit at an entry that has
// fewer streams than an equal share: otherwise entries that fill the places of their own streams again would never leave it
// any.
func (s *Scheduler) Share(now time.Time, r *Request) float64 {
	if share := s.share(now, r.Priority); share < 1 {
		return share
	}
	return s.entryFactor()
}

// entryFactor returns the factor of the limit of this entry, from 1 to 1 + maxExcess.
func (s *Scheduler) entryFactor() float64 {
	if s.equalShare <= 0 {
		return 1
	}
	return 1 + maxExcess*min(max(1-float64(s.running)/s.equalShare, 0), 1)
}

// share returns the part of the limit that a priority may use: less by equal steps for each priority in use that is more
// urgent.
func (s *Scheduler) share(now time.Time, priority int) float64 {
	moreUrgent, others := 0, 0
	for _, c := range s.classes {
		if c.priority == priority || !c.isInUse(now) {
			continue
		}
		others++
		if c.priority < priority {
			moreUrgent++
		}
	}
	return 1 - maxHeadroom*float64(moreUrgent)/float64(max(others, 1))
}

// isInUse reports whether requests of a priority arrive or wait.
func (c *class) isInUse(now time.Time) bool {
	return c.queue.Len() > 0 || c.arrivals.Rate(now) >= minUseRate
}
