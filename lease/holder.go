// The holder's side of a lease: the inventory and the members on which a process acts, and the time until which
// it may.

package lease

import (
	"maps"
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// Holder is the part of control's state that a process holds. It is an immutable value, so requests can read
// one while a watch replaces it. The zero value holds nothing and refuses work.
type Holder struct {
	// AllowOlder lets an older revision replace a newer one. Tests set it.
	AllowOlder bool

	revision    uint64
	inventory   []byte
	expires     time.Time
	view        uint64
	members     map[string]*wire.Member
	quarantine  uint64
	inForce     uint64
	quarantined []*wire.Quarantine
	// needsFullInventory is true after a delta that did not match the inventory.
	needsFullInventory bool
}

// Request returns the next WatchRequest of the process. wait is the longest time that the granter may hold the
// request.
func (h Holder) Request(process string, wait time.Duration) *wire.WatchRequest {
	request := &wire.WatchRequest{
		Process: process, View: h.view, Revision: h.revision, WaitMs: wait.Milliseconds(), Quarantine: h.quarantine,
	}
	if h.needsFullInventory {
		request.Revision = 0
	}
	return request
}

// WithReply returns the holder after it applied a reply to a request that was sent at sent. A failed reply and
// a reply from a replica that is behind change nothing and extend no lease.
func (h Holder) WithReply(reply *wire.WatchReply, sent time.Time) Holder {
	if reply.Failure != nil || (reply.Revision < h.revision && !h.AllowOlder) {
		return h
	}
	if reply.Revision != h.revision {
		inventory, ok := h.nextInventory(reply)
		if !ok {
			h.needsFullInventory = true
			return h
		}
		h.revision, h.inventory, h.needsFullInventory = reply.Revision, inventory, false
	}
	lease := time.Duration(reply.LeaseMs) * time.Millisecond
	if expires := HolderExpiry(sent, lease); lease > 0 && expires.After(h.expires) {
		h.expires = expires
	}
	h.inForce = max(h.inForce, reply.InForce)
	if reply.Quarantine > h.quarantine {
		h.quarantine, h.quarantined = reply.Quarantine, reply.Quarantined
	}
	return h.withView(reply)
}

// nextInventory returns the inventory of the reply. ok is false if the reply has no inventory and its delta
// does not apply.
func (h Holder) nextInventory(reply *wire.WatchReply) (inventory []byte, ok bool) {
	if reply.Delta == nil {
		return reply.Inventory, len(reply.Inventory) > 0
	}
	if reply.Delta.Base != h.revision {
		return nil, false
	}
	return ApplyDelta(h.inventory, reply.Delta)
}

// withView returns the holder with the members of the reply. An older view changes nothing, because replies may
// arrive out of order.
func (h Holder) withView(reply *wire.WatchReply) Holder {
	if reply.View < h.view || (reply.View == h.view && !reply.Snapshot) {
		return h
	}
	next := make(map[string]*wire.Member, len(h.members)+len(reply.Members))
	if !reply.Snapshot {
		maps.Copy(next, h.members)
	}
	for _, name := range reply.Left {
		delete(next, name)
	}
	for _, m := range reply.Members {
		next[m.Name] = m
	}
	h.view, h.members = reply.View, next
	return h
}

// RefusesWork reports whether new work must be refused at now: the process has no inventory, or its lease has
// expired and a newer inventory may be in force.
func (h Holder) RefusesWork(now time.Time) bool {
	return h.revision == 0 || !now.Before(h.expires)
}

// Revision returns the revision of the inventory on which the process acts, or 0 for none.
func (h Holder) Revision() uint64 { return h.revision }

// Inventory returns the inventory on which the process acts, byte for byte as it was accepted.
func (h Holder) Inventory() []byte { return h.inventory }

// InForce returns the newest revision that the process knows to be in force in all processes.
func (h Holder) InForce() uint64 { return h.inForce }

// Expires returns the end of the lease on the process's own clock.
func (h Holder) Expires() time.Time { return h.expires }

// View returns the number of the view of members.
func (h Holder) View() uint64 { return h.view }

// Member returns the member with the given name, or nil.
func (h Holder) Member(name string) *wire.Member { return h.members[name] }

// Members returns all members, sorted by name.
func (h Holder) Members() []*wire.Member {
	members := make([]*wire.Member, 0, len(h.members))
	for _, name := range slices.Sorted(maps.Keys(h.members)) {
		members = append(members, h.members[name])
	}
	return members
}

// Quarantine returns the version of the quarantine.
func (h Holder) Quarantine() uint64 { return h.quarantine }

// Quarantined returns the fingerprints that are suspected or proved to crash engines.
func (h Holder) Quarantined() []*wire.Quarantine { return h.quarantined }
