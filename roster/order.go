package roster

import (
	"slices"
	"strings"
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
	if next.State == Gone || held.State == Gone {
		return held.State != Gone
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

// endPredecessors marks other upstreams with an earlier start at the same address as Gone, unless the service of the later one
// is not served.
func (r *Roster) endPredecessors(next Instance) {
	if !r.Serves(next) {
		return
	}
	var ended []*Entry
	for _, entry := range r.byAddress[next.Address] {
		if entry.Instance.ID != next.ID && entry.Instance.Born < next.Born {
			ended = append(ended, entry)
		}
	}
	slices.SortFunc(ended, func(a, b *Entry) int { return strings.Compare(a.Instance.ID, b.Instance.ID) })
	for _, entry := range ended {
		r.end(entry)
	}
}
