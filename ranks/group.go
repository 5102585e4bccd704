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
	// seatInterval is the time between two looks at who holds the ranks.
	seatInterval = 500 * time.Millisecond
	// staging is the number of replicas that a rank can load beside those in use.
	staging = 8
)

// group is what the keeper knows of one group while its replica leads.
type group struct {
	keeper      *Manager
	described   inventory.Group
	shape       expertmap.Shape
	coordinator *mapswitch.Coordinator
	// applied counts the durable records that the coordinator has seen.
	applied uint64
	counts  counts
	seated  time.Time
	joined  bool
	// asked is true while a switch that this keeper requested has not ended; planned while it is one of the
	// balancer's.
	asked   bool
	planned bool
}

func newGroup(k *Manager, described inventory.Group) *group {
	state, applied := k.settings.State.MapState(described.Name)
	g := &group{keeper: k, described: described, applied: applied, shape: ShapeOf(described)}
	g.coordinator = mapswitch.NewCoordinator(
		mapswitch.Options{
			Group: described.Name, Replica: k.settings.Replica, Allowance: mapswitch.DefaultAllowance,
		}.WithDefaults(), state, k.term)
	g.counts = newCounts(g.shape)
	return g
}

// ShapeOf returns the shape of a group's maps: an even share of experts for each rank and layer, and the spare
// slots.
func ShapeOf(described inventory.Group) expertmap.Shape {
	even := (described.Experts + described.Ranks - 1) / described.Ranks
	return expertmap.Shape{
		Ranks: described.Ranks, Experts: described.Experts, Layers: described.Layers, Slots: even + described.SpareSlots,
	}
}

func (g *group) name() string { return g.described.Name }

// round hands the coordinator what was committed, lets it do what is due, and looks at who holds the ranks.
func (g *group) round(ctx context.Context, now time.Time) {
	if g.coordinator.State().Term != g.keeper.term && g.seated.IsZero() {
		g.seated = now
		g.perform(ctx, g.coordinator.Start(now))
	}
	records, isWhole := g.keeper.settings.State.MapRecords(g.name(), g.applied)
	if !isWhole {
		g.keeper.settings.OnError(eris.Errorf("group %s: records were missed", g.name()))
	}
	for _, r := range records {
		g.applied++
		g.perform(ctx, g.coordinator.ReceiveCommitted(r, now))
	}
	g.perform(ctx, g.coordinator.Tick(now))
	g.join(now)
	if now.Sub(g.seated) >= seatInterval {
		g.seated = now
		g.seat(ctx, now)
	}
}

func (g *group) receive(status *wire.RankStatus, now time.Time) {
	s, err := mapswitch.StatusFromWire(status)
	if err != nil {
		g.keeper.settings.OnError(err)
		return
	}
	g.perform(context.Background(), g.coordinator.Receive(s, now))
}

// perform carries out what the coordinator wants.
func (g *group) perform(ctx context.Context, out mapswitch.Output) {
	k := g.keeper
	for _, r := range out.Propose {
		k.propose(ctx, func(ctx context.Context) error { return k.settings.Server.ProposeMapRecord(ctx, r) })
	}
	g.send(ctx, out.Send)
	for _, result := range out.Results {
		g.ended(result)
	}
}

// send delivers instructions, one call for each sidecar, and takes the statuses that answer them.
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
		client := g.keeper.settings.Ranks(upstream)
		if client == nil {
			continue
		}
		g.keeper.sending.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, instructTimeout)
			defer cancel()
			if statuses, err := client.Instruct(bounded, instructions); err == nil {
				g.keeper.take(statuses)
			}
		})
	}
}

// ended notes the end of a switch.
func (g *group) ended(result mapswitch.Result) {
	k := g.keeper
	detail := fmt.Sprintf("map %d %s after %v", result.Switch.Map.Version, result.Ending, result.Took.Round(time.Millisecond))
	if result.Cause != "" {
		detail += ": " + result.Cause
	}
	k.settings.Events.Add(&wire.Event{Kind: "map-switch", Group: g.name(), Change: result.Switch.ChangeID, Detail: detail})
	g.asked = false
	switch {
	case result.Ending == mapswitch.Ran && g.planned:
		g.switched(result.Layout.Map.Version)
	case result.Ending == mapswitch.Ran && g.joined:
		g.note(k.balancer.FailureEnded(g.name(), balance.NewGroup(g.shape.Ranks, staging), time.Now()))
	case g.planned:
		g.note(k.balancer.SwitchAbandoned(g.name(), time.Now()))
	}
	g.planned = false
}

