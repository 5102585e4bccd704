// Package lease holds both ends of the leases by which control knows that no process acts on an old
// inventory: the Table of the process that grants them, and the Holder of the process that has one.
// Both take messages and a time, and do no I/O.
//
// A lease is counted from the moment at which its holder sent the request, on the holder's own clock, and
// the granter counts it from the moment at which the request arrived. Clocks need not agree; their rates
// must be within RateErrorPPM of true time.
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
	// RateErrorPPM is the largest error of a clock's rate, in parts per million.
	RateErrorPPM = 1000
)

type (
	// Table is what a granter knows of the leases: who holds one, until when, and on which revision.
	Table struct {
		// IgnoreExpiry declares a revision in force without waiting for leases. Tests set it.
		IgnoreExpiry bool

		length  time.Duration
		entries map[string]tableEntry
	}

	tableEntry struct {
		// expires is the end of the lease on the inventory, present the end of the membership.
		expires  time.Time
		present  time.Time
		revision uint64
	}
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{length: Duration, entries: make(map[string]tableEntry)}
}

// WithLength returns an empty table that grants leases of another length.
func (t *Table) WithLength(length time.Duration) *Table {
	return &Table{length: length, IgnoreExpiry: t.IgnoreExpiry, entries: make(map[string]tableEntry)}
}

// GranterExpiry returns when a granter may take a lease for ended that it grants at now.
func GranterExpiry(now time.Time, length time.Duration) time.Time {
	return now.Add(length + length*RateErrorPPM/1_000_000)
}

// HolderExpiry returns when a holder must stop that sent its request at sent and was given the lease.
func HolderExpiry(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - lease*RateErrorPPM/1_000_000)
}

// Renew notes that a process asked for a lease at now and has a revision in force. A process never goes back to an
// older revision, and one that starts again acts on nothing before it was given the granter's own; so an older
// revision comes from a request that a later one has overtaken, and does not take the later one back.
func (t *Table) Renew(process string, revision uint64, now time.Time) {
	expires := GranterExpiry(now, t.length)
	revision = max(revision, t.entries[process].revision)
	t.entries[process] = tableEntry{expires: expires, present: expires, revision: revision}
}

// Touch extends the membership of a process and leaves its lease on the inventory as it is.
func (t *Table) Touch(process string, now time.Time) {
	e := t.entries[process]
	e.present = GranterExpiry(now, t.length)
	t.entries[process] = e
}

// Expired returns the processes whose leases and memberships ran out, sorted.
func (t *Table) Expired(now time.Time) []string {
	var expired []string
	for process, e := range t.entries {
		if !now.Before(e.expires) && !now.Before(e.present) {
			expired = append(expired, process)
		}
	}
	slices.Sort(expired)
	return expired
}

// Forget removes a process whose lease ran out.
func (t *Table) Forget(process string) {
	delete(t.entries, process)
}

// Waiting returns the processes that may act on a revision older than the given one at now, sorted.
func (t *Table) Waiting(revision uint64, now time.Time) []string {
	var waiting []string
	for process, e := range t.entries {
		if e.revision < revision && now.Before(e.expires) && !t.IgnoreExpiry {
			waiting = append(waiting, process)
		}
	}
	slices.Sort(waiting)
	return waiting
}

// Lowest returns the oldest revision that a holder may act on at now, or the given one when none is older.
func (t *Table) Lowest(revision uint64, now time.Time) uint64 {
	for _, e := range t.entries {
		if now.Before(e.expires) {
			revision = min(revision, e.revision)
		}
	}
	return revision
}

// Holders returns the processes whose leases last at now, sorted.
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

// Len returns the number of leases.
func (t *Table) Len() int { return len(t.entries) }
