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
	// keepInterval is the time between two rounds of the keeper.
	keepInterval = 10 * time.Millisecond
	// presenceLimit is how long an engine counts as present after its last report.
	presenceLimit = 3 * time.Second
	// instructTimeout bounds the delivery of instructions to one sidecar.
	instructTimeout = 2 * time.Second
	// proposeTimeout bounds one proposal to the log.
	proposeTimeout = 5 * time.Second
	// reportsHeld is the number of reports that wait for the keeper.
	reportsHeld = 4096
)

type (
	// ManagerSettings are the seams of a keeper.
	ManagerSettings struct {
		// Replica is the name of the control replica.
		Replica string
		State   *control.State
		Server  *control.Server
		// Leading returns the term of this replica's leadership, or false when it does not lead.
		Leading func() (term uint64, leads bool)
		// Ranks returns the client of an upstream's sidecar, or nil when it is not known.
		Ranks func(upstream string) wire.Ranks
		// Rule returns the bounds of rebalancing; the inventory's weights are put into them.
		Rule   balance.Rule
		Costs  balance.Costs
		Events *event.Ring
		// OnError is told of what the keeper could not do.
		OnError func(error)
	}

	// Manager looks after all groups while its replica leads. One goroutine holds its state; it implements
	// wire.Ranks for the reports of sidecars.
	Manager struct {
		settings ManagerSettings
		inbox    chan *wire.RankStatuses
		// later holds what proposals leave to the keeper's goroutine.
		later    chan func()
		term     uint64
		revision uint64
		groups   map[string]*group
		balancer *balance.Balancer
		present  map[string]presence
		sending  sync.WaitGroup
	}

	// presence is an engine that reported.
	presence struct {
		group       string
		incarnation uint64
		seen        time.Time
	}
)

// NewManager returns a manager that does nothing until its replica leads.
func NewManager(settings ManagerSettings) *Manager {
	return &Manager{settings: settings, inbox: make(chan *wire.RankStatuses, reportsHeld), later: make(chan func(), reportsHeld)}
}

// Instruct is the other direction of the protocol; control takes no instructions.
func (k *Manager) Instruct(context.Context, *wire.RankInstructions) (*wire.RankStatuses, error) {
	return &wire.RankStatuses{}, nil
}

// Report takes statuses and counts from a sidecar.
func (k *Manager) Report(_ context.Context, report *wire.RankStatuses) (*wire.RankInstructions, error) {
	k.take(report)
	return &wire.RankInstructions{}, nil
}

// take queues a report; one that finds the queue full is lost and comes again.
func (k *Manager) take(report *wire.RankStatuses) {
	select {
	case k.inbox <- report:
	default:
	}
}

// Run keeps the groups until the context ends.
func (k *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	defer k.sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case report := <-k.inbox:
			k.receive(report)
		case next := <-k.later:
			next()
		case <-ticker.C:
			k.round(ctx, time.Now())
		}
	}
}

// round follows leadership and inventory, and lets every group do what is due.
func (k *Manager) round(ctx context.Context, now time.Time) {
	term, leads := k.settings.Leading()
	if !leads {
		k.groups, k.term = nil, 0
		return
	}
	revision, text := k.settings.State.Revision()
	if term != k.term {
		k.begin(term)
	}
	if revision != k.revision {
		k.useInventory(revision, text)
	}
	for _, g := range k.groups {
		g.round(ctx, now)
	}
	k.rebalance(ctx, now)
}

// begin starts a term of leadership with nothing but the durable state.
func (k *Manager) begin(term uint64) {
	k.term, k.revision = term, 0
	k.groups = map[string]*group{}
	k.present = map[string]presence{}
	k.balancer = balance.NewBalancer(k.settings.Rule, balance.NewPlanner(k.settings.Costs),
		balance.NewStoreLimiter(k.settings.Costs.StoreRate, 1, 0))
}

func (k *Manager) useInventory(revision uint64, text []byte) {
	owned, err := inventory.Parse("inventory", text)
	if err != nil {
		k.settings.OnError(eris.Wrap(err, "inventory in force"))
		return
	}
	k.revision = revision
	k.balancer.SetRule(k.settings.Rule.WithWeights(owned.Rules.SkewWeight, owned.Rules.RebalanceCostWeight))
	for _, described := range owned.Groups {
		if k.groups[described.Name] == nil {
			k.groups[described.Name] = newGroup(k, described)
		}
	}
	for name := range k.groups {
		if _, isOwned := owned.Group(name); !isOwned {
			delete(k.groups, name)
			k.balancer.RemoveGroup(name, time.Now())
		}
	}
}

// receive takes a report of a sidecar or the answer to instructions.
func (k *Manager) receive(report *wire.RankStatuses) {
	now := time.Now()
	for _, status := range report.Statuses {
		g := k.groups[status.GetGroup()]
		if g == nil {
			continue
		}
		k.present[status.Member.GetName()] = presence{
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

// rebalance hands the counts to the balancer and carries out its decisions.
func (k *Manager) rebalance(ctx context.Context, now time.Time) {
	for _, g := range k.groups {
		g.reportCounts(now)
	}
	for _, decision := range k.balancer.Tick(now) {
		if decision.IsDurable() {
			record := decision.Record()
			if decision.Switch {
				record.ChangeId = changeOf(decision)
			}
			k.propose(ctx, func(ctx context.Context) error { return k.settings.Server.Record(ctx, record) })
		}
		if decision.Switch {
			k.groups[decision.Group].switchTo(ctx, decision, now)
		}
	}
}

// propose runs a proposal beside the keeper's goroutine.
func (k *Manager) propose(ctx context.Context, call func(context.Context) error) {
	k.sending.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if err := call(bounded); err != nil && ctx.Err() == nil {
			k.settings.OnError(err)
		}
	})
}
