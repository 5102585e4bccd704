package routed

import (
	"context"
	"sync"
	"time"

	"guavahitch.example/guavahitch/lockstep"
)

const (
	// sidecarReadTimeout and sidecarOrderTimeout bound a read and an order through the sidecar of a rank. After that,
	// the engine is called directly.
	sidecarReadTimeout  = 110 * time.Millisecond
	sidecarOrderTimeout = 45 * time.Millisecond
	// sidecarBackoff is how long a sidecar that did not answer is not used.
	sidecarBackoff = 800 * time.Millisecond
)

// rankLink is the connection of a coordinator to one rank. It uses the sidecar of the rank, and calls the engine
// directly while the sidecar does not answer.
type rankLink struct {
	remote lockstep.Remote
	direct lockstep.Sidecar
	// onSkipped, when set, is called when the sidecar did not answer a call and a backoff begins.
	onSkipped func(call string, took time.Duration, err error)

	mutex        sync.Mutex
	skippedUntil time.Time
}

// read returns the state of the rank. If the engine was called directly, the state may be up to reportLag old.
func (l *rankLink) read(
	ctx context.Context, reportLag time.Duration, withCounts, withPlacement bool,
) (lockstep.State, error) {
	if l.usesSidecar(time.Now()) {
		began := time.Now()
		bounded, cancel := context.WithTimeout(ctx, sidecarReadTimeout)
		state, err := l.remote.Read(bounded, withCounts, withPlacement)
		cancel()
		if !l.isUnreachable("read", began, err) {
			return state, err
		}
	}
	// A direct read leaves counts out, because reading them from another instance delays the group.
	state, err := l.direct.State(ctx, false, withPlacement)
	state.MaxAge = reportLag
	return state, err
}

// sendOrder sends an order to the rank. The state after the order is nil if the engine was called directly.
func (l *rankLink) sendOrder(ctx context.Context, order lockstep.Order) (*lockstep.State, error) {
	if l.usesSidecar(time.Now()) {
		began := time.Now()
		bounded, cancel := context.WithTimeout(ctx, sidecarOrderTimeout)
		after, err := l.remote.Give(bounded, order)
		cancel()
		if !l.isUnreachable(string(order.Kind), began, err) {
			return after, err
		}
	}
	return nil, l.direct.Order(ctx, order)
}

// usesSidecar reports whether the backoff after the last failure of the sidecar is over.
func (l *rankLink) usesSidecar(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.After(l.skippedUntil)
}

// isUnreachable reports whether the error of a call means that the sidecar did not answer. It then starts the backoff.
func (l *rankLink) isUnreachable(call string, began time.Time, err error) bool {
	if err == nil || lockstep.IsAnswer(err) {
		return false
	}
	if l.onSkipped != nil {
		l.onSkipped(call, time.Since(began), err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.skippedUntil = time.Now().Add(sidecarBackoff)
	return true
}
