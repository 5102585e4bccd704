package forward

import (
	"net/http"
	"sync"
	"time"

	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/scheduling"
)

// This file lets streams that find no room wait for their turn, in the order of package scheduling. It does so only for
// services whose streams differ in their priority.

const (
	// reasonNoPlace is the reason of refusals for lack of a place.
	reasonNoPlace = "no place"
	// dispatchInterval is the longest time after which waiting streams are tried again. Limits change without a notice.
	dispatchInterval = 100 * time.Millisecond
	// retrySpread is the spread of the Retry-After of streams whose return is spread already.
	retrySpread = 60 * time.Millisecond
	// minReturnTime is the shortest time since its first attempt after which a request counts as one that found no place
	// before. Refusals for other reasons let callers return sooner.
	minReturnTime = scheduling.MinRetryAfter / 2
	// maxUrgency is the largest value of Headers.Urgency.
	maxUrgency = 9
)

type (
	// schedule holds the streams of one service that wait for their turn.
	schedule struct {
		admission *admission

		mutex     sync.Mutex
		scheduler *scheduling.Scheduler
		// meanWork is a moving average of the work of requests that name their size.
		meanWork float64
		// isDispatching is set while a goroutine starts the waiting streams.
		isDispatching bool
		// roomRead is when the room was last read, roomReport the time of the load report that it was read from.
		roomRead, roomReport time.Time
	}

	// turn is the place of a stream in the scheduling order.
	turn struct {
		job      *job
		schedule *schedule
		request  *scheduling.Request
		decision Turn
		// hasArrived is set once the scheduler has counted the stream.
		hasArrived bool
		// started is when the stream was admitted.
		started time.Time
		// result receives nil when a waiting stream is admitted, and its refusal when it may no longer wait. It is nil until
		// the stream waits.
		result chan *refusal
	}
)

// schedule returns the schedule of a service.
func (s *Server) schedule(service string, g *admission) *schedule {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q := s.schedules[service]
	if q == nil {
		q = &schedule{admission: g, scheduler: scheduling.New()}
		s.schedules[service] = q
	}
	return q
}

// notifyPlaces notifies waiting streams of a new load report.
func (s *Server) notifyPlaces() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, g := range s.admissions {
		g.places.notify()
	}
}

// isPrioritised reports whether the service has engines and streams of different priorities.
func (j *job) isPrioritised() bool {
	service := j.table.Service(j.service)
	return service != nil && service.Engine != nil && j.table.HasPriorities(j.service)
}

// priorityIndex returns the place of the priority of the request among those of its service. 0 is the most urgent.
func (j *job) priorityIndex() int { return j.table.PriorityIndex(j.service, j.priority) }

// urgency returns the urgency of a request to a rank, and false if the request should not name any.
func (j *job) urgency() (urgency int, isKnown bool) {
	if j.server.settings.Headers.Urgency == "" || !j.isPrioritised() {
		return 0, false
	}
	return min(j.priorityIndex(), maxUrgency), true
}

// scheduleAdmission admits the request or returns the refusal. A stream that competes with streams of other priorities
// waits for its turn. While the group is down, requests are not scheduled, since it is not known when they could start.
func (j *job) scheduleAdmission() *refusal {
	if !j.isPrioritised() || j.route.Kind != route.Stream || j.admission.isDown(j) {
		return j.admission.admitOrWait(j)
	}
	if j.turn == nil {
		j.turn = newTurn(j)
	}
	until, refused := j.turn.schedule.admit(j.turn, time.Now())
	if until.IsZero() {
		return refused
	}
	return j.turn.schedule.await(j.turn, until)
}

// newTurn returns the turn of a job that has just arrived.
func newTurn(j *job) *turn {
	r := &scheduling.Request{
		Organisation: j.organisation, Priority: j.priorityIndex(), Work: j.size().Tokens(), Arrived: j.arrived, Deadline: j.deadline,
		Objective: j.route.Objective,
	}
	if j.server.settings.RequestSize == nil {
		r.Work = 1
	}
	if requested, _ := j.requestedTime(); j.isCallerRetry() {
		r.Elapsed = j.route.Timeout - requested
		r.IsReturning = r.Elapsed >= minReturnTime
	}
	t := &turn{job: j, schedule: j.server.schedule(j.service, j.admission), request: r}
	t.decision = Turn{IsScheduled: true, Priority: r.Priority, IsReturning: r.IsReturning, ExpectedWait: -1}
	r.Value = t
	return t
}

