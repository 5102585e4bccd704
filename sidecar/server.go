// Package sidecar is the protocol between entries and the small process beside each upstream: its server,
// which runs in that process, and its client, which runs in entries.
package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/engine"
	"guavahitch.example/guavahitch/event"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// StreamPath is the path of the streams of pieces.
	StreamPath = "/guavahitch.wire.Sidecar/Stream"
	// WaitLimit is the longest time between two pieces of a stream, and the longest wait of a Fetch. A
	// reader that hears nothing for longer has lost its connection.
	WaitLimit = 300 * time.Millisecond
	// headerKey is the header with the idempotency key.
	headerKey = "Idempotency-Key"
	// watchInterval is the time between two looks at the engine's life and load.
	watchInterval = 200 * time.Millisecond
)

type (
	// ServerSettings describes the server of one upstream.
	ServerSettings struct {
		// Name is the name of the upstream.
		Name   string
		Limits admission.Limits
		Epoch  uint64
		// IsModel tells a model engine, which reports load, from a plain service.
		IsModel bool
		Engine  *engine.Client
		Events  *event.Ring
		Scope   tally.Scope
		// ReportDeath is told which attempts the engine was running when it died. It returns when the report is
		// taken, or after a bounded time.
		ReportDeath func(running []*wire.Suspect)
		// Settle stores the end of a claimed call whose entry is gone, and reports whether control took it.
		Settle func(*wire.SettleRequest) bool
		// Execute carries out an order of control; nil refuses every order.
		Execute func(context.Context, *wire.OrderRequest) (*wire.OrderReply, error)
	}

	// Server implements wire.Sidecar.
	Server struct {
		settings ServerSettings
		// looking is held while the engine's life is looked at.
		looking  sync.Mutex
		mutex    sync.Mutex
		gate     *admission.Gate
		requests map[admission.AttemptID]*wire.StartRequest
		stops    map[admission.AttemptID]context.CancelFunc
		load     *wire.Load
		sequence uint64
		alive    bool
		died     fingerprints
		base     context.Context
		running  sync.WaitGroup
	}
)

// NewServer returns a server whose runs end when the context ends.
func NewServer(ctx context.Context, settings ServerSettings) *Server {
	return &Server{
		settings: settings, gate: admission.NewGate(settings.Name, settings.Epoch, settings.Limits),
		requests: map[admission.AttemptID]*wire.StartRequest{}, stops: map[admission.AttemptID]context.CancelFunc{},
		alive: true, base: ctx,
	}
}

// Epoch returns the admission epoch in force.
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
	ticket := ticketOf(now, request)
	if ticket.Alone && s.died.has(now, ticket.Fingerprint) {
		return nil, &outcome.Error{
			Step: "admit", Peer: s.settings.Name, Outcome: outcome.NotRun, Reason: "died-here", RetryAfter: time.Second,
			Detail: "the engine died here while it ran this request; it is tried elsewhere",
		}
	}
	known := s.gate.Call(ticket.ID) != nil
	call, refusal := s.gate.Start(now, ticket)
	if refusal != nil || known {
		return call, refusal
	}
	s.requests[ticket.ID] = request
	s.settings.Scope.Counter("admitted").Inc(1)
	s.settings.Events.Add(&wire.Event{
		Kind: "admit", Request: request.Id.Request, Peer: request.Id.Entry, Detail: request.Path,
	})
	s.dispatch(now)
	return call, nil
}

func ticketOf(now time.Time, request *wire.StartRequest) admission.StartRequest {
	return admission.StartRequest{
		ID: idOf(request.Id), Epoch: request.Epoch, Entry: request.Id.GetEntry(), Sequence: request.Id.GetSequence(), Revision: request.Revision,
		Organisation: request.Organisation, Fingerprint: string(request.Fingerprint), Priority: request.Priority,
		Deadline:   now.Add(time.Duration(request.DeadlineMs) * time.Millisecond),
		Repeatable: request.Repeatable, Alone: request.Alone, Key: keyOf(request),
	}
}

// keyOf returns the idempotency key of a call that may not be repeated.
func keyOf(request *wire.StartRequest) string {
	for _, h := range request.Headers {
		if !request.Repeatable && h.Name == headerKey {
			return h.Value
		}
	}
	return ""
}

func idOf(id *wire.AttemptID) admission.AttemptID {
	return admission.AttemptID{Request: id.GetRequest(), Attempt: id.GetAttempt()}
}

