// Package admission is the gate in front of one upstream: which attempts may start, which are barred for
// good, and the answers kept until they are acknowledged. It does no I/O. The sidecar serves it to entries
// over the Sidecar protocol and runs the attempts that it releases on the engine.
package admission

import (
	"container/list"
	"time"

	"guavahitch.example/guavahitch/outcome"
)

const (
	// Queued means that the attempt is admitted and not started; a cancel bars it.
	Queued State = iota
	// Running means that the attempt was handed to the engine.
	Running
	// Ended means that the engine's part is over, whatever its result.
	Ended
	// Barred means that the attempt never starts.
	Barred

	// ReasonEpoch refuses an attempt that was sent under another epoch.
	ReasonEpoch = "epoch"
	// ReasonDraining refuses an attempt because the upstream takes no new work.
	ReasonDraining = "draining"
	// ReasonOverloaded refuses an attempt for want of room.
	ReasonOverloaded = "overloaded"
	// ReasonRevision refuses an attempt of an entry that acts on an inventory which is no longer in force.
	ReasonRevision = "old-revision"
	// ReasonStale refuses an attempt whose sequence number is at or below the entry's horizon.
	ReasonStale = "stale"

	// retryOverloaded is the advice given with a refusal for want of room.
	retryOverloaded = 250 * time.Millisecond
)

type (
	// State is the state of one attempt.
	State int

	// AttemptID names one attempt of one request.
	AttemptID struct {
		Request string
		Attempt int32
	}

	// Limits bounds what a gate holds.
	Limits struct {
		// Running is the number of attempts that the engine runs at once.
		Running int
		// Queued is the number of admitted attempts that wait.
		Queued int
		// Barred is the number of barred attempts remembered by name.
		Barred int
		// Entries is the number of entry incarnations remembered.
		Entries int
		// Keep is how long an answer that nobody fetches is kept.
		Keep time.Duration
	}

	// StartRequest asks for the admission of an attempt.
	StartRequest struct {
		ID AttemptID
		// Epoch is the admission epoch that the entry was told of.
		Epoch uint64
		// Entry is the entry and its incarnation.
		Entry string
		// Sequence grows with each attempt that the entry sends to this gate.
		Sequence uint64
		// Revision is the revision of the inventory that the entry acts on.
		Revision     uint64
		Organisation string
		Fingerprint  string
		Priority     int32
		Deadline     time.Time
		Repeatable   bool
		// Key is the idempotency key of a call that may not be repeated.
		Key string
		// Alone asks that no other attempt runs at the same time.
		Alone bool
	}

	// Call is an attempt that the gate knows.
	Call struct {
		Request StartRequest
		State   State
		Answer  *Answer
		// Touched is when an entry last asked for the attempt.
		Touched time.Time
	}

	// Gate admits attempts to one upstream. It is not safe for concurrent use.
	Gate struct {
		limits  Limits
		epoch   uint64
		peer    string
		closed  bool
		barsAll bool
		// oldest is the oldest revision of the inventory that an entry may act on.
		oldest  uint64
		calls   map[AttemptID]*Call
		queue   []*Call
		running int
		alone   bool
		barred  map[AttemptID]*list.Element
		order   *list.List
		entries map[string]uint64
	}

	bar struct {
		id       AttemptID
		entry    string
		sequence uint64
		// ran is true for an attempt that ended and was forgotten.
		ran bool
	}
)

// NewGate returns an open gate of the named upstream under a new epoch.
func NewGate(peer string, epoch uint64, limits Limits) *Gate {
	return &Gate{
		limits: limits, epoch: epoch, peer: peer, calls: map[AttemptID]*Call{},
		barred: map[AttemptID]*list.Element{}, order: list.New(), entries: map[string]uint64{},
	}
}

// Epoch returns the admission epoch; an attempt sent under another one is refused.
func (g *Gate) Epoch() uint64 { return g.epoch }

// IsDraining reports whether the gate refuses all new attempts.
func (g *Gate) IsDraining() bool { return g.closed }

// Drain refuses all new attempts from now on. Admitted attempts go on.
func (g *Gate) Drain() { g.closed = true }

// SetAdmitting says whether the upstream may take new attempts at all, as the inventory has it.
func (g *Gate) SetAdmitting(allowed bool) { g.barsAll = !allowed }

// RequireRevision says that a revision of the inventory is in force everywhere: an attempt of an entry that acts on an
// older one is refused, such as one that was frozen past the end of its lease.
func (g *Gate) RequireRevision(revision uint64) { g.oldest = max(g.oldest, revision) }

