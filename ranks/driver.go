package ranks

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/event"
	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/mapswitch"
	"guavahitch.example/guavahitch/wire"
)

const (
	// laneMap is the lane of orders about maps.
	laneMap = "map"
	// tickInterval is the time between two looks at a participant.
	tickInterval = 5 * time.Millisecond
	// statusWait is how long an instruction waits for the statuses that answer it.
	statusWait = time.Second
	// reportInterval is the time between two reports of presence and counts to control.
	reportInterval = time.Second
	// inboxSize is the number of instructions that wait for one rank.
	inboxSize = 64
)

type (
	// DriverSettings describes the ranks behind one sidecar.
	DriverSettings struct {
		// Upstream is the name of the upstream; its engines are named after it.
		Upstream string
		Group    string
		// Engine is the IP address and port of the engines.
		Engine string
		// Ranks is the number of engines behind the sidecar, and First the slot of the first one at Engine.
		Ranks int
		First int
		// ChecksFencing is true when the engines themselves refuse old orders.
		ChecksFencing bool
		// Report sends statuses and counts to the leader and returns what it instructs.
		Report func(context.Context, *wire.RankStatuses) (*wire.RankInstructions, error)
		Events *event.Ring
	}

	// Driver drives the engines behind one sidecar. It implements wire.Ranks for control.
	Driver struct {
		settings DriverSettings
		seats    map[string]*seat
		order    []*seat
	}

	// seat is one engine and the participant that drives it. One goroutine runs it.
	seat struct {
		host        *Driver
		name        string
		client      *engineClient
		port        *fencing.Executor
		participant *mapswitch.Participant
		inbox       chan instructed
		waiting     []chan *wire.RankStatus
		status      atomic.Pointer[wire.RankStatus]
		counted     uint64
	}

	instructed struct {
		instruction mapswitch.Instruction
		answer      chan *wire.RankStatus
	}
)

// EngineName returns the name of one engine behind an upstream.
func EngineName(upstream string, slot int) string { return fmt.Sprintf("%s/%d", upstream, slot) }

// NewDriver returns a driver that has not read its engines yet.
func NewDriver(settings DriverSettings) *Driver {
	h := &Driver{settings: settings, seats: map[string]*seat{}}
	for n := range settings.Ranks {
		slot := settings.First + n
		name := EngineName(settings.Upstream, slot)
		s := &seat{
			host: h, name: name, client: newEngineClient(settings.Engine, slot), inbox: make(chan instructed, inboxSize),
			participant: mapswitch.NewParticipant(settings.Group, 0, name),
		}
		s.port = fencing.NewExecutor(name, fencing.NewGate(settings.ChecksFencing))
		s.port.Send, s.port.Read = s.client.send, s.client.read
		h.seats[name] = s
		h.order = append(h.order, s)
	}
	return h
}

// Run drives the engines until the context ends.
func (h *Driver) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, s := range h.order {
		group.Go(func() { s.run(ctx) })
	}
	group.Go(func() { h.report(ctx) })
	group.Wait()
	return nil
}

// RaiseTerm tells the leader's term as control announced it: orders of earlier terms are refused from then on.
func (h *Driver) RaiseTerm(ctx context.Context, term uint64) {
	for _, s := range h.order {
		_ = s.port.RaiseTerm(ctx, term)
	}
}

// Instruct hands instructions to the engines that they name and returns the statuses that answer them.
func (h *Driver) Instruct(ctx context.Context, request *wire.RankInstructions) (*wire.RankStatuses, error) {
	var answers []chan *wire.RankStatus
	for _, message := range request.Instructions {
		s := h.seats[message.Engine]
		instruction, err := mapswitch.InstructionFromWire(message)
		if s == nil || err != nil {
			continue
		}
		answer := make(chan *wire.RankStatus, 1)
		select {
		case s.inbox <- instructed{instruction: instruction, answer: answer}:
			answers = append(answers, answer)
		default:
		}
	}
	return h.collect(ctx, answers), nil
}

