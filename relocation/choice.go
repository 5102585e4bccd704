// Package relocation decides which moves of experts between the ranks of a group are worth making. While an
// expert is copied passes are slower, and the more even map saves time only from when it is in use until the demand changes
// again. The package does no I/O and reads no clock. Package lockstep
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
		// MinSaving is the smallest saved part of the pass time for which a switch is made.
		MinSaving float64
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
		// Placements is the map, nil if the switch is not worth making.
		Placements []balance.Placement
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

// Choose returns the best switch for a demand that is expected to last for the remaining time, and whether it is worth
// making: it saves at least MinSaving of the pass time, and pays back before the demand is expected to change.
//
// Each rank may copy one expert, or two, and so on. A larger switch delays what a smaller one saves by the time of its
// additional copies. A smaller one leaves the rest to a further switch, which delays the rest by its own delay, or leaves it
// for good if the rest is not worth a switch.
func Choose(group Group, costs Costs, remaining time.Duration) (choice Choice, isWorthMaking bool) {
	sizes := sizesOf(group, costs, remaining)
	best := bestSize(sizes, group, costs)
	choice = sizes[best]
	if !choice.isWorthMaking(group.MinSaving) {
		return choice, false
	}
	choice.Placements = placementsOf(group, best+1)
	return choice, true
}

// sizesOf returns a switch for each number of experts that a rank may copy, up to the one beyond which nothing is worth
// moving.
func sizesOf(group Group, costs Costs, remaining time.Duration) []Choice {
	leveller := newLeveller(group)
	var sizes []Choice
	for copies := 1; copies <= max(group.Staging*len(group.Placements), 1); copies++ {
		leveller.Level(copies, group.Goal)
		c := evaluate(leveller.Result(), group.ExpertShare, costs, remaining)
		sizes = append(sizes, c)
		if c.MaxMoved < copies {
			break
		}
	}
	return sizes
}

// bestSize returns the index of the best of the sizes.
func bestSize(sizes []Choice, group Group, costs Costs) int {
	last := len(sizes) - 1
	for n, c := range sizes[:last] {
		if Saving(group.ExpertShare, c.After, sizes[last].After) < group.MinSaving {
			return n + mostProfitable(sizes[n:])
		}
		if !isWorthWaiting(c, sizes[n+1], costs) {
			return n
		}
	}
	return last
}

// placementsOf returns the map of a size. It is computed again because the levelling of larger sizes has gone on from it.
func placementsOf(group Group, size int) []balance.Placement {
	leveller := newLeveller(group)
	for copies := 1; copies <= size; copies++ {
		leveller.Level(copies, group.Goal)
	}
	return leveller.Placements()
}

func newLeveller(group Group) *balance.MapLeveller {
	return balance.NewMapLeveller(group.Placements, group.Load, group.UnitTimes, group.Slots, group.Staging)
}

// mostProfitable returns the index of the switch that saves most beyond what it takes.
func mostProfitable(sizes []Choice) int {
	best := 0
	for n, c := range sizes {
		if c.Saved-c.Spent > sizes[best].Saved-sizes[best].Spent {
			best = n
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

func (c Choice) isWorthMaking(minSaving float64) bool {
	isChange := c.After < c.Before
	return isChange && c.Saving >= minSaving && c.Saved.Seconds() > minReturn*c.Spent.Seconds()
}
