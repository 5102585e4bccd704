// Announcements, leases and the distribution of members and inventory to every process. Leases are known
// to the leader only. A new leader takes it that every leaseholder renewed its lease at the moment at
// which it learns of its term.

package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

// Announce enters or renews the membership of a process.
func (s *Server) Announce(ctx context.Context, request *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if request.Member == nil {
		return &wire.AnnounceReply{Failure: refusal("announce", ReasonInvalid, "no member")}, nil
	}
	name := request.Member.Name
	if failure := checkName("announce", "name", name); failure != nil {
		return &wire.AnnounceReply{Failure: failure}, nil
	}
	leads, leader := s.isLeader()
	if !leads {
		return &wire.AnnounceReply{Failure: notLeader("announce"), Leader: leader}, nil
	}
	now := time.Now()
	if !s.isAnnounced(request) {
		announced := &wire.AnnounceRequest{Member: request.Member, Leaving: request.Leaving}
		result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Announce{Announce: announced}})
		if err != nil {
			return &wire.AnnounceReply{Failure: unsettled("announce", err)}, nil
		}
		if result.Failure != nil {
			return &wire.AnnounceReply{Failure: result.Failure, Epoch: s.settings.State.Epoch(name)}, nil
		}
	}
	if !request.Leaving {
		s.touch(name, request.Member.Load, now)
	}
	return &wire.AnnounceReply{
		LeaseMs: lease.Duration.Milliseconds(), Orders: s.settings.State.Orders(name), Epoch: s.settings.State.Epoch(name),
		Term: s.settings.State.Term(), TrafficBatch: s.traffic.take(s.settings.State.Term(), name, request.Traffic, now),
	}, nil
}

// isAnnounced reports whether the state holds the member as it is announced, so that a renewal is enough.
func (s *Server) isAnnounced(request *wire.AnnounceRequest) bool {
	held, _ := s.settings.State.Member(request.Member.Name)
	return held != nil && !request.Leaving && proto.Equal(held, normalMember(request.Member))
}

func (s *Server) touch(name string, load *wire.Load, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seed(now)
	s.table.Touch(name, now)
	if load != nil {
		s.loads[name] = load
	}
}

// seed starts the table of leases anew in a new term. The caller holds the mutex.
func (s *Server) seed(now time.Time) {
	term := s.settings.State.Term()
	if term == s.tableTerm {
		return
	}
	ignores := s.table.IgnoreExpiry
	s.tableTerm, s.table = term, lease.NewTable()
	s.table.IgnoreExpiry = ignores
	s.under = make(map[string][]string)
	for _, process := range s.settings.State.Leaseholders() {
		s.table.Renew(process, 0, now)
	}
}

// Load returns the latest load that a process announced to this replica, or nil.
func (s *Server) Load(name string) *wire.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loads[name]
}

// Watch waits a bounded time for a newer view or inventory and renews the lease of a member.
func (s *Server) Watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchReply, error) {
	granted := s.renew(request)
	leader, failure := s.barrier(ctx, "watch")
	if failure != nil {
		return &wire.WatchReply{Failure: failure, Leader: leader}, nil
	}
	s.await(ctx, request)
	reply := &wire.WatchReply{}
	s.settings.State.Fill(reply, request)
	if granted {
		reply.LeaseMs = lease.Duration.Milliseconds()
	}
	reply.NeedsPresent = request.Relays && !s.knowsUnder(request.Process)
	return reply, nil
}

// renew notes the lease before the barrier proves that this replica leads: a lease that is noted and not
// granted costs a wait, the other way round would cost the promise. Processes that are no members get no
// lease, since a new leader would not know of it.
func (s *Server) renew(request *wire.WatchRequest) bool {
	now := time.Now()
	member, _ := s.settings.State.Member(request.Process)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seed(now)
	if member == nil {
		return false
	}
	revision := request.Revision
	if request.Relays {
		revision = request.Acknowledged
		s.renewUnder(request, now)
	}
	s.table.Renew(request.Process, revision, now)
	if revision > s.settings.State.InForce() {
		s.poke()
	}
	return true
}

// renewUnder extends the memberships of the processes under a relay, whose leases end with the relay's. The
// caller holds the mutex.
func (s *Server) renewUnder(request *wire.WatchRequest, now time.Time) {
	if len(request.Present) > 0 {
		s.under[request.Process] = request.Present
	}
	for _, process := range s.under[request.Process] {
		s.table.Touch(process, now)
	}
}

func (s *Server) knowsUnder(relay string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.under[relay] != nil
}

// await returns when the process lacks something, or its waiting time is over.
func (s *Server) await(ctx context.Context, request *wire.WatchRequest) {
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, lease.RenewInterval)
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		changed := s.settings.State.Changed()
		if s.settings.State.isBehind(request) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// poke makes Run look at the leases at once.
func (s *Server) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run looks at the leases until the context ends: it proposes the departure of members whose leases ran
// out, and declares revisions in force.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
		if leads, _ := s.isLeader(); leads {
			s.departExpired(ctx, time.Now())
			s.declareInForce(ctx, time.Now())
			s.recordTraffic(ctx, time.Now())
		}
	}
}

func (s *Server) departExpired(ctx context.Context, now time.Time) {
	s.mutex.Lock()
	s.seed(now)
	expired := s.table.Expired(now)
	s.mutex.Unlock()
	for _, name := range expired {
		member, incarnation := s.settings.State.Member(name)
		if member != nil {
			departure := &wire.Departure{Name: name, Epoch: member.Epoch, Incarnation: incarnation}
			if _, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Departure{Departure: departure}}); err != nil {
				return
			}
		}
		s.forget(name, now)
	}
}

func (s *Server) forget(name string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Contains(s.table.Expired(now), name) {
		s.table.Forget(name)
		delete(s.loads, name)
		delete(s.under, name)
	}
}

// declareInForce proposes that the newest revision is in force when no lease stands against it.
func (s *Server) declareInForce(ctx context.Context, now time.Time) {
	revision, _ := s.settings.State.Revision()
	if revision == s.settings.State.InForce() {
		return
	}
	s.mutex.Lock()
	s.seed(now)
	waiting := s.table.Waiting(revision, now)
	term := s.tableTerm
	s.mutex.Unlock()
	if len(waiting) > 0 {
		return
	}
	declared := &wire.InForce{Revision: revision, Term: term}
	if _, err := s.propose(ctx, &wire.Command{Body: &wire.Command_InForce{InForce: declared}}); err != nil {
		return
	}
}
