package availability

import (
	"math"
	"time"
)

const (
	// windowSlot is the resolution of a Window.
	windowSlot = 100 * time.Millisecond
	// windowSlots is the number of slots that a Window keeps. It bounds the spans that it can count.
	windowSlots = 20
)

// Window is an immutable counter of requests in the recent past. It counts in slots, so that each span covers up to one
// slot more than its length and no request that was made within the span is missed.
type Window struct {
	// origin is the start of slot 0, newest the slot of the last request.
	origin time.Time
	newest int64
	counts [windowSlots]uint32
}

// With returns the window after further requests at the given time. A time before the newest slot counts as that slot.
func (w Window) With(now time.Time, requests int) Window {
	if w.origin.IsZero() {
		w.origin = now
	}
	slot := max(w.slotOf(now), w.newest)
	for n := max(w.newest+1, slot-windowSlots+1); n <= slot; n++ {
		w.counts[n%windowSlots] = 0
	}
	w.newest = slot
	held := w.counts[slot%windowSlots]
	w.counts[slot%windowSlots] = uint32(min(uint64(held)+uint64(max(requests, 0)), math.MaxUint32))
	return w
}

// Count returns the number of requests within the span before now. The span is at most windowSlots-1 slots long.
func (w Window) Count(now time.Time, span time.Duration) int {
	count := 0
	for n := w.oldest(now, span); n <= w.newest; n++ {
		count += int(w.counts[n%windowSlots])
	}
	return count
}

// Wait returns the time until fewer requests than the limit are within the span, 0 if that is so now. It returns
// maxBackoff for a limit below 1.
func (w Window) Wait(now time.Time, span time.Duration, limit int) time.Duration {
	if limit < 1 {
		return maxBackoff
	}
	excess := w.Count(now, span) - limit + 1
	if excess <= 0 {
		return 0
	}
	n := w.oldest(now, span)
	for ; n < w.newest; n++ {
		if excess -= int(w.counts[n%windowSlots]); excess <= 0 {
			break
		}
	}
	// Slot n no longer counts once the span begins in the slot after it.
	end := w.origin.Add(time.Duration(n+1) * windowSlot).Add(span)
	return max(end.Sub(now), 1)
}

// oldest returns the first slot that overlaps the span before now and is still kept.
func (w Window) oldest(now time.Time, span time.Duration) int64 {
	if w.origin.IsZero() {
		return 1
	}
	first := int64(math.Floor(float64(now.Add(-span).Sub(w.origin)) / float64(windowSlot)))
	return max(first, w.newest-windowSlots+1, 0)
}

// slotOf returns the slot of a time, 0 for times before the origin.
func (w Window) slotOf(now time.Time) int64 { return max(int64(now.Sub(w.origin)/windowSlot), 0) }
