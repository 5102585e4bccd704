package relocation

import (
	"slices"
	"time"
)

const (
	// maxIntervals is the number of intervals between changes that an Outlook remembers.
	maxIntervals = 8
	// unknownOutlook is the least time for which a demand is expected to last as long as no interval is known.
	unknownOutlook = 5 * time.Second
)

// Outlook expects how long the present demand lasts, from the intervals between its earlier changes. The zero value knows
// nothing. Values are immutable.
type Outlook struct {
	// since is the last change, or the first time of which anything is known.
	since     time.Time
	hasChange bool
	intervals []time.Duration
}

// WithStart returns an outlook for a demand that was first seen at a time. It changes nothing if that is known.
func (o Outlook) WithStart(at time.Time) Outlook {
	if o.since.IsZero() {
		o.since = at
	}
	return o
}

// WithChange returns an outlook for a demand that changed at a time. The time from the start to the first change is no
// interval, since the start is no change.
func (o Outlook) WithChange(at time.Time) Outlook {
	if o.hasChange {
		kept := o.intervals[max(len(o.intervals)-maxIntervals+1, 0):]
		o.intervals = append(slices.Clone(kept), at.Sub(o.since))
	}
	o.since, o.hasChange = at, true
	return o
}

// Remaining returns the expected time until the next change: the mean of what remains of the intervals that are longer
// than the present demand has lasted. A demand that has lasted longer than all of them, or of which no interval is known, is
// expected to last as long again.
func (o Outlook) Remaining(now time.Time) time.Duration {
	lasted := now.Sub(o.since)
	total, count := time.Duration(0), 0
	for _, interval := range o.intervals {
		if interval > lasted {
			total += interval - lasted
			count++
		}
	}
	switch {
	case count > 0:
		return total / time.Duration(count)
	case len(o.intervals) > 0:
		return lasted
	default:
		return max(lasted, unknownOutlook)
	}
}
