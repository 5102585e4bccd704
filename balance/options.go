package balance

import (
	"fmt"
	"sort"

	"guavahitch.example/guavahitch/expertmap"
)

const (
	// weightsOnly is the name of the option that moves nothing.
	weightsOnly = "change weights"
	// maxAlternatives bounds the options that a decision names.
	maxAlternatives = 4
)

// chooseOption compares the options of a plan and chooses the one with the greatest net gain.
func (d Decider) chooseOption(decision Decision, s Situation, present Figures, forced bool) (Decision, Decider) {
	w, err := d.findOptions(s, present, forced)
	if err != nil {
		decision.Reason = ReasonNoPlan
		decision.Alternatives = []Alternative{{Name: err.Error()}}
		return decision, d
	}
	decision = decision.
		withFigure("gain of weights", w.weightsGain, "slowdown").
		withFigure("regrowth with weights", d.currentRegrowth.rate*3600, "slowdown an hour")
	if w.plan != nil {
		d.lastPlanned = s.Now
		d.forecastRegrowth = d.forecastRegrowth.withSlowdown(s.Now, w.options[0].Slowdown)
		decision = decision.
			withFigure("slowdown ahead with the best weights", w.options[0].Slowdown, "times the ideal step").
			withFigure("regrowth with moves", d.forecastRegrowth.rate*3600, "slowdown an hour")
	}
	best, alternatives := d.sortOptions(w, s.StoreRate > 0 || forced)
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

// optionSet holds the options that one decision compares.
type optionSet struct {
	// plan is nil when only changes of weights are considered.
	plan    *Plan
	options []Option
	// reweighted is the present map with the best weights for the present loads, and weightsGain the decrease of the
	// slowdown that these weights bring. It is the zero Map when a lost rank forces moves.
	reweighted  expertmap.Map
	weightsGain float64
}

// findOptions finds the best weights. It also searches moves when a lost rank forces them, when the slowdown jumped,
// or when the last search is Rule.PlanInterval old.
func (d Decider) findOptions(s Situation, present Figures, forced bool) (optionSet, error) {
	planner := d.Planner
	if s.StoreRate > 0 {
		planner.Costs.StoreRate = s.StoreRate
	}
	w := optionSet{options: []Option{planner.Costs.option(0, 0)}}
	var err error
	if forced || d.slowdownJumped(present.Slowdown) || s.Now.Sub(d.lastPlanned) >= d.Rule.PlanInterval {
		if w.plan, err = planner.Plan(s.Present, s.Estimate.Forecast, s.Group); err != nil {
			return w, err
		}
		w.options = w.plan.Options
	}
	if forced {
		return w, nil
	}
	if w.reweighted, err = planner.Reweight(s.Present, s.Estimate.Current, s.Group); err != nil {
		return w, err
	}
	w.weightsGain = present.Slowdown - Measure(w.reweighted, s.Estimate.Current, s.Group).Slowdown
	return w, nil
}

// scoredOption is an option with its gain and cost.
type scoredOption struct {
	Alternative
	option int
}

// sortOptions returns the best option and the alternatives: the best option, keeping the map, and then, as far as they
// are not the best, the options with the fewest and the most moves in decreasing order of net gain. Options that load
// from the weight store are left out unless mayLoad is true.
func (d Decider) sortOptions(w optionSet, mayLoad bool) (scoredOption, []Alternative) {
	baseSlowdown := w.options[0].Slowdown
	reweightGain := d.Rule.gainValue(w.weightsGain, d.currentRegrowth.gainLifetime(w.weightsGain, d.Rule))
	options := make([]scoredOption, 0, len(w.options))
	for n, o := range w.options {
		if n > 0 && !mayLoad {
			break
		}
		gain := baseSlowdown - o.Slowdown
		gainValue := reweightGain + d.Rule.gainValue(gain, d.forecastRegrowth.gainLifetime(gain, d.Rule)-o.LoadTime)
		options = append(options, scoredOption{
			Alternative: Alternative{Name: optionName(o), Gain: gainValue, Cost: d.Rule.cost(o)}, option: n,
		})
	}
	sort.SliceStable(options, func(i, j int) bool { return d.netGain(options[i]) > d.netGain(options[j]) })
	alternatives := []Alternative{options[0].Alternative, {Name: "keep the map"}}
	for _, o := range options[1:] {
		if len(alternatives) == maxAlternatives {
			break
		}
		if o.option == 0 || o.option == len(w.options)-1 {
			alternatives = append(alternatives, o.Alternative)
		}
	}
	return options[0], alternatives
}

// netGain returns the gain of an option minus its cost times the margin.
func (d Decider) netGain(o scoredOption) float64 {
	return o.Gain - d.Rule.Margin*o.Cost
}

// optionName names an option as records show it.
func optionName(o Option) string {
	if o.Moves == 0 {
		return weightsOnly
	}
	return fmt.Sprintf("move %d replicas (%.1f GB)", o.Moves, float64(o.Bytes)/1e9)
}

// build builds the map of an option, with weights for the present loads.
func (d Decider) build(decision Decision, w optionSet, option int, s Situation) (Decision, Decider) {
	built := w.reweighted
	if option > 0 || built.IsZero() {
		var err error
		if built, err = w.plan.Build(option); err == nil {
			built, err = d.Planner.Reweight(built, s.Estimate.Current, s.Group)
		}
		if err != nil {
			decision.Reason = ReasonNoPlan
			return decision, d
		}
		d.expectedForecast = w.options[option].Slowdown
	}
	decision.Switch = true
	decision.Map = built.WithVersion(s.Present.Version() + 1)
	decision.Chosen = w.options[option]
	after := Measure(decision.Map, s.Estimate.Current, s.Group)
	d.expectedCurrent = after.Slowdown
	decision = decision.withFigure("skew expected", after.Skew, "max over mean")
	return decision, d
}
