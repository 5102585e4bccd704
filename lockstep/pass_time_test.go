package lockstep_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/lockstep"
)

// Load pattern: the demand shifts to other experts, and passes take longer at once. Guards against a goal that combines
// the new skew with the pass time from before the shift. The first switch then moves too few experts, and several more
// must follow before passes are short enough again.
func TestOneSwitchBringsPassesBelowTheTarget(t *testing.T) {
	const share, shifts = 0.85, 20
	target := time.Duration(1.5 * float64(passTime))
	// Between two looks there are enough passes to know the new demand well.
	interval := 10 * passTime
	synctest.Test(t, func(t *testing.T) {
		shape := lockstep.Shape{Ranks: 8, Sets: 2, Experts: 32, Slots: 8, StagingSlots: 4}
		g := newFakeGroup(1, shape)
		g.expertShare = share
		ctx, cancel := context.WithCancel(t.Context())
		var switches atomic.Int64
		g.coordinate(ctx, lockstep.Settings{
			TargetPassTime: target, ExpertShare: share, Interval: interval,
			OnEvent: func(e lockstep.Event) {
				if e.Kind == "switched" {
					switches.Add(1)
				}
			},
		}, g.engine())
		time.Sleep(5 * time.Second)
		switches.Store(0)
		for range shifts {
			g.locked(g.shiftDemand)
			time.Sleep(5 * time.Second)
			require.LessOrEqual(t, g.passTime(), target)
		}
		cancel()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, switches.Load(), int64(shifts*3/2))
	})
}

// Load pattern: a group has just formed, no pass was measured yet, and the counts of its first requests vary. Guards against
// levelling a nearly even map as far as possible at each look until then: it must be left alone, since a copy of weights
// takes longer than it saves.
func TestNearlyEvenMapIsLeftAloneBeforeAPassIsMeasured(t *testing.T) {
	const nearlyEven = 1.15
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			shape := lockstep.Shape{Ranks: 8, Sets: 2, Experts: 32, Slots: 8, StagingSlots: 4}
			g := newFakeGroup(seed, shape)
			g.expertShare = 0.85
			ctx, cancel := context.WithCancel(t.Context())
			var moved atomic.Int64
			g.coordinate(ctx, lockstep.Settings{
				TargetPassTime: 3 * passTime, ExpertShare: g.expertShare,
				OnEvent: func(e lockstep.Event) {
					if e.Kind == "switch" && e.Before <= nearlyEven {
						moved.Add(int64(e.Moved))
					}
				},
			}, g.engine())
			for range 20 {
				time.Sleep(2 * passTime)
				g.locked(func() { g.varyDemand(0.2) })
			}
			cancel()
			time.Sleep(time.Minute)
			require.Zero(t, moved.Load())
		})
	}
}
