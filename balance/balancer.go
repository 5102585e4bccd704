package balance

import (
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/expertmap"
)

type (
	// Balancer keeps all groups of control balanced. It is driven by one goroutine: what the ranks report and
	// what the switch protocol tells goes in, decisions come out. The caller records the durable ones, hands
	// those with Switch to the switch protocol, and reports the end by Switched or SwitchAbandoned.
	Balancer struct {
		rule    Rule
		planner Planner
		store   StoreLimiter
		groups  map[string]*balanced
		names   []string
	}

	// balanced is the state of one group.
	balanced struct {
		present   expertmap.Map
		group     Group
		estimator *Estimator
		decider   Decider
		switching bool
		failing   bool
		looked    time.Time
		reason    Reason
	}
)

// lookInterval is the least time between two looks at one group.
const lookInterval = 30 * time.Second

// NewBalancer returns a balancer without groups.
func NewBalancer(rule Rule, planner Planner, store StoreLimiter) *Balancer {
	return &Balancer{rule: rule, planner: planner, store: store, groups: map[string]*balanced{}}
}

// AddGroup takes in a group with the map in force, when control starts or the group is formed.
func (b *Balancer) AddGroup(m expertmap.Map, group Group, now time.Time) error {
	if err := group.Validate(m.Shape()); err != nil {
		return err
	}
	name := m.Group()
	if _, known := b.groups[name]; !known {
		b.names = append(b.names, name)
		sort.Strings(b.names)
	}
	b.groups[name] = &balanced{
		present: m, group: group, estimator: NewEstimator(m.Shape()),
		decider: NewDecider(name, b.rule, b.planner, now),
	}
	return nil
}

// RemoveGroup forgets a group.
func (b *Balancer) RemoveGroup(name string, now time.Time) {
	delete(b.groups, name)
	at := sort.SearchStrings(b.names, name)
	if at < len(b.names) && b.names[at] == name {
		b.names = append(b.names[:at], b.names[at+1:]...)
	}
	b.store = b.store.WithoutLoad(name, now)
}

// SetRule changes the operator's rule for all groups.
func (b *Balancer) SetRule(rule Rule) {
	b.rule = rule
	for _, g := range b.groups {
		g.decider.Rule = rule
	}
}

// Report folds the counts of a group in.
func (b *Balancer) Report(name string, r Report) error {
	g, err := b.find(name)
	if err != nil {
		return err
	}
	_, err = g.estimator.Add(r)
	return err
}

// FailureStarted tells that a failure of the group began: a rank stalled, was lost or is joining. The group is left
// alone until FailureEnded.
func (b *Balancer) FailureStarted(name string) error {
	g, err := b.find(name)
	if err != nil {
		return err
	}
	g.failing = true
	return nil
}

// FailureEnded tells that the failure of a group is over, with the ranks as they are now.
func (b *Balancer) FailureEnded(name string, group Group, now time.Time) error {
	g, err := b.find(name)
	if err != nil {
		return err
	}
	if err := group.Validate(g.present.Shape()); err != nil {
		return err
	}
	g.failing, g.group = false, group
	g.decider = g.decider.WithFailureEnded(now)
	return nil
}

// Switched tells that a map is in force, whoever asked for it.
func (b *Balancer) Switched(m expertmap.Map, now time.Time) error {
	g, err := b.find(m.Group())
	if err != nil {
		return err
	}
	if m.Version() <= g.present.Version() {
		return nil
	}
	if m.Shape() != g.present.Shape() {
		return eris.Errorf("balancer: map %d of %s has another shape", m.Version(), m.Group())
	}
	g.present, g.switching = m, false
	g.decider = g.decider.WithSwitch(now)
	b.store = b.store.WithoutLoad(m.Group(), now)
	return nil
}

// SwitchAbandoned tells that the switch under way was given up and the present map stays.
func (b *Balancer) SwitchAbandoned(name string, now time.Time) error {
	g, err := b.find(name)
	if err != nil {
		return err
	}
	g.switching = false
	g.decider = g.decider.WithAbandonedSwitch(now)
	b.store = b.store.WithoutLoad(name, now)
	return nil
}

// Tick looks at the groups that are due, in the order of their names, and returns each decision to switch and
// each "not now" whose reason differs from the group's last one. The caller records those that IsDurable.
func (b *Balancer) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, name := range b.names {
		g := b.groups[name]
		if now.Sub(g.looked) < lookInterval {
			continue
		}
		g.looked = now
		decision := b.look(name, g, now)
		if decision.Switch || decision.Reason != g.reason {
			decisions = append(decisions, decision)
		}
		g.reason = decision.Reason
	}
	return decisions
}

// look decides about one group and takes its part of the weight store.
func (b *Balancer) look(name string, g *balanced, now time.Time) Decision {
	estimate := g.estimator.Estimate()
	decision, next := g.decider.Decide(Situation{
		Now: now, Present: g.present, Estimate: estimate, Group: g.group.withEstimate(estimate.Speeds),
		Failing: g.failing, Switching: g.switching, StoreRate: b.store.RateFor(name, now),
	})
	g.decider = next
	if !decision.Switch {
		return decision
	}
	g.switching = true
	if decision.Chosen.Moves > 0 {
		b.store = b.store.WithLoad(name, now, decision.Chosen.LoadTime)
	}
	return decision
}

// find returns a group by its name.
func (b *Balancer) find(name string) (*balanced, error) {
	g, known := b.groups[name]
	if !known {
		return nil, eris.Errorf("balancer: no group %q", name)
	}
	return g, nil
}

// withEstimate returns the group with the estimated speeds of the ranks that are not lost.
func (g Group) withEstimate(speeds []float64) Group {
	estimated := append([]float64(nil), g.Speeds...)
	for r := range estimated {
		estimated[r] *= speeds[r]
	}
	g.Speeds = estimated
	return g
}
