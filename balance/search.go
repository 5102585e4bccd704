package balance

import (
	"math"

	"guavahitch.example/guavahitch/expertmap"
)

const (
	// startRounds settle the division of loads in a placement.
	startRounds = 24
	// rippleLimit bounds the experts that are levelled after one move.
	rippleLimit = 96
	// candidates is the number of slots tried for one move.
	candidates = 10
	// tryLimit bounds the experts that are levelled to score one candidate.
	tryLimit = 16
	// latestRanks is the number of ranks, the latest first, that a move may help.
	latestRanks = 20
	// scoresPerLayer bounds the moves and exchanges that are scored in one layer, and so the time of a plan.
	scoresPerLayer = 300
	// stuckChange is the relative change of a rank's time after which moves are tried for it again.
	stuckChange = 0.01
	// minImprovement is the least fall of the unevenness that keeps a move, relative to one rank's part.
	minImprovement = 5e-5
	// evenEnough is the time of the latest rank over the ideal at which a layer is left alone.
	evenEnough = 1.002
)

type (
	// step is one replica placed into a slot, with the time of the latest rank after it.
	step struct {
		slot   int32
		expert int16
		latest float64
	}

	// search finds the moves of one layer.
	search struct {
		group    Group
		slots    int
		state    *layer
		saved    *layer
		free     []int
		best     [candidates]int
		domainAt []int
		// holds marks the ranks that have the expert looked at; onlyDomain is the failure domain of all of
		// them, none without any, or manyDomains.
		holds      []bool
		onlyDomain int
		// stuckAt is the time of each rank when no move helped it; scored counts the tries in this layer.
		stuckAt []float64
		scored  int
		// even makes all replicas of an expert take equal parts.
		even bool
	}
)

// newSearch returns a search over the layers of a shape. Free is how many more replicas each rank can hold.
func newSearch(shape expertmap.Shape, group Group, free []int, even bool) *search {
	s := &search{
		group: group,
		slots: shape.Slots,
		state: newLayer(shape, group.Speeds),
		saved: newLayer(shape, group.Speeds),
		free:  free,
		even:  even,
	}
	s.domainAt = domainNumbers(group, shape.Ranks)
	s.holds = make([]bool, shape.Ranks)
	s.stuckAt = make([]float64, shape.Ranks)
	return s
}

// domainNumbers numbers the failure domains in the order of the ranks.
func domainNumbers(group Group, ranks int) []int {
	numbers := make([]int, ranks)
	known := map[string]int{}
	for r := range ranks {
		name := group.domain(r)
		if _, ok := known[name]; !ok {
			known[name] = len(known)
		}
		numbers[r] = known[name]
	}
	return numbers
}

// repair places each expert that lost its last replica, and returns the steps it took; it fails when no
// slot is left. Ranks that load as much as they can stage come last; loading counts what each rank loads.
func (s *search) repair(steps []step, loading []int) ([]step, bool) {
	for e := range s.state.first {
		if s.state.count[e] > 0 {
			continue
		}
		found := s.slotsFor(int16(e))
		if found == 0 {
			return steps, false
		}
		at := s.best[0]
		for _, n := range s.best[:found] {
			if loading[s.state.rankOf[n]] < s.group.Staging {
				at = n
				break
			}
		}
		loading[s.state.rankOf[at]]++
		if s.state.held[at] == expertmap.Empty {
			s.free[s.state.rankOf[at]]--
		}
		s.place(at, int16(e))
		steps = append(steps, step{slot: int32(at), expert: int16(e)})
	}
	return steps, true
}

// improve adds up to limit moves, each of which makes the layer more even.
func (s *search) improve(steps []step, limit int, ideal float64) []step {
	clear(s.stuckAt)
	s.scored = 0
	for range limit {
		if !s.improveOnce(ideal, &steps) {
			break
		}
	}
	return steps
}

// improveOnce finds one move that takes load off one of the latest ranks.
func (s *search) improveOnce(ideal float64, steps *[]step) bool {
	below := maxTime
	for range latestRanks {
		hot := s.state.latest(below)
		if hot == none || s.state.time[hot] <= ideal*evenEnough || s.scored > scoresPerLayer {
			return false
		}
		below = s.state.time[hot]
		if s.isStuck(hot) {
			continue
		}
		if s.improveRank(hot, steps) || s.trySwaps(hot, steps) {
			return true
		}
		s.stuckAt[hot] = s.state.time[hot]
	}
	return false
}