// admit admits a stream at once, returns its refusal or adds it to the waiting ones. In that case it returns how long the
// stream may wait.
func (q *schedule) admit(t *turn, now time.Time) (until time.Time, refused *refusal) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !t.hasArrived {
		t.hasArrived = true
		q.weigh(t.request)
		q.scheduler.Arrive(now, t.request)
	}
	refused = q.pass(t, now)
	if refused == nil || refused.reason != reasonNoPlace || t.job.shouldWait(now) {
		return time.Time{}, refused
	}
	if t.result == nil {
		t.result = make(chan *refusal, 1)
	}
	v := q.scheduler.Push(now, t.request)
	t.record(v)
	if v.Rule != "" {
		return time.Time{}, q.refuse(t, now)
	}
	q.grant(now)
	if !t.request.IsWaiting() {
		return time.Time{}, <-t.result
	}
	if !q.isDispatching {
		q.isDispatching = true
		go q.dispatch()
	}
	return v.Until, nil
}

// weigh gives a request that names no size the mean work of those that do, so that its organisation gains nothing by that.
func (q *schedule) weigh(r *scheduling.Request) {
	if r.Work == 0 {
		r.Work = max(q.meanWork, 1)
		return
	}
	q.meanWork += sizeWeight * (r.Work - q.meanWork)
}

// pass admits a stream if it may start before those that wait.
func (q *schedule) pass(t *turn, now time.Time) *refusal {
	t.decision.Share = 0
	if q.scheduler.MayPass(now, t.request) {
		t.decision.Share = q.scheduler.Share(now, t.request)
	}
	refused := q.admission.admit(t.job, t.decision.Share)
	if refused == nil {
		t.start(q, now)
	}
	return refused
}

// start records that a stream was admitted.
func (t *turn) start(q *schedule, now time.Time) {
	q.scheduler.Start(now, t.request)
	t.started = now
	t.decision.Wait, t.decision.Rule = now.Sub(t.job.arrived), ""
}

// record keeps the figures of a verdict for the log.
func (t *turn) record(v scheduling.Verdict) {
	t.decision.Position, t.decision.ExpectedWait, t.decision.Rule = v.Position, v.ExpectedWait, v.Rule
}

// refuse returns the refusal of a stream that may not wait any longer.
func (q *schedule) refuse(t *turn, now time.Time) *refusal {
	t.decision.Wait = now.Sub(t.job.arrived)
	return &refusal{
		status: http.StatusServiceUnavailable, reason: reasonNoPlace, retryAfter: q.scheduler.RetryAfter(now, t.request),
		spread: retrySpread,
	}
}

// await waits for the turn of a stream. It returns nil once the stream is admitted.
func (q *schedule) await(t *turn, until time.Time) *refusal {
	s := t.job.server
	stopping := s.refusing.next()
	if s.isRefusing.Load() {
		return q.abandon(t, stoppingRefusal())
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case refused := <-t.result:
			return refused
		case <-stopping:
			return q.abandon(t, stoppingRefusal())
		case <-t.job.request.Context().Done():
			return q.abandon(t, &refusal{status: http.StatusServiceUnavailable, reason: reasonNoPlace})
		case <-timer.C:
			until, refused := q.review(t)
			if refused != nil {
				return refused
			}
			timer.Reset(time.Until(until))
		}
	}
}

// review decides whether a stream may wait longer, and until when.
func (q *schedule) review(t *turn) (time.Time, *refusal) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	if !t.request.IsWaiting() {
		// The result is in the channel.
		return now.Add(dispatchInterval), nil
	}
	v := q.scheduler.Review(now, t.request)
	t.record(v)
	if v.Rule != "" {
		q.stopIfEmpty()
		return now, q.refuse(t, now)
	}
	return v.Until, nil
}

