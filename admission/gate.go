// Package admission controls which attempts run on one upstream. Gate queues the attempts that entries send, releases
// them to the engine, and bars those that must never start, so that a reported NotRun stays true. Answer buffers the
// response of an attempt until an entry has acknowledged it. The package does no I/O: the sidecar offers the gate to
// entries over the Sidecar protocol and runs the released attempts on the engine.
package admission

import (
	"container/list"
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/outcome"
)

const (
	// Queued means that the attempt is admitted and has not started. Cancelling bars it.
	Queued State = iota
	// Running means that the attempt was released to the engine.
	Running
	// Ended means that the engine has finished the attempt, successfully or not.
	Ended
	// Barred means that the attempt will never start.
	Barred

	// ReasonEpoch refuses an attempt that was sent under another admission epoch.
	ReasonEpoch = "epoch"
	// ReasonDraining refuses an attempt because the upstream is draining.
	ReasonDraining = "draining"
	// ReasonBackoff refuses an attempt because the engine has asked for backoff, or its rate limit is used up.
	ReasonBackoff = "backoff"
	// ReasonOverloaded refuses an attempt because the queue is full.
	ReasonOverloaded = "overloaded"
	// ReasonRevision refuses an attempt of an entry that uses an outdated revision of the inventory.
	ReasonRevision = "old-revision"
	// ReasonStale refuses an attempt whose sequence number is at or below the entry's horizon, the highest number
	// among the entry's barred attempts that the gate no longer remembers individually.
	ReasonStale = "stale"

	// confirmTimeout is how long a drain waits for an entry to release an answer that it has fetched.
	confirmTimeout = time.Second

	// retryAfterRefusal is the retry advice in refusals, except for a passed deadline.
	retryAfterRefusal = 250 * time.Millisecond
)

type (
	// State is the state of one attempt.
	State int

	// AttemptID identifies one attempt of a request.
	AttemptID struct {
		Request string
		Attempt int32
	}

	// Limits bound the memory and the concurrency of a gate.
	Limits struct {
		// Running is the maximum number of attempts that the engine runs at once.
		Running int
		// Queued is the queue length at which further attempts are refused unless one can start at once.
		Queued int
		// Barred is the maximum number of barred attempts remembered individually.
		Barred int
		// Entries is the maximum number of entry incarnations for which a horizon is kept.
		Entries int
		// Keep is how long an ended attempt and its answer are kept after the attempt ended or an entry last asked for
		// it.
		Keep time.Duration
	}

	// StartRequest asks a gate to admit an attempt.
	StartRequest struct {
		ID AttemptID
		// Epoch is the admission epoch known to the entry.
		Epoch uint64
		// Entry identifies the entry and its incarnation.
		Entry string
		// Sequence increases with each attempt that the entry sends to this gate.
		Sequence uint64
		// Revision is the revision of the inventory that the entry uses.
		Revision     uint64
		Organisation string
		Fingerprint  string
		// Parts are the fingerprints of the parts of the prompt that other requests may share.
		Parts      [][]byte
		Priority   int32
		Deadline   time.Time
		Repeatable bool
		// Key is the idempotency key of a request that may not be repeated.
		Key string
		// Alone requires that no other attempt runs at the same time.
		Alone bool
	}

	// Call is an admitted attempt with its state and answer.
	Call struct {
		Request StartRequest
		State   State
		Answer  *Answer
		// Touched is the time at which an entry last asked for the attempt or the engine ended it.
		Touched time.Time
		// Began is the time at which the attempt was released to the engine.
		Began time.Time
	}

	// Gate admits attempts to one upstream. It is not safe for concurrent use.
	Gate struct {
		limits     Limits
		epoch      uint64
		peer       string
		draining   bool
		refusesAll bool
		// engine is whether the engine takes work.
		engine availability.State
		// oldestRevision is the oldest revision of the inventory that an entry may use.
		oldestRevision uint64
		calls          map[AttemptID]*Call
		queue          []*Call
		running        int
		runsAlone      bool
		barred         map[AttemptID]*list.Element
		barOrder       *list.List
		horizons       map[string]uint64
	}

	barredAttempt struct {
		id       AttemptID
		entry    string
		sequence uint64
		// ran is true for an attempt that ended before it was forgotten.
		ran bool
	}
)

// NewGate returns a gate for the named upstream that admits attempts under the given epoch.
func NewGate(peer string, epoch uint64, limits Limits) *Gate {
	return &Gate{
		limits: limits, epoch: epoch, peer: peer, calls: map[AttemptID]*Call{},
		barred: map[AttemptID]*list.Element{}, barOrder: list.New(), horizons: map[string]uint64{},
	}
}

// Epoch returns the admission epoch. An attempt sent under another epoch is refused.
func (g *Gate) Epoch() uint64 { return g.epoch }

