package lockstep_test

import (
	"context"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/lockstep"
)

var smallShape = lockstep.Shape{Ranks: 4, Sets: 2, Experts: 16, Slots: 6, StagingSlots: 2}

// seeds is the number of random runs; make torture runs more.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("GUAVAHITCH_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 40
}

// A coordinator balances a skewed group within 5 s, and no pass waits for a hold while all orders are answered.
func TestCoordinatorBalancesGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(1, smallShape)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		before := g.skew()
		g.coordinate(ctx, lockstep.Settings{}, g.engine())
		time.Sleep(5 * time.Second)
		require.Less(t, g.skew(), 1.15, "from %.2f", before)
		require.Empty(t, g.splits)
		require.Zero(t, g.stalled, "no pass waits for a hold while orders are answered")
	})
}

// Guards against passes that begin while ranks use different maps, and against a group that stays held. Each seed mixes
// late and lost orders, changes of leader with old leaders still active, unreachable ranks, ranks that report an earlier
// state, idle times and groups that form again. After the faults stop, the group must run passes and be balanced.
func TestOneMapPerPassUnderFaults(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := runHistory(t, seed)
				require.Empty(t, h.splits, "seed %d", seed)
				require.Greater(t, h.passes, uint64(50), "seed %d: the group runs too few passes", seed)
				require.Less(t, h.skew, 1.5, "seed %d: no switch since the faults stopped", seed)
			})
		})
	}
}

// Guards against a pass that begins while only some ranks are armed. The group runs passes during arming; without a
// hold it reaches the armed pass too early.
func TestHoldIsNeeded(t *testing.T) {
	requireMechanismNeeded(t, lockstep.Mechanisms{Hold: true}, func(g *fakeGroup, without lockstep.Mechanisms) *lockstep.Coordinator {
		engine, arms, turn := g.engine(), 0, make(chan struct{}, 1)
		engine.Give = func(ctx context.Context, rank int, order lockstep.Order) (*lockstep.State, error) {
			// One order at a time, so that the passes begin before the next rank is armed.
			turn <- struct{}{}
			defer func() { <-turn }()
			after, err := g.give(ctx, rank, order)
			isFirst := false
			g.locked(func() {
				if order.Kind == lockstep.Arm && err == nil {
					arms++
					isFirst = arms == 1
				}
			})
			for k := 0; isFirst && k < 2*lockstep.DefaultLeadPasses; k++ {
				g.pass()
			}
			return after, err
		}
		return lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: smallShape, Disabled: without}, engine, lockstep.NewTokens(1))
	})
}

// Guards against a late Arm of an earlier leader, executed on one rank just before the next leader releases the group.
// Without fencing tokens that rank alone switches its map.
func TestFenceIsNeeded(t *testing.T) {
	requireMechanismNeeded(t, lockstep.Mechanisms{Fence: true}, func(g *fakeGroup, without lockstep.Mechanisms) *lockstep.Coordinator {
		token := uint64(1)
		if without.Fence {
			token = math.MaxUint64
		}
		g.prepareAll(1)
		time.Sleep(2 * copyTime)
		held := lockstep.Order{Kind: lockstep.Hold, Step: g.now() + 1, Epoch: g.epoch, Fence: token}
		g.locked(func() { _ = g.execute(0, held) })
		engine := g.engine()
		engine.Give = func(ctx context.Context, rank int, order lockstep.Order) (*lockstep.State, error) {
			if order.Kind == lockstep.Release {
				late := lockstep.Order{Kind: lockstep.Arm, Version: 1, Step: held.Step, Epoch: held.Epoch, Fence: token}
				g.locked(func() { _ = g.execute(1, late) })
			}
			return g.give(ctx, rank, order)
		}
		return lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: smallShape, Disabled: without}, engine, lockstep.NewTokens(2))
	})
}

// requireMechanismNeeded checks that a pass begins on different maps without a mechanism, and that none does with all
// mechanisms.
func requireMechanismNeeded(
	t *testing.T, mechanism lockstep.Mechanisms,
	newCoordinator func(*fakeGroup, lockstep.Mechanisms) *lockstep.Coordinator,
) {
	for name, without := range map[string]lockstep.Mechanisms{"all mechanisms": {}, "without": mechanism} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGroup(1, smallShape)
				coordinator := newCoordinator(g, without)
				for range 40 {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					_ = coordinator.Reconcile(ctx)
					cancel()
					g.pass()
					time.Sleep(lockstep.DefaultInterval)
				}
				require.Equal(t, without == mechanism, len(g.splits) > 0, "%.80s", fmt.Sprint(g.splits))
			})
		})
	}
}

// Guards against a group that stays held for ever. The first leader ends right after its hold; the next one releases
// the hold because it settles the group first.
func TestNextLeaderReleasesAHold(t *testing.T) {
	for name, without := range map[string]lockstep.Mechanisms{"all mechanisms": {}, "without settling": {Settle: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				passes := passesAfterAHold(t, without)
				require.Equal(t, without.Settle, passes == 0, "%d passes", passes)
			})
		})
	}
}

