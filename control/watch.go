// Announcements, leases, and the distribution of members and inventory to every process. Only the leader knows
// the leases. A new leader assumes that every leaseholder renewed its lease when this leader learned of its
// term.

package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

// Announce adds a process to the membership, renews its membership, or removes it when it leaves.
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
		s.renewMembership(name, request.Member.Load, now)
	}
	return &wire.AnnounceReply{
		LeaseMs: lease.Duration.Milliseconds(), Orders: s.settings.State.Orders(name), Epoch: s.settings.State.Epoch(name),
		Term:         s.settings.State.Term(),
		TrafficBatch: s.traffic.addBatch(s.settings.State.Term(), name, request.Traffic, now),
	}, nil
}

// isAnnounced reports whether the state already holds the member as announced, so that a renewal needs no log
// entry.
func (s *Server) isAnnounced(request *wire.AnnounceRequest) bool {
	held, _ := s.settings.State.Member(request.Member.Name)
	return held != nil && !request.Leaving && proto.Equal(held, withoutLoad(request.Member))
}

func (s *Server) renewMembership(name string, load *wire.Load, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resetTableOnNewTerm(now)
	s.table.RenewMembership(name, now)
	if load != nil {
		s.loads[name] = load
	}
}

// resetTableOnNewTerm replaces the lease table when the term has changed. It grants every possible leaseholder
// a full lease, with no revision acknowledged. The caller holds the mutex.
func (s *Server) resetTableOnNewTerm(now time.Time) {
	term := s.settings.State.Term()
	if term == s.tableTerm {
		return
	}
	ignoreExpiry := s.table.IgnoreExpiry
	s.tableTerm, s.table = term, lease.NewTable()
	s.table.IgnoreExpiry = ignoreExpiry
	s.relayed = make(map[string][]string)
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

// Watch waits a bounded time for a newer view, quarantine or inventory, and renews the lease of a member.
func (s *Server) Watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchReply, error) {
	granted := s.renew(request)
	leader, failure := s.barrier(ctx, "watch")
	if failure != nil {
		return &wire.WatchReply{Failure: failure, Leader: leader}, nil
	}
	s.awaitChange(ctx, request)
	reply := &wire.WatchReply{}
	s.settings.State.Fill(reply, request)
	if granted {
		reply.LeaseMs = lease.Duration.Milliseconds()
	}
	reply.NeedsPresent = request.Relays && !s.knowsRelayed(request.Process)
	return reply, nil
}

// renew stores the lease before the barrier proves that this replica leads. A stored lease that is not granted
// only delays a change; a granted lease that is not stored would let a process act on an old inventory. A
// process that is not a member gets no lease, because a new leader would not know of it.
func (s *Server) renew(request *wire.WatchRequest) bool {
	now := time.Now()
	member, _ := s.settings.State.Member(request.Process)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resetTableOnNewTerm(now)
	if member == nil {
		return false
	}
	revision := request.Revision
	if request.Relays {
		revision = request.Acknowledged
		s.renewRelayed(request, now)
	}
	s.table.Renew(request.Process, revision, now)
	if revision > s.settings.State.InForce() {
		s.wakeRun()
	}
	return true
}

// renewRelayed extends the memberships of the processes under a relay, whose leases end with the lease of the
// relay. The caller holds the mutex.
func (s *Server) renewRelayed(request *wire.WatchRequest, now time.Time) {
	if len(request.Present) > 0 {
		s.relayed[request.Process] = request.Present
	}
	for _, process := range s.relayed[request.Process] {
		s.table.RenewMembership(process, now)
	}
}

// knowsRelayed reports whether the relay has listed the processes under it to this replica in this term.
func (s *Server) knowsRelayed(relay string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.relayed[relay] != nil
}

// awaitChange returns when the versions that the request names are out of date, or at the end of the wait.
func (s *Server) awaitChange(ctx context.Context, request *wire.WatchRequest) {
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

// wakeRun makes Run check the leases at once.
func (s *Server) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run checks the leases until the context ends. It proposes the departure of members whose leases expired,
// declares revisions in force and records traffic.
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

// departExpired proposes the departure of every member whose lease expired.
func (s *Server) departExpired(ctx context.Context, now time.Time) {
	s.mutex.Lock()
	s.resetTableOnNewTerm(now)
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
		s.forgetExpired(name, now)
	}
}

// forgetExpired drops a process from the lease table unless its lease was renewed in the meantime.
func (s *Server) forgetExpired(name string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Contains(s.table.Expired(now), name) {
		s.table.Forget(name)
		delete(s.loads, name)
		delete(s.relayed, name)
	}
}

// declareInForce proposes that the newest revision is in force if no process may act on an older one.
func (s *Server) declareInForce(ctx context.Context, now time.Time) {
	revision, _ := s.settings.State.Revision()
	if revision == s.settings.State.InForce() {
		return
	}
	s.mutex.Lock()
	s.resetTableOnNewTerm(now)
	waiting := s.table.HoldersBelow(revision, now)
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
