package lockstep_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/lockstep"
)

// runDelayed runs a group with a coordinator while the sidecars of the given ranks are unreachable and the demand
// shifts. It returns the group and the events of the coordinator.
func runDelayed(t *testing.T, ranks ...int) (*fakeGroup, []lockstep.Event) {
	return runDelayedFurther(t, 0, ranks...)
}

// runDelayedFurther is runDelayed with ranks that report states which are older than they say.
func runDelayedFurther(t *testing.T, furtherLag time.Duration, ranks ...int) (*fakeGroup, []lockstep.Event) {
	g := newFakeGroup(1, smallShape)
	g.furtherLag = furtherLag
	for _, rank := range ranks {
		g.delayed[rank] = true
	}
	ctx, cancel := context.WithCancel(t.Context())
	var mutex sync.Mutex
	var events []lockstep.Event
	g.coordinate(ctx, lockstep.Settings{OnEvent: func(e lockstep.Event) {
		mutex.Lock()
		defer mutex.Unlock()
		events = append(events, e)
	}}, g.engine())
	for range 5 {
		time.Sleep(3 * time.Second)
		g.locked(g.shiftDemand)
	}
	time.Sleep(3 * time.Second)
	cancel()
	time.Sleep(time.Minute)
	mutex.Lock()
	defer mutex.Unlock()
	return g, events
}

func eventsOf(events []lockstep.Event, kind string) []lockstep.Event {
	var found []lockstep.Event
	for _, e := range events {
		if e.Kind == kind {
			found = append(found, e)
		}
	}
	return found
}

// Guards against a hold for a pass that has begun. Passes are shorter than the age of the state of the rank that holds,
// so a pass counted from that state is over when the hold arrives, and the map is never switched.
func TestHoldAllowsForDelayedState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, events := runDelayed(t, 0)
		require.Empty(t, eventsOf(events, "abandoned"))
		require.Less(t, g.skew(), 1.5)
		require.Empty(t, g.splits)
	})
}

// Guards against groups that are settled, and held for it, because a rank still reports the state before the last
// switch. Only the start of the leader needs settling.
func TestDelayedStateIsNoUnfinishedSwitch(t *testing.T) {
	for name, ranks := range map[string][]int{"rank 0": {0}, "another rank": {2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, events := runDelayed(t, ranks...)
				require.Len(t, eventsOf(events, "settling"), 1)
				require.Greater(t, len(eventsOf(events, "switched")), 5)
				require.Zero(t, g.stalled, "no pass waits for a hold while orders are answered")
			})
		})
	}
}

// Guards against groups that are settled, and held for it, because a rank reports a state that is older than it says, from
// before the last switch. Its pass shows that.
func TestStateOfAnEarlierPassIsNoUnfinishedSwitch(t *testing.T) {
	for _, furtherLag := range []time.Duration{reportLag / 4, reportLag / 2, reportLag} {
		synctest.Test(t, func(t *testing.T) {
			_, events := runDelayedFurther(t, furtherLag, 2)
			require.Len(t, eventsOf(events, "settling"), 1)
			require.Greater(t, len(eventsOf(events, "switched")), 5)
		})
	}
}

// Guards against a new leader that releases a group of which it has not seen that a rank is armed. The earlier leader
// armed that rank just before; its state is older than the fencing tokens that the new leader has raised.
func TestSettlingWaitsForStatesAfterItsFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(1, smallShape)
		g.delayed[1] = true
		g.prepareAll(1)
		time.Sleep(time.Second)
		g.locked(func() {
			hold := lockstep.Order{Kind: lockstep.Hold, Step: 2, Epoch: g.epoch, Fence: 2}
			arm := lockstep.Order{Kind: lockstep.Arm, Version: 1, Step: 2, Epoch: g.epoch, Fence: 3}
			require.NoError(t, g.execute(0, hold))
			require.NoError(t, g.execute(1, arm))
		})
		ctx, cancel := context.WithCancel(t.Context())
		go g.run(ctx)
		go func() {
			_ = lockstep.NewCoordinator(lockstep.Settings{Group: "g", Shape: smallShape}, g.engine(), lockstep.NewTokens(2)).Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		cancel()
		time.Sleep(time.Minute)
		require.Empty(t, g.splits)
		require.Greater(t, g.now(), uint64(50), "the group runs passes")
	})
}

// Guards against a pass time that includes the time in which the group was idle. Passes then seem so long that a hold
// allows for too few of them, and arrives after the pass.
func TestIdleTimeIsNoPassTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(1, smallShape)
		ctx, cancel := context.WithCancel(t.Context())
		var events []lockstep.Event
		g.coordinate(ctx, lockstep.Settings{OnEvent: func(e lockstep.Event) { events = append(events, e) }}, g.engine())
		g.locked(func() { g.isIdle = true })
		for range 5 {
			time.Sleep(5 * time.Second)
			g.locked(func() { g.isIdle = false })
			g.pass()
			g.locked(func() { g.isIdle = true })
		}
		g.locked(func() { g.delayed[0], g.isIdle = true, false })
		time.Sleep(3 * time.Second)
		cancel()
		time.Sleep(time.Minute)
		require.NotEmpty(t, eventsOf(events, "switched"))
		require.Empty(t, eventsOf(events, "abandoned"))
	})
}
