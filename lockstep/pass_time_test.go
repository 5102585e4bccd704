package lockstep_test

import (
	"context"
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
		switches := 0
		c := lockstep.NewCoordinator(lockstep.Settings{
			Group: "g", Shape: shape, TargetPassTime: target, ExpertShare: share, Interval: interval,
			OnEvent: func(e lockstep.Event) {
				if e.Kind == "switched" {
					switches++
				}
			},
		}, g.engine(), lockstep.NewTokens(1))
		go g.run(ctx)
		go func() { _ = c.Run(ctx) }()
		time.Sleep(5 * time.Second)
		switches = 0
		for range shifts {
			g.locked(g.shiftDemand)
			time.Sleep(5 * time.Second)
			require.LessOrEqual(t, g.passTime(), target)
		}
		cancel()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, switches, shifts*3/2)
	})
}
