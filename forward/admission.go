package forward

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"guavahitch.example/guavahitch/backlog"
	"guavahitch.example/guavahitch/placement"
	"guavahitch.example/guavahitch/route"
)

// admission decides whether a request of one service starts now, waits or is refused. For a service with engines, package
// pacing tells how many streams may run so that events arrive within their objective, and package backlog what becomes of a
// stream beyond that; waiting.go holds those that wait. Requests are refused while the group is down. Plain services are not
// limited.
type admission struct {
	server *Server

	// places notifies of a released place and of a new load report.
	places broadcast

	mutex  sync.Mutex
	engine *route.Engine
	// isPrioritised is set if the streams of the service differ in their priority.
	isPrioritised bool
	inFlight      int
	// whole is the state of a service that is not placed by group. groups holds the state of each group by name otherwise,
	// present those that the fleet knows.
	whole   *groupAdmission
	groups  map[string]*groupAdmission
	present []*groupAdmission
	// allDown is when all groups were last seen to be down.
	allDown time.Time
	// counted is when the capacity of the groups was computed, countedView the upstreams that it was computed for.
	counted     time.Time
	countedView *view
	// states is reused for the input of placement.
	states []placement.Group
	sizes  meanSizes
	// waiting holds the streams that wait for a place. isDispatching is set while a goroutine starts them.
	waiting       []*waitingStream
	isDispatching bool
}

// admission returns the admission of a service, with its engine and priorities in the configuration.
func (s *Server) admission(name string, table *route.Table) *admission {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.admissions[name]
	if g == nil {
		g = &admission{server: s, whole: newGroupAdmission("", false), groups: map[string]*groupAdmission{}}
		s.admissions[name] = g
	}
	g.configure(table.Service(name), table.HasPriorities(name))
	return g
}

// configure puts the configuration of the service in force.
func (g *admission) configure(service *route.Service, isPrioritised bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.engine = nil
	if service != nil {
		g.engine = service.Engine
	}
	if isPrioritised == g.isPrioritised {
		return
	}
	g.isPrioritised = isPrioritised
	g.whole.pacing = newPacing(isPrioritised)
	for _, group := range g.groups {
		group.pacing = newPacing(isPrioritised)
	}
}

// admit admits a request, or returns the refusal. It does not wait, but may add a stream to those that wait. A stream that
// is scheduled by its priority is admitted while the running streams are below the given share of the limit.
func (g *admission) admit(j *job, share float64) *refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.admitLocked(j, share, time.Now())
}

// admitLocked is admit for a caller that holds the mutex.
func (g *admission) admitLocked(j *job, share float64, now time.Time) *refusal {
	j.inFlight = g.inFlight
	if refused := j.unusableRefusal(now); refused != nil {
		return refused
	}
	upstreams := j.usable(now)
	if len(upstreams) == 0 {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: retryAfterNoUpstream}
	}
	if g.engine == nil {
		g.inFlight++
		return nil
	}
	if share <= 0 {
		g.readRoom(j, upstreams, now)
		return noPlaceRefusal(0)
	}
	g.countCapacity(j.service, now)
	if g.isPlacedByGroup() {
		if j.work == 0 {
			j.work = g.sizes.weigh(j.size())
		}
		return g.admitToGroup(j, share, now)
	}
	if g.whole.outage.blocks(now, probeInterval) {
		return j.groupDownRefusal()
	}
	running, limit := g.readRoom(j, upstreams, now)
	if refused := g.judge(j, g.whole, running < share*limit, now); refused != nil {
		return refused
	}
	g.inFlight++
	return nil
}

