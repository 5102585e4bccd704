package roster

import (
	"slices"
	"strings"
	"time"
)

// This file orders announcements: by incarnation and sequence under one ID, and by start at one address.

// supersedes reports whether an announcement replaces the one that is held. Gone is final for an incarnation, and
// Draining replaces Ready whatever their sequences. An upstream of a served service replaces one that names no such service.
func (r *Roster) supersedes(next, held Instance) bool {
	if next.State != Gone && held.State != Gone && r.Serves(next) && !r.Serves(held) {
		return true
	}
	if next.Born != held.Born {
		return next.Born > held.Born
	}
	if held.State == Gone {
		// An upstream that has left does not return, one that was superseded may.
		return held.IsSuperseded && next.State == Gone && !next.IsSuperseded
	}
	if next.State == Gone {
		return true
	}
	if next.State != held.State {
		return next.State == Draining
	}
	return next.Sequence > held.Sequence
}

// isDifferent reports whether two announcements differ in fields other than the sequence and the countdown to ColdUntil.
func isDifferent(a, b Instance) bool {
	isColdChange := a.ColdUntil.IsZero() != b.ColdUntil.IsZero() || a.ColdUntil.Sub(b.ColdUntil).Abs() > coldTolerance
	a.Sequence, a.ColdUntil = b.Sequence, b.ColdUntil
	return isColdChange || a != b
}

// hasNewerAtAddress reports whether another upstream with a later start has the address. One of a service that is not served
// does not count.
func (r *Roster) hasNewerAtAddress(next Instance) bool {
	for _, entry := range r.byAddress[next.Address] {
		other := entry.Instance
		if other.ID != next.ID && other.Born > next.Born && r.Serves(other) {
			return true
		}
	}
	return false
}

// supersedeEarlier marks other upstreams with an earlier start at the same address as superseded, unless the service of the later one
// is not served.
func (r *Roster) supersedeEarlier(next Instance, receivedAt time.Time) {
	if !r.Serves(next) {
		return
	}
	for _, entry := range r.othersAtAddress(next) {
		if entry.Instance.Born < next.Born {
			r.supersede(entry, receivedAt)
		}
	}
}

// othersAtAddress returns the other upstreams at the address of an upstream in the order of their IDs.
func (r *Roster) othersAtAddress(i Instance) []*Entry {
	var others []*Entry
	for _, entry := range r.byAddress[i.Address] {
		if entry.Instance.ID != i.ID {
			others = append(others, entry)
		}
	}
	slices.SortFunc(others, func(a, b *Entry) int { return strings.Compare(a.Instance.ID, b.Instance.ID) })
	return others
}

// isReturn reports whether an announcement shows that a superseded upstream runs on: its heartbeats go on, and none of a later start
// at its address has been heard for successorTimeout. The announcement that superseded it was then not of an upstream there. One that
// another process has found to have returned is believed.
func (r *Roster) isReturn(next Instance, receivedAt time.Time) bool {
	held := r.entries[next.ID]
	if held == nil || !held.Instance.IsSuperseded || next.State == Gone || !r.Serves(next) {
		return false
	}
	if next.Born != held.Instance.Born || next.Sequence <= held.Instance.Sequence {
		return false
	}
	if next.HasReturned {
		return true
	}
	if receivedAt.Sub(held.SupersededAt) <= successorTimeout {
		return false
	}
	return !slices.ContainsFunc(r.othersAtAddress(next), func(other *Entry) bool {
		return other.Instance.Born > next.Born && r.Serves(other.Instance) && receivedAt.Sub(other.LastHeartbeat) <= successorTimeout
	})
}

// supersedeSilent marks the upstreams with a later start at the address of one that has returned as superseded. They return with their
// next heartbeat, as no later start keeps them out.
func (r *Roster) supersedeSilent(next Instance) {
	for _, entry := range r.othersAtAddress(next) {
		if entry.Instance.Born > next.Born {
			r.supersede(entry, time.Time{})
		}
	}
}
