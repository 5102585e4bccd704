package forward

import (
	"net/http"
	"sync"
	"time"
)

// A server that has just started hears of its configuration and of the upstreams within a second. Requests that it
// would refuse only for that wait a little instead.

const (
	// warmupTime is how long after its start a server may still lack knowledge.
	warmupTime = 3 * time.Second
	// longestHold is the longest time that a request waits for such knowledge, and holdShare the longest part of
	// the time to its deadline. Callers turn away from an entry that is silent for a second.
	longestHold = 900 * time.Millisecond
	holdShare   = 0.25
)

// broadcast wakes all that wait for a change.
type broadcast struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// next returns a channel that is closed at the next change.
func (b *broadcast) next() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// wake tells of a change.
func (b *broadcast) wake() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// isWarming reports whether the server started so lately that it may lack knowledge.
func (s *Server) isWarming(now time.Time) bool { return now.Sub(s.started) < warmupTime }

// holdUntil returns until when a request may wait for knowledge.
func (j *job) holdUntil() time.Time {
	left := defaultDeadline
	if requested, isGiven := j.requestedTime(); isGiven {
		left = requested
	}
	if !j.deadline.IsZero() {
		left = j.deadline.Sub(j.arrived)
	}
	return j.heldSince.Add(min(longestHold, time.Duration(holdShare*float64(left))))
}

// awaitChange waits for the next change of what the server knows, or for the next look at a group that is down. It
// reports whether the request may wait on.
func (j *job) awaitChange(changed <-chan struct{}) bool {
	left := time.Until(j.holdUntil())
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, probeInterval))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return left > probeInterval
	case <-j.request.Context().Done():
		return false
	}
}

// awaitTable returns the configuration in force, or nil if none comes in time.
func (j *job) awaitTable() *refusal {
	s := j.server
	for {
		changed := s.fleet.changes.next()
		if j.table = s.table.Load(); j.table != nil {
			return nil
		}
		if !s.isWarming(time.Now()) || !j.awaitChange(changed) {
			return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration", retryAfter: time.Second}
		}
	}
}

// awaitPlace admits the request. One that finds no place waits while the rest of the upstreams is not known yet, or
// while its group is about to serve again.
func (j *job) awaitPlace() *refusal {
	for {
		changed := j.server.fleet.changes.next()
		refused := j.gate.admit(j)
		if refused == nil || !j.isWorthHolding(time.Now()) || !j.awaitChange(changed) {
			return refused
		}
	}
}

// isComplete reports whether all upstreams of a service are known, as far as they tell.
func (f *Fleet) isComplete(service string) bool {
	upstreams := f.Service(service)
	return len(upstreams) > 0 && len(upstreams) >= upstreams[0].Instance().Group.Size
}
