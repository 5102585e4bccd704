package balance

import (
	"fmt"
	"time"
)

// Rule holds the operator's weights for rebalancing, and limits that prevent frequent switches.
type Rule struct {
	// SkewWeight is what is lost in a second in which steps take twice as long as on even ranks, and so the value of
	// avoiding that. RebalanceCostWeight is the cost of a second in which the group answers nothing. Both are in
	// seconds of the group's weighted answered requests.
	SkewWeight          float64
	RebalanceCostWeight float64
	// StoreCostWeight is the cost of a second in which the group loads at its whole rate from the weight store, as a
	// fraction of a second of its answered requests.
	StoreCostWeight float64
	// Margin is how many times its cost the gain of a switch must be, so that switches that barely pay off are not
	// made.
	Margin float64
	// MinInterval is the minimum time between two switches of one group. It does not apply once the slowdown exceeds
	// the one expected of the last switch by SlowdownJump.
	MinInterval  time.Duration
	SlowdownJump float64
	// PlanInterval is the minimum time between two searches for moves. In between only weights change. It does not
	// apply once the slowdown exceeds the one expected of the last switch by SlowdownJump, or when experts have to
	// leave a lost rank.
	PlanInterval time.Duration
	// MinGainLifetime and MaxGainLifetime bound the estimate of how long a gain lasts.
	MinGainLifetime time.Duration
	MaxGainLifetime time.Duration
	// SettleTime is how long a group keeps its map after control started or a failure of the group ended. Experts that
	// have to leave a lost rank do not wait for it after a failure.
	SettleTime time.Duration
	// StartSpread is the time over which the ends of the settle times of all groups are spread after a start of
	// control, so that they do not all switch at once.
	StartSpread time.Duration
	// MaxAge is the greatest age of counts on which decisions are based. It and MinCovered do not apply when experts
	// have to leave a lost rank.
	MaxAge time.Duration
	// MinCovered is the smallest fraction of the layers that must have fresh counts.
	MinCovered float64
}

// DefaultRule returns a rule that weighs skew and rebalancing cost equally.
func DefaultRule() Rule {
	return Rule{
		SkewWeight: 1, RebalanceCostWeight: 1, StoreCostWeight: 0.02, Margin: 1.5,
		MinInterval: 2 * time.Minute, SlowdownJump: 0.08, PlanInterval: 6 * time.Minute,
		MinGainLifetime: 2 * time.Minute, MaxGainLifetime: 2 * time.Hour,
		SettleTime: 2 * time.Minute, StartSpread: 4 * time.Minute, MaxAge: 3 * time.Minute, MinCovered: 0.8,
	}
}

// WithWeights returns the rule with the operator's weights.
func (r Rule) WithWeights(skew, rebalanceCost float64) Rule {
	r.SkewWeight, r.RebalanceCostWeight = skew, rebalanceCost
	return r
}

// String returns the weights and the margin as records show them.
func (r Rule) String() string {
	return fmt.Sprintf("SkewWeight %g, RebalanceCostWeight %g, Margin %g",
		r.SkewWeight, r.RebalanceCostWeight, r.Margin)
}

// gainValue returns the value, in weighted seconds, of a gain in slowdown that shrinks linearly to 0 over its
// lifetime.
func (r Rule) gainValue(gain float64, lifetime time.Duration) float64 {
	if lifetime <= 0 {
		return 0
	}
	return r.SkewWeight * gain * lifetime.Seconds() / 2
}

// cost returns the cost of an option in weighted seconds.
func (r Rule) cost(o Option) float64 {
	return r.RebalanceCostWeight * (o.Pause.Seconds() + o.LoadTime.Seconds()*r.StoreCostWeight)
}
