// Package roster keeps what upstreams announce of themselves: where they are, which service they serve and
// whether they take work. It orders late and repeated announcements by incarnation and sequence. It does no
// I/O and reads no clock; registry drives one in each control replica, forward one in each entry.
package roster

import (
	"slices"
	"strings"
	"time"
)

const (
	// Ready upstreams take work.
	Ready State = iota + 1
	// Draining upstreams finish what they have.
	Draining
	// Gone upstreams have left.
	Gone
)

const (
	// goneRetention is how long the end of an incarnation is remembered, so that its late announcements
	// bring nothing back.
	goneRetention = 5 * time.Minute
)

type (
	// State tells whether an upstream takes work.
	State int

	// Instance is what an upstream said of itself last.
	Instance struct {
		ID string
		// Born is the start of the incarnation, in milliseconds since 1970. A later start supersedes it.
		Born int64
		// Sequence orders the announcements of one incarnation.
		Sequence uint64
		Service  string
		Address  string
		Domain   string
		State    State
		Slots    int
		Group    Group
	}

	// Group is the place of an upstream in a group of ranks that run in lock-step; Size is 0 for none.
	Group struct {
		Name  string
		Epoch uint64
		Rank  int
		Size  int
		// IsOpen tells that the group runs passes.
		IsOpen bool
	}

	// Entry is an instance with the time at which it was heard last.
	Entry struct {
		Instance      Instance
		LastHeartbeat time.Time
		// Changed is the revision of the roster at which the instance changed last.
		Changed uint64
	}

	// Roster holds the newest announcement of each upstream. It is not safe for concurrent use.
	Roster struct {
		entries  map[string]*Entry
		revision uint64
	}
)

// New returns an empty roster.
func New() *Roster { return &Roster{entries: map[string]*Entry{}} }

// Revision grows with each change other than a renewal.
func (r *Roster) Revision() uint64 { return r.revision }

// Announce takes an announcement that was heard at the given time, and reports whether it changed anything but
// the time. Announcements of older incarnations, and older ones of the same, are ignored.
func (r *Roster) Announce(next Instance, heard time.Time) bool {
	held := r.entries[next.ID]
	if held != nil && !supersedes(next, held.Instance) {
		if next.Born == held.Instance.Born && heard.After(held.LastHeartbeat) {
			held.LastHeartbeat = heard
		}
		return false
	}
	if next.State != Gone && r.isOvertaken(next) {
		return false
	}
	isChange := held == nil || isDifferent(next, held.Instance)
	entry := &Entry{Instance: next, LastHeartbeat: heard}
	if held != nil {
		entry.Changed = held.Changed
	}
	if isChange {
		r.revision++
		entry.Changed = r.revision
	}
	r.entries[next.ID] = entry
	if next.State != Gone {
		r.dropPredecessors(next)
	}
	return isChange
}

// Renew takes the time at which an incarnation was heard; other fields than ID and incarnation are not looked at.
func (r *Roster) Renew(entry Entry) {
	held := r.entries[entry.Instance.ID]
	if held != nil && held.Instance.Born == entry.Instance.Born && entry.LastHeartbeat.After(held.LastHeartbeat) {
		held.LastHeartbeat = entry.LastHeartbeat
	}
}

// Leave notes that an incarnation has left; born is 0 when it is not known.
func (r *Roster) Leave(id string, born int64, now time.Time) bool {
	held := r.entries[id]
	if held == nil {
		return r.Announce(Instance{ID: id, Born: born, State: Gone}, now)
	}
	if born != 0 && born < held.Instance.Born || held.Instance.State == Gone && born <= held.Instance.Born {
		return false
	}
	left := held.Instance
	left.Born = max(left.Born, born)
	left.State = Gone
	return r.Announce(left, now)
}

// Expire forgets upstreams that were silent for longer than the limit, and ends that are old.
func (r *Roster) Expire(now time.Time, limit time.Duration) {
	for id, entry := range r.entries {
		silence := now.Sub(entry.LastHeartbeat)
		isOver := entry.Instance.State != Gone && silence > limit
		if isOver || silence > goneRetention {
			delete(r.entries, id)
			r.revision++
		}
	}
}

// Get returns the entry of an upstream, or nil. The caller must not change it.
func (r *Roster) Get(id string) *Entry { return r.entries[id] }

// Entries returns all entries, ends included, by ID.
func (r *Roster) Entries() []*Entry {
	list := make([]*Entry, 0, len(r.entries))
	for _, entry := range r.entries {
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return strings.Compare(a.Instance.ID, b.Instance.ID) })
	return list
}

// supersedes reports whether an announcement is newer than the one held. The end of an incarnation is final.
func supersedes(next, held Instance) bool {
	if next.Born != held.Born {
		return next.Born > held.Born
	}
	if next.State == Gone || held.State == Gone {
		return held.State != Gone
	}
	if next.State != held.State {
		return next.State == Draining
	}
	return next.Sequence > held.Sequence
}

// isDifferent reports whether two announcements differ in more than their sequence.
func isDifferent(a, b Instance) bool {
	a.Sequence = b.Sequence
	return a != b
}

// isOvertaken reports whether a later incarnation has the address.
func (r *Roster) isOvertaken(next Instance) bool {
	for _, entry := range r.entries {
		other := entry.Instance
		if other.ID != next.ID && other.Address == next.Address && other.State != Gone && other.Born > next.Born {
			return true
		}
	}
	return false
}

// dropPredecessors ends earlier incarnations at the same address.
func (r *Roster) dropPredecessors(next Instance) {
	for _, entry := range r.entries {
		other := &entry.Instance
		if other.ID == next.ID || other.Address != next.Address || other.State == Gone || other.Born >= next.Born {
			continue
		}
		other.State = Gone
		r.revision++
		entry.Changed = r.revision
	}
}
