package lockstep_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/lockstep"
	"guavahitch.example/guavahitch/upstream"
	"guavahitch.example/guavahitch/wire"
)

// The map that a sidecar decodes is the one that the coordinator planned, though it is encoded once for all ranks.
func TestEverySidecarReceivesTheMap(t *testing.T) {
	g := newFakeGroup(1, smallShape)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var mutex sync.Mutex
	planned, received := []balance.Placement{}, [][]balance.Placement{}
	behind := g.engine()
	behind.Give = func(ctx context.Context, rank int, o lockstep.Order) (*lockstep.State, error) {
		if o.Kind == lockstep.Prepare {
			mutex.Lock()
			received = append(received, o.Map)
			mutex.Unlock()
		}
		return g.give(ctx, rank, o)
	}
	remote := overLoopback(t, behind, smallShape.Ranks)
	engine := remote
	engine.Give = func(ctx context.Context, rank int, o lockstep.Order) (*lockstep.State, error) {
		if o.Kind == lockstep.Prepare {
			mutex.Lock()
			planned = o.Map
			mutex.Unlock()
		}
		return remote.Give(ctx, rank, o)
	}
	go g.run(ctx)
	settings := lockstep.Settings{Group: "g", Shape: smallShape, OnEvent: func(e lockstep.Event) {
		if e.Kind == "switched" {
			cancel()
		}
	}}
	_ = lockstep.NewCoordinator(settings, engine, lockstep.NewTokens(1)).Run(ctx)
	mutex.Lock()
	defer mutex.Unlock()
	require.NotEmpty(t, planned)
	require.GreaterOrEqual(t, len(received), smallShape.Ranks)
	for _, sets := range received {
		require.Equal(t, planned, sets)
	}
}

// overLoopback returns an engine that reaches each rank through a Sidecar over loopback HTTP.
func overLoopback(b testing.TB, engine lockstep.Engine, ranks int) lockstep.Engine {
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
			coordinator := lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: c.shape, MinSaving: 1}, engine, lockstep.NewTokens(1))
			b.ReportAllocs()
			for b.Loop() {
				require.NoError(b, coordinator.Reconcile(b.Context()))
			}
		})
	}
}
