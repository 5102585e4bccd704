package mapswitch

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/fencing"
)

const (
	// reportInterval is the time between statuses of a rank that waits for a decision.
	reportInterval = 200 * time.Millisecond
	// engineTimeout is how long an engine may take to answer before it is read again.
	engineTimeout = 2 * time.Second
)

type (
	// Participant drives the engine of one rank from the sidecar. It keeps nothing over a restart: a new one
	// reads the engine's state back before it does anything else.
	Participant struct {
		// Overrides switches mechanisms off in tests.
		Overrides TestOverrides

		group string
		rank  int
		name  string

		engine     EngineState
		isRead     bool
		isBusy     bool
		isDoubtful bool
		since      time.Time
		reported   time.Time

		term        uint64
		facts       State
		instruction Instruction
		isAsked     bool
	}

	// Action is what the caller must do for a participant: at most one read or order, whose end the caller
	// gives back by Engine, and at most one status to send.
	Action struct {
		Read   bool
		Order  *Order
		Status *Status
	}

	// TestOverrides switches mechanisms of the protocol off, so that a test can show that its check notices.
	TestOverrides struct {
		// NoArm lets the coordinator decide without promises.
		NoArm bool
		// NoDurableDecision lets the coordinator act on a decision that is not durable.
		NoDurableDecision bool
		// NoTermFence lets leaders of earlier terms go on.
		NoTermFence bool
		// NoReadBack lets a restarted sidecar give orders before the engine is settled. The caller hands it to
		// the gate.
		NoReadBack bool
	}
)

// NewParticipant returns the participant of one engine after a start of its sidecar. The rank is the one that it
// reports until an instruction gives it another, as when a spare takes the place of a rank.
func NewParticipant(group string, rank int, name string) *Participant {
	return &Participant{group: group, rank: rank, name: name}
}

// Start returns the first action: a read-back of the engine.
func (p *Participant) Start(now time.Time) Action {
	return p.read(now)
}

// Receive takes an instruction. The engine is read before the answer, so that its step is fresh.
func (p *Participant) Receive(i Instruction, now time.Time) Action {
	if i.State.Sequence > p.facts.Sequence {
		p.facts = i.State
	}
	p.term = max(p.term, i.Token.Term)
	isFenced := i.Token.Term < p.term && !p.Overrides.NoTermFence
	if !isFenced && (!i.Token.Before(p.instruction.Token) || p.Overrides.NoTermFence) {
		p.instruction = i
		p.rank = i.Rank
	}
	p.isAsked = true
	if p.isBusy {
		return Action{}
	}
	return p.read(now)
}

// ReceiveEngineState takes the state that the engine reported after a read or an order.
func (p *Participant) ReceiveEngineState(state EngineState, now time.Time) Action {
	p.isBusy, p.isDoubtful = false, false
	p.isRead = true
	p.engine = state
	if order, isNeeded := p.next(); isNeeded {
		p.isBusy = true
		p.since = now
		return Action{Order: &order}
	}
	if !p.isAsked {
		return Action{}
	}
	return Action{Status: p.status(now)}
}

// EngineFailed tells that a read or an order ended without a report. The engine is read again after a while.
func (p *Participant) EngineFailed(now time.Time) {
	p.isBusy = false
	p.isDoubtful = true
	p.since = now
}

// Tick repeats the status of a rank that waits for a decision, and reads an engine that did not answer.
func (p *Participant) Tick(now time.Time) Action {
	if p.isBusy {
		if now.Sub(p.since) < engineTimeout {
			return Action{}
		}
		return p.read(now)
	}
	if p.isDoubtful && now.Sub(p.since) < reportInterval {
		return Action{}
	}
	isWaiting := p.engine.Hold.Sequence != 0 && now.Sub(p.reported) >= reportInterval
	if !p.isRead || p.isDoubtful || isWaiting {
		p.isAsked = true
		return p.read(now)
	}
	return Action{}
}

// Member returns the member that the engine is in its present incarnation.
func (p *Participant) Member() Member {
	return Member{Rank: p.rank, Name: p.name, Incarnation: p.engine.Incarnation}
}

func (p *Participant) read(now time.Time) Action {
	p.isBusy = true
	p.since = now
	return Action{Read: true}
}

func (p *Participant) status(now time.Time) *Status {
	p.isAsked = false
	p.reported = now
	return &Status{
		Group: p.group, Member: p.Member(), Answers: p.instruction.Token, Term: p.term,
		Settled: p.facts.Sequence, Engine: p.engine,
	}
}

// next returns the order that brings the engine nearer to the durable state and the instruction.
func (p *Participant) next() (Order, bool) {
	if order, isNeeded := p.settle(); isNeeded {
		return order, true
	}
	if order, isNeeded := p.prepare(); isNeeded {
		return order, true
	}
	return p.arm()
}

// settle carries out what is decided.
func (p *Participant) settle() (Order, bool) {
	layout, hold := p.facts.InForce, p.engine.Hold
	isMember := layout.HasEngine(p.name, p.engine.Incarnation)
	if layout.Sequence > p.engine.Newest() && isMember && hold.Sequence == layout.Sequence {
		return p.order(Order{Kind: RunLayout, Layout: layout})
	}
	// A replaced engine runs the steps before the layout with the others, unless the group is stalled.
	isOut := layout.Stalled || p.engine.Step >= layout.Step
	if layout.Sequence > p.engine.Newest() && !isMember && p.engine.Newest() != 0 && isOut {
		return p.order(Order{Kind: Retire, Layout: layout})
	}
	if hold.Sequence != 0 && hold.Sequence <= p.facts.Sequence {
		return p.order(Order{Kind: ReleaseHold, Hold: hold})
	}
	return Order{}, false
}

// prepare loads the weights that the instruction names.
func (p *Participant) prepare() (Order, bool) {
	m := p.instruction.Prepare
	isPresent := p.engine.HasWeights(m.MapReference) || slices.Contains(p.engine.Loading, m.MapReference)
	if m.Version == 0 || isPresent || !m.HasValidChecksum() {
		return Order{}, false
	}
	return p.order(Order{Kind: LoadWeights, Map: m})
}

// arm makes the engine promise to wait for the decision.
func (p *Participant) arm() (Order, bool) {
	layout, token := p.instruction.Arm, p.instruction.ArmToken
	if !p.mayArm(layout, token) {
		return Order{}, false
	}
	hold := Hold{Sequence: layout.Sequence, Step: layout.Step, Token: token}
	if p.engine.Hold == hold || p.engine.Step >= layout.Step {
		return Order{}, false
	}
	return p.order(Order{Kind: HoldStep, Hold: hold})
}

// mayArm reports whether a promise for the layout breaks no earlier one.
func (p *Participant) mayArm(layout Layout, token fencing.Token) bool {
	if layout.Sequence <= p.facts.Sequence || !layout.HasEngine(p.name, p.engine.Incarnation) {
		return false
	}
	if !p.engine.HasWeights(layout.Map) {
		return false
	}
	isJoining := p.engine.Newest() == 0
	if !isJoining && p.engine.Newest() != p.facts.InForce.Sequence {
		return false
	}
	// An engine keeps one layout to follow. Only a stalled group, which aborts its steps, may skip it.
	if p.engine.Pending != 0 && !layout.Stalled {
		return false
	}
	hold := p.engine.Hold
	if hold.Sequence != 0 && hold.Token.IsZero() {
		return layout.Step <= hold.Step
	}
	return p.Overrides.NoTermFence || !token.Before(hold.Token)
}

func (p *Participant) order(o Order) (Order, bool) {
	o.Token = p.instruction.Token
	return o, true
}