// abandon removes a stream that no longer waits. If it was admitted or refused meanwhile, that holds.
func (q *schedule) abandon(t *turn, refused *refusal) *refusal {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !t.request.IsWaiting() {
		return <-t.result
	}
	q.scheduler.Remove(t.request)
	q.stopIfEmpty()
	t.decision.Wait = time.Since(t.job.arrived)
	return refused
}

// stopIfEmpty makes dispatch return if no stream waits any more.
func (q *schedule) stopIfEmpty() {
	if q.scheduler.Len() == 0 {
		q.admission.places.notify()
	}
}

// dispatch starts waiting streams as places become free, until none waits.
func (q *schedule) dispatch() {
	timer := time.NewTimer(dispatchInterval)
	defer timer.Stop()
	for {
		changed := q.admission.places.next()
		if !q.grantOrStop() {
			return
		}
		timer.Reset(dispatchInterval)
		select {
		case <-changed:
		case <-timer.C:
		}
	}
}

// grantOrStop starts streams that have a place. It returns false if none waits any more.
func (q *schedule) grantOrStop() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.grant(time.Now())
	q.isDispatching = q.scheduler.Len() > 0
	return q.isDispatching
}

// grant starts waiting streams in their order while there is room.
func (q *schedule) grant(now time.Time) {
	for q.scheduler.Len() > 0 {
		if t := q.scheduler.Head().Value.(*turn); q.admission.isDown(t.job) {
			q.end(t, now, t.job.groupDownRefusal())
			continue
		}
		q.readRoom(now)
		if !q.scheduler.MayStart() {
			return
		}
		if owed := q.scheduler.Owed(now); owed != nil && q.startBelow(owed, 1, now) {
			continue
		}
		head := q.scheduler.Head()
		if !q.startBelow(head, q.scheduler.Share(now, head), now) {
			return
		}
	}
}

// startBelow admits a waiting stream below a share of the limit. It returns false if there is no place. A stream that is
// refused for another reason leaves the queue with that refusal.
func (q *schedule) startBelow(r *scheduling.Request, share float64, now time.Time) bool {
	t := r.Value.(*turn)
	t.decision.Share = share
	refused := q.admission.admit(t.job, share)
	switch {
	case refused == nil:
		t.start(q, now)
		t.result <- nil
	case refused.reason == reasonNoPlace:
		return false
	default:
		q.end(t, now, refused)
	}
	return true
}

// end takes a waiting stream out of the queue with a refusal.
func (q *schedule) end(t *turn, now time.Time, refused *refusal) {
	q.scheduler.Remove(t.request)
	t.decision.Wait = now.Sub(t.job.arrived)
	t.result <- refused
}

// readRoom tells the scheduler the room at the time of a load report, or after two dispatchIntervals without one.
func (q *schedule) readRoom(now time.Time) {
	reported := *q.admission.server.fleet.loadsReported.Load()
	if reported.Equal(q.roomReport) && now.Sub(q.roomRead) < 2*dispatchInterval {
		return
	}
	q.roomRead, q.roomReport = now, reported
	t := q.scheduler.Head().Value.(*turn)
	if running, limit, isKnown := q.admission.room(t.job, now); isKnown {
		q.scheduler.RecordRoom(now, limit, running, q.admission.server.fleet.entries.Load())
	}
}

// leave releases the place of a request that has ended.
func (j *job) leave() {
	if j.turn != nil && !j.turn.started.IsZero() {
		q := j.turn.schedule
		q.mutex.Lock()
		q.scheduler.RecordEnd(time.Now())
		q.mutex.Unlock()
	}
	j.admission.leave(j)
}

// recordFirstEvent records the time from the admission of a stream to its first event, unless an earlier attempt failed.
func (j *job) recordFirstEvent(now time.Time) {
	if j.turn == nil || j.turn.started.IsZero() || j.sent > 0 {
		return
	}
	q := j.turn.schedule
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.scheduler.RecordFirstEvent(now.Sub(j.turn.started))
}
