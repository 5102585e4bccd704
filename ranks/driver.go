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
	// laneMap is the fencing lane of orders about maps.
	laneMap = "map"
	// tickInterval is the time between two calls of a participant's Tick.
	tickInterval = 5 * time.Millisecond
	// statusWait is the maximum time that Instruct waits for the statuses in its answer.
	statusWait = time.Second
	// reportInterval is the time between two reports of presence and counts to control.
	reportInterval = time.Second
	// inboxSize is the capacity of the queue of instructions of one rank.
	inboxSize = 64
)

type (
	// DriverSettings describes the ranks behind one sidecar.
	DriverSettings struct {
		// Upstream is the name of the upstream, from which EngineName builds the names of the engines.
		Upstream string
		Group    string
		// Engine is the IP address and port of the engines.
		Engine string
		// Ranks is the number of engines behind the sidecar, and First the slot of the first one at Engine.
		Ranks int
		First int
		// ChecksFencing is true when the engines themselves refuse orders with outdated order numbers.
		ChecksFencing bool
		// Report sends statuses and counts to the leader and returns the leader's instructions.
		Report func(context.Context, *wire.RankStatuses) (*wire.RankInstructions, error)
		Events *event.Ring
	}

	// Driver drives the engines behind one sidecar. It implements wire.Ranks, which control calls.
	Driver struct {
		settings DriverSettings
		// workers holds the workers by engine name, inOrder by slot.
		workers map[string]*engineWorker
		inOrder []*engineWorker
	}

	// engineWorker runs the participant of one engine in its own goroutine, and sends the participant's orders to the
	// engine.
	engineWorker struct {
		driver      *Driver
		name        string
		client      *engineClient
		executor    *fencing.Executor
		participant *mapswitch.Participant
		inbox       chan queuedInstruction
		// pendingAnswers holds the calls of Instruct that wait for the next status.
		pendingAnswers []chan *wire.RankStatus
		// status is the last status for the presence reports, nil before the engine answered.
		status atomic.Pointer[wire.RankStatus]
		// lastCounts is the sequence number of the last counts in a report.
		lastCounts uint64
	}

	// queuedInstruction is an instruction and the channel for the status that answers it.
	queuedInstruction struct {
		instruction mapswitch.Instruction
		answer      chan *wire.RankStatus
	}
)

// EngineName returns the name of one engine behind an upstream.
func EngineName(upstream string, slot int) string { return fmt.Sprintf("%s/%d", upstream, slot) }

// NewDriver returns a driver for the engines in the settings. It contacts them once Run is called.
func NewDriver(settings DriverSettings) *Driver {
	h := &Driver{settings: settings, workers: map[string]*engineWorker{}}
	for n := range settings.Ranks {
		slot := settings.First + n
		name := EngineName(settings.Upstream, slot)
		s := &engineWorker{
			driver: h, name: name, client: newEngineClient(settings.Engine, slot),
			inbox:       make(chan queuedInstruction, inboxSize),
			participant: mapswitch.NewParticipant(settings.Group, 0, name),
		}
		s.executor = fencing.NewExecutor(name, fencing.NewGate(settings.ChecksFencing))
		s.executor.Send, s.executor.Read = s.client.send, s.client.read
		h.workers[name] = s
		h.inOrder = append(h.inOrder, s)
	}
	return h
}

// Run drives the engines and reports to control until the context ends.
func (h *Driver) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, s := range h.inOrder {
		group.Go(func() { s.run(ctx) })
	}
	group.Go(func() { h.report(ctx) })
	group.Wait()
	return nil
}

// RaiseTerm passes the leader's term, as control announced it, to the gates of all engines. From then on they refuse
// orders of earlier terms.
func (h *Driver) RaiseTerm(ctx context.Context, term uint64) {
	for _, s := range h.inOrder {
		_ = s.executor.RaiseTerm(ctx, term)
	}
}