// isStuck reports whether no move helped a rank when its time was about the same as now.
func (s *search) isStuck(rank int) bool {
	return math.Abs(s.state.time[rank]-s.stuckAt[rank]) <= stuckChange*s.stuckAt[rank]
}

// improveRank tries to take load off a rank, its experts in the order of their load there.
func (s *search) improveRank(rank int, steps *[]step) bool {
	above := maxTime
	for range s.slots {
		slot := s.heaviest(rank, above)
		if slot == none {
			return false
		}
		above = s.state.part[slot]
		if s.tryMoves(s.state.held[slot], steps) {
			return true
		}
	}
	return false
}

// heaviest returns the slot of a rank with the greatest load below a bound.
func (s *search) heaviest(rank int, below float64) int {
	at := none
	for n := rank * s.slots; n < (rank+1)*s.slots; n++ {
		if part := s.state.part[n]; part > 0 && part < below && (at == none || part > s.state.part[at]) {
			at = n
		}
	}
	return at
}

// tryMoves places another replica of an expert into the best of a few slots, or leaves all as it was.
func (s *search) tryMoves(e int16, steps *[]step) bool {
	found := s.slotsFor(e)
	tries := s.best
	s.saved.copyFrom(s.state)
	limit := s.state.unevenness() * (1 - minImprovement/float64(len(s.state.time)))
	finalists := s.finalists(tries[:found], e)
	bestSlot, bestScore := none, maxTime
	for _, n := range finalists {
		if n == none {
			continue
		}
		score := s.score(n, e, tryLimit)
		if together := score + s.penalty(n, limit); score < limit && together < bestScore {
			bestSlot, bestScore = n, together
		}
	}
	if bestSlot == none {
		return false
	}
	if s.state.held[bestSlot] == expertmap.Empty {
		s.free[bestSlot/s.slots]--
	}
	s.placeAndSpread(bestSlot, e, rippleLimit)
	*steps = append(*steps, step{slot: int32(bestSlot), expert: e, latest: s.state.latestTime()})
	return true
}

// trySwaps exchanges a replica on a late rank with the only replica of an expert on one of the earliest
// ranks, if that makes the layer more even; tryMoves cannot touch such replicas.
func (s *search) trySwaps(hot int, steps *[]step) bool {
	s.saved.copyFrom(s.state)
	limit := s.state.unevenness() * (1 - minImprovement/float64(len(s.state.time)))
	bestHere, bestThere, bestScore := none, none, limit
	above := -1.0
	for range candidates {
		cool := s.state.earliest(above)
		if cool == none || s.state.time[cool] >= s.state.time[hot] {
			break
		}
		above = s.state.time[cool]
		for here := hot * s.slots; here < (hot+1)*s.slots; here++ {
			for there := cool * s.slots; there < (cool+1)*s.slots; there++ {
				if !s.canSwap(here, there) {
					continue
				}
				s.scored++
				s.swap(here, there, tryLimit)
				if score := s.state.unevenness(); score < bestScore {
					bestHere, bestThere, bestScore = here, there, score
				}
				s.state.copyFrom(s.saved)
			}
		}
	}
	if bestHere == none {
		return false
	}
	moving, coming := s.state.held[bestHere], s.state.held[bestThere]
	s.swap(bestHere, bestThere, rippleLimit)
	// Between its two steps a swap has no place for one expert; its first step must never be the last one.
	*steps = append(*steps,
		step{slot: int32(bestThere), expert: moving, latest: maxTime},
		step{slot: int32(bestHere), expert: coming, latest: s.state.latestTime()})
	return true
}

// canSwap reports whether the replicas in two slots can change places.
func (s *search) canSwap(here, there int) bool {
	l := s.state
	a, b := l.held[here], l.held[there]
	if a == expertmap.Empty || b == expertmap.Empty || l.count[b] != 1 || l.part[here] <= l.part[there] {
		return false
	}
	return !l.rankHolds(int(l.rankOf[there]), a) && !l.rankHolds(int(l.rankOf[here]), b)
}

// swap changes the places of two replicas and levels up to limit experts around them.
func (s *search) swap(here, there, limit int) {
	moving, coming := s.state.held[here], s.state.held[there]
	s.place(there, moving)
	s.place(here, coming)
	if !s.even {
		s.state.ripple(limit, int(moving), int(coming))
	}
}

