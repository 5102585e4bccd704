package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/backlog"
	"guavahitch.example/guavahitch/pacing"
	"guavahitch.example/guavahitch/placement"
)

// This file keeps the capacity of each group of a service and places requests on groups. It is used for services with
// several groups.

const (
	// capacityInterval is the time for which a computed capacity of groups is used. The choice of a rank checks each
	// rank itself.
	capacityInterval = 100 * time.Millisecond
	// spareProbeInterval is the time between two probes of a group that is down while others serve. A probe that is
	// refused takes an attempt from the retry budget.
	spareProbeInterval = time.Second
	// reportAge is the assumed age of a load report at its arrival. ownHistory is how long the numbers of own requests are
	// kept.
	reportAge, ownHistory = 300 * time.Millisecond, time.Second
	// queueShare is the multiple of its limit up to which a full group is chosen for a stream that finds no place.
	queueShare = 100.0
	// defaultStreamTime is the assumed length of a stream at a rank with a rate limit that has not answered yet.
	defaultStreamTime = time.Second
)

type (
	// groupAdmission limits the streams of one group. A service that is not placed by group has one for all its upstreams.
	groupAdmission struct {
		name    string
		backlog backlog.Estimator
		pacing  *pacing.Controller
		outage  outage
		// observed is when pacing last received the latency of an event.
		observed time.Time
		// members are all ranks of the group. capacity counts those that are used: the slow ones only if there are no others,
		// which isSlow tells.
		members  []*Upstream
		capacity capacity
		isSlow   bool
		// closed is when the ranks were first seen to announce that the group does not run, zero while it is announced to
		// run.
		closed time.Time
		// history holds the numbers of requests of this entry at the arrivals of load reports, ownThen that of the time when
		// the last report was made.
		history []ownSample
		ownThen int64
		// reserved counts the requests of this entry that were admitted to the group and have no rank yet.
		reserved int
	}

	// ownSample is the number of requests of this entry in a group at one time.
	ownSample struct {
		at  time.Time
		own int64
	}

	// placed is the group that a request is placed on, with copies of what the choice of a rank reads without the mutex
	// of the admission. The zero value is no group.
	placed struct {
		group   *groupAdmission
		name    string
		members []*Upstream
		// isSecondTier is set if Server.tier does not prefer the ranks of the group, but they are all it has: they are slow,
		// or announced as down although they answer.
		isSecondTier bool
	}

	// capacity is the number of slots of some ranks of a group. local is the part of the slots that is in the domain of
	// the entry.
	capacity struct {
		ranks        []*Upstream
		slots, local float64
	}
)

func newGroupAdmission(name string, isPrioritised bool) *groupAdmission {
	return &groupAdmission{name: name, pacing: newPacing(isPrioritised)}
}

// newPacing returns the controller of a group of a service whose streams have different priorities or not.
func newPacing(isPrioritised bool) *pacing.Controller {
	if isPrioritised {
		return pacing.NewController(pacing.Settings{MinShare: pacing.CompetingMinShare})
	}
	return pacing.NewController(pacing.Settings{})
}

// isPlacedByGroup reports whether the groups of the service have limits of their own: once several are known, also while
// only one of them is left. The caller holds the mutex.
func (g *admission) isPlacedByGroup() bool { return len(g.groups) > 1 }

// groupOf returns the state of the group of an upstream, or that of the whole service if it is not placed by group. The
// caller holds the mutex.
func (g *admission) groupOf(u *Upstream) *groupAdmission {
	if group := g.groups[u.Instance().Group.Name]; group != nil && g.isPlacedByGroup() {
		return group
	}
	return g.whole
}

// admitToGroup admits a request to a group, or returns the refusal. If no group has a rank that can be used, the request
// is admitted without a group, and the choice of the upstream decides. The caller holds the mutex.
func (g *admission) admitToGroup(j *job, share float64, now time.Time) *refusal {
	groups := g.usableGroups(j, now)
	var mustWait bool
	if j.probed, mustWait = g.probe(j, groups, now); mustWait {
		return j.groupDownRefusal()
	}
	if j.probed != nil {
		g.assign(j, j.probed, now)
		return nil
	}
	if !slices.ContainsFunc(groups, (*groupAdmission).isServing) {
		g.inFlight++
		return nil
	}
	group := g.placeUnheld(j, groups, now, share, nil)
	hasRoom := group != nil
	if !hasRoom && j.turn == nil {
		// The log line tells the streams and the limit of all groups then.
		running, limit := j.inFlight, j.limit
		group = g.placeUnheld(j, groups, now, queueShare, nil)
		j.inFlight, j.limit = running, limit
	}
	if group == nil {
		return noPlaceRefusal(0)
	}
	if refused := g.judge(j, group, hasRoom, now); refused != nil {
		return refused
	}
	g.assign(j, group, now)
	return nil
}

