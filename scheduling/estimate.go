package scheduling

import "time"

const (
	// meterTime is the time constant of the rates, which must follow bursts of a few seconds.
	meterTime = time.Second
	// minSupply is the number of places within meterTime from which the supply counts as known.
	minSupply = 1.0
	// averageWeight is the weight of a new sample of the time to the first event.
	averageWeight = 0.05
	// hopelessFactor is how many times longer than its slack a request must be expected to wait to be refused at once.
	hopelessFactor = 3
	// leastPart is the part of the supply that is assumed for a priority when more urgent demand would take all of it.
	leastPart = 0.1
	// preferredPart is the part of the work of an organisation that another must have started at most for its requests to
	// count as going first. Organisations of equal demand differ by chance, which should refuse none of them.
	preferredPart = 0.6
	// returnShare is the part of the starts of a priority that is promised to refused requests. Their answers are late,
	// so that most places should go to new requests.
	returnShare = 0.1
	// MinRetryAfter is the shortest Retry-After, and longestRetryAfter the longest.
	MinRetryAfter     = 600 * time.Millisecond
	longestRetryAfter = 5 * time.Second
	// retryAfterShare is the largest Retry-After as a share of the time to the deadline after which callers come back.
	retryAfterShare = 0.3
)

// position returns the number of waiting requests that would start before a new one, if organisations take turns.
func (s *Scheduler) position(r *Request) int {
	ahead := 0
	for _, c := range s.classes {
		if c.priority < r.Priority {
			ahead += c.queue.Len()
		}
	}
	queue := r.class.queue
	own, returning := queue.Waiting(r.Organisation)
	if r.IsReturning {
		own = returning
	}
	return ahead + min(queue.Len(), own+own*max(queue.Backlogged()-1, 0)+queue.Backlogged()/2)
}

// expectedWait returns the expected time until a request starts that has a number of requests before it. Requests that
// arrive meanwhile and are more urgent, or of organisations that have started much less work, go first too. It is negative if
// the rate of starts is not known.
func (s *Scheduler) expectedWait(now time.Time, r *Request, position int) time.Duration {
	if s.supply.Count(now) < minSupply {
		return -1
	}
	rate := s.supply.Rate(now)
	left := max(rate-s.urgentRate(now, r.Priority)-s.preferredRate(now, r), leastPart*rate)
	return seconds(float64(position+1) / left)
}

// urgentRate returns the arrivals a second that are more urgent than a priority.
func (s *Scheduler) urgentRate(now time.Time, priority int) float64 {
	rate := 0.0
	for _, c := range s.classes {
		if c.priority < priority {
			rate += c.arrivals.Rate(now)
		}
	}
	return rate
}

// preferredRate returns the new requests a second of the same priority whose organisations have started much less work.
func (s *Scheduler) preferredRate(now time.Time, r *Request) float64 {
	own := r.class.workOf(r.Organisation)
	arrived := 0.0
	for organisation, flow := range r.class.flows {
		if organisation != r.Organisation && flow.work < preferredPart*own {
			arrived += flow.arrived
		}
	}
	return arrived / s.demand.unit(now) / demandTime.Seconds()
}

// RetryAfter returns when a refused request should come back. Requests of a priority are spread over the time so that a
// part of its starts suffices for them. If that is later than the caller would come back, the time is not booked for it.
// A returning request books none, since its caller does not come back again.
func (s *Scheduler) RetryAfter(now time.Time, r *Request) time.Duration {
	c := r.class
	rate := returnShare * c.starts.Rate(now)
	if rate <= 0 || r.IsReturning {
		return MinRetryAfter
	}
	start := now.Add(MinRetryAfter)
	if c.nextReturn.After(start) {
		start = c.nextReturn
	}
	wait := start.Sub(now)
	if wait <= time.Duration(retryAfterShare*float64(r.Deadline.Sub(now))) {
		c.nextReturn = start.Add(seconds(1 / rate))
	}
	return min(wait, longestRetryAfter)
}