// passesAfterAHold returns how many passes the group runs within 5 s, 10 s after a second leader began. The first
// leader ended right after its hold.
func passesAfterAHold(t *testing.T, without lockstep.Mechanisms) uint64 {
	g := newFakeGroup(1, smallShape)
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		time.Sleep(time.Minute)
	}()
	go g.run(ctx)
	first, stop := context.WithCancel(ctx)
	engine := g.engine()
	engine.Give = func(ctx context.Context, rank int, order lockstep.Order) (*lockstep.State, error) {
		after, err := g.give(ctx, rank, order)
		if order.Kind == lockstep.Hold && err == nil {
			stop()
		}
		return after, err
	}
	go func() {
		_ = lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: smallShape}, engine, lockstep.NewTokens(1)).Run(first)
	}()
	<-first.Done()
	second := lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: smallShape, Disabled: without}, g.engine(), lockstep.NewTokens(2))
	go func() { _ = second.Run(ctx) }()
	time.Sleep(10 * time.Second)
	step := g.now()
	time.Sleep(5 * time.Second)
	return g.now() - step
}

// Guards against a leader that disarms one rank while another rank begins its next pass with the armed map. An earlier
// leader arms the ranks and the group runs passes while the next leader settles.
func TestEarlierLeaderGoesOnWhileTheNextSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(1, smallShape)
		g.prepareAll(1)
		time.Sleep(2 * copyTime)
		engine, isArmed := g.engine(), false
		engine.Give = func(ctx context.Context, rank int, order lockstep.Order) (*lockstep.State, error) {
			g.locked(func() {
				if !isArmed {
					isArmed = true
					for r := range g.ranks {
						_ = g.execute(r, lockstep.Order{Kind: lockstep.Arm, Version: 1, Step: g.step + 1, Epoch: g.epoch, Fence: 1})
					}
				}
			})
			after, err := g.give(ctx, rank, order)
			if order.Kind == lockstep.Disarm && err == nil {
				g.pass()
			}
			return after, err
		}
		second := lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: smallShape}, engine, lockstep.NewTokens(2))
		for range 3 {
			_ = second.Reconcile(t.Context())
		}
		require.True(t, isArmed)
		require.Empty(t, g.splits)
	})
}

// prepareAll makes all ranks prepare a copy of the current map under a version.
func (g *fakeGroup) prepareAll(version uint64) {
	g.locked(func() {
		next := make([]balance.Placement, smallShape.Sets)
		for set := range next {
			for _, r := range g.ranks {
				next[set] = append(next[set], slices.Clone(r.placement[set]))
			}
		}
		for r := range g.ranks {
			_ = g.execute(r, lockstep.Order{Kind: lockstep.Prepare, Version: version, Epoch: g.epoch, Fence: 1, Map: next})
		}
	})
}

// history is the result of a random run.
type history struct {
	splits []string
	// passes is the number of passes in the last five seconds, skew the skew of the map at the end.
	passes uint64
	skew   float64
}

func runHistory(t *testing.T, seed uint64) history {
	g := newFakeGroup(seed, smallShape)
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		time.Sleep(time.Minute)
	}()
	go g.run(ctx)
	leaders := map[uint64]context.CancelFunc{}
	lead := func(term uint64) {
		inner, stop := context.WithCancel(ctx)
		leaders[term] = stop
		c := lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: smallShape}, g.engine(), lockstep.NewTokens(term))
		go func() { _ = c.Run(inner) }()
	}
	term := uint64(1)
	lead(term)
	g.mutex.Lock()
	g.lateFraction = []float64{0, 0.1, 0.35, 0.5}[seed%4]
	g.mutex.Unlock()
	for range 40 {
		time.Sleep(time.Duration(g.randomInt(1200)) * time.Millisecond)
		switch g.randomInt(8) {
		case 0, 1, 2:
			g.locked(g.shiftDemand)
		case 3:
			// The old leader either has not noticed yet that it lost its term, or ended, perhaps during a switch.
			if g.randomInt(2) == 0 {
				leaders[term]()
			}
			term++
			lead(term)
		case 4:
			g.reform()
		case 5:
			rank := g.randomInt(smallShape.Ranks)
			g.locked(func() { g.cutOff[rank] = true })
			time.Sleep(time.Duration(g.randomInt(1500)) * time.Millisecond)
			g.locked(func() { delete(g.cutOff, rank) })
		case 6:
			g.locked(func() { g.isIdle = !g.isIdle })
		case 7:
			rank := g.randomInt(smallShape.Ranks)
			g.locked(func() { g.delayed[rank] = !g.delayed[rank] })
		}
	}
	g.locked(func() {
		g.lateFraction, g.isIdle = 0, false
		clear(g.delayed)
	})
	time.Sleep(10 * time.Second)
	step := g.now()
	time.Sleep(5 * time.Second)
	return history{splits: g.splits, passes: g.now() - step, skew: g.skew()}
}

