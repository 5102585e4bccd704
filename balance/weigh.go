package balance

import (
	"fmt"
	"sort"

	"guavahitch.example/guavahitch/expertmap"
)

const (
	// weightsOnly is the name of the option that moves nothing.
	weightsOnly = "change weights"
	// alternativesKept is the number of options that a decision names.
	alternativesKept = 4
)

// weigh compares the options of a plan and chooses the one whose gain exceeds its cost most.
func (d Decider) weigh(decision Decision, s Situation, present Figures, forced bool) (Decision, Decider) {
	w, err := d.newWeighing(s, present, forced)
	if err != nil {
		decision.Reason = ReasonNoPlan
		decision.Alternatives = []Alternative{{Name: err.Error()}}
		return decision, d
	}
	decision = decision.
		withFigure("gain of weights", w.weightsGain, "slowdown").
		withFigure("regrowth with weights", d.current.rate*3600, "slowdown an hour")
	if w.plan != nil {
		d.planned = s.Now
		d.ahead = d.ahead.withSlowdown(s.Now, w.options[0].Slowdown)
		decision = decision.
			withFigure("slowdown ahead with the best weights", w.options[0].Slowdown, "times the ideal step").
			withFigure("regrowth with moves", d.ahead.rate*3600, "slowdown an hour")
	}
	best, alternatives := d.choose(w, s.StoreRate > 0 || forced)
	decision.Alternatives = alternatives
	decision.Reason = ReasonGain
	if forced {
		decision.Reason = ReasonLostRank
	} else if best.Gain <= d.Rule.Margin*best.Cost {
		decision.Reason = ReasonCost
		return decision, d
	}
	return d.build(decision, w, best.option, s)
}

// weighing holds the options of one look.
type weighing struct {
	// plan is nil when only weights are looked at.
	plan    *Plan
	options []Option
	// reweighed is the present map with the best weights for the present loads, and weightsGain what they
	// gain; the zero Map when a lost rank forces moves.
	reweighed   expertmap.Map
	weightsGain float64
}

// newWeighing finds the best weights, and moves when it is time to look for them.
func (d Decider) newWeighing(s Situation, present Figures, forced bool) (weighing, error) {
	planner := d.Planner
	if s.StoreRate > 0 {
		planner.Costs.StoreRate = s.StoreRate
	}
	w := weighing{options: []Option{planner.Costs.option(0, 0)}}
	var err error
	if forced || d.jumped(present.Slowdown) || s.Now.Sub(d.planned) >= d.Rule.PlanInterval {
		if w.plan, err = planner.Plan(s.Present, s.Estimate.Forecast, s.Group); err != nil {
			return w, err
		}
		w.options = w.plan.Options
	}
	if forced {
		return w, nil
	}
	if w.reweighed, err = planner.Reweight(s.Present, s.Estimate.Current, s.Group); err != nil {
		return w, err
	}
	w.weightsGain = present.Slowdown - Measure(w.reweighed, s.Estimate.Current, s.Group).Slowdown
	return w, nil
}

// weighed is an option with its gain and cost.
type weighed struct {
	Alternative
	option int
}

// choose returns the best option and the alternatives in the order of their merit.
func (d Decider) choose(w weighing, mayLoad bool) (weighed, []Alternative) {
	floor := w.options[0].Slowdown
	worthOfWeights := d.Rule.worth(w.weightsGain, d.current.life(w.weightsGain, d.Rule))
	options := make([]weighed, 0, len(w.options))
	for n, o := range w.options {
		if n > 0 && !mayLoad {
			break
		}
		gain := floor - o.Slowdown
		worth := worthOfWeights + d.Rule.worth(gain, d.ahead.life(gain, d.Rule)-o.LoadTime)
		options = append(options, weighed{
			Alternative: Alternative{Name: optionName(o), Gain: worth, Cost: d.Rule.cost(o)}, option: n,
		})
	}
	sort.SliceStable(options, func(i, j int) bool { return d.merit(options[i]) > d.merit(options[j]) })
	alternatives := []Alternative{options[0].Alternative, {Name: "keep the map"}}
	for _, o := range options[1:] {
		if len(alternatives) == alternativesKept {
			break
		}
		if o.option == 0 || o.option == len(w.options)-1 {
			alternatives = append(alternatives, o.Alternative)
		}
	}
	return options[0], alternatives
}

// merit is the gain of an option beyond its cost with the margin.
func (d Decider) merit(o weighed) float64 {
	return o.Gain - d.Rule.Margin*o.Cost
}

// optionName names an option as records show it.
func optionName(o Option) string {
	if o.Moves == 0 {
		return weightsOnly
	}
	return fmt.Sprintf("move %d replicas (%.1f GB)", o.Moves, float64(o.Bytes)/1e9)
}

// build makes the map of an option with weights for the present loads.
func (d Decider) build(decision Decision, w weighing, option int, s Situation) (Decision, Decider) {
	built := w.reweighed
	if option > 0 || built.IsZero() {
		var err error
		if built, err = w.plan.Build(option); err == nil {
			built, err = d.Planner.Reweight(built, s.Estimate.Current, s.Group)
		}
		if err != nil {
			decision.Reason = ReasonNoPlan
			return decision, d
		}
		d.expectedAhead = w.options[option].Slowdown
	}
	decision.Switch = true
	decision.Map = built.WithVersion(s.Present.Version() + 1)
	decision.Chosen = w.options[option]
	after := Measure(decision.Map, s.Estimate.Current, s.Group)
	d.expectedCurrent = after.Slowdown
	decision = decision.withFigure("skew expected", after.Skew, "max over mean")
	return decision, d
}
