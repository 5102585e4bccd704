package balance

import (
	"fmt"
	"time"
)

// Rule is what operators say about rebalancing, with the bounds that keep it calm.
type Rule struct {
	// SkewWeight is the worth of a second in which steps are twice as long as need be, and
	// RebalanceCostWeight that of a second in which nothing is answered, both in seconds of the group's
	// weighted answered requests.
	SkewWeight          float64
	RebalanceCostWeight float64
	// StoreCostWeight is what a second of the group's whole rate at the weight store costs, as a part of a
	// second of its answered requests.
	StoreCostWeight float64
	// Margin is how many times the cost the gain must be, so that a change that hardly pays is not made.
	Margin float64
	// MinInterval is the least time between two switches of one group, unless the slowdown has grown by SlowdownJump
	// since the last one.
	MinInterval  time.Duration
	SlowdownJump float64
	// PlanInterval is the least time between two searches for moves, unless the slowdown has grown by SlowdownJump;
	// in between only weights change.
	PlanInterval time.Duration
	// MinGainLifetime and MaxGainLifetime bound how long a gain is believed to last.
	MinGainLifetime time.Duration
	MaxGainLifetime time.Duration
	// SettleTime is how long a group is left alone after control started, a rank failed or one came back.
	SettleTime time.Duration
	// StartSpread is the time over which the first decisions of all groups after a start are spread.
	StartSpread time.Duration
	// MaxAge is the age of counts from which on they are too old to act on.
	MaxAge time.Duration
	// MinCovered is the least part of the layers that must have fresh counts.
	MinCovered float64
}

// DefaultRule weighs both sides equally.
func DefaultRule() Rule {
	return Rule{
		SkewWeight: 1, RebalanceCostWeight: 1, StoreCostWeight: 0.02, Margin: 1.5,
		MinInterval: 2 * time.Minute, SlowdownJump: 0.08, PlanInterval: 6 * time.Minute,
		MinGainLifetime: 2 * time.Minute, MaxGainLifetime: 2 * time.Hour,
		SettleTime: 2 * time.Minute, StartSpread: 4 * time.Minute, MaxAge: 3 * time.Minute, MinCovered: 0.8,
	}
}

// WithWeights returns the rule under the operator's weights.
func (r Rule) WithWeights(skew, rebalanceCost float64) Rule {
	r.SkewWeight, r.RebalanceCostWeight = skew, rebalanceCost
	return r
}

// String names the rule as records show it.
func (r Rule) String() string {
	return fmt.Sprintf("SkewWeight %g, RebalanceCostWeight %g, Margin %g", r.SkewWeight, r.RebalanceCostWeight, r.Margin)
}

// worth returns the gain, in weighted seconds, of a slowdown that is lower at first and drifts back until
// the end of its life.
func (r Rule) worth(gain float64, life time.Duration) float64 {
	if life <= 0 {
		return 0
	}
	return r.SkewWeight * gain * life.Seconds() / 2
}

// cost returns the cost of an option in weighted seconds.
func (r Rule) cost(o Option) float64 {
	return r.RebalanceCostWeight * (o.Pause.Seconds() + o.LoadTime.Seconds()*r.StoreCostWeight)
}
