// Membership of entries, sidecars, control replicas and upstreams. The log holds only joins, changes and
// departures. Renewals stay with the leader, which proposes a departure when a lease expires.

package control

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

const (
	// leaseholderWindowMs is how long after its departure a process counts as a possible leaseholder, in
	// milliseconds. It is much longer than the longest lease.
	leaseholderWindowMs = 60_000
	// departedRetentionMs is how long the epoch and the fencing token of a departed process are kept, in
	// milliseconds. Tokens that are issued afterwards start above the tokens of all removed processes.
	departedRetentionMs = 7 * 24 * 3600 * 1000
)

type members struct {
	view *View
	// incarnations counts the announcements that changed a member, so that a departure proposed for an earlier
	// incarnation has no effect.
	incarnations map[string]uint64
	// epochs holds the highest announced epoch of each process.
	epochs map[string]uint64
	// leftEpochs holds the epoch under which each process announced that it leaves. That epoch may not join
	// again.
	leftEpochs map[string]uint64
	// departedAtMs holds the log time at which each process departed.
	departedAtMs map[string]int64
	// ordersByUpstream holds the fencing token and the orders of each upstream.
	ordersByUpstream map[string]*upstreamOrders
	// tokenFloor is the highest fencing token of all upstreams whose state was removed.
	tokenFloor uint64
}

func newMembers() *members {
	return &members{
		view:             NewView(),
		incarnations:     make(map[string]uint64),
		epochs:           make(map[string]uint64),
		leftEpochs:       make(map[string]uint64),
		departedAtMs:     make(map[string]int64),
		ordersByUpstream: make(map[string]*upstreamOrders),
	}
}

// announce adds a member, updates it, or removes it when it announces that it leaves.
func (s *State) announce(replica string, request *wire.AnnounceRequest) *wire.Result {
	m := withoutLoad(request.Member)
	ms := s.members
	if m.Epoch < ms.epochs[m.Name] {
		detail := fmt.Sprintf("epoch %d is older than %d", m.Epoch, ms.epochs[m.Name])
		return &wire.Result{Failure: refusal("announce", ReasonStaleEpoch, detail)}
	}
	if request.Leaving {
		return s.leave(replica, m)
	}
	if m.Epoch > 0 && ms.leftEpochs[m.Name] == m.Epoch {
		return &wire.Result{Failure: refusal("announce", ReasonStaleEpoch, "this epoch has left")}
	}
	held := ms.view.Member(m.Name)
	if held != nil && proto.Equal(held, m) {
		return &wire.Result{Applied: true, Incarnation: ms.incarnations[m.Name]}
	}
	ms.incarnations[m.Name]++
	ms.epochs[m.Name] = m.Epoch
	delete(ms.departedAtMs, m.Name)
	ms.view.Set(m)
	s.record(replica, &wire.Record{
		Kind: "membership", Subject: m.Name, Decision: announceDecision(held, m),
		Cause: fmt.Sprintf("announced itself as %s in %s under epoch %d", m.Role, m.FailureDomain, m.Epoch),
		Rule:  "a member is one that renews its lease",
	})
	s.signal()
	return &wire.Result{Applied: true, Incarnation: ms.incarnations[m.Name]}
}

// announceDecision returns the decision to record for an announcement.
func announceDecision(held, m *wire.Member) string {
	switch {
	case held == nil:
		return "joined"
	case held.Epoch != m.Epoch:
		return "restarted"
	case m.Draining && !held.Draining:
		return "draining"
	default:
		return "changed"
	}
}

// withoutLoad returns a copy of the member without its load, which is renewed often and kept out of the log.
func withoutLoad(m *wire.Member) *wire.Member {
	next := proto.CloneOf(m)
	next.Load = nil
	return next
}

func (s *State) leave(replica string, m *wire.Member) *wire.Result {
	if m.Epoch > 0 {
		s.members.leftEpochs[m.Name] = m.Epoch
		s.members.epochs[m.Name] = m.Epoch
	}
	s.remove(replica, m.Name, "left", "announced that it is leaving")
	return &wire.Result{Applied: true}
}

// depart removes a member whose lease expired, unless it has announced itself again since the proposal.
func (s *State) depart(replica string, departure *wire.Departure) *wire.Result {
	if s.members.incarnations[departure.Name] != departure.Incarnation {
		return &wire.Result{}
	}
	s.remove(replica, departure.Name, "departed", "its lease ran out")
	return &wire.Result{Applied: true}
}

func (s *State) remove(replica, name, decision, cause string) {
	s.forgetDeparted()
	if s.members.view.Member(name) == nil {
		return
	}
	s.members.view.Remove(name)
	s.members.departedAtMs[name] = s.nowMs
	s.record(replica, &wire.Record{
		Kind: "membership", Subject: name, Decision: decision, Cause: cause, Rule: "a member is one that renews its lease",
	})
	s.signal()
}

// forgetDeparted removes the state of processes that departed more than departedRetentionMs ago.
func (s *State) forgetDeparted() {
	ms := s.members
	for name, departed := range ms.departedAtMs {
		if s.nowMs-departed <= departedRetentionMs {
			continue
		}
		if f := ms.ordersByUpstream[name]; f != nil {
			ms.tokenFloor = max(ms.tokenFloor, f.lastToken)
		}
		delete(ms.ordersByUpstream, name)
		delete(ms.departedAtMs, name)
		delete(ms.incarnations, name)
		delete(ms.epochs, name)
		delete(ms.leftEpochs, name)
	}
}

// Member returns a member, or nil if there is none, and its incarnation.
func (s *State) Member(name string) (*wire.Member, uint64) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.members.view.Member(name), s.members.incarnations[name]
}

// Epoch returns the highest epoch that a process announced.
func (s *State) Epoch(name string) uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.members.epochs[name]
}

// Leaseholders returns every process that may hold a lease granted by an earlier leader, sorted by name.
func (s *State) Leaseholders() []string {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	names := s.members.view.Names()
	for name, departed := range s.members.departedAtMs {
		if s.nowMs-departed <= leaseholderWindowMs {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Fill adds to the reply every change since the versions that the request names.
func (s *State) Fill(reply *wire.WatchReply, request *wire.WatchRequest) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	s.configuration.fill(reply, request.Revision)
	if request.InventoryOnly {
		return
	}
	s.members.view.Fill(reply, request.View)
	reply.Quarantine = s.quarantineVersion
	if request.Quarantine != reply.Quarantine {
		reply.Quarantined = s.quarantinedLocked()
	}
}

// isBehind reports whether a version that the request names is out of date.
func (s *State) isBehind(request *wire.WatchRequest) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if request.Revision != s.configuration.revision {
		return true
	}
	return !request.InventoryOnly &&
		(request.View != s.members.view.Number() || request.Quarantine != s.quarantineVersion)
}
