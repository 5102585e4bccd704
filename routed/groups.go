package routed

import (
	"context"
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
	// lookInterval is the time between two looks at who leads and which groups there are.
	lookInterval = 200 * time.Millisecond
	// comfortShare is the part of the wanted pause between events that a pass may take before experts are moved.
	comfortShare = 0.55
	// rankDialTimeout bounds the opening of a connection to the process beside a rank.
	rankDialTimeout = 200 * time.Millisecond
)

type (
	// groups looks after the expert maps of all groups while the replica leads.
	groups struct {
		replica *registry.Replica
		// sidecarOf returns the inner address of the process beside an upstream.
		sidecarOf func(upstream string) string
		// direct reaches an engine without the process beside it.
		direct func(upstream string) lockstep.Sidecar
		log    *logrus.Entry
		scope  tally.Scope
		client *upstream.Client

		mutex sync.Mutex
		links map[string]*rankLink
	}

	// tended is a group that is looked after.
	tended struct {
		cancel   context.CancelFunc
		settings groupSettings
	}

	// groupSettings is what the configuration says of a group.
	groupSettings struct {
		shape       lockstep.Shape
		comfort     time.Duration
		gap         time.Duration
		expertShare float64
	}
)

func newGroups(replica *registry.Replica, settings ControlSettings) *groups {
	return &groups{
		replica: replica, sidecarOf: settings.SidecarOf, direct: settings.Direct, log: settings.Log, scope: settings.scope(),
		links: map[string]*rankLink{}, client: upstream.NewClient(rankDialTimeout),
	}
}

// run starts a coordinator for each group while the replica leads, and ends them with its term.
func (g *groups) run(ctx context.Context) error {
	active := map[string]tended{}
	term := uint64(0)
	for wait.For(ctx, lookInterval) {
		now, leads := g.replica.Leading()
		if !leads || now != term {
			for name, t := range active {
				t.cancel()
				delete(active, name)
			}
		}
		term = now
		if leads {
			g.tend(ctx, term, active)
		}
	}
	for _, t := range active {
		t.cancel()
	}
	return nil
}

// tend starts coordinators for groups that have none, or whose shape changed.
func (g *groups) tend(ctx context.Context, term uint64, active map[string]tended) {
	for name, settings := range g.wanted() {
		t, isActive := active[name]
		if isActive && t.settings == settings {
			continue
		}
		if isActive {
			t.cancel()
		}
		inner, cancel := context.WithCancel(ctx)
		active[name] = tended{cancel: cancel, settings: settings}
		coordinator := lockstep.NewCoordinator(lockstep.Settings{
			Group: name, Shape: settings.shape, TargetPassTime: settings.comfort, GapObjective: settings.gap, ExpertShare: settings.expertShare,
			OnEvent: g.explain, OnStates: func(states []lockstep.State) { g.noteLoads(name, states) },
		}, g.engine(name), term)
		go func() {
			if err := coordinator.Run(inner); err != nil {
				g.log.WithError(err).WithField("group", name).Warn("group left to a later leader")
			}
		}()
	}
}

// wanted returns the groups that upstreams announce, with what the configuration says of them.
func (g *groups) wanted() map[string]groupSettings {
	wanted := map[string]groupSettings{}
	table := g.replica.Table()
	if table == nil {
		return wanted
	}
	for _, instance := range g.replica.Upstreams() {
		service := table.Service(instance.Service)
		if service == nil || instance.Group.Size == 0 {
			continue
		}
		if settings, isMapped := settingsOf(table, service, instance.Group.Size); isMapped {
			wanted[instance.Group.Name] = settings
		}
	}
	return wanted
}

func settingsOf(table *route.Table, service *route.Service, ranks int) (groupSettings, bool) {
	engine := service.Engine
	if engine == nil || engine.Sets == 0 || engine.Experts == 0 {
		return groupSettings{}, false
	}
	gap := table.MinGapObjective(service.Name)
	return groupSettings{
		gap: gap,
		shape: lockstep.Shape{
			Ranks: ranks, Sets: engine.Sets, Experts: engine.Experts, Slots: engine.Places, StagingSlots: engine.Spare,
		},
		comfort:     time.Duration(comfortShare * float64(gap)),
		expertShare: engine.ExpertShare,
	}, true
}

// engine reaches the ranks of a group.
func (g *groups) engine(group string) lockstep.Engine {
	return lockstep.Engine{
		Read: func(ctx context.Context, rank int, withCounts, withPlacement bool) (lockstep.State, error) {
			link, err := g.rank(group, rank)
			if err != nil {
				return lockstep.State{}, err
			}
			return link.read(ctx, withCounts, withPlacement)
		},
		Give: func(ctx context.Context, rank int, order lockstep.Order) (*lockstep.State, error) {
			link, err := g.rank(group, rank)
			if err != nil {
				return nil, err
			}
			return link.give(ctx, order)
		},
	}
}

// rank returns the link to a rank of a group.
func (g *groups) rank(group string, rank int) (*rankLink, error) {
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
		client := wire.NewLockstepProtobufClient("http://"+g.sidecarOf(found.Address), g.client)
		g.links[found.Address] = &rankLink{remote: lockstep.Remote{Client: client}, direct: g.direct(found.Address)}
	}
	return g.links[found.Address], nil
}

// noteLoads hands on what the ranks of a group have to do.
func (g *groups) noteLoads(group string, states []lockstep.State) {
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

// explain logs why a map changed.
func (g *groups) explain(e lockstep.Event) {
	g.scope.Tagged(map[string]string{"group": e.Group, "event": e.Kind}).Counter("expert_map_events").Inc(1)
	g.log.WithFields(logrus.Fields{
		"group": e.Group, "event": e.Kind, "version": e.Version, "step": e.Step, "epoch": e.Epoch,
		"before": e.Before, "after": e.After, "moved": e.Moved, "detail": e.Detail,
	}).Info("expert map")
}