// dispatch hands waiting attempts to the engine while there is room. The mutex is held.
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
		ctx, cancel := context.WithCancel(s.base)
		s.stops[call.Request.ID] = cancel
		s.running.Add(1)
		go s.run(ctx, call, s.requests[call.Request.ID])
	}
}

func (s *Server) run(ctx context.Context, call *admission.Call, request *wire.StartRequest) {
	defer s.running.Done()
	failure := s.settings.Engine.Run(ctx, s.engineCall(request), call.Answer)
	if failure != nil {
		failure = s.explain(failure)
		s.settings.Events.Add(&wire.Event{
			Kind: "run-failed", Request: request.Id.Request, Detail: failure.Error(), Outcome: failure.Outcome.String(),
		})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gate.End(time.Now(), call.Request.ID)
	s.stops[call.Request.ID]()
	delete(s.stops, call.Request.ID)
	delete(s.requests, call.Request.ID)
	call.Answer.Finish(failure)
	s.dispatch(time.Now())
}

// explain names the upstream in the failure of a run, and tells an engine that died from one that broke off.
func (s *Server) explain(failure *outcome.Error) *outcome.Error {
	failure = failure.WithPeer(s.settings.Name)
	s.look()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if failure.Reason == engine.ReasonFailed && !s.alive {
		failure.Reason = engine.ReasonDied
	}
	return failure
}

func (s *Server) engineCall(request *wire.StartRequest) engine.Call {
	call := engine.Call{
		RequestID: request.Id.Request, Method: request.Method, Path: request.Path, Body: request.Body,
		Headers:    HeadersFromWire(request.Headers),
		ResumeText: request.ResumeText, Repeatable: request.Repeatable, Rank: -1,
	}
	if s.settings.IsModel {
		call.Rank = int(request.Rank)
	}
	return call
}

// Fetch waits for the piece of an answer at an offset.
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

// Release drops answers that their entry holds.
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

// touch notes that an entry asks for the attempt.
func (s *Server) touch(call *admission.Call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call.Touched = time.Now()
}

func (s *Server) read(ctx context.Context, id *wire.AttemptID, call *admission.Call, offset, waitMs int64) *wire.Piece {
	wait := min(time.Duration(waitMs)*time.Millisecond, WaitLimit)
	piece, refusal := call.Answer.Read(ctx, offset, wait)
	if refusal != nil {
		refusal = refusal.WithPeer(s.settings.Name)
		return &wire.Piece{Id: id, Epoch: s.Epoch(), Offset: offset, Failure: refusal.Failure()}
	}
	return s.pieceOf(id, piece)
}

func (s *Server) pieceOf(id *wire.AttemptID, piece admission.Piece) *wire.Piece {
	sent := &wire.Piece{
		Id: id, Epoch: s.Epoch(), Status: int32(piece.Head.Status), Offset: piece.Offset, Data: piece.Data,
		End: piece.End, Length: piece.Length, Checksum: piece.Checksum, Load: s.Load(),
	}
	if piece.Failure != nil {
		sent.Failure = piece.Failure.Failure()
	}
	sent.Headers = HeadersToWire(piece.Head.Headers)
	return sent
}

// Cancel bars an attempt that has not started. A running repeatable one is stopped; a running
// non-repeatable one goes on, so that its outcome can be learned.
func (s *Server) Cancel(ctx context.Context, request *wire.CancelRequest) (*wire.CancelReply, error) {
	known := s.cancel(request)
	if known == outcome.Unknown && request.Reference != "" && !s.holds(request.Id) {
		known = s.askEngine(ctx, request.Reference)
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
		s.stops[id]()
	}
	return known
}

func (s *Server) holds(id *wire.AttemptID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.gate.Call(idOf(id)) != nil
}

// askEngine asks a plain service by reference whether a call ran. That it has not run yet proves nothing:
// the call may be on its way.
func (s *Server) askEngine(ctx context.Context, reference string) outcome.Outcome {
	if s.settings.IsModel {
		return outcome.Unknown
	}
	if ran, known := s.settings.Engine.HasRun(ctx, reference); known && ran {
		return outcome.Ran
	}
	return outcome.Unknown
}

// Execute carries out an order of control.
func (s *Server) Execute(ctx context.Context, order *wire.OrderRequest) (*wire.OrderReply, error) {
	if s.settings.Execute == nil {
		refusal := outcome.Error{Step: "order", Peer: s.settings.Name, Outcome: outcome.NotRun, Reason: "no-orders"}
		return &wire.OrderReply{Failure: refusal.Failure()}, nil
	}
	return s.settings.Execute(ctx, order)
}

// Load returns the load of the upstream: the gate's own counts and the engine's last report.
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