// placed returns the placement of a request on the group.
func (p *groupAdmission) placed() placed {
	return placed{group: p, name: p.name, members: p.members, isSecondTier: p.isSlow || !p.closed.IsZero()}
}

// isServing reports whether requests can be placed on the group.
func (p *groupAdmission) isServing() bool { return p.capacity.slots > 0 && !p.isDown() }

// isDown reports whether the group refuses requests or is closed.
func (p *groupAdmission) isDown() bool { return p.outage.isDown || p.isClosed() }

// isClosed reports whether the group has announced that it does not run, and no event has arrived since.
func (p *groupAdmission) isClosed() bool {
	return !p.closed.IsZero() && !p.outage.lastEvent.After(p.closed)
}

// assign counts a request for a group until it has a rank.
func (g *admission) assign(j *job, group *groupAdmission, now time.Time) {
	g.inFlight++
	group.reserved++
	j.group, j.reserved = group.placed(), group
	group.outage.recordPlacement(now)
}

// probe returns a group that is down if the request is to test whether it serves again, and reports whether all groups
// are down and none is to be tested now. Groups that are down are tested by different requests, since each test may take an
// attempt. While a group serves, only requests that have another attempt left are used.
func (g *admission) probe(j *job, groups []*groupAdmission, now time.Time) (probed *groupAdmission, mustWait bool) {
	if !slices.ContainsFunc(groups, func(group *groupAdmission) bool { return !group.isDown() }) {
		g.allDown = now
		probed = nextProbed(groups)
		if probed == nil || now.Sub(j.lastProbe) < probeInterval || !probed.outage.takeProbe(now, probeInterval) {
			return nil, true
		}
		j.lastProbe = now
		return probed, false
	}
	if j.sent+1 >= j.route.Attempts {
		return nil, false
	}
	for _, group := range groups {
		if group.outage.isDown && group.capacity.slots > 0 && group.outage.takeProbe(now, g.spareInterval(now)) {
			return group, false
		}
	}
	return nil, false
}

// spareInterval returns the time between two probes of a group that is down while others serve. Groups that were all down
// together usually serve again together, and the first of them can't take the requests for all.
func (g *admission) spareInterval(now time.Time) time.Duration {
	if now.Sub(g.allDown) < spareProbeInterval {
		return probeInterval
	}
	return spareProbeInterval
}

// nextProbed returns the group that was not tested for longest.
func nextProbed(groups []*groupAdmission) *groupAdmission {
	var next *groupAdmission
	for _, group := range groups {
		if next == nil || group.outage.lastProbe.Before(next.outage.lastProbe) {
			next = group
		}
	}
	return next
}

// usableGroups returns the groups with a rank that the request may use.
func (g *admission) usableGroups(j *job, now time.Time) []*groupAdmission {
	if j.isUnrestricted() {
		return g.present
	}
	return slices.DeleteFunc(slices.Clone(g.present), func(group *groupAdmission) bool {
		return !slices.ContainsFunc(group.members, func(u *Upstream) bool { return j.mayUse(u, now) })
	})
}

