package ranks

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/event"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/wire"
)

const (
	// managerInterval is the time between two calls of tick.
	managerInterval = 10 * time.Millisecond
	// presenceTimeout is the time for which an engine counts as present after its last report.
	presenceTimeout = 3 * time.Second
	// instructTimeout is the timeout for the delivery of instructions to one sidecar.
	instructTimeout = 2 * time.Second
	// proposeTimeout is the timeout of one proposal to the replicated log.
	proposeTimeout = 5 * time.Second
	// managerQueueSize is the capacity of the manager's queue of reports and of its queue of callbacks.
	managerQueueSize = 4096
)

type (
	// ManagerSettings holds the dependencies and parameters of a Manager.
	ManagerSettings struct {
		// Replica is the name of the control replica.
		Replica string
		State   *control.State
		Server  *control.Server
		// Leading returns the term in which this replica leads, or false when it does not lead.
		Leading func() (term uint64, leads bool)
		// Ranks returns the client of an upstream's sidecar, or nil when the sidecar is not known.
		Ranks func(upstream string) wire.Ranks
		// Rule holds the limits of rebalancing. Its weights are replaced by those of the inventory.
		Rule   balance.Rule
		Costs  balance.Costs
		Events *event.Ring
		// OnError is called for each failure; the manager then continues.
		OnError func(error)
	}

	// Manager manages all groups while its control replica leads. Run's goroutine owns the state; other goroutines
	// pass reports and callbacks to it through queues. It implements wire.Ranks for the reports of sidecars.
	Manager struct {
		settings ManagerSettings
		inbox    chan *wire.RankStatuses
		// callbacks holds functions that proposals queue for the manager's goroutine.
		callbacks chan func()
		// term is the term in which the replica leads, 0 when it does not lead.
		term uint64
		// revision is the inventory revision that groups was built from.
		revision uint64
		groups   map[string]*group
		balancer *balance.Balancer
		// engines holds the last report of each engine, by engine name.
		engines map[string]presence
		// background tracks the goroutines that send instructions and proposals.
		background sync.WaitGroup
	}

	// presence is the last report of an engine.
	presence struct {
		group       string
		incarnation uint64
		seen        time.Time
	}
)

// NewManager returns a manager. Run starts its work, and it is idle while its replica does not lead.
func NewManager(settings ManagerSettings) *Manager {
	return &Manager{
		settings: settings, inbox: make(chan *wire.RankStatuses, managerQueueSize),
		callbacks: make(chan func(), managerQueueSize),
	}
}

// Instruct returns an empty answer: control is not a receiver of instructions.
func (k *Manager) Instruct(context.Context, *wire.RankInstructions) (*wire.RankStatuses, error) {
	return &wire.RankStatuses{}, nil
}

// Report queues statuses and counts of a sidecar. The answer holds no instructions.
func (k *Manager) Report(_ context.Context, report *wire.RankStatuses) (*wire.RankInstructions, error) {
	k.enqueue(report)
	return &wire.RankInstructions{}, nil
}

// enqueue queues a report. When the queue is full the report is dropped; sidecars report again later.
func (k *Manager) enqueue(report *wire.RankStatuses) {
	select {
	case k.inbox <- report:
	default:
	}
}

// Run manages the groups until the context ends.
func (k *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(managerInterval)
	defer ticker.Stop()
	defer k.background.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case report := <-k.inbox:
			k.receive(report)
		case callback := <-k.callbacks:
			callback()
		case <-ticker.C:
			k.tick(ctx, time.Now())
		}
	}
}

// tick follows changes of leadership and inventory, and runs the due work of every group and of the balancer.
func (k *Manager) tick(ctx context.Context, now time.Time) {
	term, leads := k.settings.Leading()
	if !leads {
		k.groups, k.term = nil, 0
		return
	}
	revision, text := k.settings.State.Revision()
	if term != k.term {
		k.beginTerm(term)
	}
	if revision != k.revision {
		k.useInventory(revision, text)
	}
	for _, g := range k.groups {
		g.tick(ctx, now)
	}
	k.rebalance(ctx, now)
}

// beginTerm starts a term of leadership and drops all state that is not durable.
func (k *Manager) beginTerm(term uint64) {
	k.term, k.revision = term, 0
	k.groups = map[string]*group{}
	k.engines = map[string]presence{}
	k.balancer = balance.NewBalancer(k.settings.Rule, balance.NewPlanner(k.settings.Costs),
		balance.NewStoreLimiter(k.settings.Costs.StoreRate, 1, 0))
}

// useInventory adds the groups that are new in the inventory and removes those that are no longer in it.
func (k *Manager) useInventory(revision uint64, text []byte) {
	owned, err := inventory.Parse("inventory", text)
	if err != nil {
		k.settings.OnError(eris.Wrap(err, "parse inventory in force"))
		return
	}
	k.revision = revision
	k.balancer.SetRule(k.settings.Rule.WithWeights(owned.Rules.SkewWeight, owned.Rules.RebalanceCostWeight))
	for _, config := range owned.Groups {
		if k.groups[config.Name] == nil {
			k.groups[config.Name] = newGroup(k, config)
		}
	}
	for name := range k.groups {
		if _, isOwned := owned.Group(name); !isOwned {
			delete(k.groups, name)
			k.balancer.RemoveGroup(name, time.Now())
		}
	}
}

// receive processes a report of a sidecar or the answer to instructions.
func (k *Manager) receive(report *wire.RankStatuses) {
	now := time.Now()
	for _, status := range report.Statuses {
		g := k.groups[status.GetGroup()]
		if g == nil {
			continue
		}
		k.engines[status.Member.GetName()] = presence{
			group: status.Group, incarnation: status.Member.GetIncarnation(), seen: now,
		}
		g.receive(status, now)
	}
	for _, counts := range report.Counts {
		if g := k.groups[counts.GetGroup()]; g != nil {
			g.counts.add(counts)
		}
	}
}

// rebalance passes the counts to the balancer and executes its decisions.
func (k *Manager) rebalance(ctx context.Context, now time.Time) {
	for _, g := range k.groups {
		g.reportCounts(now)
	}
	for _, decision := range k.balancer.Tick(now) {
		if decision.IsDurable() {
			record := decision.Record()
			if decision.Switch {
				record.ChangeId = changeID(decision)
			}
			k.propose(ctx, func(ctx context.Context) error { return k.settings.Server.Record(ctx, record) })
		}
		if decision.Switch {
			k.groups[decision.Group].switchTo(ctx, decision, now)
		}
	}
}

// propose runs a proposal in a goroutine of its own.
func (k *Manager) propose(ctx context.Context, call func(context.Context) error) {
	k.background.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if err := call(bounded); err != nil && ctx.Err() == nil {
			k.settings.OnError(err)
		}
	})
}
