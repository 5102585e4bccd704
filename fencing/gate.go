package fencing

import "time"

const (
	// Done means that the engine confirmed the order.
	Done Result = iota + 1
	// LowerToken means that the token is below one that was admitted before.
	LowerToken
	// NoTerm means that the gate has not heard the leader's term since it started.
	NoTerm
	// Uncertain means that the engine did not confirm the order; it may have been carried out.
	Uncertain
	// Unsettled means that the engine's state could not be read back; the order was not sent.
	Unsettled
)

const (
	// DefaultQuietPeriod is the time over which two read-backs must agree before an engine that ignores numbers
	// counts as settled. It covers the time in which an order of an earlier sidecar may still arrive.
	DefaultQuietPeriod = 300 * time.Millisecond
	// numberGap is added to the number that an engine reports after a restart of the sidecar. Orders that the
	// earlier sidecar had under way are fewer, so that they carry lower numbers.
	numberGap = 1 << 16
	// maxReadBacks bounds the read-backs for one order.
	maxReadBacks = 20
)

const (
	idle stage = iota
	fencingOff
	readingBack
	waiting
	ordering
)

type (
	// Result tells how an order ended.
	Result int

	stage int

	// Order is an order for the engine; its payload is opaque to the gate.
	Order struct {
		// Lane groups the kinds of orders whose tokens are compared with each other, such as "map" or "model".
		Lane string
		// Kind names the order.
		Kind  string
		Token Token
		// Payload is what the engine receives.
		Payload []byte
		// IsRead is true for a mere read of the engine's state, which needs no token.
		IsRead bool
	}

	// Command is an order under the number that the engine is told. An empty Order only raises the number.
	Command struct {
		Number uint64
		Order  Order
	}

	// Report is what an engine tells of itself, after an order or when it is read.
	Report struct {
		// Number is the highest that the engine has seen; 0 when it keeps none.
		Number uint64
		// Tokens are the latest tokens of each lane, for engines that keep the label of an order.
		Tokens map[string]Token
		// IsBusy is true while an order is being carried out.
		IsBusy bool
		// Digest changes whenever an order changes the engine's state.
		Digest uint64
		// State is opaque to the gate.
		State []byte
	}

	// Step is what the caller must do next: send the command, read the engine, wait, or take the verdict.
	Step struct {
		Command *Command
		IsRead  bool
		Wait    time.Duration
		// Result is set when the order has ended, with the latest report.
		Result Result
		Report Report
	}

	// Gate stands before one engine and carries out one order at a time. It keeps nothing over a restart: a
	// new gate settles the engine's state before the first order, and so does every gate after an order whose
	// end it did not learn. It does no I/O.
	Gate struct {
		// QuietPeriod is the time over which two read-backs must agree.
		QuietPeriod time.Duration
		// SkipReadBack switches settling off, so that a test can show that its check notices.
		SkipReadBack bool

		checksNumbers bool
		term          uint64
		floors        map[string]Token
		number        uint64
		isSettled     bool

		stage     stage
		order     Order
		previous  *Report
		readBacks int
	}
)

// String returns the name of the verdict.
func (v Result) String() string {
	return [...]string{"unfinished", "done", "lower token", "no term", "uncertain", "unsettled"}[v]
}

// NewGate returns the gate of a sidecar that has just started. An engine that checks numbers refuses every
// order whose number is lower than one it has seen.
func NewGate(checksNumbers bool) *Gate {
	return &Gate{QuietPeriod: DefaultQuietPeriod, checksNumbers: checksNumbers, floors: map[string]Token{}}
}

// RaiseTerm tells the leader's term as control announced it to this process. Orders of earlier terms are refused
// from then on, and without any term all orders are.
func (g *Gate) RaiseTerm(term uint64) {
	g.term = max(g.term, term)
}

// Begin starts an order. The previous one must have ended.
func (g *Gate) Begin(o Order) Step {
	g.order = o
	g.readBacks = 0
	if verdict := g.refusal(); verdict != 0 {
		return Step{Result: verdict}
	}
	if g.isSettled || g.SkipReadBack {
		return g.send()
	}
	return g.settle()
}

// Reply takes the engine's answer to a command or a read; err is set when none came.
func (g *Gate) Reply(r Report, err error) Step {
	if err != nil {
		return g.fail()
	}
	switch g.stage {
	case fencingOff:
		return g.read()
	case readingBack:
		return g.readBack(r)
	default:
		return g.end(r)
	}
}

// Wake goes on after a wait.
func (g *Gate) Wake() Step { return g.read() }

func (g *Gate) refusal() Result {
	if g.order.IsRead {
		return 0
	}
	if g.term == 0 {
		return NoTerm
	}
	if g.order.Token.Term < g.term || g.order.Token.Before(g.floors[g.order.Lane]) {
		return LowerToken
	}
	return 0
}

// settle begins to find out the engine's state. An engine that checks numbers is told a higher one first, so
// that nothing which is still under way can change it; one that ignores them is watched until it is quiet.
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
		g.stage = fencingOff
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
		if g.floors[lane].Before(token) {
			g.floors[lane] = token
		}
	}
	if verdict := g.refusal(); verdict != 0 {
		return Step{Result: verdict, Report: r}
	}
	return g.send()
}

// isQuiet reports whether the engine did not change since the read-back before.
func (g *Gate) isQuiet(r Report) bool {
	return g.previous != nil && !r.IsBusy && r.Digest == g.previous.Digest
}

func (g *Gate) send() Step {
	g.stage = ordering
	if g.order.IsRead {
		return Step{IsRead: true}
	}
	g.floors[g.order.Lane] = g.order.Token
	g.number++
	return Step{Command: &Command{Number: g.number, Order: g.order}}
}

func (g *Gate) end(r Report) Step {
	g.stage = idle
	return Step{Result: Done, Report: r}
}

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
