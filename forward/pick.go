package forward

import (
	"math"
	"slices"
	"time"
)

const (
	// slowLimit is the age of a report beyond which an upstream no longer counts as slow by it.
	slowLimit = 2 * time.Second
	// remoteCost is the factor on the cost of an upstream in another failure domain.
	remoteCost = 1.1
	// loadChoices is the number of upstreams of a group that are drawn for one choice.
	loadChoices = 2
)

// candidate is an upstream with what the choice goes by.
type candidate struct {
	*Upstream
	condition condition
	// rank sorts upstreams by whether they are expected to answer at all; lower is better.
	rank int
}

// pick returns the upstream for the next attempt, or nil. Upstreams in tried are passed over; those that are silent,
// suspended or slow serve only when there is no other.
func (s *Server) pick(service string, tried []*Upstream, now time.Time) *Upstream {
	candidates, usual := s.candidates(service, tried, now)
	if len(candidates) == 0 {
		return nil
	}
	if candidates[0].Instance().Group.Size > 0 && s.fleet.isReported(now) {
		return s.pickByLoad(candidates)
	}
	start := int(s.random() * float64(len(candidates)))
	var best *Upstream
	bestCost := 0.0
	for k := range candidates {
		c := candidates[(start+k)%len(candidates)]
		if cost := s.cost(c, usual); best == nil || cost < bestCost {
			best, bestCost = c.Upstream, cost
		}
	}
	return best
}

// pickByLoad returns an upstream with the least work of this entry; of a few such, drawn at random, the one with the
// least work of all entries by the last report. All entries see the same report, and would choose the same upstream
// by it if they looked at all.
func (s *Server) pickByLoad(candidates []candidate) *Upstream {
	least := int64(math.MaxInt64)
	for _, c := range candidates {
		least = min(least, c.inFlight.Load())
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.inFlight.Load() > least })
	var best *Upstream
	bestCost := 0.0
	for range loadChoices {
		c := candidates[int(s.random()*float64(len(candidates)))]
		cost := float64(c.work()+1) * (1 + failurePenalty*c.condition.failureRate)
		if best == nil || cost < bestCost {
			best, bestCost = c.Upstream, cost
		}
	}
	return best
}

// candidates returns the upstreams of a service that are most likely to answer, and their usual latency in seconds.
func (s *Server) candidates(service string, tried []*Upstream, now time.Time) ([]candidate, float64) {
	upstreams := s.fleet.Service(service)
	all := make([]candidate, 0, len(upstreams))
	var latest time.Time
	total, sampled := 0.0, 0
	for _, u := range upstreams {
		c := candidate{Upstream: u, condition: u.condition(now)}
		if c.condition.heard.After(latest) {
			latest = c.condition.heard
		}
		if c.condition.latency > 0 {
			total += c.condition.latency
			sampled++
		}
		if !slices.Contains(tried, u) {
			all = append(all, c)
		}
	}
	usual := 1.0
	if sampled > 0 {
		usual = total / float64(sampled)
	}
	return s.likeliest(all, latest, now), usual
}

// likeliest returns the candidates of the best rank.
func (s *Server) likeliest(all []candidate, latest, now time.Time) []candidate {
	least := math.MaxInt
	for i := range all {
		all[i].rank = s.rank(all[i].condition, latest, now)
		least = min(least, all[i].rank)
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return c.rank != least })
}

// rank sorts upstreams by whether they are expected to answer at all; lower is better.
func (s *Server) rank(c condition, latest, now time.Time) int {
	isSilent := latest.Sub(c.heard) > s.settings.HeartbeatTimeout && now.Sub(c.succeeded) > s.settings.HeartbeatTimeout/2
	switch {
	case isSilent:
		return 2
	case c.isSuspended || c.isClosed || c.pace > slowPace && now.Sub(*s.fleet.reported.Load()) < slowLimit:
		return 1
	default:
		return 0
	}
}

// cost is the expected wait at an upstream.
func (s *Server) cost(c candidate, usual float64) float64 {
	latency := c.condition.latency
	if latency == 0 || c.Instance().Group.Size > 0 {
		latency = usual
	}
	cost := float64(c.inFlight.Load()+1) * latency * (1 + failurePenalty*c.condition.failureRate)
	if c.Instance().Domain != s.settings.Domain {
		cost *= remoteCost
	}
	return cost
}
