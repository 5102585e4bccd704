package forward

import (
	"net/http"
	"slices"
	"time"
)

// This file detects outages of a whole group. The ranks of a group run each pass together. When one of them is lost,
// the others abort their streams and refuse requests until it is back and the group has formed again.

const (
	// probeInterval is the time between two requests that are sent to a group that is down, to test whether it serves
	// again.
	probeInterval = 200 * time.Millisecond
	// groupSilenceTimeout is the time without an event of any stream after which a refusal counts as an outage of the
	// whole group.
	groupSilenceTimeout = 300 * time.Millisecond
	// maxRefusals is the number of refusals without an event between them after which a group can count as down although
	// none of its requests is running.
	maxRefusals = 3
	// maxRetryAfterOutage is the longest Retry-After of a request that is refused because its group is down, before
	// the random part that refuse adds.
	maxRetryAfterOutage = 1500 * time.Millisecond
	// retryAfterShare is the largest Retry-After of such a request as a share of the time to its deadline, also before
	// the random part.
	retryAfterShare = 0.3
	// lostRankTimeout is the time without a heartbeat of a rank to control after which its group is not expected to
	// form again soon. It is also how long a group may lack a rank before requests stop waiting for it.
	lostRankTimeout = 2 * time.Second
)

// outage records whether the group of a service is down.
type outage struct {
	isDown bool
	// lastProbe is when the last probe request was let through, lastEvent when the last event of a stream arrived.
	lastProbe, lastEvent time.Time
	// placed is when the first request since the last event was placed on the group, refusals the number of refusals
	// since then. They are used for services that are placed by group, some of whose groups may be idle.
	placed   time.Time
	refusals int
}

// recordPlacement records a request that was placed on the group.
func (o *outage) recordPlacement(now time.Time) {
	if !o.placed.After(o.lastEvent) {
		o.placed = now
	}
}

// silence returns the time since the last event, or since a request was placed on the group after it.
func (o *outage) silence(now time.Time) time.Duration {
	if o.placed.After(o.lastEvent) {
		return now.Sub(o.placed)
	}
	return now.Sub(o.lastEvent)
}

// isQuiet reports whether no event of the group has arrived for groupSilenceTimeout although several requests have waited
// for one or were refused.
func (o *outage) isQuiet(now time.Time, running int64) bool {
	return o.silence(now) > groupSilenceTimeout && (running > 1 || o.refusals >= maxRefusals)
}

// recordEvent records an event of a stream, and reports whether it ended an outage.
func (o *outage) recordEvent(now time.Time) bool {
	wasDown := o.isDown
	o.isDown, o.lastEvent, o.refusals = false, now, 0
	return wasDown
}

// recordRefusal records a refusal that affects the whole group, and reports whether it began an outage.
func (o *outage) recordRefusal(now time.Time) bool {
	if o.isDown {
		return false
	}
	o.isDown, o.lastProbe = true, now
	return true
}

// blocks reports whether a request must not be sent now. While the group is down, one request per interval is let
// through as a probe.
func (o *outage) blocks(now time.Time, interval time.Duration) bool {
	return o.isDown && !o.takeProbe(now, interval)
}

// takeProbe reports whether a request is to be sent as a probe now, which begins the next interval.
func (o *outage) takeProbe(now time.Time, interval time.Duration) bool {
	if now.Sub(o.lastProbe) < interval {
		return false
	}
	o.lastProbe = now
	return true
}

