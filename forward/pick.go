package forward

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavahitch.example/guavahitch/availability"
)

const (
	// failurePenalty scales how much the failure rate raises the cost of an upstream.
	failurePenalty = 12.0
	// maxSlowReportAge is the age from which a load report no longer marks an upstream as slow.
	maxSlowReportAge = 2 * time.Second
	// remoteCost multiplies the cost of an upstream in another failure domain.
	remoteCost = 1.1
	// loadChoices is the number of random draws of pickByLoad and pickByWork.
	loadChoices = 2
	// sameLoad is the difference in mean requests up to which pickByWork regards the own load of two upstreams as equal.
	sameLoad = 0.5
)

// candidate is an upstream with a snapshot of its state.
type candidate struct {
	*Upstream
	state       availability.State
	failureRate float64
	// tier is the result of Server.tier.
	tier int
	// isHeld is set for an upstream that is ramped up and may get no further request now.
	isHeld bool
}

// pick returns the upstream for the next attempt, or nil if there is none, and takes the request from the quota of an
// upstream with a rate limit or a cold bound, unless it may use no rate limit. Every request that is sent to an upstream is
// picked here.
func (s *Server) pick(j *job, now time.Time, mayUseLimited bool) *Upstream {
	defer j.unreserve()
	for {
		u := s.choose(j, now, mayUseLimited)
		if u == nil || u.takeQuota(now, s.fleet.coldView(j.service, now)) {
			return u
		}
	}
}

// choose returns the best upstream for the next attempt, or nil if there is none. It skips the upstreams that were tried,
// those that the request may not use and those that take no requests. Upstreams that are leaving, silent, suspended, slow or
// of a group that is down are used only when there is no other.
func (s *Server) choose(j *job, now time.Time, mayUseLimited bool) *Upstream {
	if u := s.chooseByGroup(j, now, mayUseLimited); u != nil {
		return u
	}
	candidates, meanLatency := s.candidates(j, s.fleet.Service(j.service), now, mayUseLimited)
	if len(candidates) == 0 {
		return nil
	}
	if candidates[0].Instance().Group.Size > 0 && s.fleet.hasFreshLoads(now) {
		return s.pickByLoad(candidates)
	}
	start := int(s.random() * float64(len(candidates)))
	var best *Upstream
	bestCost := 0.0
	for k := range candidates {
		c := candidates[(start+k)%len(candidates)]
		if cost := s.cost(c, meanLatency); best == nil || cost < bestCost {
			best, bestCost = c.Upstream, cost
		}
	}
	return best
}

// chooseByGroup returns a rank of the group that the request is placed on, or nil if it is not placed by group. A group
// without a rank for it is replaced by others that have room.
func (s *Server) chooseByGroup(j *job, now time.Time, mayUseLimited bool) *Upstream {
	var avoided []*groupAdmission
	if len(j.tried) > 0 {
		avoided = j.admission.groupsOf(j.tried)
		j.admission.placeAgain(j, now, avoided)
	}
	for j.group.group != nil {
		candidates, _ := s.candidates(j, j.group.members, now, mayUseLimited)
		if len(candidates) > 0 && (candidates[0].tier == 0 || j.group.isSecondTier || j.group.group == j.probed) {
			return s.pickByWork(candidates, now)
		}
		if slices.Contains(avoided, j.group.group) {
			return nil
		}
		avoided = append(avoided, j.group.group)
		j.admission.placeAgain(j, now, avoided)
	}
	return nil
}

// pickByWork considers the upstreams with the least work of this entry, draws some of them at random and returns the one
// with the lowest load: its work divided by its rate. If there are ranks in other domains, one more is drawn among those
// of the own domain. The draw is random for the same reason as in pickByLoad.
func (s *Server) pickByWork(candidates []candidate, now time.Time) *Upstream {
	isFresh := s.fleet.hasFreshLoads(now)
	least := math.Inf(1)
	for _, c := range candidates {
		least = min(least, c.ownLoad())
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.ownLoad() > least+sameLoad })
	best := s.drawByWork(candidates, candidate{}, loadChoices, isFresh)
	isRemote := func(c candidate) bool { return c.Instance().Domain != s.settings.Domain }
	if best.Upstream != nil && slices.ContainsFunc(candidates, isRemote) {
		best = s.drawByWork(slices.DeleteFunc(candidates, isRemote), best, 1, isFresh)
	}
	return best.Upstream
}

// drawByWork draws some of the candidates at random and returns the one with the lowest cost among them and best.
func (s *Server) drawByWork(candidates []candidate, best candidate, draws int, isFresh bool) candidate {
	for range draws {
		if len(candidates) == 0 {
			break
		}
		drawn := candidates[int(s.random()*float64(len(candidates)))]
		if best.Upstream == nil || s.workCost(drawn, isFresh) < s.workCost(best, isFresh) {
			best = drawn
		}
	}
	return best
}

// workCost returns the load of an upstream with a further request, raised by its failure rate and for another failure
// domain. The requests of other entries count only if the load report is fresh.
func (s *Server) workCost(c candidate, isFresh bool) float64 {
	load := c.ownLoad() + c.slowdown()
	if isFresh {
		load += float64(c.othersInFlight.Load()) * c.slowdown()
	}
	load *= 1 + failurePenalty*c.failureRate
	if c.Instance().Domain != s.settings.Domain {
		load *= remoteCost
	}
	return load
}