// Instruct queues instructions for the engines that they name and returns the statuses that answer them within
// statusWait. Instructions that are not valid, name an unknown engine or find its queue full are dropped.
func (h *Driver) Instruct(ctx context.Context, request *wire.RankInstructions) (*wire.RankStatuses, error) {
	var answers []chan *wire.RankStatus
	for _, message := range request.Instructions {
		s := h.workers[message.Engine]
		instruction, err := mapswitch.InstructionFromWire(message)
		if s == nil || err != nil {
			continue
		}
		answer := make(chan *wire.RankStatus, 1)
		select {
		case s.inbox <- queuedInstruction{instruction: instruction, answer: answer}:
			answers = append(answers, answer)
		default:
		}
	}
	return h.collect(ctx, answers), nil
}

// collect waits up to statusWait for the answers and returns those that arrived.
func (h *Driver) collect(ctx context.Context, answers []chan *wire.RankStatus) *wire.RankStatuses {
	timer := time.NewTimer(statusWait)
	defer timer.Stop()
	statuses := &wire.RankStatuses{}
	for _, answer := range answers {
		select {
		case status := <-answer:
			statuses.Statuses = append(statuses.Statuses, status)
		case <-timer.C:
			return statuses
		case <-ctx.Done():
			return statuses
		}
	}
	return statuses
}

// Report returns an empty answer: a sidecar is not a receiver of reports.
func (h *Driver) Report(context.Context, *wire.RankStatuses) (*wire.RankInstructions, error) {
	return &wire.RankInstructions{}, nil
}

// report sends presence and counts to control at each reportInterval, and executes the instructions in the answer.
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
		for _, s := range h.inOrder {
			s.addTo(ctx, statuses)
		}
		instructions, err := h.settings.Report(ctx, statuses)
		if err == nil && len(instructions.GetInstructions()) > 0 {
			_, _ = h.Instruct(ctx, instructions)
		}
	}
}

func (s *engineWorker) run(ctx context.Context) {
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

func (s *engineWorker) receive(ctx context.Context, i queuedInstruction) {
	s.pendingAnswers = append(s.pendingAnswers, i.answer)
	s.act(ctx, s.participant.Receive(i.instruction, time.Now()))
}

// act performs an action of the participant and all actions that follow from it. It stops when the participant needs
// neither a read nor an order, or when a read or an order fails.
func (s *engineWorker) act(ctx context.Context, action mapswitch.Action) {
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
		s.recordState(state, action)
		action = s.participant.ReceiveEngineState(state, time.Now())
	}
}

func (s *engineWorker) perform(ctx context.Context, action mapswitch.Action) (fencing.Report, error) {
	if action.Read {
		return s.executor.Execute(ctx, fencing.Order{Lane: laneMap, Kind: "read", IsRead: true})
	}
	payload, err := json.Marshal(action.Order)
	if err != nil {
		return fencing.Report{}, err
	}
	return s.executor.Execute(ctx, fencing.Order{
		Lane: laneMap, Kind: string(action.Order.Kind), Token: action.Order.Token, Payload: payload,
	})
}

// recordState stores the engine's state for the presence reports, and records an event for an order.
func (s *engineWorker) recordState(state mapswitch.EngineState, action mapswitch.Action) {
	if action.Order != nil {
		s.driver.settings.Events.Add(&wire.Event{
			Kind: string(action.Order.Kind), Group: s.driver.settings.Group, Peer: s.name,
			Detail: "token " + action.Order.Token.String(),
		})
	}
	present := mapswitch.Status{Group: s.driver.settings.Group, Member: s.participant.Member(), Engine: state}
	present.Member.Incarnation = state.Incarnation
	s.status.Store(present.ToWire())
}

func (s *engineWorker) answer(status *wire.RankStatus) {
	for _, waiting := range s.pendingAnswers {
		waiting <- status
	}
	s.pendingAnswers = nil
}

// addTo adds presence and counts of the engine to a report if the engine answers. Counts that were reported already
// are left out.
func (s *engineWorker) addTo(ctx context.Context, report *wire.RankStatuses) {
	counts, err := s.client.counts(ctx)
	status := s.status.Load()
	if err != nil || status == nil {
		return
	}
	report.Statuses = append(report.Statuses, status)
	if counts.Sequence == s.lastCounts {
		return
	}
	s.lastCounts = counts.Sequence
	report.Counts = append(report.Counts, &wire.RankCounts{
		Group: s.driver.settings.Group, Rank: status.Member.Rank, Sequence: counts.Sequence, Layout: counts.Layout,
		Tokens: counts.Tokens, BusyUs: counts.BusyUs,
	})
}
