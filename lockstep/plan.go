package lockstep

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/relocation"
)

const (
	// minSkewGoal is the lowest skew that a map is balanced to if Settings.TargetPassTime is set and a pass was measured.
	minSkewGoal = 1.15
	// defaultCopyTime is the expected time in which a rank copies one expert, if the settings do not tell.
	defaultCopyTime = 50 * time.Millisecond
	// defaultSwitchDelay is the assumed time from the end of the copies until the map is in use before one was measured.
	defaultSwitchDelay = 100 * time.Millisecond
)

// plan returns the map to switch to, or nil when none is worth the moves. The event describes the switch.
func (c *Coordinator) plan(ctx context.Context, states []State, version uint64) ([]balance.Placement, Event, error) {
	load := c.demand.estimate(version == 0 && isBusy(states))
	if load == nil {
		return nil, Event{}, nil
	}
	if err := c.readMaps(ctx, states[0].Epoch, version); err != nil {
		return nil, Event{}, err
	}
	paces := pacesOf(states)
	c.measureEvenPass(load, paces)
	now := time.Now()
	choice, isWorthMaking := relocation.Choose(relocation.Group{
		Placements: c.maps, Load: load, UnitTimes: paces, Slots: c.settings.Shape.Slots,
		Staging: c.settings.Shape.StagingSlots, ExpertShare: c.expertShare(), Goal: c.skewGoal(paces),
		MinSaving: c.settings.MinSaving,
	}, c.costs(now), c.demand.outlook.Remaining(now))
	if !isWorthMaking {
		return nil, Event{}, nil
	}
	return choice.Placements, Event{
		Kind: "switch", Epoch: states[0].Epoch, Before: choice.Before, After: choice.After, Moved: choice.Moved, MaxMoved: choice.MaxMoved,
		Detail: fmt.Sprintf("ready in %v, demand expected for %v; saves %v, takes %v",
			choice.Ready.Round(time.Millisecond), choice.Remaining.Round(time.Millisecond),
			choice.Saved.Round(time.Millisecond), choice.Spent.Round(time.Millisecond)),
	}, nil
}

// expertShare returns the fraction of the pass time that grows with the skew, all of it if the settings do not say.
func (c *Coordinator) expertShare() float64 { return cmp.Or(c.settings.ExpertShare, 1) }

// costs returns what a switch takes from the group, as earlier switches showed.
func (c *Coordinator) costs(now time.Time) relocation.Costs {
	costs := relocation.Costs{
		Copy: c.copyTimes.PerExpert(), Delay: c.copyTimes.Overhead() + cmp.Or(c.switchDelay, defaultSwitchDelay),
		Slowdown: c.settings.CopySlowdown,
	}
	if c.contactFailures.isRecent(now) && c.passTimer.mean < c.settings.GapObjective {
		costs.Pause = unreachablePause
	}
	return costs
}

// skewGoal returns the skew at which passes take TargetPassTime, at least minSkewGoal. Without a TargetPassTime or an
// ExpertShare it returns 1, so that the map is balanced as far as possible. Before a pass was measured, just after the group
// has formed, and while a rank is slow, little is known of the next passes. The map is then balanced as far as allowed, that
// is, to minSkewGoal.
func (c *Coordinator) skewGoal(paces []float64) float64 {
	if c.settings.TargetPassTime == 0 || c.settings.ExpertShare == 0 {
		return 1
	}
	if c.evenPass.mean == 0 || c.mapsVersion == 0 || slices.Max(paces) > slowPace {
		return minSkewGoal
	}
	return max(c.evenPass.skewAt(c.settings.TargetPassTime), minSkewGoal)
}

// measureEvenPass updates the estimate of an even pass from passes that began with the map in use.
func (c *Coordinator) measureEvenPass(load [][]float64, paces []float64) {
	if c.passTimer.last == 0 || c.passTimer.lastBegan.Before(c.changedAt) {
		return
	}
	c.evenPass.add(c.passTimer.last, relocation.MeanSkew(c.maps, load, paces))
}

// pacesOf returns the pace of each rank, at least 1.
func pacesOf(states []State) []float64 {
	paces := make([]float64, len(states))
	for rank, s := range states {
		paces[rank] = max(s.Pace, 1)
	}
	return paces
}

// readMaps reads the placement of the map in use into c.maps, unless it is there already. It returns an error while a
// rank reports the placement of another version.
func (c *Coordinator) readMaps(ctx context.Context, epoch, version uint64) error {
	if c.maps != nil && c.mapsEpoch == epoch && c.mapsVersion == version {
		return nil
	}
	read, err := c.readAll(ctx, false, true)
	if err != nil {
		return err
	}
	shape := c.settings.Shape
	maps := make([]balance.Placement, shape.Sets)
	for set := range maps {
		maps[set] = make(balance.Placement, shape.Ranks)
		for rank, s := range read {
			if len(s.Placement) != shape.Sets {
				return eris.Errorf("rank %d reports %d sets of experts, expected %d", rank, len(s.Placement), shape.Sets)
			}
			if s.MapVersion != version {
				return eris.Errorf("rank %d reports map version %d, expected %d", rank, s.MapVersion, version)
			}
			if err := checkPlacement(s.Placement[set], shape.Experts); err != nil {
				return eris.Wrapf(err, "placement of rank %d in set %d", rank, set)
			}
			maps[set][rank] = s.Placement[set]
		}
	}
	c.maps, c.mapsEpoch, c.mapsVersion = maps, epoch, version
	return nil
}

// checkPlacement returns an error if a rank reports an expert that does not exist, or one twice.
func checkPlacement(experts []int, count int) error {
	seen := make([]bool, count)
	for _, e := range experts {
		if e < 0 || e >= count {
			return eris.Errorf("expert %d does not exist", e)
		}
		if seen[e] {
			return eris.Errorf("expert %d is listed twice", e)
		}
		seen[e] = true
	}
	return nil
}
