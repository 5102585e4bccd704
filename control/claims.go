// Claims of idempotency keys in the replicated state, and the callers that wait for the end of a claimed call.

package control

import (
	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

func (s *State) claim(request *wire.ClaimRequest) *wire.Result {
	s.keys.AllowRerun, s.keys.AllowBarred = s.TestOverrides.AllowRerun, s.TestOverrides.AllowBarred
	reply, err := s.keys.Claim(request, s.nowMs)
	if err != nil {
		s.failStorage("claim", err)
	}
	return &wire.Result{Claim: reply}
}

// settle stores the outcome of a claimed call and wakes the callers that wait for it. An unknown outcome and a
// stale settlement are recorded.
func (s *State) settle(replica string, request *wire.SettleRequest) *wire.Result {
	reply, err := s.keys.Settle(request, s.nowMs)
	if err != nil {
		s.failStorage("settle", err)
	}
	if reply.State == claim.StateUnknown || reply.State == claim.StateStale {
		s.record(replica, &wire.Record{
			Kind: "claim", Subject: request.Organisation + "/" + request.Key, Decision: reply.State,
			Cause: request.Outcome.String() + " reported for " + request.Id.GetRequest(),
			Rule:  "only the attempt that holds a key settles it",
		})
	}
	key := claim.KeyOf(request.Organisation, request.Key)
	if w := s.waiters[key]; w != nil {
		close(w.settled)
		delete(s.waiters, key)
	}
	return &wire.Result{Settle: reply}
}

// settleWaiter is the state shared by the callers that wait for the end of one call.
type settleWaiter struct {
	settled chan struct{}
	callers int
}

// Wait returns a channel that is closed at the next settlement of a key. The caller must call done when it
// stops waiting.
func (s *State) Wait(organisation, key string) (settled <-chan struct{}, done func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hashed := claim.KeyOf(organisation, key)
	w := s.waiters[hashed]
	if w == nil {
		w = &settleWaiter{settled: make(chan struct{})}
		s.waiters[hashed] = w
	}
	w.callers++
	return w.settled, func() { s.endWait(hashed, w) }
}

func (s *State) endWait(key claim.Key, w *settleWaiter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.callers--
	if w.callers == 0 && s.waiters[key] == w {
		delete(s.waiters, key)
	}
}

// AwaitedKeys returns the number of keys that callers wait for.
func (s *State) AwaitedKeys() int {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return len(s.waiters)
}

// Peek returns the state of a key without claiming it, or nil if the key is unclaimed.
func (s *State) Peek(organisation, key string) (*wire.ClaimReply, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.keys.Peek(organisation, key, s.nowMs)
}

// OpenClaims returns the claims that are running or have an unknown outcome, oldest first.
func (s *State) OpenClaims() []*wire.StoredClaim {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.keys.Open()
}
