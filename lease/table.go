// Package lease implements both sides of the leases by which control ensures that no process acts on an old
// inventory. Table is the side of the process that grants leases, Holder the side of the process that holds
// one. Both take messages and times as arguments and do no I/O.
//
// The holder counts a lease from the moment at which it sent the request, on its own clock. The granter counts
// it from the moment at which the request arrived. The clocks need not agree on the time, but the rate of each
// must be within MaxClockDriftPPM of true time.
package lease

import (
	"slices"
	"time"
)

const (
	// Duration is the length of a lease on the inventory and on membership.
	Duration = 3500 * time.Millisecond
	// RenewInterval is the longest time between two renewals of a connected process.
	RenewInterval = time.Second
	// MaxClockDriftPPM is the largest tolerated error of a clock's rate, in parts per million.
	MaxClockDriftPPM = 1000
)

type (
	// Table holds the leases that a granter knows: the holder, the end and the revision of each.
	Table struct {
		// IgnoreExpiry makes the table ignore unexpired leases when a revision is to come into force. Tests set
		// it.
		IgnoreExpiry bool

		duration time.Duration
		entries  map[string]tableEntry
	}

	tableEntry struct {
		// expires is the end of the lease on the inventory, memberUntil the end of the membership.
		expires     time.Time
		memberUntil time.Time
		revision    uint64
	}
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{duration: Duration, entries: make(map[string]tableEntry)}
}

// EmptyWithDuration returns an empty table that grants leases of another length and keeps IgnoreExpiry.
func (t *Table) EmptyWithDuration(length time.Duration) *Table {
	return &Table{duration: length, IgnoreExpiry: t.IgnoreExpiry, entries: make(map[string]tableEntry)}
}

// GranterExpiry returns the time from which a granter may treat a lease that it grants at now as expired.
func GranterExpiry(now time.Time, length time.Duration) time.Time {
	return now.Add(length + length*MaxClockDriftPPM/1_000_000)
}

// HolderExpiry returns the time at which a holder must stop work if it sent its request at sent and received
// the given lease.
func HolderExpiry(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - lease*MaxClockDriftPPM/1_000_000)
}

// Renew records that a process requested a lease at now and which revision it holds. A process never returns to
// an older revision, and after a restart it acts on nothing until it receives the granter's revision. A request
// with an older revision was therefore overtaken by a later request, and the newer revision is kept.
func (t *Table) Renew(process string, revision uint64, now time.Time) {
	expires := GranterExpiry(now, t.duration)
	revision = max(revision, t.entries[process].revision)
	t.entries[process] = tableEntry{expires: expires, memberUntil: expires, revision: revision}
}

// RenewMembership extends the membership of a process and leaves its lease on the inventory unchanged.
func (t *Table) RenewMembership(process string, now time.Time) {
	e := t.entries[process]
	e.memberUntil = GranterExpiry(now, t.duration)
	t.entries[process] = e
}

// Expired returns the processes whose lease and membership have both expired, sorted.
func (t *Table) Expired(now time.Time) []string {
	var expired []string
	for process, e := range t.entries {
		if !now.Before(e.expires) && !now.Before(e.memberUntil) {
			expired = append(expired, process)
		}
	}
	slices.Sort(expired)
	return expired
}

// Forget removes a process from the table. Callers use it for expired processes.
func (t *Table) Forget(process string) {
	delete(t.entries, process)
}

// HoldersBelow returns the processes that may act at now on a revision older than the given one, sorted.
func (t *Table) HoldersBelow(revision uint64, now time.Time) []string {
	var waiting []string
	for process, e := range t.entries {
		if e.revision < revision && now.Before(e.expires) && !t.IgnoreExpiry {
			waiting = append(waiting, process)
		}
	}
	slices.Sort(waiting)
	return waiting
}

// LowestRevision returns the oldest revision on which a holder may act at now, or the given revision if none is
// older.
func (t *Table) LowestRevision(revision uint64, now time.Time) uint64 {
	for _, e := range t.entries {
		if now.Before(e.expires) {
			revision = min(revision, e.revision)
		}
	}
	return revision
}

// Holders returns the processes whose leases on the inventory are unexpired at now, sorted.
func (t *Table) Holders(now time.Time) []string {
	var holders []string
	for process, e := range t.entries {
		if now.Before(e.expires) {
			holders = append(holders, process)
		}
	}
	slices.Sort(holders)
	return holders
}

// Len returns the number of processes in the table, including those whose leases have expired.
func (t *Table) Len() int { return len(t.entries) }
