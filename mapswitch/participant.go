package mapswitch

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/fencing"
)

const (
	// reportInterval is the time between statuses of a rank that holds for a decision, and the delay before an engine
	// is read again after a failure.
	reportInterval = 200 * time.Millisecond
	// engineTimeout is how long a read or an order may take before the engine is read again.
	engineTimeout = 2 * time.Second
)

type (
	// Participant controls the engine of one rank from the sidecar. It stores nothing durably: after a restart it
	// first reads back the state of the engine. It is not safe for concurrent use.
	Participant struct {
		// Overrides disables mechanisms of the protocol in tests.
		Overrides TestOverrides

		group string
		rank  int
		name  string

		engine         EngineState
		hasEngineState bool
		isBusy         bool
		hasFailed      bool
		lastEngineCall time.Time
		reportedAt     time.Time

		term        uint64
		decided     State
		instruction Instruction
		isStatusDue bool
	}

	// Action lists what the caller must do for a participant: at most one read or order, whose result the caller
	// passes to ReceiveEngineState or EngineFailed, and at most one status to send.
	Action struct {
		Read   bool
		Order  *Order
		Status *Status
	}

	// TestOverrides disables mechanisms of the protocol, so that a test can show that its check detects the missing
	// mechanism. The zero value disables none.
	TestOverrides struct {
		// NoArm lets the coordinator decide before the ranks have promised to hold.
		NoArm bool
		// NoDurableDecision lets the coordinator act on a decision before it is committed.
		NoDurableDecision bool
		// NoTermFence lets leaders of earlier terms continue.
		NoTermFence bool
		// NoReadBack lets a restarted sidecar give orders before earlier orders to the engine have settled. The
		// caller passes it to the gate of package fencing.
		NoReadBack bool
	}
)

// NewParticipant returns the participant for an engine when its sidecar starts. It reports the given rank until an
// instruction assigns another, for example when a spare replaces a dead rank.
func NewParticipant(group string, rank int, name string) *Participant {
	return &Participant{group: group, rank: rank, name: name}
}

// Start returns the first action, a read of the engine state.
func (p *Participant) Start(now time.Time) Action {
	return p.read(now)
}

// Receive processes an instruction. The engine is read before the answer, so that the reported step is current.
func (p *Participant) Receive(i Instruction, now time.Time) Action {
	if i.State.Sequence > p.decided.Sequence {
		p.decided = i.State
	}
	p.term = max(p.term, i.Token.Term)
	isFenced := i.Token.Term < p.term && !p.Overrides.NoTermFence
	if !isFenced && (!i.Token.Before(p.instruction.Token) || p.Overrides.NoTermFence) {
		p.instruction = i
		p.rank = i.Rank
	}
	p.isStatusDue = true
	if p.isBusy {
		return Action{}
	}
	return p.read(now)
}

// ReceiveEngineState processes the state that the engine reported after a read or an order.
func (p *Participant) ReceiveEngineState(state EngineState, now time.Time) Action {
	p.isBusy, p.hasFailed = false, false
	p.hasEngineState = true
	p.engine = state
	if order, isNeeded := p.nextOrder(); isNeeded {
		p.isBusy = true
		p.lastEngineCall = now
		return Action{Order: &order}
	}
	if !p.isStatusDue {
		return Action{}
	}
	return Action{Status: p.status(now)}
}

// EngineFailed records that a read or an order ended without a report. Tick reads the engine again after
// reportInterval.
func (p *Participant) EngineFailed(now time.Time) {
	p.isBusy = false
	p.hasFailed = true
	p.lastEngineCall = now
}

// Tick repeats the status of a rank that holds for a decision and reads an engine that did not answer.
func (p *Participant) Tick(now time.Time) Action {
	if p.isBusy {
		if now.Sub(p.lastEngineCall) < engineTimeout {
			return Action{}
		}
		return p.read(now)
	}
	if p.hasFailed && now.Sub(p.lastEngineCall) < reportInterval {
		return Action{}
	}
	isWaiting := p.engine.Hold.Sequence != 0 && now.Sub(p.reportedAt) >= reportInterval
	if !p.hasEngineState || p.hasFailed || isWaiting {
		p.isStatusDue = true
		return p.read(now)
	}
	return Action{}
}