// finalists returns the two slots of those given that score best while only the experts moved are levelled.
func (s *search) finalists(slots []int, e int16) [2]int {
	best := [2]int{none, none}
	scores := [2]float64{maxTime, maxTime}
	for _, n := range slots {
		score := s.score(n, e, 0)
		score += s.penalty(n, score)
		switch {
		case score < scores[0]:
			best[0], best[1] = n, best[0]
			scores[0], scores[1] = score, scores[0]
		case score < scores[1]:
			best[1], scores[1] = n, score
		}
	}
	return best
}

// penalty returns what is added to the score of a slot whose failure domain holds all replicas of the expert
// that slotsFor looked for last.
func (s *search) penalty(n int, unevenness float64) float64 {
	if !s.inOnlyDomain(int(s.state.rankOf[n])) {
		return 0
	}
	return domainPenalty * unevenness / float64(len(s.state.time))
}

// score returns the unevenness with a replica of an expert in a slot, and takes it back.
func (s *search) score(n int, e int16, limit int) float64 {
	s.scored++
	s.placeAndSpread(n, e, limit)
	score := s.state.unevenness()
	s.state.copyFrom(s.saved)
	return score
}

// placeAndSpread places a replica and levels up to limit experts around it and around the one it replaces.
func (s *search) placeAndSpread(n int, e int16, limit int) {
	old := s.state.held[n]
	s.place(n, e)
	switch {
	case s.even || limit == 0:
	case old == expertmap.Empty:
		s.state.ripple(limit, int(e))
	default:
		s.state.ripple(limit, int(e), int(old))
	}
}

// place puts a replica into a slot in place of the one there and levels the two experts.
func (s *search) place(n int, e int16) {
	l := s.state
	if old := l.held[n]; old != expertmap.Empty {
		l.unlink(n)
		s.settle(int(old))
	}
	l.link(n, e)
	s.settle(int(e))
}

// settle divides the load of one expert among its replicas.
func (s *search) settle(e int) {
	if s.even {
		s.state.divide(e, nil)
		return
	}
	s.state.level(e)
}

// slotsFor fills best with the slots that could take a replica of an expert, the least loaded first, and
// returns how many it found. A slot can be taken when it is empty and memory allows, or when the expert in
// it has another replica. A rank outside the only failure domain of the expert comes before others not much less loaded.
func (s *search) slotsFor(e int16) int {
	l := s.state
	s.markHolders(e)
	var keys [candidates]float64
	found := 0
	for r := range l.time {
		if l.cost[r] == 0 || s.holds[r] {
			continue
		}
		spread := 1.0
		if s.inOnlyDomain(r) {
			spread += domainPenalty
		}
		for n := r * s.slots; n < (r+1)*s.slots; n++ {
			if !s.canTake(n) {
				continue
			}
			key := (l.time[r] + l.part[n]*l.cost[r]) * spread
			found = s.insert(n, key, &keys, found)
		}
	}
	return found
}

// domainPenalty is how much later a rank looks when its failure domain holds all replicas of the expert.
const domainPenalty = 0.4

// manyDomains stands for more than one failure domain.
const manyDomains = -2

// canTake reports whether the replica in a slot can be given up.
func (s *search) canTake(n int) bool {
	e := s.state.held[n]
	if e == expertmap.Empty {
		return s.free[n/s.slots] > 0
	}
	return s.state.count[e] > 1
}

// insert puts a slot into best by its key, if it is among the first ones.
func (s *search) insert(n int, key float64, keys *[candidates]float64, found int) int {
	at := found
	if at == candidates {
		at--
		if key >= keys[at] {
			return found
		}
	} else {
		found++
	}
	for at > 0 && key < keys[at-1] {
		keys[at], s.best[at] = keys[at-1], s.best[at-1]
		at--
	}
	keys[at], s.best[at] = key, n
	return found
}

// markHolders marks the ranks that have a replica of the expert and finds whether one failure domain has all.
func (s *search) markHolders(e int16) {
	clear(s.holds)
	s.onlyDomain = none
	for n := s.state.first[e]; n != none; n = s.state.next[n] {
		r := s.state.rankOf[n]
		s.holds[r] = true
		if s.onlyDomain == manyDomains || s.onlyDomain != none && s.onlyDomain != s.domainAt[r] {
			s.onlyDomain = manyDomains
			continue
		}
		s.onlyDomain = s.domainAt[r]
	}
}

// inOnlyDomain reports whether a rank is in the one failure domain that has the expert looked at.
func (s *search) inOnlyDomain(rank int) bool { return s.domainAt[rank] == s.onlyDomain }
