package sidecar

import (
	"context"
	"sync"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// release.go tells a sidecar which answers it can drop. Releases go out with the next stream to the sidecar, or in a
// call of their own when no stream is opened soon.

const (
	// releaseDelay is how long a release waits for the next stream before it is sent on its own.
	releaseDelay = 500 * time.Millisecond
	// maxPendingReleases is the number of pending releases at which they are sent without delay.
	maxPendingReleases = 256
)

// releases holds the pending releases of one link.
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
		r.timer = time.AfterFunc(releaseDelay, l.sendReleases)
	}
	if len(r.ids) >= maxPendingReleases {
		r.timer.Reset(0)
	}
}

// takeReleases removes and returns the pending releases, for the caller to send. When they are lost with its message,
// the sidecar drops the answers later, after no entry has asked for them for a long time.
func (l *Link) takeReleases() []*wire.AttemptID {
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

func (l *Link) sendReleases() {
	ids := l.takeReleases()
	if len(ids) == 0 {
		return
	}
	_ = l.call(context.Background(), 0, func(ctx context.Context, g *generation) error {
		_, err := g.client.Release(ctx, &wire.ReleaseRequest{Ids: ids})
		return err
	})
}