// note tells of an error that stops nothing.
func (g *group) note(err error) {
	if err != nil {
		g.keeper.settings.OnError(eris.Wrapf(err, "group %s", g.name()))
	}
}

// switched tells the balancer of the map in force.
func (g *group) switched(version uint64) {
	content := g.keeper.settings.State.MapContent(g.name(), version)
	m, err := expertmap.Decode(content)
	if err == nil && g.joined {
		err = g.keeper.balancer.Switched(m, time.Now())
	}
	if err != nil {
		g.keeper.settings.OnError(eris.Wrapf(err, "group %s: map %d", g.name(), version))
	}
}

// join hands a group with a map in force to the balancer.
func (g *group) join(now time.Time) {
	inForce := g.coordinator.State().InForce
	if g.joined || inForce.Sequence == 0 {
		return
	}
	m, err := expertmap.Decode(g.keeper.settings.State.MapContent(g.name(), inForce.Map.Version))
	if err == nil {
		err = g.keeper.balancer.AddGroup(m, balance.NewGroup(g.shape.Ranks, staging), now)
	}
	if err != nil {
		g.keeper.settings.OnError(eris.Wrapf(err, "group %s", g.name()))
		return
	}
	g.joined = true
}

// seat founds the group when every rank has an engine, and replaces engines that are gone or have restarted.
func (g *group) seat(ctx context.Context, now time.Time) {
	inForce := g.coordinator.State().InForce
	seating := mapswitch.AssignRanks(inForce, g.shape.Ranks, g.presences(now))
	if seating.IsStalled && g.joined {
		g.note(g.keeper.balancer.FailureStarted(g.name()))
	}
	if g.asked || !seating.IsChanged || len(seating.Vacant) > 0 {
		return
	}
	version, cause := inForce.Map.Version, "an engine of the group was replaced or has restarted"
	content := g.keeper.settings.State.MapContent(g.name(), version)
	if inForce.Sequence == 0 {
		first, err := expertmap.New(g.name(), g.shape)
		if err != nil {
			g.keeper.settings.OnError(err)
			return
		}
		version, content, cause = first.Version(), first.Encode(), "every rank of the new group has an engine"
	}
	g.request(ctx, now, mapswitch.Switch{
		ChangeID: fmt.Sprintf("%s-members-%d", g.name(), now.UnixMilli()), Cause: cause,
		Map: mapswitch.NewMap(version, content), Members: seating.Members, Stalled: seating.IsStalled,
	})
}

func (g *group) presences(now time.Time) []mapswitch.Candidate {
	var list []mapswitch.Candidate
	for name, p := range g.keeper.present {
		if p.group == g.name() && now.Sub(p.seen) <= presenceLimit {
			list = append(list, mapswitch.Candidate{Name: name, Incarnation: p.incarnation})
		}
	}
	slices.SortFunc(list, func(a, b mapswitch.Candidate) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// switchTo asks for the switch that the balancer decided on.
func (g *group) switchTo(ctx context.Context, decision balance.Decision, now time.Time) {
	g.planned = true
	g.request(ctx, now, mapswitch.Switch{
		ChangeID: changeOf(decision), Cause: string(decision.Reason),
		Map:     mapswitch.NewMap(decision.Map.Version(), decision.Map.Encode()),
		Members: g.coordinator.State().InForce.Members,
	})
}

// changeOf returns the id of the change that a decision asks for.
func changeOf(decision balance.Decision) string {
	return fmt.Sprintf("%s-map-%d", decision.Group, decision.Map.Version())
}

// request makes the content of the map durable and then asks the coordinator for the switch.
func (g *group) request(ctx context.Context, now time.Time, s mapswitch.Switch) {
	g.asked = true
	k := g.keeper
	content := &wire.MapContent{Group: g.name(), Version: s.Map.Version, Content: s.Map.Content}
	k.propose(ctx, func(bounded context.Context) error {
		if err := k.settings.Server.KeepMapContent(bounded, content); err != nil {
			k.later <- func() { g.asked = false }
			return err
		}
		k.later <- func() { g.perform(ctx, g.coordinator.Request(s, now)) }
		return nil
	})
}

// reportCounts hands the balancer what the ranks counted.
func (g *group) reportCounts(now time.Time) {
	if !g.joined || !g.counts.isDue(now) {
		return
	}
	inForce := g.coordinator.State().InForce
	m, err := expertmap.Decode(g.keeper.settings.State.MapContent(g.name(), inForce.Map.Version))
	if err != nil {
		return
	}
	if report, isWhole := g.counts.report(m, inForce.Sequence, now); isWhole {
		if err := g.keeper.balancer.Report(g.name(), report); err != nil {
			g.keeper.settings.OnError(err)
		}
	}
}
