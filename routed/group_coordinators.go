package routed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/lockstep"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/upstream"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// reconcileInterval is the time between two checks of the leadership and the announced groups.
	reconcileInterval = 200 * time.Millisecond
	// targetPassShare is the fraction of the gap objective that a pass may take before experts are moved.
	targetPassShare = 0.55
	// defaultReportLag is the assumed age of the state that an engine reports to another instance, if the configuration
	// gives none.
	defaultReportLag = 300 * time.Millisecond
	// maxMapExperts is the largest number of experts in all sets of a map that is balanced.
	maxMapExperts = 1 << 20
	// rankDialTimeout bounds the opening of a connection to the sidecar of a rank.
	rankDialTimeout = 200 * time.Millisecond
)

type (
	// groupCoordinators runs a coordinator of the expert map for each group while the replica leads.
	groupCoordinators struct {
		replica *registry.Replica
		// sidecarAddress returns the internal address of the sidecar of an upstream.
		sidecarAddress func(upstream string) string
		// directEngine returns a client of the engine of an upstream that bypasses its sidecar.
		directEngine func(upstream string) lockstep.Sidecar
		log          *logrus.Entry
		scope        tally.Scope
		client       *upstream.Client

		mutex sync.Mutex
		links map[string]*rankLink
	}

	// activeCoordinator is the running coordinator of a group.
	activeCoordinator struct {
		cancel   context.CancelFunc
		settings groupSettings
	}

	// groupSettings holds the settings of a group from the configuration.
	groupSettings struct {
		shape          lockstep.Shape
		targetPassTime time.Duration
		gapObjective   time.Duration
		expertShare    float64
		copyTime       time.Duration
		copySlowdown   float64
		// reportLag is the age of the state that an engine reports when its sidecar is bypassed.
		reportLag time.Duration
	}
)

func newGroupCoordinators(replica *registry.Replica, settings ControlSettings) *groupCoordinators {
	return &groupCoordinators{
		replica: replica, sidecarAddress: settings.SidecarAddress, directEngine: settings.DirectEngine,
		log: settings.Log, scope: settings.scope(),
		links: map[string]*rankLink{}, client: upstream.NewClient(rankDialTimeout),
	}
}

// run starts a coordinator for each group while the replica leads, and stops them all when the replica loses leadership
// or the term changes.
func (g *groupCoordinators) run(ctx context.Context) error {
	active := map[string]activeCoordinator{}
	term, tokens := uint64(0), lockstep.NewTokens(0)
	for wait.For(ctx, reconcileInterval) {
		current, leads := g.replica.Leading()
		if !leads || current != term {
			for name, t := range active {
				t.cancel()
				delete(active, name)
			}
		}
		if !leads {
			continue
		}
		if current != term {
			term, tokens = current, lockstep.NewTokens(current)
		}
		g.reconcile(ctx, tokens, active)
	}
	for _, t := range active {
		t.cancel()
	}
	return nil
}

// reconcile starts coordinators for groups that have none, restarts those whose settings changed, and stops those of
// groups that no upstream announces.
func (g *groupCoordinators) reconcile(ctx context.Context, tokens *lockstep.Tokens, active map[string]activeCoordinator) {
	desired := g.desiredGroups()
	for name, t := range active {
		if _, isDesired := desired[name]; !isDesired {
			t.cancel()
			delete(active, name)
		}
	}
	for name, settings := range desired {
		t, isActive := active[name]
		if isActive && t.settings == settings {
			continue
		}
		if isActive {
			t.cancel()
		}
		coordinatorContext, cancel := context.WithCancel(ctx)
		active[name] = activeCoordinator{cancel: cancel, settings: settings}
		coordinator := lockstep.NewCoordinator(lockstep.Settings{
			Group: name, Shape: settings.shape, TargetPassTime: settings.targetPassTime,
			GapObjective: settings.gapObjective, ExpertShare: settings.expertShare,
			CopyTime: settings.copyTime, CopySlowdown: settings.copySlowdown,
			IsPaused: func() bool { return g.isEvacuated(name) },
			OnEvent:  g.logEvent, OnStates: func(states []lockstep.State) { g.updateLoads(name, states) },
		}, g.engine(name, settings.reportLag), tokens)
		go func() {
			if err := coordinator.Run(coordinatorContext); err != nil {
				g.log.WithError(err).WithField("group", name).
					Warn("coordinator stopped because a later leader controls the group")
			}
		}()
	}
}

// isEvacuated reports whether a rank of the group is in an evacuated domain. A change of the map would copy experts to the
// rank and give it orders.
func (g *groupCoordinators) isEvacuated(group string) bool {
	set := g.replica.Evacuated()
	return !set.IsEmpty() && slices.ContainsFunc(g.replica.Upstreams(), func(i roster.Instance) bool {
		return i.Group.Name == group && i.State != roster.Gone && set.Has(i.Domain)
	})
}

