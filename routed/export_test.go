package routed

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/lockstep"
)

// ReadRank reads a rank through a link with the given sidecar and engine.
func ReadRank(ctx context.Context, remote lockstep.Remote, direct lockstep.Sidecar, reportLag time.Duration) (lockstep.State, error) {
	link := &rankLink{remote: remote, direct: direct}
	return link.read(ctx, reportLag, true, false)
}
