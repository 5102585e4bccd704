package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"guavahitch.example/guavahitch/expertmap"
)

type (
	// Decider decides about one group. It is a value: Decide returns the next one, and the caller keeps it
	// once the decision is durable.
	Decider struct {
		Rule    Rule
		Planner Planner

		group string
		// startedTo is the end of settling after control's start, recoveredTo that after a failure.
		startedTo   time.Time
		recoveredTo time.Time
		// switched is the end of the last switch.
		switched time.Time
		// current and ahead learn how fast the slowdown comes back: under the present loads, which changed
		// weights can answer, and under the loads ahead with the best weights, which only moves can.
		current regrowth
		ahead   regrowth
		// expected holds the slowdowns that the decision under way expects; 0 for none.
		expectedCurrent float64
		expectedAhead   float64
		// planned is when moves were last searched.
		planned time.Time
		// promised is the slowdown that the last switch was to bring; 0 for none.
		promised float64
	}

	// Situation is what a decision looks at.
	Situation struct {
		Now      time.Time
		Present  expertmap.Map
		Estimate Estimate
		Group    Group
		// Failing is true from a failure in the group until it is over: a stalled, lost or joining rank.
		Failing bool
		// Switching is true while a switch of the group is under way.
		Switching bool
		// StoreRate is the rate that the weight store would give the group now, in bytes a second; 0 for none.
		StoreRate float64
	}
)

// NewDecider returns the decider of a group after control started. Groups look at their maps for the first
// time at moments that are spread by a hash of their names, so that a start causes no storm of switches.
func NewDecider(group string, rule Rule, planner Planner, started time.Time) Decider {
	d := Decider{Rule: rule, Planner: planner, group: group}
	d.startedTo = started.Add(rule.SettleTime + d.offset())
	return d
}

// offset returns the group's place in the spread of all groups.
func (d Decider) offset() time.Duration {
	if d.Rule.StartSpread <= 0 {
		return 0
	}
	return time.Duration(xxhash.Sum64String(d.group) % uint64(d.Rule.StartSpread))
}

// WithSwitch returns the decider after a switch ended, whether by its own decision or not. A change of
// weights alone does not change what moves can do.
func (d Decider) WithSwitch(at time.Time) Decider {
	d.switched = at
	d.current = d.current.withSwitch(at, d.expectedCurrent)
	if d.expectedAhead > 0 || d.expectedCurrent == 0 {
		d.ahead = d.ahead.withSwitch(at, d.expectedAhead)
	}
	d.promised = d.expectedCurrent
	d.expectedCurrent, d.expectedAhead = 0, 0
	return d
}

// WithAbandonedSwitch returns the decider after the switch under way was given up; the next try waits as long as
// after a switch.
func (d Decider) WithAbandonedSwitch(at time.Time) Decider {
	d.switched = at
	d.expectedCurrent, d.expectedAhead = 0, 0
	return d
}

// WithFailureEnded returns the decider after a failure of the group ended.
func (d Decider) WithFailureEnded(at time.Time) Decider {
	d.recoveredTo = at.Add(d.Rule.SettleTime)
	return d
}

// Decide looks at a group and returns what to do and the decider for the next look.
func (d Decider) Decide(s Situation) (Decision, Decider) {
	decision := Decision{Group: d.group, At: s.Now, Rule: d.Rule}
	if !s.Estimate.At.IsZero() {
		decision = decision.withFigure("counts age", s.Now.Sub(s.Estimate.At).Seconds(), "s")
	}
	decision = decision.withFigure("layers covered", s.Estimate.Covered, "part")
	forced := holdsOnLostRank(s.Present, s.Group)
	if reason := d.unknownLoad(s, forced); reason != "" {
		decision.Reason = reason
		return decision, d
	}
	present := Measure(s.Present, s.Estimate.Current, s.Group)
	d.current = d.current.withSlowdown(s.Now, present.Slowdown)
	decision = decision.
		withFigure("skew", present.Skew, "max over mean").
		withFigure("slowdown", present.Slowdown, "times the ideal step").
		withFigure("suspected burst", s.Estimate.Burst, "part of the load").
		withFigure("weight of the latest level", s.Estimate.LevelWeight, "part")
	if reason := d.barred(s, present.Slowdown, forced); reason != "" {
		decision.Reason = reason
		return decision, d
	}
	if !forced && !d.couldPay(present.Slowdown) {
		decision.Reason = ReasonEven
		return decision, d
	}
	return d.weigh(decision, s, present, forced)
}

// unknownLoad returns the reason for which the group's load tells nothing now, or nothing. A group that lost
// a rank runs no steps and counts nothing, so its last counts have to do.
func (d Decider) unknownLoad(s Situation, forced bool) Reason {
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

// barred returns the reason for which the group is left alone now whatever its load, or nothing.
func (d Decider) barred(s Situation, slowdown float64, forced bool) Reason {
	switch {
	case s.Now.Before(d.startedTo):
		return ReasonSettling
	case forced:
		return ""
	case s.Now.Before(d.recoveredTo):
		return ReasonSettling
	case s.Now.Sub(d.switched) < d.Rule.MinInterval && !d.jumped(slowdown):
		return ReasonInterval
	}
	return ""
}

// jumped reports whether the slowdown has grown so much since the last switch that its map is of no use now.
func (d Decider) jumped(slowdown float64) bool {
	return d.promised > 0 && slowdown-d.promised > d.Rule.SlowdownJump
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

// couldPay reports whether perfectly even ranks would be worth a switch without any move. It saves most
// looks the search for a plan.
func (d Decider) couldPay(slowdown float64) bool {
	gain := slowdown - 1
	life := max(d.current.life(gain, d.Rule), d.ahead.life(gain, d.Rule))
	return d.Rule.worth(gain, life) > d.Rule.Margin*d.Rule.RebalanceCostWeight*d.Planner.Costs.Pause.Seconds()
}
