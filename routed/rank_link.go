package routed

import (
	"context"
	"sync"
	"time"

	"guavahitch.example/guavahitch/lockstep"
)

const (
	// sidecarRead and sidecarOrder are how long the process beside a rank may take before the engine is reached
	// without it.
	sidecarRead  = 110 * time.Millisecond
	sidecarOrder = 45 * time.Millisecond
	// sidecarBackoff is how long a process that did not answer is passed over.
	sidecarBackoff = 800 * time.Millisecond
)

// rankLink reaches one rank by the process beside it, or directly while that does not answer.
type rankLink struct {
	remote lockstep.Remote
	direct lockstep.Sidecar

	mutex        sync.Mutex
	avoidedUntil time.Time
}

func (l *rankLink) read(ctx context.Context, withCounts, withPlacement bool) (lockstep.State, error) {
	if l.mayAsk(time.Now()) {
		bounded, cancel := context.WithTimeout(ctx, sidecarRead)
		state, err := l.remote.Read(bounded, withCounts, withPlacement)
		cancel()
		if !l.isSilent(err) {
			return state, err
		}
	}
	// Counts that are read from another instance hold the group up.
	return l.direct.State(ctx, false, withPlacement)
}

func (l *rankLink) give(ctx context.Context, order lockstep.Order) (*lockstep.State, error) {
	if l.mayAsk(time.Now()) {
		bounded, cancel := context.WithTimeout(ctx, sidecarOrder)
		after, err := l.remote.Give(bounded, order)
		cancel()
		if !l.isSilent(err) {
			return after, err
		}
	}
	return nil, l.direct.Order(ctx, order)
}

func (l *rankLink) mayAsk(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.After(l.avoidedUntil)
}

// isSilent reports whether an error means that the process beside the rank did not answer, and passes it over for
// a while then.
func (l *rankLink) isSilent(err error) bool {
	if err == nil || lockstep.IsAnswer(err) {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.avoidedUntil = time.Now().Add(sidecarBackoff)
	return true
}