// Counts returns the number of running and of queued attempts.
func (g *Gate) Counts() (running, queued int) { return g.running, len(g.queue) }

// Call returns the attempt, or nil when the gate does not know it.
func (g *Gate) Call(id AttemptID) *Call { return g.calls[id] }

// Start admits an attempt and returns it. An attempt that is known already is returned as it stands, so
// that an entry may ask again over a new connection. A refusal with the outcome NotRun is a proof that the
// attempt did not run and never will: the gate bars it. A refusal because of the epoch or a forgotten
// sequence number says Unknown, since an earlier copy of the same attempt may have run; the entry that
// sent a single copy knows better.
func (g *Gate) Start(now time.Time, ticket StartRequest) (*Call, *outcome.Error) {
	if call, known := g.calls[ticket.ID]; known && ticket.Epoch == call.Request.Epoch {
		call.Touched = now
		return call, nil
	}
	if refusal := g.refusal(now, ticket); refusal != nil {
		if refusal.Outcome == outcome.NotRun {
			g.bar(ticket.ID, ticket.Entry, ticket.Sequence, false)
		}
		return nil, refusal
	}
	g.rememberEntry(ticket.Entry)
	call := &Call{Request: ticket, Answer: NewAnswer(!ticket.Repeatable), Touched: now}
	g.calls[ticket.ID] = call
	g.enqueue(call)
	return call, nil
}

func (g *Gate) refusal(now time.Time, ticket StartRequest) *outcome.Error {
	refusal := outcome.Error{Step: "admit", Peer: g.peer, Outcome: outcome.NotRun, RetryAfter: retryOverloaded}
	barred, isBarred := g.barred[ticket.ID]
	switch {
	case ticket.Epoch != g.epoch:
		refusal.Reason, refusal.Outcome = ReasonEpoch, outcome.Unknown
	case isBarred && barred.Value.(bar).ran:
		refusal.Reason, refusal.Outcome = "forgotten", outcome.Ran
	case isBarred:
		refusal.Reason = "barred"
	case g.isBelowHorizon(ticket.Entry, ticket.Sequence):
		refusal.Reason, refusal.Outcome = ReasonStale, outcome.Unknown
	case g.closed:
		refusal.Reason = ReasonDraining
	case ticket.Revision < g.oldest:
		refusal.Reason = ReasonRevision
	case g.barsAll:
		refusal.Reason = "not-listed"
	case !ticket.Deadline.After(now):
		refusal.Reason, refusal.RetryAfter = "deadline", 0
	case len(g.queue) >= g.limits.Queued && !g.hasRoom(ticket.Alone):
		refusal.Reason = ReasonOverloaded
	default:
		return nil
	}
	return &refusal
}

// isBelowHorizon reports whether the gate has forgotten barred attempts of this entry with such a
// sequence number; it then refuses rather than run what it may have barred.
func (g *Gate) isBelowHorizon(entry string, sequence uint64) bool {
	horizon, known := g.entries[entry]
	return known && sequence <= horizon
}

// rememberEntry makes room for the entry's horizon. When the table is full the gate takes a new epoch,
// which refuses every attempt sent under the old one, and forgets all horizons.
func (g *Gate) rememberEntry(entry string) {
	if _, known := g.entries[entry]; known {
		return
	}
	if len(g.entries) >= g.limits.Entries {
		g.NewEpoch(g.epoch + 1)
	}
	g.entries[entry] = 0
}

// NewEpoch refuses every attempt that was sent under an earlier epoch and is not admitted yet.
func (g *Gate) NewEpoch(epoch uint64) {
	g.epoch = epoch
	g.entries = map[string]uint64{}
	g.barred = map[AttemptID]*list.Element{}
	g.order.Init()
}

func (g *Gate) enqueue(call *Call) {
	at := len(g.queue)
	for at > 0 && g.queue[at-1].Request.Priority < call.Request.Priority {
		at--
	}
	g.queue = append(g.queue, nil)
	copy(g.queue[at+1:], g.queue[at:])
	g.queue[at] = call
}

func (g *Gate) hasRoom(alone bool) bool {
	if alone {
		return g.running == 0
	}
	return !g.alone && g.running < g.limits.Running
}

// Next releases the next attempt to the engine, or nil when there is no room or none waits. Attempts
// whose deadline has passed are barred on the way and returned in expired.
func (g *Gate) Next(now time.Time) (next *Call, expired []*Call) {
	for len(g.queue) > 0 {
		call := g.queue[0]
		if !call.Request.Deadline.After(now) {
			g.queue = g.queue[1:]
			g.barCall(call)
			expired = append(expired, call)
			continue
		}
		if !g.hasRoom(call.Request.Alone) {
			return nil, expired
		}
		g.queue = g.queue[1:]
		call.State = Running
		g.running++
		g.alone = call.Request.Alone
		return call, expired
	}
	return nil, expired
}

