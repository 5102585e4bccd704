package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"guavahitch.example/guavahitch/expertmap"
)

type (
	// Decider decides on the map of one group. Its methods do not change it: Decide and the With methods return the
	// next Decider, which the caller uses from then on.
	Decider struct {
		Rule    Rule
		Planner Planner

		group string
		// startSettlesAt is the end of the settle time after control's start, failureSettlesAt that after a failure.
		startSettlesAt   time.Time
		failureSettlesAt time.Time
		// lastSwitch is when the last switch ended or was abandoned.
		lastSwitch time.Time
		// currentRegrowth is the rate at which the slowdown returns under the present loads, which changed weights
		// can lower. forecastRegrowth is that under the forecast loads with the best weights, which only moves can
		// lower.
		currentRegrowth  regrowth
		forecastRegrowth regrowth
		// expectedCurrent and expectedForecast are the slowdowns that the decision under way expects under the
		// present and the forecast loads; 0 for none.
		expectedCurrent  float64
		expectedForecast float64
		// lastPlanned is when moves were last searched.
		lastPlanned time.Time
		// lastExpected is the slowdown that the last switch was expected to reach; 0 for none.
		lastExpected float64
	}

	// Situation is the input of a decision.
	Situation struct {
		Now      time.Time
		Present  expertmap.Map
		Estimate Estimate
		Group    Group
		// Failing is true from the start of a failure in the group until its end: a rank is stalled, lost or joining.
		Failing bool
		// Switching is true while a switch of the group is under way.
		Switching bool
		// StoreRate is the rate at which the group may load from the weight store now, in bytes a second; 0 while it
		// has to wait.
		StoreRate float64
	}
)

// NewDecider returns the decider of a group when control starts. The first decisions of the groups are spread over
// Rule.StartSpread by a hash of the group names, so that a start does not cause all groups to switch at once.
func NewDecider(group string, rule Rule, planner Planner, started time.Time) Decider {
	d := Decider{Rule: rule, Planner: planner, group: group}
	d.startSettlesAt = started.Add(rule.SettleTime + d.startOffset())
	return d
}

// startOffset returns the group's delay within Rule.StartSpread.
func (d Decider) startOffset() time.Duration {
	if d.Rule.StartSpread <= 0 {
		return 0
	}
	return time.Duration(xxhash.Sum64String(d.group) % uint64(d.Rule.StartSpread))
}

// WithSwitch returns the decider after a switch ended, whether or not this decider asked for it. A change of weights
// alone keeps forecastRegrowth, because it does not change what moves can gain.
func (d Decider) WithSwitch(at time.Time) Decider {
	d.lastSwitch = at
	d.currentRegrowth = d.currentRegrowth.withSwitch(at, d.expectedCurrent)
	if d.expectedForecast > 0 || d.expectedCurrent == 0 {
		d.forecastRegrowth = d.forecastRegrowth.withSwitch(at, d.expectedForecast)
	}
	d.lastExpected = d.expectedCurrent
	d.expectedCurrent, d.expectedForecast = 0, 0
	return d
}

// WithAbandonedSwitch returns the decider after the switch under way was abandoned. The next switch waits as long as
// it does after a completed one.
func (d Decider) WithAbandonedSwitch(at time.Time) Decider {
	d.lastSwitch = at
	d.expectedCurrent, d.expectedForecast = 0, 0
	return d
}

// WithFailureEnded returns the decider after a failure of the group ended. The group settles for Rule.SettleTime.
func (d Decider) WithFailureEnded(at time.Time) Decider {
	d.failureSettlesAt = at.Add(d.Rule.SettleTime)
	return d
}

// Decide returns a decision on the group's map and the decider for the next decision.
func (d Decider) Decide(s Situation) (Decision, Decider) {
	decision := Decision{Group: d.group, At: s.Now, Rule: d.Rule}
	if !s.Estimate.At.IsZero() {
		decision = decision.withFigure("counts age", s.Now.Sub(s.Estimate.At).Seconds(), "s")
	}
	decision = decision.withFigure("layers covered", s.Estimate.Covered, "part")
	forced := holdsOnLostRank(s.Present, s.Group)
	if reason := d.reasonLoadUnknown(s, forced); reason != "" {
		decision.Reason = reason
		return decision, d
	}
	present := Measure(s.Present, s.Estimate.Current, s.Group)
	d.currentRegrowth = d.currentRegrowth.withSlowdown(s.Now, present.Slowdown)
	decision = decision.
		withFigure("skew", present.Skew, "max over mean").
		withFigure("slowdown", present.Slowdown, "times the ideal step").
		withFigure("suspected burst", s.Estimate.Burst, "part of the load").
		withFigure("weight of the latest level", s.Estimate.LevelWeight, "part")
	if reason := d.reasonToWait(s, present.Slowdown, forced); reason != "" {
		decision.Reason = reason
		return decision, d
	}
	if !forced && !d.couldPay(present.Slowdown) {
		decision.Reason = ReasonEven
		return decision, d
	}
	return d.chooseOption(decision, s, present, forced)
}

// reasonLoadUnknown returns why the group's load cannot be judged now, or "". When experts have to leave a lost rank
// (forced), old counts are used: a group that lost a rank runs no steps, so it produces no new counts.
func (d Decider) reasonLoadUnknown(s Situation, forced bool) Reason {
	switch {
	case s.Failing:
		return ReasonFailing
	case s.Switching:
		return ReasonSwitching
	case forced:
		return ""
	case s.Estimate.At.IsZero() || s.Now.Sub(s.Estimate.At) > d.Rule.MaxAge || s.Estimate.Covered < d.Rule.MinCovered:
		return ReasonStale
	}
	return ""
}

// reasonToWait returns why the group keeps its map now whatever its load, or "". After a start even experts that have
// to leave a lost rank (forced) wait, because some ranks may not be known yet.
func (d Decider) reasonToWait(s Situation, slowdown float64, forced bool) Reason {
	switch {
	case s.Now.Before(d.startSettlesAt):
		return ReasonSettling
	case forced:
		return ""
	case s.Now.Before(d.failureSettlesAt):
		return ReasonSettling
	case s.Now.Sub(d.lastSwitch) < d.Rule.MinInterval && !d.slowdownJumped(slowdown):
		return ReasonInterval
	}
	return ""
}

// slowdownJumped reports whether the slowdown exceeds the one expected of the last switch by more than
// Rule.SlowdownJump, which makes the map outdated before Rule.MinInterval is over.
func (d Decider) slowdownJumped(slowdown float64) bool {
	return d.lastExpected > 0 && slowdown-d.lastExpected > d.Rule.SlowdownJump
}

// holdsOnLostRank reports whether the map has experts on a lost rank.
func holdsOnLostRank(m expertmap.Map, group Group) bool {
	shape := m.Shape()
	for r, speed := range group.Speeds {
		if speed > 0 {
			continue
		}
		for number := range shape.Layers {
			for slot := range shape.Slots {
				if m.Expert(number, r, slot) != expertmap.Empty {
					return true
				}
			}
		}
	}
	return false
}

// couldPay reports whether perfectly even ranks would be worth a switch without any move. It avoids most searches for
// a plan.
func (d Decider) couldPay(slowdown float64) bool {
	gain := slowdown - 1
	gainLifetime := max(d.currentRegrowth.gainLifetime(gain, d.Rule), d.forecastRegrowth.gainLifetime(gain, d.Rule))
	return d.Rule.gainValue(gain, gainLifetime) >
		d.Rule.Margin*d.Rule.RebalanceCostWeight*d.Planner.Costs.Pause.Seconds()
}
