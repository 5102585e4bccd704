// Membership of entries, sidecars, control replicas and upstreams. Only joining, changing and leaving go
// through the log; renewals stay with the leader, who proposes a departure when a lease runs out.

package control

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

const (
	// departedMs is how long a departed process counts as a possible leaseholder, in milliseconds. It
	// exceeds the longest lease by far.
	departedMs = 60_000
	// forgottenMs is how long the epoch and the fencing token of a departed process are remembered, in
	// milliseconds. Later ones start above all that were forgotten.
	forgottenMs = 7 * 24 * 3600 * 1000
)

type members struct {
	view *View
	// incarnations counts the announcements that changed a member, so that a departure proposed for an
	// earlier one has no effect.
	incarnations map[string]uint64
	// epochs holds the highest epoch of each process that announced one.
	epochs map[string]uint64
	// left holds the epochs that left on purpose; they may not come back.
	left map[string]uint64
	// departed holds the log's time at which a process went.
	departed map[string]int64
	// fences holds the fencing tokens and open orders by upstream.
	fences map[string]*fence
	// floor is the highest fencing token of an upstream that was forgotten.
	floor uint64
}

func newMembers() *members {
	return &members{
		view:         NewView(),
		incarnations: make(map[string]uint64),
		epochs:       make(map[string]uint64),
		left:         make(map[string]uint64),
		departed:     make(map[string]int64),
		fences:       make(map[string]*fence),
	}
}

func (s *State) announce(replica string, request *wire.AnnounceRequest) *wire.Result {
	m := normalMember(request.Member)
	ms := s.members
	if m.Epoch < ms.epochs[m.Name] {
		detail := fmt.Sprintf("epoch %d is older than %d", m.Epoch, ms.epochs[m.Name])
		return &wire.Result{Failure: refusal("announce", ReasonStaleEpoch, detail)}
	}
	if request.Leaving {
		return s.leave(replica, m)
	}
	if m.Epoch > 0 && ms.left[m.Name] == m.Epoch {
		return &wire.Result{Failure: refusal("announce", ReasonStaleEpoch, "this epoch has left")}
	}
	held := ms.view.Member(m.Name)
	if held != nil && proto.Equal(held, m) {
		return &wire.Result{Applied: true, Incarnation: ms.incarnations[m.Name]}
	}
	ms.incarnations[m.Name]++
	ms.epochs[m.Name] = m.Epoch
	delete(ms.departed, m.Name)
	ms.view.Set(m)
	s.record(replica, &wire.Record{
		Kind: "membership", Subject: m.Name, Decision: announcementOf(held, m),
		Cause: fmt.Sprintf("announced itself as %s in %s under epoch %d", m.Role, m.FailureDomain, m.Epoch),
		Rule:  "a member is one that renews its lease",
	})
	s.signal()
	return &wire.Result{Applied: true, Incarnation: ms.incarnations[m.Name]}
}

func announcementOf(held, m *wire.Member) string {
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

// normalMember drops what is renewed often and kept out of the log.
func normalMember(m *wire.Member) *wire.Member {
	next := proto.CloneOf(m)
	next.Load = nil
	return next
}

func (s *State) leave(replica string, m *wire.Member) *wire.Result {
	if m.Epoch > 0 {
		s.members.left[m.Name] = m.Epoch
		s.members.epochs[m.Name] = m.Epoch
	}
	s.remove(replica, m.Name, "left", "announced that it is leaving")
	return &wire.Result{Applied: true}
}

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
	s.members.departed[name] = s.nowMs
	s.record(replica, &wire.Record{
		Kind: "membership", Subject: name, Decision: decision, Cause: cause, Rule: "a member is one that renews its lease",
	})
	s.signal()
}

// forgetDeparted drops what is known of processes that went long ago.
func (s *State) forgetDeparted() {
	ms := s.members
	for name, departed := range ms.departed {
		if s.nowMs-departed <= forgottenMs {
			continue
		}
		if f := ms.fences[name]; f != nil {
			ms.floor = max(ms.floor, f.token)
		}
		delete(ms.fences, name)
		delete(ms.departed, name)
		delete(ms.incarnations, name)
		delete(ms.epochs, name)
		delete(ms.left, name)
	}
}

// Member returns a member with its incarnation, or nil.
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

// Leaseholders returns every process that may hold a lease which another leader granted.
func (s *State) Leaseholders() []string {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	names := s.members.view.Names()
	for name, departed := range s.members.departed {
		if s.nowMs-departed <= departedMs {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Fill puts into the reply what a process lacks that holds what the request names.
func (s *State) Fill(reply *wire.WatchReply, request *wire.WatchRequest) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	s.configuration.fill(reply, request.Revision)
	if request.InventoryOnly {
		return
	}
	s.members.view.Fill(reply, request.View)
	reply.Quarantine = s.verdicts
	if request.Quarantine != reply.Quarantine {
		reply.Quarantined = s.quarantinedLocked()
	}
}

// isBehind reports whether a process lacks something that holds what the request names.
func (s *State) isBehind(request *wire.WatchRequest) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if request.Revision != s.configuration.revision {
		return true
	}
	return !request.InventoryOnly && (request.View != s.members.view.Number() || request.Quarantine != s.verdicts)
}
