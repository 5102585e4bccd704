// Package limit bounds what others may make a process hold: connections, heads and bodies of requests. Each server has an
// Account, from which its connections and the bodies of its requests draw. When the Account is full, those are closed that
// make no progress; a connection whose request is whole is never closed.
package limit

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultMemory is the usual number of bytes of an Account.
	DefaultMemory = 256 << 20
	// DefaultConnections is the usual number of connections of an Account.
	DefaultConnections = 4096
	// ConnectionBytes is what a connection without a request holds: its goroutine and its buffers.
	ConnectionBytes = 24 << 10
	// headCost is the number of bytes that each byte of a head takes while it is read and decoded.
	headCost = 2
	// minBacklog is the least number of connections that may wait to be accepted.
	minBacklog = 128
	// stallTime is the time without progress after which a head or a body gives way to others when the Account is full.
	stallTime = time.Second
	// smallBodyBytes is the size up to which a body may use the last part of the memory, one in smallBodyShare.
	smallBodyBytes = 64 << 10
	smallBodyShare = 8
	// largestBodyShare is the part of the memory that one body may take: one in so many.
	largestBodyShare = 2
	// RetryAfter is the time after which a client whose body found no memory may expect some: bodies that make no progress
	// have given way then.
	RetryAfter = stallTime
	// retryInterval is the time after which a body that lacks memory looks again for others without progress.
	retryInterval = 100 * time.Millisecond
)

// ErrNoMemory is the error of a body for which there was no memory in time.
var ErrNoMemory = eris.New("no memory for the body")

type (
	// Settings bounds what the clients of one server may hold. Zero values take the defaults.
	Settings struct {
		// Memory is the number of bytes of connections, heads and bodies together.
		Memory int64
		// Connections is the number of open connections.
		Connections int
	}

	// Account counts what the clients of one server hold. It is safe for concurrent use.
	Account struct {
		settings Settings
		counts   counts

		mutex       sync.Mutex
		used        int64
		connections map[*conn]struct{}
		bodies      map[*Body]struct{}
		// turns is the number of bodies that have become large.
		turns uint64
		// largest is the size of the largest body that was allowed so far.
		largest int64
		// released is closed when memory is given back, nil while no body waits for that.
		released chan struct{}
	}

	// counts are the connections and bodies that an Account has closed.
	counts struct {
		arrivals, heads, bodies, idle, refused atomic.Int64
	}

	// Usage is what the clients of a server hold, and how many were closed because the Account was full.
	Usage struct {
		Memory      int64
		Connections int
		Bodies      int
		// ClosedArrivals counts connections that were closed when they were accepted, ClosedHeads those that had sent no whole
		// head, ClosedRefused those whose request was refused within its body, ClosedIdle those without a request, and
		// ClosedBodies bodies that were refused because they made no progress.
		ClosedArrivals, ClosedHeads, ClosedRefused, ClosedIdle, ClosedBodies int64
	}
)

// NewAccount returns an Account from which nothing is taken.
func NewAccount(settings Settings) *Account {
	settings.Memory = cmp.Or(settings.Memory, DefaultMemory)
	settings.Connections = cmp.Or(settings.Connections, DefaultConnections)
	return &Account{
		settings: settings, connections: map[*conn]struct{}{}, bodies: map[*Body]struct{}{},
	}
}

// Usage returns what is held now.
func (a *Account) Usage() Usage {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return Usage{
		Memory: a.used, Connections: len(a.connections), Bodies: len(a.bodies),
		ClosedArrivals: a.counts.arrivals.Load(), ClosedHeads: a.counts.heads.Load(), ClosedRefused: a.counts.refused.Load(),
		ClosedIdle: a.counts.idle.Load(), ClosedBodies: a.counts.bodies.Load(),
	}
}

// LargestBody returns the size of the largest body that may be read where the limit is the given one, 0 for none.
func (a *Account) LargestBody(limit int64) int64 {
	largest := a.settings.Memory / largestBodyShare
	if limit > 0 {
		return min(limit, largest)
	}
	return largest
}

// backlog returns the number of connections that may wait to be accepted. Their unread bytes take no more than the Account; the kernel
// doubles the size of a buffer.
func (a *Account) backlog() int {
	return max(int(a.settings.Memory/(2*receiveBufferBytes)), minBacklog)
}

// give returns memory. The mutex must be held.
func (a *Account) give(bytes int64) {
	a.used -= bytes
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// awaitRelease returns a channel that is closed when memory is given back. The mutex must be held.
func (a *Account) awaitRelease() <-chan struct{} {
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released
}

// isFull reports whether there is no place for a further connection. The mutex must be held.
func (a *Account) isFull() bool {
	return len(a.connections) >= a.settings.Connections || a.used+ConnectionBytes > a.settings.Memory-a.reserved(a.firstLarge())
}

// makeRoomForConnection closes the connections that hold up a new one, and reports whether there is a place. Those without a
// whole head go first, then those that were refused within a body, then bodies without progress, then idle connections; each time
// the oldest. The mutex must be held.
func (a *Account) makeRoomForConnection(now time.Time) bool {
	for a.isFull() {
		if a.closeOldest(isUnfinished, now, 0) {
			a.counts.heads.Add(1)
			continue
		}
		if a.closeOldest(isRefused, now, 0) {
			a.counts.refused.Add(1)
			continue
		}
		// An aborted body gives its memory back soon, its connection only after the refusal was sent.
		if a.abortStalledBody(now) && len(a.connections) < a.settings.Connections {
			return true
		}
		if !a.closeOldest(isIdle, now, 0) {
			return false
		}
		a.counts.idle.Add(1)
	}
	return true
}

// makeRoomForBody closes a head or aborts a body that has made no progress for stallTime. The mutex must be held.
func (a *Account) makeRoomForBody(now time.Time) {
	if a.closeOldest(isUnfinished, now, stallTime) {
		a.counts.heads.Add(1)
		return
	}
	a.abortStalledBody(now)
}

// closeOldest closes the connection that has been in one of the phases for longest, at least for the given time, and reports
// whether there was one. The mutex must be held.
func (a *Account) closeOldest(isCandidate func(phase) bool, now time.Time, least time.Duration) bool {
	var oldest *conn
	for c := range a.connections {
		if isCandidate(c.phase) && now.Sub(c.since) >= least && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.remove()
	return true
}

// abortStalledBody aborts the body that has made no progress for at least stallTime and holds most for longest, and reports
// whether there is one that is being aborted. The mutex must be held.
func (a *Account) abortStalledBody(now time.Time) bool {
	var worst *Body
	var most float64
	for b := range a.bodies {
		if b.state == aborted {
			return true
		}
		stalled := now.Sub(b.progress)
		if b.state != reading || stalled < stallTime {
			continue
		}
		if cost := float64(b.held) * stalled.Seconds(); worst == nil || cost > most {
			worst, most = b, cost
		}
	}
	if worst == nil {
		return false
	}
	worst.abort()
	a.counts.bodies.Add(1)
	return true
}

// closeExpired closes the connections whose head or next request did not come in time.
func (a *Account) closeExpired(now time.Time, timeouts Timeouts) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for c := range a.connections {
		if now.Sub(c.since) >= timeouts.of(c.phase) {
			c.remove()
		}
	}
}