// judge lets a request start at a group, or returns the refusal. Requests that find a place start, and so do those that
// are not streams: nothing is known of how long they take.
func (g *admission) judge(j *job, group *groupAdmission, hasRoom bool, now time.Time) *refusal {
	switch {
	case j.route.Kind != route.Stream:
		return nil
	case j.turn != nil && !hasRoom:
		return noPlaceRefusal(0)
	}
	v := group.backlog.Judge(now, backlog.Request{
		Deadline: j.deadline.Sub(now), HasRoom: hasRoom && g.isNext(j, now), Waiting: len(g.waiting), IsWaiting: j.waiting != nil,
	})
	j.expected = cmp.Or(v.Expected, j.expected)
	switch {
	case j.turn != nil || v.Action == backlog.Send:
		group.backlog.Sent()
		j.backlog = &group.backlog
		return nil
	case v.Action == backlog.Refuse:
		return noPlaceRefusal(v.RetryAfter)
	default:
		refused := noPlaceRefusal(0)
		refused.waiting = g.enqueue(j)
		return refused
	}
}

// objectiveLeft returns the time left in which the first event of a stream is in time. Whether the caller was refused before
// is not known: its deadline does not tell, since callers may name less than the timeout of the route at once.
func (j *job) objectiveLeft(now time.Time) time.Duration {
	return cmp.Or(j.route.Objective, j.route.Timeout) - now.Sub(j.arrived)
}

// readRoom returns the running streams and the limit of all upstreams that the job may use, and keeps both for its log
// line. The caller holds the mutex.
func (g *admission) readRoom(j *job, upstreams []*Upstream, now time.Time) (running, limit float64) {
	g.countCapacity(j.service, now)
	if g.isPlacedByGroup() {
		g.place(j, g.usableGroups(j, now), now, 0, nil)
		return float64(j.inFlight), float64(j.limit)
	}
	running = g.runningStreams(upstreams, now)
	limit = g.whole.pacing.Limit(now, running, float64(g.engine.Slots*len(upstreams)))
	j.inFlight, j.limit = int(running), int(limit)
	return running, limit
}

// room returns the running streams and the limit of all upstreams that the job may use, and false if there are none with
// engines.
func (g *admission) room(j *job, now time.Time) (running, limit float64, isKnown bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	upstreams := j.usable(now)
	if g.engine == nil || len(upstreams) == 0 {
		return 0, 0, false
	}
	running, limit = g.readRoom(j, upstreams, now)
	return running, limit, true
}

func noPlaceRefusal(retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonNoPlace, retryAfter: retryAfter}
}

// runningStreams returns the number of streams at the upstreams. Without a fresh load report it assumes that every
// other entry has as many as this one.
func (g *admission) runningStreams(upstreams []*Upstream, now time.Time) float64 {
	if !g.server.fleet.hasFreshLoads(now) {
		return float64(g.ownInFlight(upstreams)) * float64(max(g.server.fleet.entries.Load(), 1))
	}
	work := int64(0)
	for _, u := range upstreams {
		work += u.totalInFlight()
	}
	return float64(work)
}

// leave releases the place of a request that has ended.
func (g *admission) leave(j *job) {
	g.mutex.Lock()
	g.inFlight--
	switch {
	case j.backlog == nil:
	case j.begun.IsZero():
		j.backlog.Abandoned()
	default:
		j.backlog.Ended(time.Since(j.begun))
	}
	g.mutex.Unlock()
	g.places.notify()
}

// recordEvent records an event of a stream and the pause before it. It ends an outage of the group.
func (g *admission) recordEvent(a *attempt, now time.Time, pause time.Duration, isFirst bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	group := g.groupOf(a.upstream)
	if group.outage.recordEvent(now) {
		g.reportOutage(Outage{Service: a.job.service, Group: group.name})
		g.server.fleet.changes.notify()
	}
	if a.job.backlog != nil && a.job.begun.IsZero() {
		a.job.backlog.Begun(now)
		a.job.begun = now
		g.places.notify()
	}
	if !isFirst {
		group.pacing.Observe(pause, a.job.route.GapObjective)
		group.backlog.ObservePause(now, pause, a.job.route.GapObjective)
		group.observed = now
	}
}
