package balance

import (
	"math"

	"guavahitch.example/guavahitch/expertmap"
)

const (
	// maxLevelRounds bounds the rounds in which the loads of a whole placement are divided.
	maxLevelRounds = 24
	// maxLevelledPerMove bounds the experts that are levelled after one move.
	maxLevelledPerMove = 96
	// maxCandidates is the number of slots tried for one move.
	maxCandidates = 10
	// maxLevelledPerCandidate bounds the experts that are levelled to score one candidate slot.
	maxLevelledPerCandidate = 16
	// maxBusyRanks is the number of ranks, the busiest first, for which a move is searched.
	maxBusyRanks = 20
	// maxScoresPerLayer bounds the moves and swaps that are scored in one layer, and with them the time that a plan
	// takes.
	maxScoresPerLayer = 300
	// retryChange is the relative change of a rank's time after which moves are searched for that rank again.
	retryChange = 0.01
	// minImprovement is the smallest decrease of the unevenness for which a move is made, relative to one rank's
	// share.
	minImprovement = 5e-5
	// balancedRatio is the time of the busiest rank over the ideal time up to which a layer is not improved further.
	balancedRatio = 1.002
)

type (
	// step places one replica into a slot. layerTime is the time of the busiest rank after it.
	step struct {
		slot      int32
		expert    int16
		layerTime float64
	}

	// search finds the moves of one layer.
	search struct {
		group      Group
		slots      int
		state      *layer
		saved      *layer
		free       []int
		candidates [maxCandidates]int
		domainOf   []int
		// holders marks the ranks that have the expert given to findSlots. onlyDomain is the failure domain of all of
		// them, none without any, or manyDomains.
		holders    []bool
		onlyDomain int
		// stuckAt is the time of each rank when no move helped it. scored counts the candidates scored in this layer.
		stuckAt []float64
		scored  int
		// even gives all replicas of an expert equal shares.
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
	s.domainOf = domainNumbers(group, shape.Ranks)
	s.holders = make([]bool, shape.Ranks)
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

// repair places each expert that has no replica left and returns the steps with these placements added. It returns
// false when no slot is left. Ranks that already load as many replicas as they can stage are used last. Loading
// counts the replicas that each rank loads.
func (s *search) repair(steps []step, loading []int) ([]step, bool) {
	for e := range s.state.first {
		if s.state.count[e] > 0 {
			continue
		}
		found := s.findSlots(int16(e))
		if found == 0 {
			return steps, false
		}
		at := s.candidates[0]
		for _, n := range s.candidates[:found] {
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

// improve adds up to limit new replicas and swaps, each of which makes the layer more even.
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

// improveOnce makes one change, a new replica or a swap, that takes load off one of the busiest ranks. It returns false
// when it finds none.
func (s *search) improveOnce(ideal float64, steps *[]step) bool {
	below := maxTime
	for range maxBusyRanks {
		hot := s.state.busiest(below)
		if hot == none || s.state.time[hot] <= ideal*balancedRatio || s.scored > maxScoresPerLayer {
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
	return math.Abs(s.state.time[rank]-s.stuckAt[rank]) <= retryChange*s.stuckAt[rank]
}

// improveRank tries to take load off a rank by placing further replicas of its experts, those with the greatest load
// first.
func (s *search) improveRank(rank int, steps *[]step) bool {
	above := maxTime
	for range s.slots {
		slot := s.heaviest(rank, above)
		if slot == none {
			return false
		}
		above = s.state.replicaLoad[slot]
		if s.tryReplicas(s.state.held[slot], steps) {
			return true
		}
	}
	return false
}

// heaviest returns the slot of a rank with the greatest load below a bound, or none.
func (s *search) heaviest(rank int, below float64) int {
	at := none
	for n := rank * s.slots; n < (rank+1)*s.slots; n++ {
		if replicaLoad := s.state.replicaLoad[n]; replicaLoad > 0 && replicaLoad < below &&
			(at == none || replicaLoad > s.state.replicaLoad[at]) {
			at = n
		}
	}
	return at
}

// tryReplicas places another replica of an expert into the best of several slots. It changes nothing and returns
// false when none of them makes the layer more even.
func (s *search) tryReplicas(e int16, steps *[]step) bool {
	found := s.findSlots(e)
	tries := s.candidates
	s.saved.copyFrom(s.state)
	limit := s.state.unevenness() * (1 - minImprovement/float64(len(s.state.time)))
	finalists := s.finalists(tries[:found], e)
	bestSlot, bestScore := none, maxTime
	for _, n := range finalists {
		if n == none {
			continue
		}
		score := s.score(n, e, maxLevelledPerCandidate)
		if penalised := score + s.penalty(n, limit); score < limit && penalised < bestScore {
			bestSlot, bestScore = n, penalised
		}
	}
	if bestSlot == none {
		return false
	}
	if s.state.held[bestSlot] == expertmap.Empty {
		s.free[bestSlot/s.slots]--
	}
	s.placeAndLevel(bestSlot, e, maxLevelledPerMove)
	*steps = append(*steps, step{slot: int32(bestSlot), expert: e, layerTime: s.state.maxRankTime()})
	return true
}

// trySwaps exchanges a replica on a busy rank with a sole replica of an expert on one of the least busy ranks, if
// that makes the layer more even. tryReplicas cannot move sole replicas.
func (s *search) trySwaps(hot int, steps *[]step) bool {
	s.saved.copyFrom(s.state)
	limit := s.state.unevenness() * (1 - minImprovement/float64(len(s.state.time)))
	bestHere, bestThere, bestScore := none, none, limit
	above := -1.0
	for range maxCandidates {
		cool := s.state.leastBusy(above)
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
				s.swap(here, there, maxLevelledPerCandidate)
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
	s.swap(bestHere, bestThere, maxLevelledPerMove)
	// After the first step of a swap one expert has no replica. Its layerTime is maxTime so that no segment ends
	// there.
	*steps = append(*steps,
		step{slot: int32(bestThere), expert: moving, layerTime: maxTime},
		step{slot: int32(bestHere), expert: coming, layerTime: s.state.maxRankTime()})
	return true
}

// canSwap reports whether the replicas in two slots can be exchanged.
func (s *search) canSwap(here, there int) bool {
	l := s.state
	a, b := l.held[here], l.held[there]
	if a == expertmap.Empty || b == expertmap.Empty || l.count[b] != 1 || l.replicaLoad[here] <= l.replicaLoad[there] {
		return false
	}
	return !l.rankHolds(int(l.rankOf[there]), a) && !l.rankHolds(int(l.rankOf[here]), b)
}

// swap exchanges two replicas and levels up to limit experts around them.
func (s *search) swap(here, there, limit int) {
	moving, coming := s.state.held[here], s.state.held[there]
	s.place(there, moving)
	s.place(here, coming)
	if !s.even {
		s.state.levelAround(limit, int(moving), int(coming))
	}
}

// finalists returns the two of the given slots that score best when only the experts moved are levelled.
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

// penalty returns what is added to the score of a slot whose failure domain holds all replicas of the expert last
// given to findSlots.
func (s *search) penalty(n int, unevenness float64) float64 {
	if !s.inOnlyDomain(int(s.state.rankOf[n])) {
		return 0
	}
	return domainPenalty * unevenness / float64(len(s.state.time))
}

// score returns the unevenness with a replica of an expert in a slot, and restores the state.
func (s *search) score(n int, e int16, limit int) float64 {
	s.scored++
	s.placeAndLevel(n, e, limit)
	score := s.state.unevenness()
	s.state.copyFrom(s.saved)
	return score
}

// placeAndLevel places a replica and levels up to limit experts around it and around the replaced one.
func (s *search) placeAndLevel(n int, e int16, limit int) {
	old := s.state.held[n]
	s.place(n, e)
	switch {
	case s.even || limit == 0:
	case old == expertmap.Empty:
		s.state.levelAround(limit, int(e))
	default:
		s.state.levelAround(limit, int(e), int(old))
	}
}

// place puts a replica into a slot, replacing the one there, and divides the loads of both experts again.
func (s *search) place(n int, e int16) {
	l := s.state
	if old := l.held[n]; old != expertmap.Empty {
		l.unlink(n)
		s.divide(int(old))
	}
	l.link(n, e)
	s.divide(int(e))
}

// divide divides the load of one expert among its replicas.
func (s *search) divide(e int) {
	if s.even {
		s.state.divide(e, nil)
		return
	}
	s.state.level(e)
}

// findSlots fills candidates with the slots that can take a replica of an expert, the least loaded first, and returns
// their number. A slot can be taken when it is empty and memory allows, or when its expert has another replica. A
// rank outside the only failure domain of the expert comes before ranks inside it that are not much less loaded.
func (s *search) findSlots(e int16) int {
	l := s.state
	s.markHolders(e)
	var keys [maxCandidates]float64
	found := 0
	for r := range l.time {
		if l.cost[r] == 0 || s.holders[r] {
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
			key := (l.time[r] + l.replicaLoad[n]*l.cost[r]) * spread
			found = s.insertCandidate(n, key, &keys, found)
		}
	}
	return found
}

// domainPenalty is the relative increase of a rank's time in comparisons when its failure domain holds all replicas
// of the expert.
const domainPenalty = 0.4

// manyDomains stands for more than one failure domain.
const manyDomains = -2

// canTake reports whether a slot is free or its replica can be replaced.
func (s *search) canTake(n int) bool {
	e := s.state.held[n]
	if e == expertmap.Empty {
		return s.free[n/s.slots] > 0
	}
	return s.state.count[e] > 1
}

// insertCandidate inserts a slot into candidates, ordered by key, if it is among the smallest. It returns the number
// of candidates.
func (s *search) insertCandidate(n int, key float64, keys *[maxCandidates]float64, found int) int {
	at := found
	if at == maxCandidates {
		at--
		if key >= keys[at] {
			return found
		}
	} else {
		found++
	}
	for at > 0 && key < keys[at-1] {
		keys[at], s.candidates[at] = keys[at-1], s.candidates[at-1]
		at--
	}
	keys[at], s.candidates[at] = key, n
	return found
}

// markHolders marks the ranks that have a replica of the expert, and finds the only failure domain of these ranks, if
// there is one.
func (s *search) markHolders(e int16) {
	clear(s.holders)
	s.onlyDomain = none
	for n := s.state.first[e]; n != none; n = s.state.next[n] {
		r := s.state.rankOf[n]
		s.holders[r] = true
		if s.onlyDomain == manyDomains || s.onlyDomain != none && s.onlyDomain != s.domainOf[r] {
			s.onlyDomain = manyDomains
			continue
		}
		s.onlyDomain = s.domainOf[r]
	}
}

// inOnlyDomain reports whether a rank is in the only failure domain of the expert last given to findSlots.
func (s *search) inOnlyDomain(rank int) bool { return s.domainOf[rank] == s.onlyDomain }
