package forward

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/slowstart"
)

// This file limits the requests at upstreams that have just started or recovered. The rule is that of package slowstart.
// The ranks of a group are ramped up as one, because they run each pass together.

const (
	// RampStarted means that the requests at an upstream or group are limited.
	RampStarted RampEvent = iota + 1
	// RampFinished means that they are no longer limited.
	RampFinished
	// RampCutBack means that the limit was reduced.
	RampCutBack
)

const (
	// outTime is the time for which an upstream must have been out of use, while others were used, to be ramped up again.
	// It is longer than the first suspensions of an upstream that fails for a moment.
	outTime = time.Second
	// cutBackInterval is the shortest time between two reports that a limit was reduced.
	cutBackInterval = 5 * time.Second
	// unevenness is the factor by which the requests of this entry may exceed the mean of the entries.
	unevenness = 2
)

type (
	// RampEvent is what happened to the ramp of an upstream.
	RampEvent int

	// Ramp reports a change of the ramp of an upstream, or of a group of ranks.
	Ramp struct {
		Event   RampEvent
		Service string
		// Upstream is the ID of the upstream, empty for a group. Group is the name of the group, empty for an upstream
		// that stands alone.
		Upstream, Group string
		// Limit is the number of requests of this entry that may be there, 0 if it is not limited.
		Limit float64
		// Ratio is the time of its answers divided by the usual one, 0 if it is not known.
		Ratio float64
	}

	// ramp is the slow start of an upstream that stands alone, or of a group of ranks. It is safe for concurrent use.
	ramp struct {
		service, upstream, group string
		created                  time.Time
		// inFlight counts the requests of this entry.
		inFlight  atomic.Int64
		isRamping atomic.Bool
		// slots is the number of slots of all ranks, epoch the newest epoch in which the group was open.
		slots atomic.Int64
		epoch uint64

		mutex sync.Mutex
		state slowstart.State
		// usable is when a request could last have been sent there. isReformed is set when the group runs in a new epoch.
		usable     time.Time
		isReformed bool
		cutBack    time.Time
	}

	// ramps holds the ramps of a fleet.
	ramps struct {
		// byKey is only used under the mutex of the fleet.
		byKey map[string]*ramp

		mutex     sync.Mutex
		baselines map[baselineKey]*baseline
		picked    map[string]time.Time
	}

	// baselineKey is the kind of requests that a baseline holds for.
	baselineKey struct{ service, route string }

	baseline struct {
		mutex sync.Mutex
		held  slowstart.Baseline
	}
)

func newRamps() *ramps {
	return &ramps{byKey: map[string]*ramp{}, baselines: map[baselineKey]*baseline{}, picked: map[string]time.Time{}}
}

// update assigns its ramp to each upstream, and drops those of upstreams that are gone.
func (p *ramps) update(now time.Time, upstreams map[string]*Upstream) {
	slots := map[*ramp]int64{}
	kept := map[string]*ramp{}
	for _, u := range upstreams {
		instance := u.Instance()
		r := p.find(now, instance)
		kept[rampKey(instance)] = r
		slots[r] += int64(instance.Slots)
		r.recordEpoch(instance.Group)
		u.ramp.Store(r)
	}
	for r, n := range slots {
		r.slots.Store(n)
	}
	p.byKey = kept
}

// find returns the ramp of an instance, a new one for one that is not known.
func (p *ramps) find(now time.Time, instance *roster.Instance) *ramp {
	key := rampKey(instance)
	r := p.byKey[key]
	if r == nil {
		r = &ramp{service: instance.Service, created: now}
		if instance.Group.Size > 0 {
			r.group = instance.Group.Name
		} else {
			r.upstream = instance.ID
		}
		p.byKey[key] = r
	}
	return r
}

// rampKey identifies the group of an instance, or the incarnation of one that stands alone.
func rampKey(instance *roster.Instance) string {
	if instance.Group.Size > 0 {
		return "group\n" + instance.Service + "\n" + instance.Group.Name
	}
	return "upstream\n" + instance.Service + "\n" + instance.ID + "\n" + strconv.FormatInt(instance.Born, 10)
}

// recordEpoch notes that a group runs in a new epoch, so that its ranks have started again.
func (r *ramp) recordEpoch(group roster.Group) {
	if group.Size == 0 || !group.IsOpen || group.Epoch <= r.epoch {
		return
	}
	r.mutex.Lock()
	r.isReformed = r.isReformed || r.epoch > 0
	r.mutex.Unlock()
	r.epoch = group.Epoch
}

