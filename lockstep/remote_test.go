package lockstep_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/lockstep"
	"guavahitch.example/guavahitch/upstream"
	"guavahitch.example/guavahitch/wire"
)

// overLoopback returns an engine that reaches each rank through a Sidecar over loopback HTTP.
func overLoopback(b *testing.B, engine lockstep.Engine, ranks int) lockstep.Engine {
	remotes := make([]lockstep.Remote, ranks)
	client := upstream.NewClient(time.Second)
	for rank := range remotes {
		server := httptest.NewServer(wire.NewLockstepServer(lockstep.Sidecar{
			State: func(ctx context.Context, withCounts, withPlacement bool) (lockstep.State, error) {
				return engine.Read(ctx, rank, withCounts, withPlacement)
			},
			Order: func(ctx context.Context, order lockstep.Order) error {
				_, err := engine.Give(ctx, rank, order)
				return err
			},
		}))
		b.Cleanup(server.Close)
		remotes[rank] = lockstep.Remote{Client: wire.NewLockstepProtobufClient(server.URL, client)}
	}
	return lockstep.Engine{
		Read: func(ctx context.Context, rank int, withCounts, withPlacement bool) (lockstep.State, error) {
			return remotes[rank].Read(ctx, withCounts, withPlacement)
		},
		Give: func(ctx context.Context, rank int, order lockstep.Order) (*lockstep.State, error) {
			return remotes[rank].Give(ctx, order)
		},
	}
}

// BenchmarkTend measures one Reconcile of a group through the sidecars of its ranks, without a switch of the map.
func BenchmarkTend(b *testing.B) {
	for _, c := range []struct {
		name  string
		shape lockstep.Shape
	}{
		{"ranks=12", lockstep.Shape{Ranks: 12, Sets: 4, Experts: 72, Slots: 8, StagingSlots: 3}},
		{"ranks=63", lockstep.Shape{Ranks: 63, Sets: 8, Experts: 252, Slots: 5, StagingSlots: 2}},
	} {
		b.Run(c.name, func(b *testing.B) {
			counts := make([]uint32, c.shape.Sets*c.shape.Experts)
			for i := range counts {
				counts[i] = 100_000
			}
			placement := make([][]int, c.shape.Sets)
			read := func(_ context.Context, rank int, _, withPlacement bool) (lockstep.State, error) {
				s := lockstep.State{Born: 1, Epoch: 1, IsOpen: true, Rank: rank, Step: 10, Counts: counts, Pace: 1}
				if withPlacement {
					s.Placement = placement
					for set := range placement {
						placement[set] = nil
						for e := rank; e < c.shape.Experts; e += c.shape.Ranks {
							placement[set] = append(placement[set], e)
						}
					}
				}
				return s, nil
			}
			give := func(context.Context, int, lockstep.Order) (*lockstep.State, error) { return nil, nil }
			engine := overLoopback(b, lockstep.Engine{Read: read, Give: give}, c.shape.Ranks)
			coordinator := lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: c.shape, MinGain: 1}, engine, 1)
			b.ReportAllocs()
			for b.Loop() {
				require.NoError(b, coordinator.Reconcile(b.Context()))
			}
		})
	}
}