// Member returns the engine as a member, with its present rank and incarnation.
func (p *Participant) Member() Member {
	return Member{Rank: p.rank, Name: p.name, Incarnation: p.engine.Incarnation}
}

func (p *Participant) read(now time.Time) Action {
	p.isBusy = true
	p.lastEngineCall = now
	return Action{Read: true}
}

func (p *Participant) status(now time.Time) *Status {
	p.isStatusDue = false
	p.reportedAt = now
	return &Status{
		Group: p.group, Member: p.Member(), Answers: p.instruction.Token, Term: p.term,
		Settled: p.decided.Sequence, Engine: p.engine,
	}
}

// nextOrder returns the next order that the durable state and the instruction require of the engine, if any.
func (p *Participant) nextOrder() (Order, bool) {
	if order, isNeeded := p.orderForDecision(); isNeeded {
		return order, true
	}
	if order, isNeeded := p.orderForPrepare(); isNeeded {
		return order, true
	}
	return p.orderForArm()
}

// orderForDecision returns the order that carries out the last decision.
func (p *Participant) orderForDecision() (Order, bool) {
	layout, hold := p.decided.InForce, p.engine.Hold
	isMember := layout.HasEngine(p.name, p.engine.Incarnation)
	if layout.Sequence > p.engine.Newest() && isMember && hold.Sequence == layout.Sequence {
		return p.withToken(Order{Kind: RunLayout, Layout: layout})
	}
	// A replaced engine still runs the steps before the new layout with the others, unless the group is stalled.
	isOut := layout.Stalled || p.engine.Step >= layout.Step
	if layout.Sequence > p.engine.Newest() && !isMember && p.engine.Newest() != 0 && isOut {
		return p.withToken(Order{Kind: Retire, Layout: layout})
	}
	if hold.Sequence != 0 && hold.Sequence <= p.decided.Sequence {
		return p.withToken(Order{Kind: ReleaseHold, Hold: hold})
	}
	return Order{}, false
}

// orderForPrepare returns the order to load the map named by the instruction.
func (p *Participant) orderForPrepare() (Order, bool) {
	m := p.instruction.Prepare
	isPresent := p.engine.HasWeights(m.MapReference) || slices.Contains(p.engine.Loading, m.MapReference)
	if m.Version == 0 || isPresent || !m.HasValidChecksum() {
		return Order{}, false
	}
	return p.withToken(Order{Kind: LoadWeights, Map: m})
}

// orderForArm returns the order that makes the engine hold for the decision.
func (p *Participant) orderForArm() (Order, bool) {
	layout, token := p.instruction.Arm, p.instruction.ArmToken
	if !p.canArm(layout, token) {
		return Order{}, false
	}
	hold := Hold{Sequence: layout.Sequence, Step: layout.Step, Token: token}
	if p.engine.Hold == hold || p.engine.Step >= layout.Step {
		return Order{}, false
	}
	return p.withToken(Order{Kind: HoldStep, Hold: hold})
}

// canArm reports whether the engine can hold for the layout without breaking an earlier promise.
func (p *Participant) canArm(layout Layout, token fencing.Token) bool {
	if layout.Sequence <= p.decided.Sequence || !layout.HasEngine(p.name, p.engine.Incarnation) {
		return false
	}
	if !p.engine.HasWeights(layout.Map) {
		return false
	}
	isJoining := p.engine.Newest() == 0
	if !isJoining && p.engine.Newest() != p.decided.InForce.Sequence {
		return false
	}
	// An engine stores only one pending layout, which a second promise would make it skip. Only a stalled group,
	// which aborts its unfinished steps, may skip a layout.
	if p.engine.Pending != 0 && !layout.Stalled {
		return false
	}
	hold := p.engine.Hold
	if hold.Sequence != 0 && hold.Token.IsZero() {
		return layout.Step <= hold.Step
	}
	return p.Overrides.NoTermFence || !token.Before(hold.Token)
}

func (p *Participant) withToken(o Order) (Order, bool) {
	o.Token = p.instruction.Token
	return o, true
}
