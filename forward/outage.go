package forward

import (
	"net/http"
	"time"
)

// The ranks of a group run each pass together. When one of them is lost, the others cut off their streams and refuse
// requests until it is back and the group has formed anew.

const (
	// probeInterval is the time between two requests that find out whether a group serves again.
	probeInterval = 200 * time.Millisecond
	// quietTime is the time without events of running streams from which a refusal speaks for the whole group.
	quietTime = 300 * time.Millisecond
	// outageRetry is when a request may come again that found its group down.
	outageRetry = 1500 * time.Millisecond
	// retryShare is the largest part of the time to the deadline that a caller is told to wait.
	retryShare = 0.3
	// lostTime is the silence of a rank towards control from which its group is not expected to form soon.
	lostTime = 2 * time.Second
)

// outage tells whether a group serves.
type outage struct {
	isDown bool
	// probed is when a request was last sent to find out, served when an event came last.
	probed, served time.Time
}

// noteServed takes an event of a stream, and reports whether it ended an outage.
func (o *outage) noteServed(now time.Time) bool {
	wasDown := o.isDown
	o.isDown, o.served = false, now
	return wasDown
}

// noteRefused takes a refusal that speaks for the whole group, and reports whether it began an outage.
func (o *outage) noteRefused(now time.Time) bool {
	if o.isDown {
		return false
	}
	o.isDown, o.probed = true, now
	return true
}

// blocks reports whether a request is not to be sent now. While the group is down, one goes in each interval.
func (o *outage) blocks(now time.Time) bool {
	if !o.isDown {
		return false
	}
	if now.Sub(o.probed) < probeInterval {
		return true
	}
	o.probed = now
	return false
}

// noteRefused takes a refusal by an upstream; culprit is the address of the upstream at fault, if it was named.
func (g *gate) noteRefused(now time.Time, u *Upstream, culprit string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.engine == nil {
		return
	}
	instance := u.Instance()
	isOthers := culprit != "" && culprit != instance.Address
	isQuiet := g.inFlight > 1 && now.Sub(g.outage.served) > quietTime
	isWhole := isOthers || isQuiet || u.isClosed.Load()
	if u.isClosed.Load() && g.server.fleet.hasOpenRank(instance.Service) {
		// Another group of the service takes its requests.
		isWhole = false
	}
	if isWhole && g.outage.noteRefused(now) {
		g.tell(Outage{
			Service: instance.Service, IsDown: true, Upstream: instance.ID, Culprit: culprit,
			SinceLastEvent: now.Sub(g.outage.served),
		})
	}
}

// tell hands on that the group is down, or serves again.
func (g *gate) tell(o Outage) {
	if onOutage := g.server.settings.OnOutage; onOutage != nil {
		onOutage(o)
	}
}

func (g *gate) blocks(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.outage.blocks(now)
}

func (g *gate) isDown() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.outage.isDown
}

// downRefusal is the answer to requests that are not worth a wait for their group.
func (j *job) downRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "group down", retryAfter: j.outageRetry()}
}

func (j *job) outageRetry() time.Duration {
	left := j.deadline.Sub(time.Now())
	return min(outageRetry, time.Duration(retryShare*float64(left)))
}

// isReturning reports whether the caller has less time than the route gives: it was refused before.
func (j *job) isReturning() bool {
	requested, isGiven := j.requestedTime()
	return isGiven && requested < j.route.Timeout
}

// isWorthHolding reports whether a request that can't be sent now is expected to be within the time that it may wait.
func (j *job) isWorthHolding(now time.Time) bool {
	if j.server.isWarming(now) && !j.server.fleet.isComplete(j.service) {
		return true
	}
	return j.gate.isDown() && (j.isReturning() || j.isCommitted || j.server.fleet.areHeard(j.service, now))
}

// areHeard reports whether all ranks of a service were heard a short time ago.
func (f *Fleet) areHeard(service string, now time.Time) bool {
	for _, u := range f.Service(service) {
		if now.Sub(u.condition(now).heard) > lostTime {
			return false
		}
	}
	return f.isComplete(service)
}

// awaitReopening returns once a request whose group was down may be sent again, or reports that it is not worth it.
func (j *job) awaitReopening() bool {
	for {
		changed := j.server.fleet.changes.next()
		now := time.Now()
		if !j.gate.blocks(now) {
			return true
		}
		if !j.isWorthHolding(now) || !j.awaitChange(changed) {
			return false
		}
	}
}
