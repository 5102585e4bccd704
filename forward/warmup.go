package forward

import (
	"net/http"
	"sync"
	"time"
)

// This file lets requests wait while the server is starting or their group is recovering. A server that has just
// started receives its configuration and its upstreams within a second. Requests that it would refuse only because
// these are missing wait for a short time instead.

const (
	// warmupTime is the time after its start in which a server may still lack its configuration or upstreams.
	warmupTime = 3 * time.Second
	// maxWait is the longest time that a request waits, and maxWaitShare the largest share of the time to its deadline.
	// Callers give up a stream without an event after two seconds, and it has yet to begin when the wait is over.
	maxWait      = 900 * time.Millisecond
	maxWaitShare = 0.25
)

// broadcast notifies any number of waiting goroutines of a change.
type broadcast struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// next returns a channel that is closed by the next call of notify.
func (b *broadcast) next() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// notify closes the channel that next has returned.
func (b *broadcast) notify() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// isWarming reports whether the server started so recently that its configuration or upstreams may be missing.
func (s *Server) isWarming(now time.Time) bool { return now.Sub(s.started) < warmupTime }

// waitUntil returns the time until which the request may wait.
func (j *job) waitUntil() time.Time {
	left := defaultDeadline
	if requested, isGiven := j.requestedTime(); isGiven {
		left = requested
	}
	if !j.deadline.IsZero() {
		left = j.deadline.Sub(j.arrived)
	}
	return j.waitSince.Add(min(maxWait, time.Duration(maxWaitShare*float64(left))))
}

// awaitChange waits until the channel is closed, which signals a change, or until the next probe of a group that is
// down. It reports whether the request may be checked again.
func (j *job) awaitChange(changed <-chan struct{}) bool {
	left := time.Until(j.waitUntil())
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

// awaitTable sets the job's table to the configuration in force. It returns a refusal if none arrives in time.
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

// awaitAdmission admits the request or returns the refusal. A request that cannot be admitted waits while not all
// upstreams are known yet, while its group is about to serve again, or for its turn.
func (j *job) awaitAdmission() *refusal {
	for {
		changed := j.server.fleet.changes.next()
		// This is decided before admission: an upstream that becomes known just after a refusal must not end the wait.
		shouldWait := j.shouldWait(time.Now())
		refused := j.scheduleAdmission()
		if refused == nil || !shouldWait || !j.awaitChange(changed) {
			return refused
		}
	}
}

// hasAllRanks reports whether the fleet knows an upstream of a service that stands alone, or all ranks of a group, outside
// evacuated domains.
func (f *Fleet) hasAllRanks(service string) bool { return hasCompleteGroup(f.open(f.Service(service))) }