// place chooses one of the groups with room for the request, except those in avoided. It returns nil if there is none.
func (g *admission) place(
	j *job, groups []*groupAdmission, now time.Time, share float64, avoided []*groupAdmission,
) *groupAdmission {
	isFresh := g.server.fleet.hasFreshLoads(now)
	entries, evenFill := float64(max(g.server.fleet.entries.Load(), 1)), 0.0
	if !isFresh {
		evenFill = g.evenFill(entries)
	}
	g.states = g.states[:0]
	total, bound := 0.0, 0.0
	for _, group := range groups {
		state := placement.Group{LocalShare: group.capacity.localShare(), Slots: group.capacity.slots}
		if group.isServing() {
			state.Running = group.running(isFresh, evenFill, entries)
			state.Limit = group.pacing.Limit(now, state.Running, group.capacity.slots)
			state.Slots = group.capacity.slots * max(share, 1)
			state.PauseRatio, state.PauseAge = group.pacing.PauseRatio(), now.Sub(group.observed)
			total, bound = total+state.Running, bound+state.Limit
		}
		if slices.Contains(avoided, group) {
			state.Limit = 0
		}
		g.states = append(g.states, state)
	}
	choice, hasRoom := placement.Choose(g.states, share, g.server.random)
	if !hasRoom {
		j.inFlight, j.limit = int(total), int(bound)
		return nil
	}
	state := g.states[choice.Index]
	j.inFlight, j.limit, j.fill, j.isRemote = int(state.Running), int(state.Limit), choice.Fill, state.LocalShare == 0
	return groups[choice.Index]
}

// placeUnheld is place, but uses the groups that are ramped up and may get no further request only if no other has room.
func (g *admission) placeUnheld(
	j *job, groups []*groupAdmission, now time.Time, share float64, avoided []*groupAdmission,
) *groupAdmission {
	held := g.server.heldGroups(j.service, groups, len(j.tried) == 0, now)
	if len(held) == 0 {
		return g.place(j, groups, now, share, avoided)
	}
	if group := g.place(j, groups, now, share, slices.Concat(avoided, held)); group != nil {
		return group
	}
	return g.place(j, groups, now, share, avoided)
}

// placeAgain places a request for a later attempt, or because it may go to no rank of its group. It avoids groups if
// others have room, and chooses no group if none has. A group that is down and that the request is to test comes first.
func (g *admission) placeAgain(j *job, now time.Time, avoided []*groupAdmission) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	j.group = placed{}
	if g.engine == nil {
		return
	}
	g.countCapacity(j.service, now)
	if !g.isPlacedByGroup() {
		return
	}
	groups := g.usableGroups(j, now)
	group := j.probed
	if group == nil {
		group = g.placeUnheld(j, groups, now, 1, avoided)
	}
	if group == nil {
		group = g.place(j, groups, now, 1, nil)
	}
	if group != nil {
		j.group = group.placed()
	}
}

// groupsOf returns the groups of upstreams.
func (g *admission) groupsOf(upstreams []*Upstream) []*groupAdmission {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var groups []*groupAdmission
	for _, u := range upstreams {
		groups = append(groups, g.groupOf(u))
	}
	return groups
}

// unreserve ends the reservation of a request in its group, which counts the request itself once it is at an upstream.
func (j *job) unreserve() {
	if j.reserved == nil {
		return
	}
	j.admission.mutex.Lock()
	defer j.admission.mutex.Unlock()
	j.reserved.reserved--
	j.reserved = nil
}

// evenFill returns the fill of all groups if every entry has as many streams as this one and they are spread evenly.
func (g *admission) evenFill(entries float64) float64 {
	slots := 0.0
	for _, group := range g.present {
		slots += group.capacity.slots
	}
	return float64(g.inFlight) * entries / max(slots, 1)
}

// running returns the estimated number of streams at the ranks of the group whose slots count. Without a fresh load report
// it follows from the fill of all groups, and is at least the number of streams of this entry.
func (p *groupAdmission) running(isFresh bool, evenFill, entries float64) float64 {
	own := p.own()
	if !isFresh {
		return max(evenFill*p.capacity.slots, float64(own))
	}
	reported := int64(0)
	for _, u := range p.capacity.ranks {
		reported += u.reported.Load()
	}
	return placement.Estimate(float64(reported), float64(own), float64(p.ownThen), entries)
}

// recordReport records for all groups that a load report has arrived.
func (s *Server) recordReport(now time.Time) {
	s.mutex.Lock()
	admissions := slices.Collect(maps.Values(s.admissions))
	s.mutex.Unlock()
	for _, g := range admissions {
		g.mutex.Lock()
		for _, group := range g.present {
			group.recordReport(now)
		}
		g.mutex.Unlock()
	}
}