// End notes that the engine's part of an attempt is over.
func (g *Gate) End(now time.Time, id AttemptID) {
	call := g.calls[id]
	if call == nil || call.State != Running {
		return
	}
	call.State = Ended
	call.Touched = now
	g.running--
	if call.Request.Alone {
		g.alone = false
	}
}

// Cancel bars an attempt that has not started and returns NotRun; that answer holds for good. For a
// running attempt it returns Unknown and the caller stops the engine's part; for an ended one Ran. Of an
// attempt of another epoch the gate knows nothing, so its outcome is Unknown.
func (g *Gate) Cancel(now time.Time, epoch uint64, id AttemptID, entry string, sequence uint64) outcome.Outcome {
	call, known := g.calls[id]
	if !known {
		return g.cancelUnknown(epoch, id, entry, sequence)
	}
	call.Touched = now
	switch call.State {
	case Queued:
		g.dequeue(call)
		g.barCall(call)
		return outcome.NotRun
	case Running:
		return outcome.Unknown
	case Barred:
		return outcome.NotRun
	default:
		return outcome.Ran
	}
}

func (g *Gate) cancelUnknown(epoch uint64, id AttemptID, entry string, sequence uint64) outcome.Outcome {
	if barred, known := g.barred[id]; known {
		if barred.Value.(bar).ran {
			return outcome.Ran
		}
		return outcome.NotRun
	}
	if epoch != g.epoch || g.isBelowHorizon(entry, sequence) {
		return outcome.Unknown
	}
	g.bar(id, entry, sequence, false)
	return outcome.NotRun
}

func (g *Gate) dequeue(call *Call) {
	for i, waiting := range g.queue {
		if waiting == call {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

func (g *Gate) barCall(call *Call) {
	call.State = Barred
	delete(g.calls, call.Request.ID)
	g.bar(call.Request.ID, call.Request.Entry, call.Request.Sequence, false)
}

// bar remembers that an attempt never starts. When the memory is full the oldest one is forgotten by name
// and its entry's horizon raised to it, which bars it still.
func (g *Gate) bar(id AttemptID, entry string, sequence uint64, ran bool) {
	if _, known := g.barred[id]; known {
		return
	}
	g.rememberEntry(entry)
	g.barred[id] = g.order.PushBack(bar{id: id, entry: entry, sequence: sequence, ran: ran})
	for len(g.barred) > g.limits.Barred {
		oldest := g.order.Remove(g.order.Front()).(bar)
		delete(g.barred, oldest.id)
		g.entries[oldest.entry] = max(g.entries[oldest.entry], oldest.sequence)
	}
}

// Forget drops an ended attempt whose answer is held elsewhere. The attempt stays barred, so that a
// duplicate of its start does not run it again.
func (g *Gate) Forget(id AttemptID) {
	call := g.calls[id]
	if call == nil || call.State != Ended {
		return
	}
	delete(g.calls, id)
	g.bar(id, call.Request.Entry, call.Request.Sequence, true)
}

// Expire drops ended attempts that nobody has asked for within Limits.Keep, and returns the running
// repeatable ones that nobody has asked for, which the caller stops.
func (g *Gate) Expire(now time.Time) (abandoned []*Call) {
	for id, call := range g.calls {
		if now.Sub(call.Touched) < g.limits.Keep {
			continue
		}
		if call.State == Ended {
			g.Forget(id)
		}
		if call.State == Running && call.Request.Repeatable {
			abandoned = append(abandoned, call)
		}
	}
	return abandoned
}

// Running returns the attempts that the engine runs now.
func (g *Gate) Running() []*Call {
	var running []*Call
	for _, call := range g.calls {
		if call.State == Running {
			running = append(running, call)
		}
	}
	return running
}

// IsIdle reports whether no attempt waits, runs, or has an answer that is not fetched to its end.
func (g *Gate) IsIdle() bool {
	return g.running == 0 && len(g.queue) == 0 && len(g.Unfetched()) == 0
}

// Unfetched returns the ended attempts whose end no entry was handed.
func (g *Gate) Unfetched() []*Call {
	var unfetched []*Call
	for _, call := range g.calls {
		if call.State == Ended && !call.Answer.IsFetched() {
			unfetched = append(unfetched, call)
		}
	}
	return unfetched
}
