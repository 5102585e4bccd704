// Package balance decides when and how the expert map of a group changes. Estimator combines the delayed and
// incomplete token counts of the ranks into an Estimate. Planner searches better maps for an Estimate and returns a
// Plan: a curve of options that move more and more replicas, each with its cost and gain. Decider compares the
// options under the operator's rule and returns a Decision with its reasons, and StoreLimiter divides the weight
// store's rate among the groups. Nothing here reads a clock or does input or output: time is an argument, and the
// same inputs give the same outputs.
package balance

import (
	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/expertmap"
)

// Group describes the ranks of a group apart from their load.
type Group struct {
	// Speeds holds the speed of each rank relative to a healthy one; 0 marks a lost rank.
	Speeds []float64
	// Domains names the failure domain of each rank; nil when all ranks share one.
	Domains []string
	// Capacity is the number of replicas that each rank's memory holds over all layers; nil allows all slots.
	Capacity []int
	// Staging is the number of replicas that a rank can load for one switch while the present ones stay in use.
	Staging int
}

// NewGroup returns a group of equally fast ranks in one failure domain.
func NewGroup(ranks, staging int) Group {
	speeds := make([]float64, ranks)
	for r := range speeds {
		speeds[r] = 1
	}
	return Group{Speeds: speeds, Staging: staging}
}

// WithSpeeds returns a copy of the group with other speeds.
func (g Group) WithSpeeds(speeds []float64) Group {
	g.Speeds = append([]float64(nil), speeds...)
	return g
}

// Validate returns an error that names the first field that does not fit the shape.
func (g Group) Validate(shape expertmap.Shape) error {
	switch {
	case len(g.Speeds) != shape.Ranks:
		return eris.Errorf("group: Speeds has %d ranks, the map has %d", len(g.Speeds), shape.Ranks)
	case g.Domains != nil && len(g.Domains) != shape.Ranks:
		return eris.Errorf("group: Domains has %d ranks, the map has %d", len(g.Domains), shape.Ranks)
	case g.Capacity != nil && len(g.Capacity) != shape.Ranks:
		return eris.Errorf("group: Capacity has %d ranks, the map has %d", len(g.Capacity), shape.Ranks)
	case g.Staging < 1:
		return eris.Errorf("group: Staging is %d, at least 1 is needed", g.Staging)
	}
	for r, speed := range g.Speeds {
		if speed < 0 || speed != speed {
			return eris.Errorf("group: Speeds names %v for rank %d", speed, r)
		}
	}
	return nil
}

// domain returns the failure domain of a rank.
func (g Group) domain(rank int) string {
	if g.Domains == nil {
		return ""
	}
	return g.Domains[rank]
}

// totalSpeed returns the sum of the speeds of all ranks.
func (g Group) totalSpeed() float64 {
	total := 0.0
	for _, speed := range g.Speeds {
		total += speed
	}
	return total
}