func (h *Driver) collect(ctx context.Context, answers []chan *wire.RankStatus) *wire.RankStatuses {
	late := time.NewTimer(statusWait)
	defer late.Stop()
	statuses := &wire.RankStatuses{}
	for _, answer := range answers {
		select {
		case status := <-answer:
			statuses.Statuses = append(statuses.Statuses, status)
		case <-late.C:
			return statuses
		case <-ctx.Done():
			return statuses
		}
	}
	return statuses
}

// Report is the other direction of the protocol; a sidecar takes no reports.
func (h *Driver) Report(context.Context, *wire.RankStatuses) (*wire.RankInstructions, error) {
	return &wire.RankInstructions{}, nil
}

// report tells control of presence and counts.
func (h *Driver) report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		statuses := &wire.RankStatuses{}
		for _, s := range h.order {
			s.addTo(ctx, statuses)
		}
		instructions, err := h.settings.Report(ctx, statuses)
		if err == nil && len(instructions.GetInstructions()) > 0 {
			_, _ = h.Instruct(ctx, instructions)
		}
	}
}

func (s *seat) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.act(ctx, s.participant.Start(time.Now()))
	for {
		select {
		case <-ctx.Done():
			return
		case i := <-s.inbox:
			s.receive(ctx, i)
		case <-ticker.C:
			s.act(ctx, s.participant.Tick(time.Now()))
		}
	}
}

func (s *seat) receive(ctx context.Context, i instructed) {
	s.waiting = append(s.waiting, i.answer)
	s.act(ctx, s.participant.Receive(i.instruction, time.Now()))
}

// act carries out what the participant wants until it wants nothing more.
func (s *seat) act(ctx context.Context, action mapswitch.Action) {
	for {
		if action.Status != nil {
			s.answer(action.Status.ToWire())
		}
		if !action.Read && action.Order == nil {
			return
		}
		report, err := s.perform(ctx, action)
		var state mapswitch.EngineState
		if err == nil {
			err = json.Unmarshal(report.State, &state)
		}
		if err != nil {
			s.participant.EngineFailed(time.Now())
			return
		}
		s.note(state, action)
		action = s.participant.ReceiveEngineState(state, time.Now())
	}
}

func (s *seat) perform(ctx context.Context, action mapswitch.Action) (fencing.Report, error) {
	if action.Read {
		return s.port.Execute(ctx, fencing.Order{Lane: laneMap, Kind: "read", IsRead: true})
	}
	payload, err := json.Marshal(action.Order)
	if err != nil {
		return fencing.Report{}, err
	}
	return s.port.Execute(ctx, fencing.Order{
		Lane: laneMap, Kind: string(action.Order.Kind), Token: action.Order.Token, Payload: payload,
	})
}

// note keeps the engine's state for the reports of presence.
func (s *seat) note(state mapswitch.EngineState, action mapswitch.Action) {
	if action.Order != nil {
		s.host.settings.Events.Add(&wire.Event{
			Kind: string(action.Order.Kind), Group: s.host.settings.Group, Peer: s.name, Detail: "token " + action.Order.Token.String(),
		})
	}
	present := mapswitch.Status{Group: s.host.settings.Group, Member: s.participant.Member(), Engine: state}
	present.Member.Incarnation = state.Incarnation
	s.status.Store(present.ToWire())
}

func (s *seat) answer(status *wire.RankStatus) {
	for _, waiting := range s.waiting {
		waiting <- status
	}
	s.waiting = nil
}

// addTo adds presence and counts of a live engine to a report.
func (s *seat) addTo(ctx context.Context, report *wire.RankStatuses) {
	counts, err := s.client.counts(ctx)
	status := s.status.Load()
	if err != nil || status == nil {
		return
	}
	report.Statuses = append(report.Statuses, status)
	if counts.Sequence == s.counted {
		return
	}
	s.counted = counts.Sequence
	report.Counts = append(report.Counts, &wire.RankCounts{
		Group: s.host.settings.Group, Rank: status.Member.Rank, Sequence: counts.Sequence, Layout: counts.Layout,
		Tokens: counts.Tokens, BusyUs: counts.BusyUs,
	})
}
