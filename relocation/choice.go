// Package relocation decides which moves of experts between the ranks of a group are worth making. A move is an
// investment: copying an expert takes time in which passes are slower, and the more even map pays only from the time at
// which it is in force until the demand changes again. The package does no I/O and reads no clock. Package lockstep
// carries its choices out.
package relocation

import (
	"time"

	"guavahitch.example/guavahitch/balance"
)

// minReturn is how many times what is spent must be saved, since nobody knows how long the demand lasts.
const minReturn = 2.0

type (
	// Group is the map of a group and the demand for it.
	Group struct {
		// Placements holds the experts of each rank, by set of layers.
		Placements []balance.Placement
		// Load is the demand for each expert, by set.
		Load [][]float64
		// UnitTimes holds the time that each rank takes for a unit of load.
		UnitTimes []float64
		// Slots is the largest number of experts of a set on a rank, Staging that of new ones in one switch.
		Slots, Staging int
		// ExpertShare is the fraction of the time of an even pass that is spent in experts.
		ExpertShare float64
		// Goal is the skew at which the map is even enough. Skew is the time of the busiest rank over the mean.
		Goal float64
	}

	// Costs is what a switch takes from the group, as its earlier switches showed.
	Costs struct {
		// Copy is the time in which a rank copies one expert. Ranks copy at the same time.
		Copy time.Duration
		// Delay is the time from the decision until the map is in force, without copying.
		Delay time.Duration
		// Pause is the time for which the group is expected to stand still.
		Pause time.Duration
		// Slowdown is the fraction by which passes take longer while ranks copy.
		Slowdown float64
	}

	// Choice is a map to switch to and what was expected of it.
	Choice struct {
		balance.MapResult
		// Ready is the time until the map is in force, Remaining the expected time until the demand changes.
		Ready, Remaining time.Duration
		// Saving is the saved part of the pass time. Saved is the time that the map saves until the demand changes, Spent
		// the time that the switch takes from the group.
		Saving       float64
		Saved, Spent time.Duration
	}
)

// PassTime returns the time of a pass over that of a pass of an even map.
func PassTime(expertShare, skew float64) float64 { return 1 - expertShare + expertShare*skew }

// Saving returns the part of the pass time that a skew of after saves over one of before.
func Saving(expertShare, before, after float64) float64 {
	return 1 - PassTime(expertShare, after)/PassTime(expertShare, before)
}

// MeanSkew returns the skew of a map, averaged over its sets.
func MeanSkew(placements []balance.Placement, load [][]float64, unitTimes []float64) float64 {
	mean := 0.0
	for set, placement := range placements {
		mean += balance.Skew(placement, load[set], unitTimes) / float64(len(placements))
	}
	return mean
}

// Choose returns the best switch for a demand that is expected to last for the remaining time. The number of experts that
// each rank copies is raised one by one. A first switch delays the experts of a further one by its own delay, a larger one
// delays what the smaller one saves by the time of the additional copies; the larger one is chosen while it loses less.
func Choose(group Group, costs Costs, remaining time.Duration) Choice {
	leveller := balance.NewMapLeveller(group.Placements, group.Load, group.UnitTimes, group.Slots, group.Staging)
	best := Choice{Remaining: remaining}
	for copies := 1; copies <= group.Staging*len(group.Placements); copies++ {
		leveller.Level(copies, group.Goal)
		next := evaluate(leveller.Result(), group.ExpertShare, costs, remaining)
		if best.Moved > 0 && !isWorthWaiting(best, next, costs) {
			break
		}
		best = next
		if next.MaxMoved < copies {
			break
		}
	}
	return best
}

// isWorthWaiting reports whether the additional copies of a larger switch lose less than a further switch would.
func isWorthWaiting(smaller, larger Choice, costs Costs) bool {
	additional := time.Duration(larger.MaxMoved-smaller.MaxMoved) * costs.Copy
	return (larger.Saving-smaller.Saving)*costs.Delay.Seconds() > smaller.Saving*additional.Seconds()
}

func evaluate(result balance.MapResult, expertShare float64, costs Costs, remaining time.Duration) Choice {
	copying := time.Duration(result.MaxMoved) * costs.Copy
	c := Choice{MapResult: result, Remaining: remaining, Ready: costs.Delay + copying}
	c.Saving = Saving(expertShare, result.Before, result.After)
	c.Saved = time.Duration(c.Saving * float64(max(remaining-c.Ready, 0)))
	c.Spent = costs.Pause + time.Duration(costs.Slowdown*float64(copying))
	return c
}

// IsWorthMaking reports whether the switch saves at least a part minSaving of the pass time, and pays back before the demand
// is expected to change.
func (c Choice) IsWorthMaking(minSaving float64) bool {
	isChange := c.After < c.Before
	return isChange && c.Saving >= minSaving && c.Saved.Seconds() > minReturn*c.Spent.Seconds()
}