// ownLoad returns the work of this entry at the upstream in mean requests, divided by the rate of the upstream.
func (c candidate) ownLoad() float64 { return float64(c.work.Load()) / workUnit * c.slowdown() }

// slowdown returns the reported pace of the upstream, or 1 if none was reported.
func (c candidate) slowdown() float64 { return cmp.Or(c.state.Pace, 1) }

// pickByLoad considers the upstreams with the fewest requests of this entry, draws loadChoices of them at random and
// returns the one with the lowest load of all entries according to the last report. The draw is random because all
// entries see the same report: without it they would all choose the same upstream.
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
		cost := float64(c.totalInFlight()+1) * (1 + failurePenalty*c.failureRate)
		if best == nil || cost < bestCost {
			best, bestCost = c.Upstream, cost
		}
	}
	return best
}

// candidates returns those of the upstreams that are in the best tier, that the request may use and that it has not tried yet,
// and the mean latency of all of them in seconds.
func (s *Server) candidates(j *job, upstreams []*Upstream, now time.Time, mayUseLimited bool) ([]candidate, float64) {
	all := make([]candidate, 0, len(upstreams))
	var latest time.Time
	total, sampled := 0.0, 0
	lacksQuota := false
	cold, skipped := s.fleet.coldView(j.service, now), 0
	memory := s.fleet.memory.limit(j.service)
	for _, u := range upstreams {
		c := candidate{Upstream: u, state: u.currentState()}
		c.failureRate = c.state.FailureRate(now)
		if c.state.LastHeartbeat.After(latest) {
			latest = c.state.LastHeartbeat
		}
		if c.state.Latency > 0 {
			total += c.state.Latency
			sampled++
		}
		if slices.Contains(j.tried, u) || !j.mayUse(u, now) || !u.takesRequests(c.state, now, s.settings.DrainTime) {
			continue
		}
		if c.state.RateLimit().IsNamed && !(mayUseLimited && u.hasQuota(now, s.fleet)) {
			lacksQuota = true
			continue
		}
		if memory != nil && !memory.fits(s.fleet, u, j.memoryUse, now) {
			continue
		}
		if cold.wait(u, c.state, now) > 0 {
			skipped++
			continue
		}
		all = append(all, c)
	}
	if lacksQuota && len(all) == 0 {
		s.fleet.quotas.lacking.notify()
	}
	s.recordSkips(j.service, skipped, len(all) == 0)
	meanLatency := 1.0
	if sampled > 0 {
		meanLatency = total / float64(sampled)
	}
	best := s.bestTier(all, latest, now)
	if j.group.group == nil {
		best = s.withoutHeld(j.service, best, len(j.tried) == 0, now)
	}
	return j.apartFromRivals(best), meanLatency
}

// bestTier returns the candidates of the lowest tier that is present.
func (s *Server) bestTier(all []candidate, latest, now time.Time) []candidate {
	least := math.MaxInt
	for i := range all {
		all[i].tier = s.tier(all[i].state, latest, now)
		least = min(least, all[i].tier)
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return c.tier != least })
}

// tier groups upstreams by how likely they are to answer at all; lower is better.
func (s *Server) tier(c availability.State, latest, now time.Time) int {
	switch {
	case c.IsLeaving():
		return 3
	case s.isSilent(c, latest, now):
		return 2
	case c.IsSuspended(now) || c.IsGroupDown || c.IsSlow() && s.hasFreshPace(now):
		return 1
	default:
		return 0
	}
}

// isSilent reports whether the last heartbeat of an upstream is HeartbeatTimeout older than the latest one of its service
// and it has not answered recently either.
func (s *Server) isSilent(c availability.State, latest, now time.Time) bool {
	return latest.Sub(c.LastHeartbeat) > s.settings.HeartbeatTimeout && now.Sub(c.LastSuccess) > s.settings.HeartbeatTimeout/2
}

// hasFreshPace reports whether the last load report is recent enough to mark upstreams as slow.
func (s *Server) hasFreshPace(now time.Time) bool {
	return now.Sub(*s.fleet.loadsReported.Load()) < maxSlowReportAge
}

// backoffLeft returns the time until the first backoff of an upstream that the request may use ends, and whether every such
// upstream is in a backoff or has left and at least one is in a backoff.
func (s *Server) backoffLeft(j *job, now time.Time) (wait time.Duration, isBackingOff bool) {
	for _, u := range j.usable(now) {
		state := u.currentState()
		if state.HasLeft(now, s.settings.DrainTime) {
			continue
		}
		if !state.IsBackingOff(now) {
			return 0, false
		}
		if left := state.BackoffEnd().Sub(now); !isBackingOff || left < wait {
			wait, isBackingOff = left, true
		}
	}
	return wait, isBackingOff
}

// cost returns an estimate of the wait at an upstream, raised by its failure rate and for another failure domain.
func (s *Server) cost(c candidate, meanLatency float64) float64 {
	latency := c.state.Latency
	if latency == 0 || c.Instance().Group.Size > 0 {
		latency = meanLatency
	}
	cost := float64(c.inFlight.Load()+1) * latency * (1 + failurePenalty*c.failureRate)
	if c.Instance().Domain != s.settings.Domain {
		cost *= remoteCost
	}
	return cost
}
