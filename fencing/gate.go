package fencing

import "time"

const (
	// Done means that the engine confirmed the order.
	Done Result = iota + 1
	// LowerToken means that the gate refused the order: its term is below the announced one, or its token is below
	// one that was admitted or read back in the same lane.
	LowerToken
	// NoTerm means that the gate refused the order: no leader's term was announced since the gate was created.
	NoTerm
	// Uncertain means that the order was sent and the engine did not confirm it. The engine may have executed it.
	Uncertain
	// Unsettled means that the engine's state could not be read back. The order was not sent.
	Unsettled
)

const (
	// DefaultQuietPeriod is the time between two read-backs that must agree before the state of an engine that
	// ignores order numbers counts as settled. It covers the time in which an order of an earlier sidecar may still
	// arrive.
	DefaultQuietPeriod = 300 * time.Millisecond
	// numberGap is added to the highest order number that the engine reports when its state is read back. An earlier
	// sidecar has fewer orders in flight than this, so all of them carry lower numbers.
	numberGap = 1 << 16
	// maxReadBacks is the maximum number of read-backs for one order.
	maxReadBacks = 20
)

// The stages of an order: raisingNumber and readingBack settle the engine's state, waiting is the pause between two
// read-backs, and ordering lasts until the engine answers the order.
const (
	idle stage = iota
	raisingNumber
	readingBack
	waiting
	ordering
)

type (
	// Result is the result of an order. The zero value means that the order has not finished.
	Result int

	stage int

	// Order is an order for the engine.
	Order struct {
		// Lane groups the kinds of orders whose tokens are compared with each other, such as "map" or "model".
		Lane string
		// Kind is the name of the order in errors.
		Kind  string
		Token Token
		// Payload is passed to the engine as it is; the gate does not interpret it.
		Payload []byte
		// IsRead marks an order that only reads the engine's state and needs no token.
		IsRead bool
	}

	// Command is an order with the order number that the engine receives. A Command with an empty Order only raises
	// the highest number that the engine has seen.
	Command struct {
		Number uint64
		Order  Order
	}

	// Report is the state that an engine returns after an order or a read.
	Report struct {
		// Number is the highest order number that the engine has seen, 0 when the engine keeps none.
		Number uint64
		// Tokens holds the latest token of each lane, for engines that store the tokens of orders.
		Tokens map[string]Token
		// IsBusy is true while the engine executes an order.
		IsBusy bool
		// Digest changes whenever an order changes the engine's state.
		Digest uint64
		// State is the engine's state for the caller; the gate does not interpret it.
		State []byte
	}

	// Step is the next action of the caller: send Command, read the engine, wait, or return Result. Exactly one of
	// Command, IsRead, Wait and Result is set.
	Step struct {
		Command *Command
		IsRead  bool
		Wait    time.Duration
		// Result is set when the order has ended. Report is then the latest report, if there is one.
		Result Result
		Report Report
	}

	// Gate decides how orders are sent to one engine, one order at a time. It is a state machine without I/O: Begin,
	// Reply and Wake return the next Step. A gate persists nothing. It settles the engine's state, that is, it reads
	// a state that no earlier order can still change, before its first order and after every order that the engine
	// did not confirm.
	Gate struct {
		// QuietPeriod is the time between two read-backs that must agree, for engines that ignore order numbers.
		QuietPeriod time.Duration
		// SkipReadBack disables settling. Tests use it to show that they detect the faults that settling prevents.
		SkipReadBack bool

		checksNumbers bool
		term          uint64
		latestTokens  map[string]Token
		number        uint64
		isSettled     bool

		stage     stage
		order     Order
		previous  *Report
		readBacks int
	}
)

// String returns the name of the result.
func (v Result) String() string {
	return [...]string{"unfinished", "done", "lower token", "no term", "uncertain", "unsettled"}[v]
}

