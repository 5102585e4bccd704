package roster

import "container/list"

// This file keeps the indexes of a roster, and bounds the entries that other senders can add.

const (
	// MaxServed bounds the entries of upstreams of served services. It is well above the number of upstreams of a deployment.
	MaxServed = 16384
	// MaxUnserved bounds the entries of upstreams whose service is not in the configuration, or that are known by their
	// departure only. Anyone can add such entries.
	MaxUnserved = 4096
	// maxPerAddress bounds the entries at one address, of which one at most is an upstream in use. It bounds the cost of an
	// announcement.
	maxPerAddress = 16
)

// class holds entries in the order of their last heartbeats. When it is full, the one that was silent for the longest time is
// removed: an upstream in use is heard each second.
type class struct {
	limit   int
	entries *list.List
}

func newClass(limit int) class { return class{limit: limit, entries: list.New()} }

// touch makes an entry of the class the one that was heard last.
func (c *class) touch(entry *Entry) { c.entries.MoveToBack(entry.heard) }

// classify puts an entry into the class of its instance, and reports whether this changed its class.
func (r *Roster) classify(entry *Entry) bool {
	next := &r.served
	if entry.Instance.Service == "" || !r.Serves(entry.Instance) {
		next = &r.unserved
	}
	if entry.class == next {
		return false
	}
	if entry.class != nil {
		entry.class.entries.Remove(entry.heard)
	}
	entry.class, entry.heard = next, next.entries.PushBack(entry)
	return true
}

// evict removes entries of a class until it is within its limit.
func (r *Roster) evict(c *class) {
	for c.entries.Len() > c.limit {
		r.remove(c.entries.Front().Value.(*Entry))
	}
}

// setInstance replaces the instance of an entry in the index of addresses.
func (r *Roster) setInstance(entry *Entry, next Instance) {
	r.unindex(entry)
	entry.Instance = next
	if next.State == Gone || next.Address == "" {
		return
	}
	atAddress := r.byAddress[next.Address]
	if atAddress == nil {
		atAddress = map[string]*Entry{}
		r.byAddress[next.Address] = atAddress
	}
	atAddress[next.ID] = entry
}

// evictAtAddress removes entries at an address until there are at most maxPerAddress: of services that are not served before others,
// and those that were silent for longer before others.
func (r *Roster) evictAtAddress(address string) {
	for len(r.byAddress[address]) > maxPerAddress {
		var first *Entry
		for _, entry := range r.byAddress[address] {
			if first == nil || r.isEvictedBefore(entry, first) {
				first = entry
			}
		}
		r.remove(first)
	}
}

func (r *Roster) isEvictedBefore(a, b *Entry) bool {
	if (a.class == &r.unserved) != (b.class == &r.unserved) {
		return a.class == &r.unserved
	}
	if !a.LastHeartbeat.Equal(b.LastHeartbeat) {
		return a.LastHeartbeat.Before(b.LastHeartbeat)
	}
	return a.Instance.ID < b.Instance.ID
}

// unindex removes an entry from the index of addresses.
func (r *Roster) unindex(entry *Entry) {
	atAddress := r.byAddress[entry.Instance.Address]
	delete(atAddress, entry.Instance.ID)
	if len(atAddress) == 0 {
		delete(r.byAddress, entry.Instance.Address)
	}
}

// markChanged records that an instance has changed.
func (r *Roster) markChanged(entry *Entry) {
	r.revision++
	entry.Changed = r.revision
	if entry.change == nil {
		entry.change = r.changes.PushBack(entry)
		return
	}
	r.changes.MoveToBack(entry.change)
}

// remove removes an entry from the roster and its indexes.
func (r *Roster) remove(entry *Entry) {
	r.unindex(entry)
	if entry.change != nil {
		r.changes.Remove(entry.change)
	}
	entry.class.entries.Remove(entry.heard)
	delete(r.entries, entry.Instance.ID)
}
