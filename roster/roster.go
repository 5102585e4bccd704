// Package roster holds the newest announcement of each upstream: its address, the service that it serves and whether it
// accepts requests. It orders late and repeated announcements by incarnation and sequence. It does no I/O and reads no
// clock. Package registry keeps a Roster in each control replica, and package forward keeps one in each entry.
package roster

import (
	"container/list"
	"iter"
	"slices"
	"strings"
	"time"
)

const (
	// Ready upstreams accept requests.
	Ready State = iota + 1
	// Draining upstreams finish the requests that they have and accept no others.
	Draining
	// Gone upstreams have left.
	Gone
)

const (
	// goneRetention is how long an upstream that left is kept, so that late announcements do not bring it back.
	goneRetention = 5 * time.Minute
	// coldTolerance is the difference up to which two announcements name the same end of the cold time. Heartbeats that are
	// delayed on their way make it appear later.
	coldTolerance = 2 * time.Second
	// successorTimeout is the silence after which the upstream that took over an address no longer keeps out the earlier one, whose
	// heartbeats go on. It is longer than a heartbeat can be delayed.
	successorTimeout = 10 * time.Second
)

type (
	// State is the lifecycle state of an upstream. It determines whether the upstream accepts requests.
	State int

	// Instance is the last announcement of an upstream.
	Instance struct {
		ID string
		// Born is the start of the incarnation, in milliseconds since 1970. An incarnation with a later start replaces
		// it.
		Born int64
		// Sequence orders the announcements of one incarnation.
		Sequence uint64
		Service  string
		Address  string
		Domain   string
		State    State
		Slots    int
		Group    Group
		// ColdUntil is the time until which the upstream is cold, by its own account. It is zero for a warm one.
		ColdUntil time.Time
		// IsSuperseded is set for an upstream that is Gone only because another one took over its address.
		IsSuperseded bool
		// HasReturned is set for an upstream that was superseded and whose heartbeats have outlived the other one's.
		HasReturned bool
	}

	// Group is the position of an upstream in a group of ranks that run in lock-step. Size is the number of ranks, 0
	// for an upstream that belongs to no group.
	Group struct {
		Name  string
		Epoch uint64
		Rank  int
		Size  int
		// IsOpen reports whether the group runs passes.
		IsOpen bool
	}

	// Entry is an instance with the time of its last announcement or renewal.
	Entry struct {
		Instance      Instance
		LastHeartbeat time.Time
		// MinBorn is the earliest start that an incarnation in use may have: earlier ones have left.
		MinBorn int64
		// SupersededAt is when another upstream took over the address.
		SupersededAt time.Time
		// Changed is the revision of the roster at which the instance changed last.
		Changed uint64

		// change is the place in the order of changes, heard that in the order of heartbeats of the class.
		change, heard *list.Element
		class         *class
	}

	// Roster holds the newest announcement of each upstream. It is not safe for concurrent use.
	Roster struct {
		entries  map[string]*Entry
		revision uint64
		// isServed reports whether a service is in the configuration in force. If it is nil, all services are.
		isServed func(service string) bool
		// changes holds the entries in the order of Changed.
		changes *list.List
		// byAddress holds the entries that have not left, by address and ID.
		byAddress map[string]map[string]*Entry
		served    class
		unserved  class
	}
)

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		entries: map[string]*Entry{}, changes: list.New(), byAddress: map[string]map[string]*Entry{},
		served: newClass(MaxServed), unserved: newClass(MaxUnserved),
	}
}

// SetServices sets the function that reports whether a service is in the configuration in force. Upstreams of services that are
// served from now on count as changed. It ends upstreams whose address an upstream with a later start and a service that is
// served now has taken.
func (r *Roster) SetServices(isServed func(service string) bool) {
	r.isServed = isServed
	latest := map[string]*Entry{}
	for _, entry := range r.Entries() {
		if r.classify(entry) && entry.class == &r.served {
			r.markChanged(entry)
		}
		i := &entry.Instance
		if i.State == Gone || i.Address == "" || !r.Serves(*i) {
			continue
		}
		if other := latest[i.Address]; other == nil || other.Instance.Born < i.Born {
			latest[i.Address] = entry
		}
	}
	for _, entry := range r.Entries() {
		successor := latest[entry.Instance.Address]
		if successor != nil && entry.Instance.State != Gone && entry.Instance.Born < successor.Instance.Born {
			r.supersede(entry, successor.LastHeartbeat)
		}
	}
	r.evict(&r.served)
	r.evict(&r.unserved)
}

// supersede records that another upstream took over the address of an upstream.
func (r *Roster) supersede(entry *Entry, at time.Time) {
	next := entry.Instance
	next.State, next.IsSuperseded, next.HasReturned = Gone, true, false
	r.setInstance(entry, next)
	entry.SupersededAt = at
	entry.MinBorn = max(entry.MinBorn, next.Born+1)
	r.markChanged(entry)
}

// Revision returns a number that increases with each change other than a renewal.
func (r *Roster) Revision() uint64 { return r.revision }

