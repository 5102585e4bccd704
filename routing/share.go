package routing

import "time"

const (
	// freeShareGain is the multiple of the free slots that all entries together may take before they see each other's
	// requests in a report.
	freeShareGain = 2.0
	// roundingPeriod is the time for which the random rounding of a share to whole requests stays the same.
	roundingPeriod = 500 * time.Millisecond
)

// share computes how many requests an entry may hold at a pool that it shares with other entries.
//
// An equal part of all slots belongs to each entry at any time. Without it, an entry could starve while others refill
// every slot as soon as it is freed. Beyond that part, each entry may take its share of the slots that the reports
// show as free, because the other entries see the same free slots. Slots that an entry leaves unused are available to
// entries that need more.
type share struct {
	slots              float64 // request slots, with overcommit, of the available candidates in the subset
	free               float64 // slots that were free when the reports were sampled
	own                int64   // own requests in flight
	ownAtReport        int64   // own requests in flight when the reports were sampled
	entriesPerUpstream float64 // entries that share one upstream; 0 when unknown
	rounding           float64 // pseudo-random, between 0 and 1
}

func (p *Picker) newShare(now time.Time, entries int, l *pool) share {
	s := share{}
	if entries > 0 && len(l.ring) > 0 {
		s.entriesPerUpstream = max(1, float64(entries)*float64(len(l.subset))/float64(len(l.ring)))
	}
	epoch := uint64(now.UnixNano() / int64(roundingPeriod))
	s.rounding = unitInterval(mix(mix(p.settings.Seed) ^ epoch))
	return s
}

// add counts an available candidate of the subset.
func (s *share) add(a *upstreamState, overcommit int) {
	slots := a.capacity.Load() + int64(overcommit)
	own, ownAtReport := a.running.Load(), a.ownAtReport.Load()
	s.slots += float64(slots)
	s.own += own
	s.ownAtReport += ownAtReport
	s.free += float64(max(0, slots-ownAtReport-a.others.Load()))
}

// isBelowEqualShare reports whether the entry holds less than its equal part of all slots.
func (s *share) isBelowEqualShare() bool {
	return s.entriesPerUpstream > 0 && float64(s.own)+s.rounding < s.slots/s.entriesPerUpstream
}

// mayUseFreeSlots reports whether the entry may take a free slot beyond its equal part.
func (s *share) mayUseFreeSlots() bool {
	if s.entriesPerUpstream <= 1 {
		return true
	}
	return float64(s.own-s.ownAtReport)+s.rounding < freeShareGain*s.free/s.entriesPerUpstream
}
