package routing

import "time"

const (
	// spareGain is the part of the free places that all entries together may take before they see each other's.
	spareGain = 2.0
	// shareEpoch is the time for which the rounding of a share to whole requests stays the same.
	shareEpoch = 500 * time.Millisecond
)

// share tells how many requests an entry may hold at a pool beside the other entries.
//
// An equal part of all places belongs to each entry at any time, so that none starves while others replace what
// ends at once. Of the places beyond that are free by the reports, each takes a part, for the others see the same
// places. Entries that use less than their part leave the rest to those that need more.
type share struct {
	places   float64 // all places of the pool
	free     float64 // places that were free when the reports were sampled
	own      int64   // own requests in flight
	ownThen  int64   // own requests in flight when the reports were sampled
	sharing  float64 // entries that share one upstream; 0 when unknown
	rounding float64 // between 0 and 1
}

func (p *Picker) newShare(now time.Time, entries int, l *pool) share {
	s := share{}
	if entries > 0 && len(l.ring) > 0 {
		s.sharing = max(1, float64(entries)*float64(len(l.subset))/float64(len(l.ring)))
	}
	epoch := uint64(now.UnixNano() / int64(shareEpoch))
	s.rounding = unit(mix(mix(p.settings.Seed) ^ epoch))
	return s
}

// add counts an open candidate of the subset.
func (s *share) add(a *account, overcommit int) {
	places := a.capacity.Load() + int64(overcommit)
	own, ownThen := a.running.Load(), a.ownThen.Load()
	s.places += float64(places)
	s.own += own
	s.ownThen += ownThen
	s.free += float64(max(0, places-ownThen-a.others.Load()))
}

// isOwed reports whether the entry holds less than its equal part.
func (s *share) isOwed() bool {
	return s.sharing > 0 && float64(s.own)+s.rounding < s.places/s.sharing
}

// mayTakeFree reports whether the entry may take a free place beyond its equal part.
func (s *share) mayTakeFree() bool {
	if s.sharing <= 1 {
		return true
	}
	return float64(s.own-s.ownThen)+s.rounding < spareGain*s.free/s.sharing
}