// IsDraining reports whether the gate refuses all new attempts, because the upstream stops or its engine leaves.
func (g *Gate) IsDraining() bool { return g.draining || g.engine.IsLeaving() }

// Drain makes the gate refuse all new attempts. Admitted attempts continue.
func (g *Gate) Drain() { g.draining = true }

// SetEngine sets whether the engine takes work, according to its responses.
func (g *Gate) SetEngine(engine availability.State) { g.engine = engine }

// SetAdmitting sets whether the gate admits new attempts at all, according to the inventory.
func (g *Gate) SetAdmitting(allowed bool) { g.refusesAll = !allowed }

// RequireRevision sets the oldest accepted revision of the inventory, once it is in force everywhere. Attempts of
// entries that use an older one are refused, for example of an entry that was frozen past the end of its lease.
// A lower revision than before is ignored.
func (g *Gate) RequireRevision(revision uint64) { g.oldestRevision = max(g.oldestRevision, revision) }

// Counts returns the number of running and of queued attempts.
func (g *Gate) Counts() (running, queued int) { return g.running, len(g.queue) }

// Call returns the attempt, or nil if the gate does not hold it.
func (g *Gate) Call(id AttemptID) *Call { return g.calls[id] }

// Start admits an attempt and returns it. An attempt that was already admitted is returned in its present state, under
// any epoch, so that an entry can ask again over a new connection. A refusal with the outcome NotRun guarantees that the attempt did
// not run and never will, because the gate bars it. A refusal because of the epoch or a stale sequence number has the
// outcome Unknown, since an earlier copy of the attempt may have run. An entry that sent only one copy can conclude
// that the attempt did not run.
func (g *Gate) Start(now time.Time, request StartRequest) (*Call, *outcome.Error) {
	if call, known := g.calls[request.ID]; known {
		call.Touched = now
		return call, nil
	}
	if refusal := g.refusalFor(now, request); refusal != nil {
		if refusal.Outcome == outcome.NotRun {
			g.bar(request.ID, request.Entry, request.Sequence, false)
		}
		return nil, refusal
	}
	g.rememberEntry(request.Entry)
	call := &Call{Request: request, Answer: NewAnswer(!request.Repeatable), Touched: now}
	g.calls[request.ID] = call
	g.enqueue(call)
	return call, nil
}

func (g *Gate) refusalFor(now time.Time, request StartRequest) *outcome.Error {
	refusal := outcome.Error{Step: "admit", Peer: g.peer, Outcome: outcome.NotRun, RetryAfter: retryAfterRefusal}
	barred, isBarred := g.barred[request.ID]
	switch {
	case request.Epoch != g.epoch:
		refusal.Reason, refusal.Outcome = ReasonEpoch, outcome.Unknown
	case isBarred && barred.Value.(barredAttempt).ran:
		refusal.Reason, refusal.Outcome = "forgotten", outcome.Ran
	case isBarred:
		refusal.Reason = "barred"
	case g.isBelowHorizon(request.Entry, request.Sequence):
		refusal.Reason, refusal.Outcome = ReasonStale, outcome.Unknown
	case g.IsDraining():
		refusal.Reason = ReasonDraining
	case request.Revision < g.oldestRevision:
		refusal.Reason = ReasonRevision
	case g.refusesAll:
		refusal.Reason = "not-listed"
	case !request.Deadline.After(now):
		refusal.Reason, refusal.RetryAfter = "deadline", 0
	case g.engine.Wait(now) > 0:
		refusal.Reason, refusal.RetryAfter = ReasonBackoff, g.engine.Wait(now)
	case len(g.queue) >= g.limits.Queued && !g.hasRoom(now, request.Alone):
		refusal.Reason = ReasonOverloaded
	default:
		return nil
	}
	return &refusal
}

// isBelowHorizon reports whether the sequence number is at or below the entry's horizon. Such an attempt may have been
// barred and forgotten, so it must not run.
func (g *Gate) isBelowHorizon(entry string, sequence uint64) bool {
	horizon, known := g.horizons[entry]
	return known && sequence <= horizon
}

// rememberEntry adds the entry to the table of horizons. If the table is full, the gate starts a new epoch, which
// refuses every attempt sent under the old one, and clears the table.
func (g *Gate) rememberEntry(entry string) {
	if _, known := g.horizons[entry]; known {
		return
	}
	if len(g.horizons) >= g.limits.Entries {
		g.NewEpoch(g.epoch + 1)
	}
	g.horizons[entry] = 0
}