// recordRefusal records a refusal by an upstream; culprit is the address of the upstream at fault, or empty if the
// refusal names none. The refusal counts for the whole group if it names another upstream, if no stream of several has
// had an event for a while, or if the group has announced that it is not running.
func (g *admission) recordRefusal(now time.Time, u *Upstream, culprit string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.engine == nil {
		return
	}
	instance := u.Instance()
	namesOther := culprit != "" && culprit != instance.Address
	group := g.groupOf(u)
	group.outage.refusals++
	isQuiet := g.inFlight > 1 && now.Sub(group.outage.lastEvent) > groupSilenceTimeout
	if group != g.whole {
		isQuiet = group.outage.isQuiet(now, group.own())
	}
	affectsGroup := namesOther || isQuiet || u.currentState().IsGroupDown
	if g.server.fleet.isEvacuated(u) {
		// Requests that were under way there tell nothing about the upstreams that new requests go to.
		affectsGroup = false
	}
	if affectsGroup && group.outage.recordRefusal(now) {
		g.reportOutage(Outage{
			Service: instance.Service, Group: group.name, IsDown: true, Upstream: instance.ID, Culprit: culprit,
			SinceLastEvent: group.outage.silence(now),
		})
	}
}

// reportOutage calls Settings.OnOutage.
func (g *admission) reportOutage(o Outage) {
	if onOutage := g.server.settings.OnOutage; onOutage != nil {
		onOutage(o)
	}
}

// blocks reports whether a request must not be sent again now, because its service is down. If one of several groups is
// to be tested, the request is placed on it.
func (g *admission) blocks(j *job, now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.engine == nil {
		return false
	}
	g.countCapacity(j.service, now)
	if !g.isPlacedByGroup() {
		return g.whole.outage.blocks(now, probeInterval)
	}
	probed, mustWait := g.probe(j, g.usableGroups(j, now), now)
	j.probed = probed
	return mustWait
}

// isDown reports whether the service is down for a request: all groups that it may use if the service is placed by group.
func (g *admission) isDown(j *job) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.isPlacedByGroup() || len(g.present) == 0 {
		return g.whole.outage.isDown
	}
	groups := g.usableGroups(j, time.Now())
	return !slices.ContainsFunc(groups, func(group *groupAdmission) bool { return !group.isDown() })
}

// groupDownRefusal returns the refusal of requests that do not wait for their group.
func (j *job) groupDownRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "group down", retryAfter: j.retryAfterOutage()}
}

func (j *job) retryAfterOutage() time.Duration {
	left := j.deadline.Sub(time.Now())
	return min(maxRetryAfterOutage, time.Duration(retryAfterShare*float64(left)))
}

// isCallerRetry reports whether the caller seems to retry a request that was refused before: its deadline leaves less
// time than the timeout of the route.
func (j *job) isCallerRetry() bool {
	requested, isGiven := j.requestedTime()
	return isGiven && requested < j.route.Timeout
}

// shouldWait reports whether a request that cannot be sent now is likely to be sendable within the time that it may
// wait. A group that has lacked ranks for a while does not form within that time.
func (j *job) shouldWait(now time.Time) bool {
	if j.unusableRefusal(now) != nil {
		return false
	}
	if j.server.isWarming(now) && !j.server.fleet.hasAllRanks(j.service) {
		return true
	}
	if j.server.fleet.lacksRanks(j.service, now) {
		return false
	}
	return j.admission.isDown(j) && (j.isCallerRetry() || j.isHeadSent || j.server.fleet.allRanksHeard(j.service, now))
}

// allRanksHeard reports whether all ranks of a service outside evacuated domains are known and sent a heartbeat to control
// recently.
func (f *Fleet) allRanksHeard(service string, now time.Time) bool {
	for _, u := range f.open(f.Service(service)) {
		if now.Sub(u.currentState().LastHeartbeat) > lostRankTimeout {
			return false
		}
	}
	return f.hasAllRanks(service)
}

// awaitRecovery waits while the group of a request is down. It returns true once the request may be sent again, and
// false if it should not or cannot wait longer.
func (j *job) awaitRecovery() bool {
	for {
		changed := j.server.fleet.changes.next()
		now := time.Now()
		if !j.admission.blocks(j, now) {
			return true
		}
		if !j.shouldWait(now) || !j.awaitChange(changed) {
			return false
		}
	}
}
