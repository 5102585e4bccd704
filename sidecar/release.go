package sidecar

import (
	"context"
	"sync"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// release.go tells a sidecar which answers it need not keep: with the next stream, or by a call of its own
// when none comes soon.

const (
	// releaseDelay is how long a release waits for the next stream.
	releaseDelay = 500 * time.Millisecond
	// releaseBatch is the number of releases that wait at most.
	releaseBatch = 256
)

// releases are the releases of one link that have not been sent.
type releases struct {
	mutex sync.Mutex
	ids   []*wire.AttemptID
	timer *time.Timer
}

func (l *Link) release(id *wire.AttemptID) {
	r := &l.releases
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ids = append(r.ids, shortID(id))
	if r.timer == nil {
		r.timer = time.AfterFunc(releaseDelay, l.sendReleased)
	}
	if len(r.ids) >= releaseBatch {
		r.timer.Reset(0)
	}
}

// takeReleased returns the releases that wait, for the caller to send. They may get lost with its message:
// the sidecar then drops the answers when nobody has asked for them for long.
func (l *Link) takeReleased() []*wire.AttemptID {
	r := &l.releases
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ids := r.ids
	r.ids = nil
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	return ids
}

func (l *Link) sendReleased() {
	ids := l.takeReleased()
	if len(ids) == 0 {
		return
	}
	_ = l.call(context.Background(), 0, func(ctx context.Context, g *generation) error {
		_, err := g.client.Release(ctx, &wire.ReleaseRequest{Ids: ids})
		return err
	})
}