// recordReport sets ownThen to the number of own requests when the report was made.
func (p *groupAdmission) recordReport(now time.Time) {
	p.history = append(p.history, ownSample{at: now, own: p.own()})
	p.history = slices.DeleteFunc(p.history, func(s ownSample) bool { return now.Sub(s.at) > ownHistory })
	p.ownThen = p.history[0].own
	for _, s := range p.history {
		if now.Sub(s.at) >= reportAge {
			p.ownThen = s.own
		}
	}
}

// own returns the number of requests of this entry in the group.
func (p *groupAdmission) own() int64 {
	own := int64(p.reserved)
	for _, u := range p.members {
		own += u.inFlight.Load()
	}
	return own
}

// countCapacity computes the capacity of the groups, at most once in capacityInterval for the same upstreams. The caller
// holds the mutex.
func (g *admission) countCapacity(service string, now time.Time) {
	view := g.server.fleet.view.Load()
	upstreams := view.services[service]
	if view == g.countedView && now.Sub(g.counted) < capacityInterval {
		return
	}
	if view != g.countedView {
		g.findGroups(upstreams)
	}
	g.counted, g.countedView = now, view
	var latest time.Time
	for _, u := range upstreams {
		if heard := u.currentState().LastHeartbeat; heard.After(latest) {
			latest = heard
		}
	}
	for _, group := range g.present {
		group.count(g.server, float64(g.engine.Slots), latest, now)
	}
}

// findGroups sets the groups of the upstreams and their members.
func (g *admission) findGroups(upstreams []*Upstream) {
	g.present = nil
	for _, u := range upstreams {
		group := g.group(u.Instance().Group.Name)
		if !slices.Contains(g.present, group) {
			group.members = nil
			g.present = append(g.present, group)
		}
		group.members = append(group.members, u)
	}
}

// group returns the state of a group, which it creates if necessary.
func (g *admission) group(name string) *groupAdmission {
	group := g.groups[name]
	if group == nil {
		group = newGroupAdmission(name, g.isPrioritised)
		g.groups[name] = group
	}
	return group
}

// count computes the capacity of a group whose ranks have the given slots.
func (p *groupAdmission) count(s *Server, slots float64, latest, now time.Time) {
	if !p.members[0].currentState().IsGroupDown {
		p.closed = time.Time{}
	} else if p.closed.IsZero() {
		p.closed = now
	}
	usual, slow := capacity{ranks: p.capacity.ranks[:0]}, capacity{}
	for _, u := range p.members {
		state := u.currentState()
		counted := 0.0
		if !p.isClosed() {
			counted = s.countedSlots(u, state, slots, latest, now)
		}
		isLocal := u.Instance().Domain == s.settings.Domain
		if state.IsSlow() && s.hasFreshPace(now) {
			slow.add(u, counted/state.Pace, isLocal)
		} else {
			usual.add(u, counted, isLocal)
		}
	}
	p.capacity, p.isSlow = usual, false
	if usual.slots == 0 {
		p.capacity, p.isSlow = slow, slow.slots > 0
	}
}

func (c *capacity) add(u *Upstream, slots float64, isLocal bool) {
	if slots <= 0 {
		return
	}
	c.ranks = append(c.ranks, u)
	c.slots += slots
	if isLocal {
		c.local += slots
	}
}

// localShare returns the part of the slots that is in the domain of the entry.
func (c *capacity) localShare() float64 {
	if c.slots == 0 {
		return 0
	}
	return c.local / c.slots
}

// countedSlots returns how many of the slots of a rank count toward the capacity of its group: none if Server.candidates
// excludes the rank or prefers others, and with a rate limit as many streams as the limit lets in during one stream.
// Slow ranks and those of a group that is down are not excluded here.
func (s *Server) countedSlots(u *Upstream, state availability.State, slots float64, latest, now time.Time) float64 {
	isUsed := !state.IsLeaving() && !state.IsSuspended(now) && !s.isSilent(state, latest, now) && s.fleet.isOpen(u, now)
	if !isUsed {
		return 0
	}
	slots = min(slots, float64(state.Limit(now, u.Instance().Slots)))
	if limit := state.RateLimit(); limit.IsNamed {
		length := cmp.Or(state.Latency, defaultStreamTime.Seconds())
		slots = min(slots, limit.PerSecond*length)
	}
	return slots
}
