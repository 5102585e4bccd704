package quota

import (
	"maps"
	"time"
)

const (
	// peakRetention is how long the largest number of entries counts after it was last observed. The count of a replica that
	// has restarted, or that some entries cannot reach, is too low for longer than any repair takes.
	peakRetention = time.Hour
	// leaderTimeout is how long after the last word from a leader an entry takes its count of the entries for current.
	leaderTimeout = time.Second
	// joinTime is how long an entry that has just been counted uses no share. Within it the others have heard of the entry,
	// or have noticed that they do not hear from the leader.
	joinTime = leaderTimeout + 1500*time.Millisecond
	// SettleTime is how long after the start of a replica entries that it does not know yet may still connect to it.
	SettleTime = 5 * time.Second
	// unheardFactor multiplies the number of entries that an entry counts with while it hears from no leader. Up to as many
	// entries as it knows may start without its notice.
	unheardFactor = 2
	// maxEntries bounds the number of entries that a process may tell another.
	maxEntries = 1 << 16
)

type (
	// Roll holds the entries that have been connected to a replica within peakRetention. An entry that is disconnected may
	// still send, and others may have started in the meantime. It is not safe for concurrent use.
	Roll struct {
		entries map[string]*rollEntry
		peak    Peak
	}

	// rollEntry is an entry with the number of its open connections. An entry that connects again may have two for a while.
	rollEntry struct {
		connections int
		left        time.Time
	}

	// Peak is the largest number of entries observed within peakRetention. It is immutable.
	Peak struct {
		Entries int
		// Seen is when that number was last observed.
		Seen time.Time
	}

	// Count is what a replica tells of the number of entries.
	Count struct {
		Peak
		// IsLeader is set if the replica leads, IsSettled if it has run for SettleTime.
		IsLeader, IsSettled bool
	}

	// Census is what an entry knows of the number of entries that use shares of the cold bounds. It is immutable. The zero
	// value knows nothing.
	Census struct {
		peak Peak
		// counted is when a replica first told a number, led when a leader last told one. isSettled is set once a settled replica
		// has told one.
		counted, led time.Time
		isSettled    bool
	}
)

// NewRoll returns a roll without entries.
func NewRoll() *Roll { return &Roll{entries: map[string]*rollEntry{}} }

// Connect records a connection of an entry and the largest number of entries that it knows. The name is the same after a
// restart of the entry.
func (r *Roll) Connect(now time.Time, name string, known Peak) {
	if r.entries[name] == nil {
		r.entries[name] = &rollEntry{}
	}
	r.entries[name].connections++
	r.peak = r.peak.With(now, known.Entries, known.Seen)
}

// Disconnect records the end of a connection.
func (r *Roll) Disconnect(now time.Time, name string) {
	if e := r.entries[name]; e != nil {
		e.connections--
		e.left = now
	}
}

// Peak returns the largest number of entries that this replica has observed or was told of.
func (r *Roll) Peak(now time.Time) Peak {
	r.peak = r.peak.With(now, len(r.entries), now)
	return r.peak
}

// Expire removes the entries that were disconnected long ago.
func (r *Roll) Expire(now time.Time) {
	maps.DeleteFunc(r.entries, func(_ string, e *rollEntry) bool { return e.connections <= 0 && now.Sub(e.left) > peakRetention })
}

// With returns the peak after a number was observed.
func (p Peak) With(now time.Time, entries int, seen time.Time) Peak {
	entries = min(entries, maxEntries)
	isExpired := now.Sub(p.Seen) > peakRetention
	switch {
	case entries < 1 || seen.After(now) || now.Sub(seen) > peakRetention:
		return p
	case entries == p.Entries && seen.Before(p.Seen), entries < p.Entries && !isExpired:
		return p
	default:
		return Peak{Entries: entries, Seen: seen}
	}
}

// With returns the census after a replica told a count.
func (c Census) With(now time.Time, count Count) Census {
	c.peak = c.peak.With(now, count.Entries, count.Seen)
	if count.Entries > 0 && c.counted.IsZero() {
		c.counted = now
	}
	c.isSettled = c.isSettled || count.IsSettled && count.Entries > 0
	if count.IsLeader {
		c.led = now
	}
	return c
}

// Peak returns the largest number of entries that is known.
func (c Census) Peak() Peak { return c.peak }

// IsStarting reports whether the whole system seems to have just started: replicas tell a number of entries, and none of them has
// run for SettleTime.
func (c Census) IsStarting() bool { return !c.isSettled && c.peak.Entries > 0 }

// StartingEntries returns the number of entries by which a share is divided that an entry uses before it may use its own.
func (c Census) StartingEntries() int { return max(unheardFactor*c.peak.Entries, 1) }

// HearsLeader reports whether a leader has told a count recently.
func (c Census) HearsLeader(now time.Time) bool {
	return !c.led.IsZero() && now.Sub(c.led) < leaderTimeout
}

// Entries returns the number of entries by which the shares of the cold bounds are divided, 0 while the entry may use none.
func (c Census) Entries(now time.Time) int {
	switch {
	case !c.isSettled || now.Sub(c.counted) < joinTime:
		return 0
	case c.HearsLeader(now):
		return c.peak.Entries
	default:
		return unheardFactor * c.peak.Entries
	}
}
