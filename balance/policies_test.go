package balance_test

import (
	"time"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
)

// neverPolicy keeps the first map.
type neverPolicy struct{}

func (neverPolicy) report(balance.Report, *day) {}

func (neverPolicy) step(time.Time, int, *day) (expertmap.Map, balance.Option, bool) {
	return expertmap.Map{}, balance.Option{}, false
}

// repackPolicy packs a new map from the counts since its last one, at most once in interval minutes and only when the
// skew is at least threshold.
type repackPolicy struct {
	interval  int
	threshold float64
	sum       []float64
	skew      float64
	last      int
}

func (p *repackPolicy) report(r balance.Report, d *day) {
	if p.sum == nil {
		p.sum = make([]float64, len(r.Tokens))
	}
	for n, v := range r.Tokens {
		p.sum[n] += v
	}
	p.skew = d.meter.Measure(r.Tokens).Skew
}

func (p *repackPolicy) step(_ time.Time, minute int, d *day) (expertmap.Map, balance.Option, bool) {
	if minute-p.last < p.interval || p.skew < p.threshold || !d.pending.IsZero() {
		return expertmap.Map{}, balance.Option{}, false
	}
	m, err := balance.Pack(d.present, p.sum, d.group)
	if err != nil {
		panic(err)
	}
	p.last = minute
	clear(p.sum)
	return m, optionFor(d.present, m), true
}

// optionFor returns the costs of a switch between two maps.
func optionFor(from, to expertmap.Map) balance.Option {
	moves, err := expertmap.Moves(from, to)
	if err != nil {
		panic(err)
	}
	loads := make([]int, from.Shape().Ranks)
	busiest := 0
	for _, m := range moves {
		loads[m.Rank]++
		busiest = max(busiest, loads[m.Rank])
	}
	size := int64(len(moves)) * costs.ExpertBytes
	return balance.Option{
		Moves: len(moves), Bytes: size,
		LoadTime: time.Duration(float64(size) / costs.StoreRate * float64(time.Second)),
		Pause:    costs.Pause + time.Duration(busiest)*costs.PausePerMove,
	}
}

// deciderPolicy runs the code under test: estimator, planner and decider.
type deciderPolicy struct {
	estimator *balance.Estimator
	decider   balance.Decider
	reasons   map[balance.Reason]int
	switching bool
}

func newDeciderPolicy(shape expertmap.Shape, rule balance.Rule) *deciderPolicy {
	return &deciderPolicy{
		estimator: balance.NewEstimator(shape),
		decider:   balance.NewDecider("g", rule, balance.NewPlanner(costs), midnight),
		reasons:   map[balance.Reason]int{},
	}
}

func (p *deciderPolicy) report(r balance.Report, _ *day) {
	if _, err := p.estimator.Add(r); err != nil {
		panic(err)
	}
}

func (p *deciderPolicy) step(now time.Time, _ int, d *day) (expertmap.Map, balance.Option, bool) {
	if p.switching && d.pending.IsZero() {
		p.switching = false
		p.decider = p.decider.WithSwitch(now)
	}
	estimate := p.estimator.Estimate()
	var decision balance.Decision
	decision, p.decider = p.decider.Decide(balance.Situation{
		Now: now, Present: d.present, Estimate: estimate, Group: d.group.WithSpeeds(estimate.Speeds),
		Switching: p.switching, StoreRate: costs.StoreRate,
	})
	p.reasons[decision.Reason]++
	p.switching = p.switching || decision.Switch
	return decision.Map, decision.Chosen, decision.Switch
}

// oraclePolicy knows the future loads. Once in weightInterval minutes it sets the best weights for the true mean load
// of that period. Once in moveInterval minutes it also moves replicas, as long as each move gains more than price, in
// slowdown times minutes.
type oraclePolicy struct {
	*recordedTrace
	weightInterval int
	moveInterval   int
	price          float64
}

func (*oraclePolicy) report(balance.Report, *day) {}

func (o *oraclePolicy) step(_ time.Time, minute int, d *day) (expertmap.Map, balance.Option, bool) {
	next := minute + 1
	if !d.pending.IsZero() || next >= minutesADay || next%o.weightInterval != 0 && minute != 0 {
		return expertmap.Map{}, balance.Option{}, false
	}
	group := d.group.WithSpeeds(o.speeds[next])
	planner := balance.NewPlanner(costs)
	m, option := d.present, reweightOption()
	if next%o.moveInterval == 0 || minute == 0 {
		plan, err := planner.Plan(d.present, o.meanLoad(next, o.moveInterval), group)
		if err != nil {
			panic(err)
		}
		at := 0
		for n := 1; n < len(plan.Options); n++ {
			a, b := plan.Options[n-1], plan.Options[n]
			if (a.Slowdown-b.Slowdown)*float64(o.moveInterval) > o.price*float64(b.Moves-a.Moves) {
				at = n
			}
		}
		if m, err = plan.Build(at); err != nil {
			panic(err)
		}
		option = plan.Options[at]
		option.LoadTime = 0
	}
	m, err := planner.Reweight(m, o.meanLoad(next, o.weightInterval), group)
	if err != nil {
		panic(err)
	}
	return m, option, true
}

// meanLoad returns the mean load of the given number of minutes from one on.
func (o *oraclePolicy) meanLoad(from, minutes int) []float64 {
	mean := make([]float64, len(o.loads[0]))
	for _, load := range o.loads[from:min(from+minutes, minutesADay)] {
		for n, v := range load {
			mean[n] += v
		}
	}
	return mean
}

func reweightOption() balance.Option { return balance.Option{Pause: costs.Pause} }
