// Package sidecar implements both ends of the protocol between entries and the sidecar process next to each upstream.
// Server runs in the sidecar: it admits attempts through an admission gate, runs them on the engine, streams their
// answers and watches the engine. Link and Attempt run in entries: a Link holds the connections to one sidecar, and an
// Attempt starts one attempt and reads its answer.
package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/engine"
	"guavahitch.example/guavahitch/event"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// StreamPath is the HTTP path at which a sidecar serves answers as streams of pieces.
	StreamPath = "/guavahitch.wire.Sidecar/Stream"
	// MaxPieceInterval is the longest time between two pieces of a stream, and the longest wait of a Fetch. A reader
	// that receives nothing for MaxPieceInterval plus ResponseGrace treats its connection as lost.
	MaxPieceInterval = 300 * time.Millisecond
	// noticeOpen and noticeLeaving are what events say of an engine that takes work and of one that is about to leave.
	noticeOpen    = "takes work"
	noticeLeaving = "leaving"
	// idempotencyHeader is the request header that carries the idempotency key.
	idempotencyHeader = "Idempotency-Key"
	// maxOverrun is how long after its deadline a call may still run at the engine. A call that must not be repeated runs
	// on after its caller has left, so that its outcome can be found out.
	maxOverrun = time.Minute
	// watchInterval is the time between two checks of the engine's liveness and load.
	watchInterval = 200 * time.Millisecond
)

type (
	// ServerSettings configures the server of one upstream.
	ServerSettings struct {
		// Name is the upstream's name, which is the peer in errors.
		Name   string
		Limits admission.Limits
		Epoch  uint64
		// IsModel is true for a model engine, which reports its load, and false for a plain service.
		IsModel bool
		Engine  *engine.Client
		Events  *event.Ring
		Scope   tally.Scope
		// ReportDeath is called when the engine dies, with the attempts that it was running. It returns when control
		// has accepted the report, or after a bounded time.
		ReportDeath func(running []*wire.Suspect)
		// Settle stores at control the result of a claimed call whose entry is gone, and reports whether control
		// accepted it.
		Settle func(*wire.SettleRequest) bool
		// Execute carries out an order from control; nil refuses every order.
		Execute func(context.Context, *wire.OrderRequest) (*wire.OrderReply, error)
	}

	// Server implements wire.Sidecar and serves the streams of pieces. It is safe for concurrent use.
	Server struct {
		settings ServerSettings
		// probeMutex is held while the engine's liveness is checked and its death is reported.
		probeMutex sync.Mutex
		mutex      sync.Mutex
		gate       *admission.Gate
		requests   map[admission.AttemptID]*wire.StartRequest
		cancels    map[admission.AttemptID]context.CancelFunc
		load       *wire.Load
		sequence   uint64
		alive      bool
		// notice is what the engine said of itself last.
		notice      string
		crashed     fingerprints
		baseContext context.Context
		runs        sync.WaitGroup
	}
)

// NewServer returns a server for one upstream. When the context ends, running calls to the engine are cancelled.
func NewServer(ctx context.Context, settings ServerSettings) *Server {
	return &Server{
		settings: settings, gate: admission.NewGate(settings.Name, settings.Epoch, settings.Limits),
		requests: map[admission.AttemptID]*wire.StartRequest{}, cancels: map[admission.AttemptID]context.CancelFunc{},
		alive: true, notice: noticeOpen, baseContext: ctx,
	}
}

// Epoch returns the gate's admission epoch.
func (s *Server) Epoch() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.gate.Epoch()
}

func (s *Server) admit(request *wire.StartRequest) (*admission.Call, *outcome.Error) {
	now := time.Now()
	if !s.alive {
		return nil, &outcome.Error{
			Step: "admit", Peer: s.settings.Name, Outcome: outcome.NotRun, Reason: "engine-down", RetryAfter: time.Second,
		}
	}
	start := admissionRequest(now, request)
	s.updateEngine(now)
	if start.Alone && s.crashed.has(now, start.Fingerprint) {
		return nil, &outcome.Error{
			Step: "admit", Peer: s.settings.Name, Outcome: outcome.NotRun, Reason: "died-here", RetryAfter: time.Second,
			Detail: "the engine died here while it ran this request; it is tried elsewhere",
		}
	}
	known := s.gate.Call(start.ID) != nil
	call, refusal := s.gate.Start(now, start)
	if refusal != nil || known {
		return call, refusal
	}
	s.requests[start.ID] = request
	s.settings.Scope.Counter("admitted").Inc(1)
	s.settings.Events.Add(&wire.Event{
		Kind: "admit", Request: request.Id.Request, Peer: request.Id.Entry, Detail: string(request.Path),
	})
	s.dispatch(now)
	return call, nil
}

func admissionRequest(now time.Time, request *wire.StartRequest) admission.StartRequest {
	return admission.StartRequest{
		ID: idOf(request.Id), Epoch: request.Epoch, Entry: request.Id.GetEntry(), Sequence: request.Id.GetSequence(), Revision: request.Revision,
		Organisation: request.Organisation, Fingerprint: string(request.Fingerprint), Parts: request.Parts, Priority: request.Priority,
		Deadline:   now.Add(time.Duration(request.DeadlineMs) * time.Millisecond),
		Repeatable: request.Repeatable, Alone: request.Alone, Key: keyOf(request),
	}
}

