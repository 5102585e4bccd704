// Key claims in the replicated state, and the waiting for a claimed call that still runs.

package control

import (
	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

func (s *State) claim(request *wire.ClaimRequest) *wire.Result {
	s.keys.AllowRerun, s.keys.AllowBarred = s.Switches.AllowRerun, s.Switches.AllowBarred
	reply, err := s.keys.Claim(request, s.nowMs)
	if err != nil {
		s.fail("claim", err)
	}
	return &wire.Result{Claim: reply}
}

func (s *State) settle(replica string, request *wire.SettleRequest) *wire.Result {
	reply, err := s.keys.Settle(request, s.nowMs)
	if err != nil {
		s.fail("settle", err)
	}
	if reply.State == claim.StateUnknown || reply.State == claim.StateStale {
		s.record(replica, &wire.Record{
			Kind: "claim", Subject: request.Organisation + "/" + request.Key, Decision: reply.State,
			Cause: request.Outcome.String() + " reported for " + request.Id.GetRequest(),
			Rule:  "only the attempt that holds a key settles it",
		})
	}
	key := claim.KeyOf(request.Organisation, request.Key)
	if w := s.waiting[key]; w != nil {
		close(w.settled)
		delete(s.waiting, key)
	}
	return &wire.Result{Settle: reply}
}

// waiter is the callers that wait for the end of one call.
type waiter struct {
	settled chan struct{}
	callers int
}

// Wait returns a channel that is closed at the next settlement of a key, and a function that must be called
// when it is needed no more.
func (s *State) Wait(organisation, key string) (settled <-chan struct{}, done func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hashed := claim.KeyOf(organisation, key)
	w := s.waiting[hashed]
	if w == nil {
		w = &waiter{settled: make(chan struct{})}
		s.waiting[hashed] = w
	}
	w.callers++
	return w.settled, func() { s.endWait(hashed, w) }
}

func (s *State) endWait(key claim.Key, w *waiter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.callers--
	if w.callers == 0 && s.waiting[key] == w {
		delete(s.waiting, key)
	}
}

// Waiting returns the number of keys that callers wait for.
func (s *State) Waiting() int {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return len(s.waiting)
}

// Peek tells the state of a key; nil means that it is not held.
func (s *State) Peek(organisation, key string) (*wire.ClaimReply, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.keys.Peek(organisation, key, s.nowMs)
}

// OpenClaims returns the claims that run or whose outcome is unknown, oldest first.
func (s *State) OpenClaims() []*wire.StoredClaim {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.keys.Open()
}
