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

// Load pattern: other experts are in demand every few seconds, and a rank takes nearly half a second to copy one. Guards
// against maps that come into force for a demand that is gone: the group must make many more passes than with the map that
// it formed with, and take no switch that is overtaken each time.
func TestSlowCopiesPayBack(t *testing.T) {
	const shifts, interval = 12, 3100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		shape := lockstep.Shape{Ranks: 12, Sets: 3, Experts: 96, Slots: 11, StagingSlots: 4}
		passes := func(settings lockstep.Settings) int {
			g := newFakeGroup(3, shape)
			g.expertShare, g.copyTime = 0.85, 400*time.Millisecond
			ctx, cancel := context.WithCancel(t.Context())
			settings.ExpertShare, settings.TargetPassTime = g.expertShare, passTime
			g.coordinate(ctx, settings, g.engine())
			for range shifts {
				g.locked(g.shiftDemand)
				time.Sleep(interval)
			}
			cancel()
			time.Sleep(time.Minute)
			passes := 0
			g.locked(func() { passes = g.passes })
			return passes
		}
		var switches atomic.Int64
		moving := passes(lockstep.Settings{
			CopyTime: 400 * time.Millisecond, CopySlowdown: copySlowdown,
			OnEvent: func(e lockstep.Event) {
				if e.Kind == "switched" {
					switches.Add(1)
				}
			},
		})
		staying := passes(lockstep.Settings{MinSaving: 1})
		t.Logf("%d passes with %d switches, %d without", moving, switches.Load(), staying)
		require.Greater(t, float64(moving), 1.4*float64(staying))
		require.LessOrEqual(t, switches.Load(), int64(3*shifts))
	})
}