// NewGate returns a gate without an announced term and with unknown engine state, as needed when a sidecar starts.
// checksNumbers is true if the engine refuses every order whose number is lower than one it has seen.
func NewGate(checksNumbers bool) *Gate {
	return &Gate{QuietPeriod: DefaultQuietPeriod, checksNumbers: checksNumbers, latestTokens: map[string]Token{}}
}

// RaiseTerm records the leader's term as control announced it to this process. From then on the gate refuses orders of
// earlier terms. Before the first announcement it refuses all orders except reads.
func (g *Gate) RaiseTerm(term uint64) {
	g.term = max(g.term, term)
}

// Begin starts an order and returns the first step. The previous order must have ended.
func (g *Gate) Begin(o Order) Step {
	g.order = o
	g.readBacks = 0
	if refused := g.refusal(); refused != 0 {
		return Step{Result: refused}
	}
	if g.isSettled || g.SkipReadBack {
		return g.send()
	}
	return g.settle()
}

// Reply takes the engine's answer to the command or read of the last step and returns the next step. err is set when
// the read failed or the engine did not confirm the command.
func (g *Gate) Reply(r Report, err error) Step {
	if err != nil {
		return g.fail()
	}
	switch g.stage {
	case raisingNumber:
		return g.read()
	case readingBack:
		return g.readBack(r)
	default:
		return g.finish(r)
	}
}

// Wake returns the next step after the Wait of the last step has passed.
func (g *Gate) Wake() Step { return g.read() }

// refusal returns the reason to refuse the current order, 0 if the gate admits it.
func (g *Gate) refusal() Result {
	if g.order.IsRead {
		return 0
	}
	if g.term == 0 {
		return NoTerm
	}
	if g.order.Token.Term < g.term || g.order.Token.Before(g.latestTokens[g.order.Lane]) {
		return LowerToken
	}
	return 0
}

// settle starts the read-backs that determine the engine's state. An engine that checks numbers first receives a
// higher number, so that no order still in flight can change its state. An engine that ignores numbers is read until
// two reads over the quiet period agree.
func (g *Gate) settle() Step {
	g.previous = nil
	return g.read()
}

func (g *Gate) read() Step {
	g.stage = readingBack
	g.readBacks++
	if g.readBacks > maxReadBacks {
		return Step{Result: Unsettled}
	}
	return Step{IsRead: true}
}

func (g *Gate) readBack(r Report) Step {
	if g.checksNumbers && g.previous == nil {
		g.previous = &r
		g.number = max(g.number, r.Number) + numberGap
		g.stage = raisingNumber
		return Step{Command: &Command{Number: g.number}}
	}
	if !g.checksNumbers && !g.isQuiet(r) {
		g.previous = &r
		g.stage = waiting
		return Step{Wait: g.QuietPeriod}
	}
	g.isSettled = true
	g.number = max(g.number, r.Number)
	for lane, token := range r.Tokens {
		if g.latestTokens[lane].Before(token) {
			g.latestTokens[lane] = token
		}
	}
	if refused := g.refusal(); refused != 0 {
		return Step{Result: refused, Report: r}
	}
	return g.send()
}

// isQuiet reports whether the engine is idle and unchanged since the previous read-back.
func (g *Gate) isQuiet(r Report) bool {
	return g.previous != nil && !r.IsBusy && r.Digest == g.previous.Digest
}

func (g *Gate) send() Step {
	g.stage = ordering
	if g.order.IsRead {
		return Step{IsRead: true}
	}
	g.latestTokens[g.order.Lane] = g.order.Token
	g.number++
	return Step{Command: &Command{Number: g.number, Order: g.order}}
}

func (g *Gate) finish(r Report) Step {
	g.stage = idle
	return Step{Result: Done, Report: r}
}

// fail ends the order after a failed step. A command that was sent leaves the engine's state unknown.
func (g *Gate) fail() Step {
	isSent := g.stage == ordering
	g.stage = idle
	if isSent && g.order.IsRead {
		return Step{Result: Unsettled}
	}
	g.isSettled = false
	if isSent {
		return Step{Result: Uncertain}
	}
	return Step{Result: Unsettled}
}
