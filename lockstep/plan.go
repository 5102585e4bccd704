package lockstep

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/balance"
)

// minSkewGoal is the lowest skew that a map is balanced to if Settings.TargetPassTime is set and a pass was measured.
const minSkewGoal = 1.15

// plan returns the map to use after that of the given version, and the event that describes the switch. The map is nil
// when too little is known of the demand or the gain is too small.
func (c *Coordinator) plan(ctx context.Context, states []State, version uint64) ([]balance.Placement, Event, error) {
	shape := c.settings.Shape
	load := c.demand.estimate(version == 0 && isBusy(states))
	if load == nil {
		return nil, Event{}, nil
	}
	if err := c.readMaps(ctx, states[0].Epoch, version); err != nil {
		return nil, Event{}, err
	}
	event := Event{Kind: "switch", Epoch: states[0].Epoch}
	paces := pacesOf(states)
	c.measureEvenPass(load, paces)
	goal := c.skewGoal(paces)
	next := make([]balance.Placement, shape.Sets)
	for set := range next {
		levelled := balance.LevelLayer(c.maps[set], load[set], paces, shape.Slots, shape.StagingSlots, goal)
		next[set] = levelled.Placement
		event.Before += levelled.Before / float64(shape.Sets)
		event.After += levelled.After / float64(shape.Sets)
		event.Moved += levelled.Moved
	}
	if event.Moved == 0 || event.Before-event.After < c.minGain(time.Now())*event.Before {
		return nil, Event{}, nil
	}
	return next, event, nil
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
	skew := 0.0
	for set, layer := range c.maps {
		skew += balance.Skew(layer, load[set], paces) / float64(len(c.maps))
	}
	c.evenPass.add(c.passTimer.last, skew)
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
			maps[set][rank] = s.Placement[set]
		}
	}
	c.maps, c.mapsEpoch, c.mapsVersion = maps, epoch, version
	return nil
}