func (g *fakeGroup) locked(change func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change()
}

func (g *fakeGroup) randomInt(n int) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.random.IntN(n)
}

func (g *fakeGroup) now() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.step
}

// Load pattern: links lose packets, so a switch may hold the group for longer than the gap objective, while the demand
// shifts to other experts every second. Only switches that reduce the skew by 20 % or more are made.
func TestFewSwitchesWhileRanksAreHardToReach(t *testing.T) {
	for name, gap := range map[string]time.Duration{"with gap objective": time.Hour, "without gap objective": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				smallest := 1.0
				g := newFakeGroup(3, smallShape)
				engine, failed := g.engine(), time.Time{}
				engine.Read = func(ctx context.Context, rank int, withCounts, withPlacement bool) (lockstep.State, error) {
					if rank == 1 && time.Since(failed) > time.Second {
						failed = time.Now()
						return lockstep.State{}, eris.New("no answer")
					}
					return g.read(ctx, rank, withCounts, withPlacement)
				}
				ctx, cancel := context.WithCancel(t.Context())
				g.coordinate(ctx, lockstep.Settings{GapObjective: gap, OnEvent: func(e lockstep.Event) {
					if e.Kind == "switch" {
						smallest = min(smallest, (e.Before-e.After)/e.Before)
					}
				}}, engine)
				for range 20 {
					time.Sleep(time.Second)
					g.locked(g.shiftDemand)
				}
				cancel()
				time.Sleep(time.Minute)
				require.Less(t, smallest, 1.0, "there were switches")
				require.Equal(t, gap > 0, smallest >= 0.2, "smallest gain %.2f", smallest)
			})
		})
	}
}

// Load pattern: a rank was lost, and the group forms again with map 0 under the same load as before. The group is
// balanced for the earlier demand before new counts arrive. While the group is idle, no switch is made.
func TestNewGroupIsBalancedByEarlierDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(1, smallShape)
		var switches atomic.Int64
		var withoutCounts atomic.Bool
		engine := g.engine()
		engine.Read = func(ctx context.Context, rank int, withCounts, withPlacement bool) (lockstep.State, error) {
			state, err := g.read(ctx, rank, withCounts && !withoutCounts.Load(), withPlacement)
			return state, err
		}
		ctx, cancel := context.WithCancel(t.Context())
		g.coordinate(ctx, lockstep.Settings{OnEvent: func(e lockstep.Event) {
			if e.Kind == "switched" {
				switches.Add(1)
			}
		}}, engine)
		time.Sleep(5 * time.Second)
		withoutCounts.Store(true)
		g.locked(func() { g.isIdle = true })
		time.Sleep(10 * time.Second)
		g.reform()
		before := switches.Load()
		time.Sleep(5 * time.Second)
		require.Equal(t, before, switches.Load())
		g.locked(func() { g.isIdle = false })
		time.Sleep(time.Second)
		require.Greater(t, switches.Load(), before)
		require.Less(t, g.skew(), 1.5)
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against timeouts that measure the coordinator itself. Each call takes time of its processor; with a large group
// the calls that began first seemed unanswered while the others were still being sent.
func TestCallsOfALargeGroupDoNotTimeOut(t *testing.T) {
	const (
		ranks       = 63
		timePerCall = time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		processor := make(chan struct{}, 1)
		use := func() {
			processor <- struct{}{}
			time.Sleep(timePerCall)
			<-processor
		}
		timeouts := 0
		engine := lockstep.Engine{
			Read: func(_ context.Context, rank int, _, _ bool) (lockstep.State, error) {
				return lockstep.State{Epoch: 1, IsOpen: true, Rank: rank}, nil
			},
			Give: func(ctx context.Context, _ int, _ lockstep.Order) (*lockstep.State, error) {
				use()
				use()
				if ctx.Err() != nil {
					timeouts++
				}
				return nil, ctx.Err()
			},
		}
		shape := lockstep.Shape{Ranks: ranks, Sets: 1, Experts: ranks, Slots: 2, StagingSlots: 1}
		c := lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: shape}, engine, lockstep.NewTokens(1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_ = c.Reconcile(ctx)
		require.Zero(t, timeouts)
	})
}

// Guards against a group whose map nobody balances any more. A coordinator with other settings replaces one of the same
// term; if it counts its fencing tokens from the start, the ranks refuse its orders until the next term.
func TestCoordinatorIsReplacedWithinATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(1, smallShape)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		go g.run(ctx)
		tokens := lockstep.NewTokens(1)
		for range 3 {
			inner, stop := context.WithCancel(ctx)
			c := lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: smallShape}, g.engine(), tokens)
			ended := make(chan error, 1)
			go func() { ended <- c.Run(inner) }()
			g.locked(g.shiftDemand)
			time.Sleep(5 * time.Second)
			stop()
			require.NoError(t, <-ended)
			require.Less(t, g.skew(), 1.5)
		}
	})
}