// keyOf returns the idempotency key of a call that must not be repeated, and nothing for other calls.
func keyOf(request *wire.StartRequest) string {
	for _, h := range request.Headers {
		if !request.Repeatable && h.Name == idempotencyHeader {
			return string(h.Value)
		}
	}
	return ""
}

func idOf(id *wire.AttemptID) admission.AttemptID {
	return admission.AttemptID{Request: id.GetRequest(), Attempt: id.GetAttempt()}
}

// dispatch starts queued attempts on the engine while it has free capacity. The caller holds the mutex.
func (s *Server) dispatch(now time.Time) {
	for {
		call, expired := s.gate.Next(now)
		for _, late := range expired {
			delete(s.requests, late.Request.ID)
			late.Answer.Finish(&outcome.Error{
				Step: "queue", Peer: s.settings.Name, Outcome: outcome.NotRun, Reason: "deadline",
			})
		}
		if call == nil {
			return
		}
		s.settings.Engine.CountRequest(now)
		ctx, cancel := context.WithDeadline(s.baseContext, call.Request.Deadline.Add(maxOverrun))
		s.cancels[call.Request.ID] = cancel
		s.runs.Add(1)
		go s.run(ctx, call, s.requests[call.Request.ID])
	}
}

// updateEngine tells the gate whether the engine takes work. If it does not, the queued attempts end as not run. The caller
// holds the mutex.
func (s *Server) updateEngine(now time.Time) {
	engineState := s.settings.Engine.State()
	s.gate.SetEngine(engineState)
	refusal := &outcome.Error{Step: "queue", Peer: s.settings.Name, Outcome: outcome.NotRun, Reason: admission.ReasonDraining}
	if !engineState.IsLeaving() {
		refusal.Reason, refusal.RetryAfter = admission.ReasonBackoff, max(engineState.Wait(now), 0)
	}
	for _, call := range s.gate.RefuseQueued(now) {
		delete(s.requests, call.Request.ID)
		call.Answer.Finish(refusal)
	}
	s.recordNotice(engineState, now)
}

// recordNotice adds an event when what the engine says of itself has changed. The caller holds the mutex.
func (s *Server) recordNotice(engineState availability.State, now time.Time) {
	notice := noticeOpen
	switch {
	case engineState.IsLeaving():
		notice = noticeLeaving
	case engineState.IsBackingOff(now):
		notice = "backoff until " + engineState.BackoffEnd().UTC().Format(time.RFC3339)
	case engineState.RateLimit().IsNamed:
		notice = fmt.Sprintf("rate limit %g a second", engineState.RateLimit().PerSecond)
	}
	if notice == s.notice {
		return
	}
	s.settings.Events.Add(&wire.Event{Kind: "engine", Detail: notice})
	if s.notice == noticeLeaving {
		// Entries use an upstream that was draining again only under a new epoch.
		s.gate.NewEpoch(s.gate.Epoch() + 1)
	}
	s.notice = notice
}

