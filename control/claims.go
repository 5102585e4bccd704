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
		return &wire.Result{Failure: s.fail("claim", err)}
	}
	return &wire.Result{Claim: reply}
}

func (s *State) settle(replica string, request *wire.SettleRequest) *wire.Result {
	reply, err := s.keys.Settle(request, s.nowMs)
	if err != nil {
		return &wire.Result{Failure: s.fail("settle", err)}
	}
	if reply.State == claim.StateUnknown || reply.State == claim.StateStale {
		s.record(replica, &wire.Record{
			Kind: "claim", Subject: request.Organisation + "/" + request.Key, Decision: reply.State,
			Cause: request.Outcome.String() + " reported for " + request.Id.GetRequest(),
			Rule:  "only the attempt that holds a key settles it",
		})
	}
	key := claim.KeyOf(request.Organisation, request.Key)
	if waiting := s.settled[key]; waiting != nil {
		close(waiting)
		delete(s.settled, key)
	}
	return &wire.Result{Settle: reply}
}

// Settled returns a channel that is closed at the next settlement of a key.
func (s *State) Settled(organisation, key string) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hashed := claim.KeyOf(organisation, key)
	if s.settled[hashed] == nil {
		s.settled[hashed] = make(chan struct{})
	}
	return s.settled[hashed]
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
