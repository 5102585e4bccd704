package lockstep_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/lockstep"
)

// A rank that reports experts which do not exist, or one of them twice, must end neither the coordinator nor its process.
func TestMalformedPlacementIsAnError(t *testing.T) {
	for name, experts := range map[string][]int{"too large": {0, 99}, "negative": {-1, 8}, "twice": {8, 8}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGroup(1, lockstep.Shape{Ranks: 8, Sets: 2, Experts: 32, Slots: 8, StagingSlots: 4})
				engine := g.engine()
				read := engine.Read
				engine.Read = func(ctx context.Context, rank int, withCounts, withPlacement bool) (lockstep.State, error) {
					s, err := read(ctx, rank, withCounts, withPlacement)
					if withPlacement && rank == 3 {
						s.Placement[1] = experts
					}
					return s, err
				}
				ctx, cancel := context.WithCancel(t.Context())
				var failures, switches atomic.Int64
				g.coordinate(ctx, lockstep.Settings{OnEvent: func(e lockstep.Event) {
					switch {
					case e.Kind == "failed" && strings.Contains(e.Detail, "rank 3"):
						failures.Add(1)
					case e.Kind == "switched":
						switches.Add(1)
					}
				}}, engine)
				time.Sleep(5 * time.Second)
				cancel()
				time.Sleep(time.Minute)
				require.Positive(t, failures.Load())
				require.Zero(t, switches.Load())
			})
		})
	}
}
