package sidecar

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// orphanTimeout is how long after the last fetch an ended call counts as orphaned by its entry.
const orphanTimeout = 2 * time.Second

// watch.go holds the server's periodic work (the engine's liveness and load, expired and orphaned calls), the planned
// stop, and what the inventory sets.

// Watch checks the engine's liveness and load, and expires and settles calls, every watchInterval until the context
// ends.
func (s *Server) Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.probeEngine()
			s.readLoad(ctx)
			s.expire()
			s.settleOrphans()
			s.dispatchQueued()
		}
	}
}

// dispatchQueued starts queued attempts for which the engine has room after a backoff.
func (s *Server) dispatchQueued() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateEngine(time.Now())
	s.dispatch(time.Now())
}

// probeEngine checks whether the engine is alive, and reports its death once with the attempts that it was running. It
// returns after the report, so that control knows which attempts may have caused the death before any of them fails.
func (s *Server) probeEngine() {
	s.probeMutex.Lock()
	defer s.probeMutex.Unlock()
	alive := s.settings.Engine.IsAlive(s.baseContext)
	s.mutex.Lock()
	died := s.alive && !alive && s.baseContext.Err() == nil
	changed := s.alive != alive
	s.alive = alive
	var suspects []*wire.Suspect
	if died {
		suspects = suspectsOf(time.Now(), s.gate.Running())
		s.crashed.add(time.Now(), suspects)
		s.settings.Engine.Forget()
	}
	s.mutex.Unlock()
	if changed {
		s.settings.Events.Add(&wire.Event{Kind: "engine", Detail: livenessText(alive)})
	}
	if died {
		s.settings.Scope.Counter("engine_deaths").Inc(1)
		s.settings.ReportDeath(suspects)
	}
}

func livenessText(alive bool) string {
	if alive {
		return "alive"
	}
	return "dead"
}

func suspectsOf(now time.Time, running []*admission.Call) []*wire.Suspect {
	var suspects []*wire.Suspect
	for _, call := range running {
		suspects = append(suspects, &wire.Suspect{
			Fingerprint: []byte(call.Request.Fingerprint), Organisation: call.Request.Organisation,
			Repeatable: call.Request.Repeatable, Alone: call.Request.Alone,
			Parts: call.Request.Parts, RanMs: max(now.Sub(call.Began).Milliseconds(), 1),
		})
	}
	return suspects
}

// readLoad asks a model engine for its load. It asks any engine that is leaving, since the answer shows whether it has
// started again.
func (s *Server) readLoad(ctx context.Context) {
	if !s.settings.IsModel && !s.settings.Engine.State().IsLeaving() {
		return
	}
	load, err := s.settings.Engine.Load(ctx)
	if err != nil || load == nil {
		return
	}
	s.mutex.Lock()
	s.load = load
	s.mutex.Unlock()
}

func (s *Server) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, call := range s.gate.Expire(time.Now()) {
		s.cancels[call.Request.ID]()
	}
}

// settleOrphans abandons ended calls whose entry has not fetched the end of the answer, because the entry has crashed
// or is cut off. The result of a claimed call is stored at control first, for the caller's resend.
func (s *Server) settleOrphans() {
	for _, call := range s.orphans(time.Now()) {
		request := s.settledRequest(call)
		if request.Key != "" && !s.settings.Settle(request) {
			continue
		}
		call.Answer.Abandon()
		s.settings.Events.Add(&wire.Event{Kind: "hand-over", Request: call.Request.ID.Request})
	}
}

// orphans returns the ended calls whose answer has not been fetched to its end, and which no entry has read for
// orphanTimeout.
func (s *Server) orphans(now time.Time) []*admission.Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var orphans []*admission.Call
	for _, call := range s.gate.Unfetched() {
		if now.Sub(call.Touched) > orphanTimeout {
			orphans = append(orphans, call)
		}
	}
	return orphans
}

// settledRequest returns the request that stores the result of an ended call at control. Its key is empty for a call
// that has no idempotency key.
func (s *Server) settledRequest(call *admission.Call) *wire.SettleRequest {
	id := call.Request.ID
	request := &wire.SettleRequest{
		Organisation: call.Request.Organisation, Key: call.Request.Key, Outcome: wire.Outcome_OUTCOME_UNKNOWN,
		Id: &wire.AttemptID{Request: id.Request, Attempt: id.Attempt, Entry: call.Request.Entry, Sequence: call.Request.Sequence},
	}
	piece, failure := call.Answer.Whole()
	switch {
	case failure != nil:
		request.Outcome = wire.Outcome(failure.Outcome)
	default:
		request.Outcome = wire.Outcome_OUTCOME_RAN
		request.Answer = &wire.Answer{Status: int32(piece.Head.Status), Headers: HeadersToWire(piece.Head.Headers), Body: piece.Data}
	}
	return request
}

// Drain refuses new attempts. It waits until every admitted attempt has ended and its answer has reached its entry or was
// abandoned, or until the context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mutex.Lock()
	s.gate.Drain()
	s.mutex.Unlock()
	s.settings.Events.Add(&wire.Event{Kind: "drain"})
	ticker := time.NewTicker(watchInterval / 10)
	defer ticker.Stop()
	for {
		s.mutex.Lock()
		idle := s.gate.IsIdle(time.Now())
		s.mutex.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return outcome.Error{Step: "drain", Peer: s.settings.Name, Outcome: outcome.Unknown, Reason: "timeout"}.WithCause(ctx.Err())
		}
	}
}

// RequireRevision sets the oldest accepted revision of the inventory, once it is in force everywhere. Attempts sent
// under an older revision are refused.
func (s *Server) RequireRevision(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gate.RequireRevision(revision)
}

// SetAdmitting sets whether the upstream admits new attempts at all, according to the inventory.
func (s *Server) SetAdmitting(allowed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gate.SetAdmitting(allowed)
}

// IsDraining reports whether the server refuses new attempts.
func (s *Server) IsDraining() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.gate.IsDraining()
}