// report passes a load report on to the ramps.
func (p *ramps) report(now time.Time, loads []registry.Load, upstreams map[string]*Upstream, entries int) {
	if !slices.ContainsFunc(slices.Collect(maps.Values(p.byKey)), func(r *ramp) bool { return r.isRamping.Load() }) {
		return
	}
	running, waiting := map[*ramp]int{}, map[*ramp]int{}
	for _, load := range loads {
		if u := upstreams[load.ID]; u != nil {
			r := u.ramp.Load()
			running[r] += load.Running
			waiting[r] += load.Waiting
		}
	}
	for r, n := range running {
		r.mutex.Lock()
		r.state = r.state.WithReport(now, n, waiting[r], entries)
		r.mutex.Unlock()
	}
}

// recordPick records that an upstream or a group is chosen for a request of a service, and returns when one was chosen before.
func (p *ramps) recordPick(now time.Time, service string, isFirst bool) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := p.picked[service]
	if isFirst {
		// A further attempt avoids the upstreams of earlier ones, so it does not show which are usable.
		p.picked[service] = now
	}
	return previous
}

func (p *ramps) baseline(key baselineKey) *baseline {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	b := p.baselines[key]
	if b == nil {
		b = &baseline{}
		p.baselines[key] = b
	}
	return b
}

// hasSlowStart reports whether upstreams of a service are ramped up.
func (s *Server) hasSlowStart(service string) bool {
	if s.settings.SlowStart {
		return true
	}
	table := s.table.Load()
	if table == nil {
		return false
	}
	configured := table.Service(service)
	return configured != nil && configured.ColdStart > 0
}

// withoutHeld removes the candidates that are ramped up and may get no further request now, unless no other has room.
func (s *Server) withoutHeld(service string, candidates []candidate, isFirst bool, now time.Time) []candidate {
	if len(candidates) == 0 || !s.hasSlowStart(service) {
		return candidates
	}
	previous := s.fleet.ramps.recordPick(now, service, isFirst)
	hasFreshLoads := s.fleet.hasFreshLoads(now)
	entries := max(s.fleet.entries.Load(), 1)
	hasRoom := false
	for i := range candidates {
		c := &candidates[i]
		r := c.ramp.Load()
		if i > 0 && r == candidates[i-1].ramp.Load() {
			c.isHeld = candidates[i-1].isHeld
		} else {
			c.isHeld = !s.allowsRamping(r, now, previous, c.state.RateLimit().IsNamed)
		}
		hasRoom = hasRoom || !c.isHeld && (r.isRamping.Load() || c.hasRoom(hasFreshLoads, entries))
	}
	if !hasRoom {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.isHeld })
}

// heldGroups returns the groups that are ramped up and may get no further request now.
func (s *Server) heldGroups(service string, groups []*groupAdmission, isFirst bool, now time.Time) []*groupAdmission {
	if len(groups) == 0 || !s.hasSlowStart(service) {
		return nil
	}
	previous := s.fleet.ramps.recordPick(now, service, isFirst)
	var held []*groupAdmission
	for _, group := range groups {
		if group.isServing() && !s.allowsRamping(group.members[0].ramp.Load(), now, previous, false) {
			held = append(held, group)
		}
	}
	return held
}

// hasRoom reports whether an upstream that is not ramped up seems to have a free slot.
func (u *Upstream) hasRoom(hasFreshLoads bool, entries int64) bool {
	slots := int64(u.Instance().Slots)
	if slots == 0 {
		return true
	}
	if hasFreshLoads && u.Instance().Group.Size > 0 {
		return u.totalInFlight() < slots
	}
	return u.inFlight.Load()*entries < unevenness*slots
}

// allowsRamping reports whether a further request may be sent to an upstream or group. It starts a ramp if the upstream is
// new or was out of use since the previous request of its service. An upstream whose rate limit was exhausted was not.
func (s *Server) allowsRamping(r *ramp, now, previous time.Time, hasRateLimit bool) bool {
	r.mutex.Lock()
	isNew := r.usable.IsZero() && r.created.Sub(s.started) >= warmupTime
	isBack := !r.usable.IsZero() && previous.Sub(r.usable) > outTime && !hasRateLimit
	r.usable = now
	before := r.state
	if isNew || isBack || r.isReformed {
		r.state = r.state.WithStart(now, int(r.slots.Load()), int(s.fleet.entries.Load()), s.random())
		r.isReformed = false
	}
	isAllowed := r.state.Allows(now, int(r.inFlight.Load()))
	event := r.changed(now, before)
	r.mutex.Unlock()
	s.reportRamp(event)
	return isAllowed
}