// Announce records an announcement that was received at the given time. It reports whether anything other than the
// sequence, the time and the countdown to ColdUntil changed. Announcements of older incarnations are ignored. Older announcements of the same
// incarnation only renew the time.
func (r *Roster) Announce(next Instance, receivedAt time.Time) bool {
	held := r.entries[next.ID]
	isReturn := r.isReturn(next, receivedAt)
	if !isReturn && !r.isAccepted(next, receivedAt) {
		return false
	}
	if isReturn {
		next.HasReturned = true
		held.MinBorn = 0
		r.supersedeSilent(next)
	} else if held != nil && held.Instance.Born == next.Born {
		next.HasReturned = held.Instance.HasReturned
	}
	if !next.ColdUntil.After(receivedAt) {
		next.ColdUntil = time.Time{}
	}
	isChange := held == nil || isDifferent(next, held.Instance)
	if !isChange {
		// The time that others were told of is kept, so that small differences do not add up unnoticed.
		next.ColdUntil = held.Instance.ColdUntil
	}
	entry := held
	if entry == nil {
		entry = &Entry{}
		r.entries[next.ID] = entry
	}
	r.setInstance(entry, next)
	entry.LastHeartbeat = receivedAt
	if next.State == Gone {
		entry.MinBorn = max(entry.MinBorn, next.Born+1)
		entry.SupersededAt = receivedAt
	}
	if isChange {
		r.markChanged(entry)
	}
	r.classify(entry)
	entry.class.touch(entry)
	if next.State != Gone {
		r.supersedeEarlier(next, receivedAt)
	}
	r.evict(entry.class)
	r.evictAtAddress(next.Address)
	return isChange
}

// isAccepted reports whether an announcement replaces what is held under its ID and at its address. It renews the heartbeat of the
// same incarnation if not.
func (r *Roster) isAccepted(next Instance, receivedAt time.Time) bool {
	if !r.accepts(next) {
		return false
	}
	held := r.entries[next.ID]
	if held != nil && !r.supersedes(next, held.Instance) {
		if next.Born == held.Instance.Born {
			r.renew(held, receivedAt)
		}
		return false
	}
	return next.State == Gone || !r.hasNewerAtAddress(next)
}

// accepts reports whether an announcement names an upstream that may be used. One of a service that is not served names none,
// so it does not replace an upstream of a served service.
func (r *Roster) accepts(next Instance) bool {
	held := r.entries[next.ID]
	if held == nil || next.State == Gone {
		return true
	}
	if next.Born < held.MinBorn {
		return false
	}
	return held.Instance.State == Gone || r.Serves(next) || !r.Serves(held.Instance)
}

// Serves reports whether the service of an instance is served. An instance without a service is one that is known by its
// departure only, and counts as served.
func (r *Roster) Serves(i Instance) bool {
	return i.Service == "" || r.isServed == nil || r.isServed(i.Service)
}

// Renew updates the time of the last heartbeat of an incarnation. Of the instance, it reads only ID and Born.
func (r *Roster) Renew(entry Entry) {
	held := r.entries[entry.Instance.ID]
	if held != nil && held.Instance.Born == entry.Instance.Born {
		r.renew(held, entry.LastHeartbeat)
	}
}

// renew records a later heartbeat.
func (r *Roster) renew(held *Entry, heardAt time.Time) {
	if heardAt.After(held.LastHeartbeat) {
		held.LastHeartbeat = heardAt
		held.class.touch(held)
	}
}

// Leave records that an incarnation has left and reports whether this changed anything. A born of 0 stands for an
// unknown incarnation.
func (r *Roster) Leave(id string, born int64, now time.Time) bool {
	held := r.entries[id]
	if held != nil && born == 0 {
		born = held.Instance.Born
	}
	return r.Depart(id, born, Gone, now)
}

// Depart records that the incarnations of an upstream up to one drain or have left, and reports whether this changed
// anything.
func (r *Roster) Depart(id string, born int64, state State, now time.Time) bool {
	next := Instance{ID: id}
	if held := r.entries[id]; held != nil {
		if held.Instance.Born > born {
			return false
		}
		next = held.Instance
	}
	next.Born, next.State, next.IsSuperseded, next.HasReturned = born, state, false, false
	return r.Announce(next, now)
}

// Expire removes upstreams without a heartbeat for longer than the limit, and upstreams that left more than
// goneRetention ago.
func (r *Roster) Expire(now time.Time, limit time.Duration) {
	for _, entry := range r.entries {
		silence := now.Sub(entry.LastHeartbeat)
		isExpired := entry.Instance.State != Gone && silence > limit
		if isExpired || silence > goneRetention {
			r.remove(entry)
			r.revision++
		}
	}
}

// IsCold reports whether the upstream is cold, by its own account.
func (i Instance) IsCold(now time.Time) bool { return now.Before(i.ColdUntil) }

// Get returns the entry of an upstream, or nil. The caller must not change it.
func (r *Roster) Get(id string) *Entry { return r.entries[id] }

// All returns all entries in the order of their changes, including upstreams that left.
func (r *Roster) All() iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for element := r.changes.Front(); element != nil; element = element.Next() {
			if !yield(element.Value.(*Entry)) {
				return
			}
		}
	}
}

// ChangedSince returns the entries that changed after a revision, in the order of their changes. Upstreams whose service is served
// from now on count as changed.
func (r *Roster) ChangedSince(revision uint64) []*Entry {
	var changed []*Entry
	for element := r.changes.Back(); element != nil; element = element.Prev() {
		entry := element.Value.(*Entry)
		if entry.Changed <= revision {
			break
		}
		changed = append(changed, entry)
	}
	slices.Reverse(changed)
	return changed
}

// Entries returns all entries in the order of their IDs, including upstreams that left.
func (r *Roster) Entries() []*Entry {
	list := make([]*Entry, 0, len(r.entries))
	for _, entry := range r.entries {
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return strings.Compare(a.Instance.ID, b.Instance.ID) })
	return list
}
