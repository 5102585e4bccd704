package balance

import (
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/expertmap"
)

type (
	// Balancer decides on the expert maps of all groups. One goroutine drives it: the caller passes in the token
	// counts of the ranks and the events of the switch protocol, and Tick returns decisions. The caller records those
	// that IsDurable, hands those with Switch to the switch protocol, and reports the result with Switched or
	// SwitchAbandoned.
	Balancer struct {
		rule    Rule
		planner Planner
		limiter StoreLimiter
		groups  map[string]*groupState
		names   []string
	}

	// groupState is the state of one group. lastDecision and lastReason are the time and the reason of the latest
	// decision.
	groupState struct {
		present      expertmap.Map
		group        Group
		estimator    *Estimator
		decider      Decider
		switching    bool
		failing      bool
		lastDecision time.Time
		lastReason   Reason
	}
)

// decisionInterval is the minimum time between two decisions on one group.
const decisionInterval = 30 * time.Second

// NewBalancer returns a balancer without groups.
func NewBalancer(rule Rule, planner Planner, limiter StoreLimiter) *Balancer {
	return &Balancer{rule: rule, planner: planner, limiter: limiter, groups: map[string]*groupState{}}
}

// AddGroup adds a group with the map in force, when control starts or when the group is formed. A group of the same
// name is replaced.
func (b *Balancer) AddGroup(m expertmap.Map, group Group, now time.Time) error {
	if err := group.Validate(m.Shape()); err != nil {
		return err
	}
	name := m.Group()
	if _, known := b.groups[name]; !known {
		b.names = append(b.names, name)
		sort.Strings(b.names)
	}
	b.groups[name] = &groupState{
		present: m, group: group, estimator: NewEstimator(m.Shape()),
		decider: NewDecider(name, b.rule, b.planner, now),
	}
	return nil
}

// RemoveGroup removes a group and releases its use of the weight store.
func (b *Balancer) RemoveGroup(name string, now time.Time) {
	delete(b.groups, name)
	at := sort.SearchStrings(b.names, name)
	if at < len(b.names) && b.names[at] == name {
		b.names = append(b.names[:at], b.names[at+1:]...)
	}
	b.limiter = b.limiter.WithoutLoad(name, now)
}

// SetRule replaces the operator's rule for all groups.
func (b *Balancer) SetRule(rule Rule) {
	b.rule = rule
	for _, g := range b.groups {
		g.decider.Rule = rule
	}
}

// Report adds the token counts of a group to its estimate.
func (b *Balancer) Report(name string, r Report) error {
	g, err := b.find(name)
	if err != nil {
		return err
	}
	_, err = g.estimator.Add(r)
	return err
}

// FailureStarted records that a failure of the group began: a rank stalled, was lost or is joining. The group's map
// is not changed until FailureEnded.
func (b *Balancer) FailureStarted(name string) error {
	g, err := b.find(name)
	if err != nil {
		return err
	}
	g.failing = true
	return nil
}

// FailureEnded records that the failure of a group is over. Group describes the ranks as they are now.
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

// Switched records that a map is in force, whether or not the balancer asked for it. A map that is not newer than the
// present one is ignored.
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
	b.limiter = b.limiter.WithoutLoad(m.Group(), now)
	return nil
}

// SwitchAbandoned records that the switch under way was abandoned and the present map stays in force.
func (b *Balancer) SwitchAbandoned(name string, now time.Time) error {
	g, err := b.find(name)
	if err != nil {
		return err
	}
	g.switching = false
	g.decider = g.decider.WithAbandonedSwitch(now)
	b.limiter = b.limiter.WithoutLoad(name, now)
	return nil
}

// Tick decides on each group whose last decision is at least decisionInterval old, in the order of the group names.
// It returns each decision to switch, and each decision to keep the map whose reason differs from the group's
// previous one. The caller records those that IsDurable.
func (b *Balancer) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, name := range b.names {
		g := b.groups[name]
		if now.Sub(g.lastDecision) < decisionInterval {
			continue
		}
		g.lastDecision = now
		decision := b.decide(name, g, now)
		if decision.Switch || decision.Reason != g.lastReason {
			decisions = append(decisions, decision)
		}
		g.lastReason = decision.Reason
	}
	return decisions
}

// decide decides on one group. When replicas are to be moved, it reserves the group's share of the weight store.
func (b *Balancer) decide(name string, g *groupState, now time.Time) Decision {
	estimate := g.estimator.Estimate()
	decision, next := g.decider.Decide(Situation{
		Now: now, Present: g.present, Estimate: estimate, Group: g.group.withEstimate(estimate.Speeds),
		Failing: g.failing, Switching: g.switching, StoreRate: b.limiter.RateFor(name, now),
	})
	g.decider = next
	if !decision.Switch {
		return decision
	}
	g.switching = true
	if decision.Chosen.Moves > 0 {
		b.limiter = b.limiter.WithLoad(name, now, decision.Chosen.LoadTime)
	}
	return decision
}

// find returns the state of a group.
func (b *Balancer) find(name string) (*groupState, error) {
	g, known := b.groups[name]
	if !known {
		return nil, eris.Errorf("balancer: no group %q", name)
	}
	return g, nil
}

// withEstimate returns the group with its speeds multiplied by the estimated ones. Lost ranks keep speed 0.
func (g Group) withEstimate(speeds []float64) Group {
	estimated := append([]float64(nil), g.Speeds...)
	for r := range estimated {
		estimated[r] *= speeds[r]
	}
	g.Speeds = estimated
	return g
}