// NewEpoch starts a new admission epoch. Attempts sent under another epoch are refused unless they are already
// admitted, so barred attempts and horizons can be cleared.
func (g *Gate) NewEpoch(epoch uint64) {
	g.epoch = epoch
	g.horizons = map[string]uint64{}
	g.barred = map[AttemptID]*list.Element{}
	g.barOrder.Init()
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

func (g *Gate) hasRoom(now time.Time, alone bool) bool {
	if alone {
		return g.running == 0
	}
	limit := min(int64(g.limits.Running), g.engine.Limit(now, g.limits.Running))
	return !g.runsAlone && int64(g.running) < limit
}

// RefuseQueued bars and returns the queued attempts if the engine leaves, has asked for backoff or its rate limit is used
// up, so that they go on elsewhere.
func (g *Gate) RefuseQueued(now time.Time) []*Call {
	if g.engine.Wait(now) <= 0 && !g.engine.IsLeaving() {
		return nil
	}
	refused := g.queue
	g.queue = nil
	for _, call := range refused {
		g.barCall(call)
	}
	return refused
}

// Next releases the next attempt to the engine, and counts it against the engine's rate limit. It returns nil if none is queued or the engine has no capacity for the
// first one. Queued attempts ahead of it whose deadline has passed are barred and returned in expired.
func (g *Gate) Next(now time.Time) (next *Call, expired []*Call) {
	for len(g.queue) > 0 {
		call := g.queue[0]
		if !call.Request.Deadline.After(now) {
			g.queue = g.queue[1:]
			g.barCall(call)
			expired = append(expired, call)
			continue
		}
		if !g.hasRoom(now, call.Request.Alone) || !g.engine.HasQuota(now) {
			return nil, expired
		}
		g.engine = g.engine.WithRequest(now)
		g.queue = g.queue[1:]
		call.State = Running
		call.Began = now
		g.running++
		g.runsAlone = call.Request.Alone
		return call, expired
	}
	return nil, expired
}

// End records that the engine has finished an attempt.
func (g *Gate) End(now time.Time, id AttemptID) {
	call := g.calls[id]
	if call == nil || call.State != Running {
		return
	}
	call.State = Ended
	call.Touched = now
	g.running--
	if call.Request.Alone {
		g.runsAlone = false
	}
}

// Cancel bars an attempt that has not started and returns NotRun, which stays true from then on. For a running attempt
// it returns Unknown, and the caller stops it on the engine. For an ended attempt it returns Ran, also after Forget as
// long as the gate remembers the attempt individually. An attempt that the gate does not know is barred, too. If it was
// sent under another epoch or its sequence number is at or below the entry's horizon, it may have run; the outcome is
// then Unknown.
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
		if barred.Value.(barredAttempt).ran {
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

// bar records that an attempt must not start. Beyond Limits.Barred the oldest barred attempt is forgotten and the
// horizon of its entry is raised to its sequence number, so that it stays barred.
func (g *Gate) bar(id AttemptID, entry string, sequence uint64, ran bool) {
	if _, known := g.barred[id]; known {
		return
	}
	g.rememberEntry(entry)
	g.barred[id] = g.barOrder.PushBack(barredAttempt{id: id, entry: entry, sequence: sequence, ran: ran})
	for len(g.barred) > g.limits.Barred {
		oldest := g.barOrder.Remove(g.barOrder.Front()).(barredAttempt)
		delete(g.barred, oldest.id)
		g.horizons[oldest.entry] = max(g.horizons[oldest.entry], oldest.sequence)
	}
}

// Forget drops an ended attempt whose answer is stored elsewhere. The attempt stays barred, so that a duplicate start
// does not run it again.
func (g *Gate) Forget(id AttemptID) {
	call := g.calls[id]
	if call == nil || call.State != Ended {
		return
	}
	delete(g.calls, id)
	g.bar(id, call.Request.Entry, call.Request.Sequence, true)
}

// Expire forgets ended attempts that no entry has asked for within Limits.Keep. It returns the running repeatable
// attempts that no entry has asked for within that time, which the caller stops.
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

// Running returns the attempts that the engine is running, in no particular order.
func (g *Gate) Running() []*Call {
	var running []*Call
	for _, call := range g.calls {
		if call.State == Running {
			running = append(running, call)
		}
	}
	return running
}

// IsIdle reports whether no attempt is queued or running and every answer has reached its entry or was abandoned. An
// answer has reached its entry once that has released it, or confirmTimeout after it was fetched to its end.
func (g *Gate) IsIdle(now time.Time) bool {
	if g.running > 0 || len(g.queue) > 0 {
		return false
	}
	for _, call := range g.calls {
		isUnfetched := call.State == Ended && !call.Answer.IsFetched()
		isUnconfirmed := call.State == Ended && !call.Answer.IsAbandoned() && now.Sub(call.Touched) < confirmTimeout
		if isUnfetched || isUnconfirmed {
			return false
		}
	}
	return true
}

// Unfetched returns the ended attempts whose answer has been neither fetched to its end nor abandoned.
func (g *Gate) Unfetched() []*Call {
	var unfetched []*Call
	for _, call := range g.calls {
		if call.State == Ended && !call.Answer.IsFetched() {
			unfetched = append(unfetched, call)
		}
	}
	return unfetched
}
