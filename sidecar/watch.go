package sidecar

import (
	"context"
	"time"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// handOverAfter is how long the end of an answer waits for its entry before it is settled without it.
const handOverAfter = 2 * time.Second

// watch.go looks after the engine: its life, its load, calls that no entry asks for, and the planned stop.

// Watch looks at the engine until the context ends.
func (s *Server) Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.look()
			s.readLoad(ctx)
			s.expire()
			s.handOver()
		}
	}
}

// look notes whether the engine is alive, and reports its death once with the attempts that it was running. It
// returns when the report is taken, so that no attempt fails before control knows what it may have caused.
func (s *Server) look() {
	s.looking.Lock()
	defer s.looking.Unlock()
	alive := s.settings.Engine.IsAlive(s.base)
	s.mutex.Lock()
	died := s.alive && !alive && s.base.Err() == nil
	changed := s.alive != alive
	s.alive = alive
	var suspects []*wire.Suspect
	if died {
		suspects = suspectsOf(s.gate.Running())
		s.died.add(time.Now(), suspects)
	}
	s.mutex.Unlock()
	if changed {
		s.settings.Events.Add(&wire.Event{Kind: "engine", Detail: lifeWord(alive)})
	}
	if died {
		s.settings.Scope.Counter("engine_deaths").Inc(1)
		s.settings.ReportDeath(suspects)
	}
}

func lifeWord(alive bool) string {
	if alive {
		return "alive"
	}
	return "dead"
}

func suspectsOf(running []*admission.Call) []*wire.Suspect {
	var suspects []*wire.Suspect
	for _, call := range running {
		suspects = append(suspects, &wire.Suspect{
			Fingerprint: []byte(call.Request.Fingerprint), Organisation: call.Request.Organisation,
			Repeatable: call.Request.Repeatable, Alone: call.Request.Alone,
		})
	}
	return suspects
}

func (s *Server) readLoad(ctx context.Context) {
	if !s.settings.IsModel {
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
		s.stops[call.Request.ID]()
	}
}

// handOver settles claimed calls whose entry has not fetched the end of their answer: the entry has crashed or
// is cut off, and control keeps the answer for the resend.
func (s *Server) handOver() {
	for _, call := range s.orphans(time.Now()) {
		request := s.settledRequest(call)
		if request.Key != "" && !s.settings.Settle(request) {
			continue
		}
		call.Answer.Abandon()
		s.settings.Events.Add(&wire.Event{Kind: "hand-over", Request: call.Request.ID.Request})
	}
}

// orphans returns the ended calls whose end nobody has fetched for handOverAfter.
func (s *Server) orphans(now time.Time) []*admission.Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var orphans []*admission.Call
	for _, call := range s.gate.Unfetched() {
		if now.Sub(call.Touched) > handOverAfter {
			orphans = append(orphans, call)
		}
	}
	return orphans
}

// settledRequest returns what control is told of an ended call; its key is empty for a call without one.
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

// Drain refuses new attempts and waits until every admitted one has ended and its answer has been fetched,
// or until the context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mutex.Lock()
	s.gate.Drain()
	s.mutex.Unlock()
	s.settings.Events.Add(&wire.Event{Kind: "drain"})
	ticker := time.NewTicker(watchInterval / 10)
	defer ticker.Stop()
	for {
		s.mutex.Lock()
		idle := s.gate.IsIdle()
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

// RequireRevision says that a revision of the inventory is in force everywhere.
func (s *Server) RequireRevision(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gate.RequireRevision(revision)
}

// SetAdmitting says whether the upstream may take new work at all, as the inventory has it.
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