func (s *Server) run(ctx context.Context, call *admission.Call, request *wire.StartRequest) {
	defer s.runs.Done()
	failure := s.settings.Engine.Run(ctx, s.engineCall(request), call.Answer)
	if failure != nil {
		failure = s.describeFailure(failure)
		s.settings.Events.Add(&wire.Event{
			Kind: "run-failed", Request: request.Id.Request, Detail: failure.Error(), Outcome: failure.Outcome.String(),
		})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gate.End(time.Now(), call.Request.ID)
	s.cancels[call.Request.ID]()
	delete(s.cancels, call.Request.ID)
	delete(s.requests, call.Request.ID)
	call.Answer.Finish(failure)
	s.updateEngine(time.Now())
	s.dispatch(time.Now())
}

// describeFailure adds the upstream's name to the failure of a run, and sets the reason to ReasonDied when the engine
// has died, as opposed to an engine that only broke the connection.
func (s *Server) describeFailure(failure *outcome.Error) *outcome.Error {
	failure = failure.WithPeer(s.settings.Name)
	s.probeEngine()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if failure.Reason == engine.ReasonFailed && !s.alive {
		failure.Reason = engine.ReasonDied
	}
	return failure
}

func (s *Server) engineCall(request *wire.StartRequest) engine.Call {
	call := engine.Call{
		RequestID: request.Id.Request, Method: request.Method, Path: string(request.Path), Body: request.Body,
		Headers:    HeadersFromWire(request.Headers),
		ResumeText: request.ResumeText, Repeatable: request.Repeatable, Rank: -1,
	}
	if s.settings.IsModel {
		call.Rank = int(request.Rank)
	}
	return call
}

// Fetch returns the piece of an answer at an offset and waits for it up to MaxPieceInterval. It also acknowledges the
// answer up to that offset.
func (s *Server) Fetch(ctx context.Context, request *wire.FetchRequest) (*wire.Piece, error) {
	id := idOf(request.Id)
	s.mutex.Lock()
	call := s.gate.Call(id)
	if call != nil {
		call.Touched = time.Now()
	}
	s.mutex.Unlock()
	if call == nil {
		return &wire.Piece{Id: request.Id, Epoch: s.Epoch(), Failure: s.unknownAttempt().Failure()}, nil
	}
	call.Answer.Acknowledge(request.Offset)
	return s.read(ctx, request.Id, call, request.Offset, request.WaitMs), nil
}

// Release drops answers that their entry has received in full.
func (s *Server) Release(_ context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	s.release(request.Ids)
	return &wire.ReleaseReply{}, nil
}

func (s *Server) release(ids []*wire.AttemptID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, id := range ids {
		s.gate.Forget(idOf(id))
	}
}

func (s *Server) unknownAttempt() *outcome.Error {
	return &outcome.Error{Step: "fetch", Peer: s.settings.Name, Outcome: outcome.Unknown, Reason: "unknown-attempt"}
}

// recordFetch records that an entry is reading the attempt's answer, which keeps the answer from expiring.
func (s *Server) recordFetch(call *admission.Call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call.Touched = time.Now()
}

func (s *Server) read(ctx context.Context, id *wire.AttemptID, call *admission.Call, offset, waitMs int64) *wire.Piece {
	wait := min(time.Duration(waitMs)*time.Millisecond, MaxPieceInterval)
	piece, refusal := call.Answer.Read(ctx, offset, wait)
	if refusal != nil {
		refusal = refusal.WithPeer(s.settings.Name)
		return &wire.Piece{Id: id, Epoch: s.Epoch(), Offset: offset, Failure: refusal.Failure()}
	}
	return s.pieceOf(id, piece)
}

func (s *Server) pieceOf(id *wire.AttemptID, piece admission.Piece) *wire.Piece {
	message := &wire.Piece{
		Id: id, Epoch: s.Epoch(), Status: int32(piece.Head.Status), Offset: piece.Offset, Data: piece.Data,
		End: piece.End, Length: piece.Length, Checksum: piece.Checksum, Load: s.Load(),
	}
	if piece.Failure != nil {
		message.Failure = piece.Failure.Failure()
	}
	message.Headers = HeadersToWire(piece.Head.Headers)
	return message
}

// Cancel bars an attempt that has not started. It stops a running attempt that is repeatable. A running attempt that is
// not repeatable continues, so that its outcome can be found out.
func (s *Server) Cancel(ctx context.Context, request *wire.CancelRequest) (*wire.CancelReply, error) {
	known := s.cancel(request)
	if known == outcome.Unknown && request.Reference != "" && !s.hasAttempt(request.Id) {
		known = s.queryEngine(ctx, request.Reference)
	}
	s.settings.Events.Add(&wire.Event{Kind: "cancel", Request: request.Id.GetRequest(), Outcome: known.String()})
	return &wire.CancelReply{Outcome: wire.Outcome(known), Epoch: s.Epoch()}, nil
}

func (s *Server) cancel(request *wire.CancelRequest) outcome.Outcome {
	id := idOf(request.Id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call := s.gate.Call(id)
	known := s.gate.Cancel(time.Now(), request.Epoch, id, request.Id.GetEntry(), request.Id.GetSequence())
	if known == outcome.NotRun {
		delete(s.requests, id)
		if call != nil {
			call.Answer.Finish(&outcome.Error{Step: "cancel", Peer: s.settings.Name, Outcome: known, Reason: "cancelled"})
		}
	}
	if call != nil && call.State == admission.Running && call.Request.Repeatable {
		s.cancels[id]()
	}
	return known
}

func (s *Server) hasAttempt(id *wire.AttemptID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.gate.Call(idOf(id)) != nil
}

// queryEngine asks a plain service by reference whether a call ran. When the call has not run yet, the result is
// Unknown, because the call may still be on its way to the service.
func (s *Server) queryEngine(ctx context.Context, reference string) outcome.Outcome {
	if s.settings.IsModel {
		return outcome.Unknown
	}
	if ran, known := s.settings.Engine.HasRun(ctx, reference); known && ran {
		return outcome.Ran
	}
	return outcome.Unknown
}

// Execute carries out an order from control.
func (s *Server) Execute(ctx context.Context, order *wire.OrderRequest) (*wire.OrderReply, error) {
	if s.settings.Execute == nil {
		refusal := outcome.Error{Step: "order", Peer: s.settings.Name, Outcome: outcome.NotRun, Reason: "no-orders"}
		return &wire.OrderReply{Failure: refusal.Failure()}, nil
	}
	return s.settings.Execute(ctx, order)
}

// Load returns the upstream's load, made of the gate's counts and the engine's last report. Each call increments the
// sequence number of the load.
func (s *Server) Load() *wire.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running, queued := s.gate.Counts()
	s.sequence++
	load := &wire.Load{
		Running: int32(running), Queued: int32(queued), Capacity: int32(s.settings.Limits.Running), Sequence: s.sequence,
	}
	if s.load != nil {
		load.RunningTokens, load.StepUs = s.load.RunningTokens, s.load.StepUs
	}
	return load
}
