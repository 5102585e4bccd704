package ranks

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/mapswitch"
	"guavahitch.example/guavahitch/wire"
)

const (
	// assignInterval is the time between two checks of which engines hold the ranks.
	assignInterval = 500 * time.Millisecond
	// stagingSlots is the number of expert replicas that a rank can load in addition to those in use.
	stagingSlots = 8
)

// group is the manager's state of one group while its control replica leads.
type group struct {
	manager     *Manager
	config      inventory.Group
	shape       expertmap.Shape
	coordinator *mapswitch.Coordinator
	// applied is the number of durable records that the coordinator has received.
	applied uint64
	counts  counts
	// assignmentChecked is the time of the last check of which engines hold the ranks.
	assignmentChecked time.Time
	// inBalancer is true once the balancer has the group's map.
	inBalancer bool
	// isSwitching is true while a switch that this manager requested has not ended. isRebalancing is true while that
	// switch is one that the balancer decided on.
	isSwitching   bool
	isRebalancing bool
}

func newGroup(k *Manager, config inventory.Group) *group {
	state, applied := k.settings.State.MapState(config.Name)
	g := &group{manager: k, config: config, applied: applied, shape: ShapeOf(config)}
	g.coordinator = mapswitch.NewCoordinator(
		mapswitch.Options{
			Group: config.Name, Replica: k.settings.Replica, Allowance: mapswitch.DefaultAllowance,
		}.WithDefaults(), state, k.term)
	g.counts = newCounts(g.shape)
	return g
}

// ShapeOf returns the shape of a group's maps. Each rank has slots for an even share of the experts of a layer, plus
// the configured spare slots.
func ShapeOf(config inventory.Group) expertmap.Shape {
	even := (config.Experts + config.Ranks - 1) / config.Ranks
	return expertmap.Shape{
		Ranks: config.Ranks, Experts: config.Experts, Layers: config.Layers, Slots: even + config.SpareSlots,
	}
}

func (g *group) name() string { return g.config.Name }

// tick passes committed records to the coordinator, runs its due work, and checks which engines hold the ranks.
func (g *group) tick(ctx context.Context, now time.Time) {
	if g.coordinator.State().Term != g.manager.term && g.assignmentChecked.IsZero() {
		g.assignmentChecked = now
		g.perform(ctx, g.coordinator.Start(now))
	}
	records, isComplete := g.manager.settings.State.MapRecords(g.name(), g.applied)
	if !isComplete {
		g.manager.settings.OnError(eris.Errorf("group %s: some committed records are no longer available", g.name()))
	}
	for _, r := range records {
		g.applied++
		g.perform(ctx, g.coordinator.ReceiveCommitted(r, now))
	}
	g.perform(ctx, g.coordinator.Tick(now))
	g.joinBalancer(now)
	if now.Sub(g.assignmentChecked) >= assignInterval {
		g.assignmentChecked = now
		g.assignRanks(ctx, now)
	}
}

// receive passes the status of a rank to the coordinator.
func (g *group) receive(status *wire.RankStatus, now time.Time) {
	s, err := mapswitch.StatusFromWire(status)
	if err != nil {
		g.manager.settings.OnError(err)
		return
	}
	g.perform(context.Background(), g.coordinator.Receive(s, now))
}

// perform executes the output of the coordinator: proposals, instructions and results of switches.
func (g *group) perform(ctx context.Context, out mapswitch.Output) {
	k := g.manager
	for _, r := range out.Propose {
		k.propose(ctx, func(ctx context.Context) error { return k.settings.Server.ProposeMapRecord(ctx, r) })
	}
	g.send(ctx, out.Send)
	for _, result := range out.Results {
		g.finishSwitch(result)
	}
}

// send delivers instructions with one concurrent call for each sidecar, and queues the statuses in the answers.
func (g *group) send(ctx context.Context, envelopes []mapswitch.Envelope) {
	byUpstream := map[string]*wire.RankInstructions{}
	for _, e := range envelopes {
		upstream, _, _ := strings.Cut(e.To.Name, "/")
		message := e.Instruction.ToWire()
		message.Engine = e.To.Name
		if byUpstream[upstream] == nil {
			byUpstream[upstream] = &wire.RankInstructions{}
		}
		byUpstream[upstream].Instructions = append(byUpstream[upstream].Instructions, message)
	}
	for upstream, instructions := range byUpstream {
		client := g.manager.settings.Ranks(upstream)
		if client == nil {
			continue
		}
		g.manager.background.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, instructTimeout)
			defer cancel()
			if statuses, err := client.Instruct(bounded, instructions); err == nil {
				g.manager.enqueue(statuses)
			}
		})
	}
}

// finishSwitch records the end of a switch and informs the balancer.
func (g *group) finishSwitch(result mapswitch.Result) {
	k := g.manager
	detail := fmt.Sprintf("map %d %s after %v",
		result.Switch.Map.Version, result.Ending, result.Took.Round(time.Millisecond))
	if result.Cause != "" {
		detail += ": " + result.Cause
	}
	k.settings.Events.Add(&wire.Event{Kind: "map-switch", Group: g.name(), Change: result.Switch.ChangeID, Detail: detail})
	g.isSwitching = false
	switch {
	case result.Ending == mapswitch.Ran && g.isRebalancing:
		g.reportSwitch(result.Layout.Map.Version)
	case result.Ending == mapswitch.Ran && g.inBalancer:
		g.reportError(k.balancer.FailureEnded(g.name(), balance.NewGroup(g.shape.Ranks, stagingSlots), time.Now()))
	case g.isRebalancing:
		g.reportError(k.balancer.SwitchAbandoned(g.name(), time.Now()))
	}
	g.isRebalancing = false
}