// desiredGroups returns the groups that upstreams announce and that have an expert map, with their settings.
func (g *groupCoordinators) desiredGroups() map[string]groupSettings {
	desired := map[string]groupSettings{}
	table := g.replica.Table()
	if table == nil {
		return desired
	}
	for _, instance := range g.replica.Upstreams() {
		service := table.Service(instance.Service)
		if service == nil || instance.Group.Size == 0 {
			continue
		}
		if settings, isMapped := settingsOf(table, service, instance.Group.Size); isMapped {
			desired[instance.Group.Name] = settings
		}
	}
	return desired
}

// settingsOf returns the settings of a group of the service, and false if its engines have no expert map.
func settingsOf(table *route.Table, service *route.Service, ranks int) (groupSettings, bool) {
	engine := service.Engine
	if engine == nil || engine.Sets <= 0 || engine.Experts <= 0 || engine.Sets > maxMapExperts/engine.Experts {
		return groupSettings{}, false
	}
	gap := table.MinGapObjective(service.Name)
	return groupSettings{
		gapObjective: gap,
		shape: lockstep.Shape{
			Ranks: ranks, Sets: engine.Sets, Experts: engine.Experts, Slots: engine.Places, StagingSlots: engine.Spare,
		},
		targetPassTime: time.Duration(targetPassShare * float64(gap)),
		expertShare:    engine.ExpertShare,
		copyTime:       engine.CopyTime,
		copySlowdown:   engine.CopySlowdown,
		reportLag:      cmp.Or(engine.ReportLag, defaultReportLag),
	}, true
}

// engine returns the client through which a coordinator reads and controls the ranks of a group. The reportLag is the age
// of the state that an engine reports when its sidecar is bypassed.
func (g *groupCoordinators) engine(group string, reportLag time.Duration) lockstep.Engine {
	return lockstep.Engine{
		Read: func(ctx context.Context, rank int, withCounts, withPlacement bool) (lockstep.State, error) {
			link, err := g.link(group, rank)
			if err != nil {
				return lockstep.State{}, err
			}
			return link.read(ctx, reportLag, withCounts, withPlacement)
		},
		Give: func(ctx context.Context, rank int, order lockstep.Order) (*lockstep.State, error) {
			link, err := g.link(group, rank)
			if err != nil {
				return nil, err
			}
			return link.sendOrder(ctx, order)
		},
	}
}

// link returns the link to a rank of a group. If several instances announce the rank, it uses the one that started
// last.
func (g *groupCoordinators) link(group string, rank int) (*rankLink, error) {
	var found *roster.Instance
	for _, instance := range g.replica.Upstreams() {
		if instance.Group.Name == group && instance.Group.Rank == rank && (found == nil || instance.Born > found.Born) {
			found = &instance
		}
	}
	if found == nil {
		return nil, eris.Errorf("rank %d of group %s is not known", rank, group)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.links[found.Address] == nil {
		client := wire.NewLockstepProtobufClient("http://"+g.sidecarAddress(found.Address), g.client)
		g.links[found.Address] = &rankLink{
			remote: lockstep.Remote{Client: client}, direct: g.directEngine(found.Address),
			onSkipped: func(call string, took time.Duration, err error) { g.logSkipped(group, rank, call, took, err) },
		}
	}
	return g.links[found.Address], nil
}

// updateLoads passes the loads of the ranks of a group to the replica. It skips instances that restarted since the
// states were read.
func (g *groupCoordinators) updateLoads(group string, states []lockstep.State) {
	var loads []registry.Load
	for _, instance := range g.replica.Upstreams() {
		rank := instance.Group.Rank
		if instance.Group.Name != group || rank >= len(states) || states[rank].Born != instance.Born {
			continue
		}
		loads = append(loads, registry.Load{
			ID: instance.ID, Running: states[rank].Running, Waiting: states[rank].Waiting, Pace: states[rank].Pace,
		})
	}
	g.replica.UpdateLoads(group, loads)
}

// logSkipped counts and logs a sidecar that did not answer and is not used for sidecarBackoff.
func (g *groupCoordinators) logSkipped(group string, rank int, call string, took time.Duration, err error) {
	g.scope.Tagged(map[string]string{"group": group}).Counter("sidecars_skipped").Inc(1)
	g.log.WithError(err).WithFields(logrus.Fields{
		"group": group, "rank": rank, "call": call, "took_ms": took.Milliseconds(),
	}).Warn("sidecar does not answer, its engine is called directly")
}

// logEvent counts and logs an event of an expert map.
func (g *groupCoordinators) logEvent(e lockstep.Event) {
	g.scope.Tagged(map[string]string{"group": e.Group, "event": e.Kind}).Counter("expert_map_events").Inc(1)
	g.log.WithFields(logrus.Fields{
		"group": e.Group, "event": e.Kind, "version": e.Version, "step": e.Step, "epoch": e.Epoch,
		"before": e.Before, "after": e.After, "moved": e.Moved, "max_moved": e.MaxMoved, "detail": e.Detail,
	}).Info("expert map")
}