// changed returns what to report of a change of the state, nil for nothing. The caller holds the mutex.
func (r *ramp) changed(now time.Time, before slowstart.State) *Ramp {
	r.isRamping.Store(r.state.IsRamping())
	event := Ramp{Service: r.service, Upstream: r.upstream, Group: r.group, Ratio: r.state.Ratio()}
	if r.state.IsRamping() {
		event.Limit = r.state.Limit()
	}
	switch {
	case r.state.IsRamping() && !before.IsRamping():
		event.Event = RampStarted
	case !r.state.IsRamping() && before.IsRamping():
		event.Event = RampFinished
	case r.state.Limit() < before.Limit() && now.Sub(r.cutBack) >= cutBackInterval:
		event.Event = RampCutBack
		r.cutBack = now
	default:
		return nil
	}
	return &event
}

// reportRamp calls Settings.OnRamp.
func (s *Server) reportRamp(event *Ramp) {
	if event != nil && s.settings.OnRamp != nil {
		s.settings.OnRamp(*event)
	}
}

// beginRamp counts the request of an attempt at its upstream or group.
func (a *attempt) beginRamp() {
	if !a.job.server.hasSlowStart(a.job.service) {
		return
	}
	a.ramp = a.upstream.ramp.Load()
	a.ramp.inFlight.Add(1)
	if a.ramp.isRamping.Load() {
		a.updateRamp(func(s slowstart.State) slowstart.State { return s.WithRequest(a.started) })
	}
}

func (a *attempt) endRamp() {
	if a.ramp != nil {
		a.ramp.inFlight.Add(-1)
	}
}

// recordRampAnswer records the time to the answer or to the first event of a stream.
func (a *attempt) recordRampAnswer(now time.Time) {
	if a.ramp == nil {
		return
	}
	took, size := now.Sub(a.started), a.job.body.Size()
	b := a.job.server.fleet.ramps.baseline(baselineKey{service: a.job.service, route: a.job.route.Name})
	b.mutex.Lock()
	expected := b.held.Expected(size)
	if !a.ramp.isRamping.Load() {
		b.held = b.held.WithAnswer(size, took)
	}
	b.mutex.Unlock()
	slots, entries := int(a.ramp.slots.Load()), int(a.job.server.fleet.entries.Load())
	a.updateRamp(func(s slowstart.State) slowstart.State {
		return s.WithShare(slots, entries).WithAnswer(now, slowstart.Answer{
			Sent: a.started, Took: took, Expected: expected, Objective: a.job.route.Objective, Own: int(a.ramp.inFlight.Load()),
		})
	})
}

// recordRampResponse records a response that was read as a whole.
func (a *attempt) recordRampResponse(now time.Time, isFailure bool) {
	if isFailure {
		a.recordRampRefusal(now)
		return
	}
	a.recordRampAnswer(now)
}

// recordRampEvent records an event of a stream.
func (a *attempt) recordRampEvent(now time.Time, pause time.Duration, isFirst bool) {
	switch {
	case a.ramp == nil:
	case isFirst:
		a.recordRampAnswer(now)
	case a.ramp.isRamping.Load():
		a.updateRamp(func(s slowstart.State) slowstart.State { return s.WithPause(pause, a.job.route.GapObjective) })
	}
}

// recordRampRefusal records a refusal or a failed exchange.
func (a *attempt) recordRampRefusal(now time.Time) {
	if a.ramp != nil && a.ramp.isRamping.Load() {
		a.updateRamp(func(s slowstart.State) slowstart.State { return s.WithRefusal(now, a.started) })
	}
}

func (a *attempt) updateRamp(change func(slowstart.State) slowstart.State) {
	r := a.ramp
	r.mutex.Lock()
	before := r.state
	r.state = change(before)
	event := r.changed(time.Now(), before)
	r.mutex.Unlock()
	a.job.server.reportRamp(event)
}