// reportError passes a non-fatal error to OnError.
func (g *group) reportError(err error) {
	if err != nil {
		g.manager.settings.OnError(eris.Wrapf(err, "group %s", g.name()))
	}
}

// reportSwitch informs the balancer that a map is in force.
func (g *group) reportSwitch(version uint64) {
	content := g.manager.settings.State.MapContent(g.name(), version)
	m, err := expertmap.Decode(content)
	if err == nil && g.inBalancer {
		err = g.manager.balancer.Switched(m, time.Now())
	}
	if err != nil {
		g.manager.settings.OnError(eris.Wrapf(err, "group %s: map %d", g.name(), version))
	}
}

// joinBalancer adds the group to the balancer once a map is in force.
func (g *group) joinBalancer(now time.Time) {
	inForce := g.coordinator.State().InForce
	if g.inBalancer || inForce.Sequence == 0 {
		return
	}
	m, err := expertmap.Decode(g.manager.settings.State.MapContent(g.name(), inForce.Map.Version))
	if err == nil {
		err = g.manager.balancer.AddGroup(m, balance.NewGroup(g.shape.Ranks, stagingSlots), now)
	}
	if err != nil {
		g.manager.settings.OnError(eris.Wrapf(err, "group %s", g.name()))
		return
	}
	g.inBalancer = true
}

// assignRanks forms the group when every rank has an engine, and replaces engines that are gone or have restarted.
func (g *group) assignRanks(ctx context.Context, now time.Time) {
	inForce := g.coordinator.State().InForce
	assignment := mapswitch.AssignRanks(inForce, g.shape.Ranks, g.presences(now))
	if assignment.IsStalled && g.inBalancer {
		g.reportError(g.manager.balancer.FailureStarted(g.name()))
	}
	if g.isSwitching || !assignment.IsChanged || len(assignment.Vacant) > 0 {
		return
	}
	version, cause := inForce.Map.Version, "an engine of the group was replaced or has restarted"
	content := g.manager.settings.State.MapContent(g.name(), version)
	if inForce.Sequence == 0 {
		first, err := expertmap.New(g.name(), g.shape)
		if err != nil {
			g.manager.settings.OnError(err)
			return
		}
		version, content, cause = first.Version(), first.Encode(), "every rank of the new group has an engine"
	}
	g.requestSwitch(ctx, now, mapswitch.Switch{
		ChangeID: fmt.Sprintf("%s-members-%d", g.name(), now.UnixMilli()), Cause: cause,
		Map: mapswitch.NewMap(version, content), Members: assignment.Members, Stalled: assignment.IsStalled,
	})
}

// presences returns the engines of the group that reported within presenceTimeout, sorted by name.
func (g *group) presences(now time.Time) []mapswitch.Candidate {
	var list []mapswitch.Candidate
	for name, p := range g.manager.engines {
		if p.group == g.name() && now.Sub(p.seen) <= presenceTimeout {
			list = append(list, mapswitch.Candidate{Name: name, Incarnation: p.incarnation})
		}
	}
	slices.SortFunc(list, func(a, b mapswitch.Candidate) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// switchTo requests the switch that the balancer decided on.
func (g *group) switchTo(ctx context.Context, decision balance.Decision, now time.Time) {
	g.isRebalancing = true
	g.requestSwitch(ctx, now, mapswitch.Switch{
		ChangeID: changeID(decision), Cause: string(decision.Reason),
		Map:     mapswitch.NewMap(decision.Map.Version(), decision.Map.Encode()),
		Members: g.coordinator.State().InForce.Members,
	})
}

// changeID returns the ID of the change for a decision of the balancer.
func changeID(decision balance.Decision) string {
	return fmt.Sprintf("%s-map-%d", decision.Group, decision.Map.Version())
}

// requestSwitch makes the content of the map durable in the background. A callback on the manager's goroutine then
// requests the switch from the coordinator.
func (g *group) requestSwitch(ctx context.Context, now time.Time, s mapswitch.Switch) {
	g.isSwitching = true
	k := g.manager
	content := &wire.MapContent{Group: g.name(), Version: s.Map.Version, Content: s.Map.Content}
	k.propose(ctx, func(bounded context.Context) error {
		if err := k.settings.Server.ProposeMapContent(bounded, content); err != nil {
			k.callbacks <- func() { g.isSwitching = false }
			return err
		}
		k.callbacks <- func() { g.perform(ctx, g.coordinator.Request(s, now)) }
		return nil
	})
}

// reportCounts passes the counts of the ranks to the balancer when they are due and complete.
func (g *group) reportCounts(now time.Time) {
	if !g.inBalancer || !g.counts.isDue(now) {
		return
	}
	inForce := g.coordinator.State().InForce
	m, err := expertmap.Decode(g.manager.settings.State.MapContent(g.name(), inForce.Map.Version))
	if err != nil {
		return
	}
	if report, isComplete := g.counts.report(m, inForce.Sequence, now); isComplete {
		if err := g.manager.balancer.Report(g.name(), report); err != nil {
			g.manager.settings.OnError(err)
		}
	}
}
