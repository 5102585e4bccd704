package balance

// This file levels maps of engines that divide an expert's tokens evenly among its replicas and can prepare only a
// few new experts on each rank at once.

import "slices"

const (
	// minLevelGain is the smallest decrease of the summed timeCost for which a change is made. One rank at the mean
	// time has cost 1.
	minLevelGain = 1e-3
	// maxChangesPerRank bounds the changes of one layer, as a multiple of the number of ranks.
	maxChangesPerRank = 4
	// maxReceivers is the number of ranks, the least busy first, considered as receivers of an expert.
	maxReceivers = 6
	// unset stands for no expert or no rank.
	unset = -1
)

type (
	// Placement holds the experts of each rank of one layer.
	Placement [][]int

	// LevelResult is the result of LevelLayer.
	LevelResult struct {
		Placement Placement
		// Before and After are the time of the busiest rank over the mean.
		Before, After float64
		// Moved is the number of experts that are new to a rank.
		Moved int
	}

	// leveller changes the placement of one layer.
	leveller struct {
		load []float64
		// unitTimes holds the time that each rank takes for a unit of load.
		unitTimes []float64
		slots     int
		maxNew    int
		// mayMove reports whether a rank may take a further new expert; nil allows all within maxNew.
		mayMove func(rank int) bool
		// present is the placement at first, and origin the ranks that held each expert then.
		present    Placement
		origin     [][]bool
		held       Placement
		holders    [][]int
		rankTimes  []float64
		newExperts []int
		mean       float64
		// order holds the ranks, the least busy first.
		order []int
		// delta holds how much the change under consideration adds to the time of each rank, and touched the ranks it
		// changes.
		delta   []float64
		touched []int
	}

	// change adds the expert in to a rank and removes the expert out from it; either may be unset. If other is set,
	// the two experts are exchanged: the rank other gives up in and receives out.
	change struct {
		rank, in, out, other int
	}
)

// LevelLayer returns a more even placement of one layer for the given load of each expert. It makes the best changes
// one by one, and as few as possible: it stops when the busiest rank is at most goal times the mean, when no change
// is worth making, or at maxChangesPerRank. UnitTimes holds the time that each rank takes for a unit of load; nil
// means all are equal. A rank holds at most slots experts, of which at most maxNew are new to it.
func LevelLayer(present Placement, load, unitTimes []float64, slots, maxNew int, goal float64) LevelResult {
	m := NewMapLeveller([]Placement{present}, [][]float64{load}, unitTimes, slots, maxNew)
	m.Level(maxNew, goal)
	result := m.Result()
	return LevelResult{
		Placement: m.Placements()[0], Before: result.Before, After: result.After, Moved: result.Moved,
	}
}

// Skew returns the time of the busiest rank of one layer over the time of ranks among which the load is perfectly
// even.
func Skew(placement Placement, load, unitTimes []float64) float64 {
	holders := make([]int, len(load))
	for _, experts := range placement {
		for _, e := range experts {
			holders[e]++
		}
	}
	busiest, speed := 0.0, 0.0
	for r, experts := range placement {
		unitTime := 1.0
		if unitTimes != nil {
			unitTime = unitTimes[r]
		}
		time := 0.0
		for _, e := range experts {
			time += load[e] / float64(holders[e]) * unitTime
		}
		busiest = max(busiest, time)
		speed += 1 / unitTime
	}
	if mean := sum(load) / speed; mean > 0 {
		return busiest / mean
	}
	return 1
}

func newLeveller(present Placement, load, unitTimes []float64, slots, maxNew int) *leveller {
	if unitTimes == nil {
		unitTimes = slices.Repeat([]float64{1}, len(present))
	}
	l := &leveller{
		load: load, unitTimes: unitTimes, slots: slots, maxNew: maxNew, present: present, holders: make([][]int, len(load)),
		rankTimes: make([]float64, len(present)), newExperts: make([]int, len(present)),
		delta: make([]float64, len(present)), order: make([]int, len(present)),
	}
	for r := range l.order {
		l.order[r] = r
	}
	for r, experts := range present {
		l.held = append(l.held, slices.Clone(experts))
		l.origin = append(l.origin, make([]bool, len(load)))
		for _, e := range experts {
			l.origin[r][e] = true
			l.holders[e] = append(l.holders[e], r)
		}
	}
	for r, experts := range l.held {
		for _, e := range experts {
			l.rankTimes[r] += l.replicaLoad(e) * unitTimes[r]
		}
	}
	speed := 0.0
	for _, unitTime := range unitTimes {
		speed += 1 / unitTime
	}
	l.mean = sum(load) / speed
	return l
}

// replicaLoad returns the load that each replica of an expert takes.
func (l *leveller) replicaLoad(e int) float64 { return l.load[e] / float64(len(l.holders[e])) }

func (l *leveller) skew() float64 {
	if l.mean == 0 {
		return 1
	}
	return slices.Max(l.rankTimes) / l.mean
}

// bestChange returns the best change that takes load off the busiest rank, with a gain of 0 when none is worth making.
func (l *leveller) bestChange() (best change, bestGain float64) {
	if l.mean == 0 {
		return change{}, 0
	}
	l.sortRanks()
	hot := l.order[len(l.order)-1]
	bestGain = minLevelGain
	consider := func(c change) {
		if gain := l.gain(c); gain > bestGain {
			best, bestGain = c, gain
		}
	}
	for _, e := range l.held[hot] {
		if len(l.holders[e]) > 1 {
			consider(change{rank: hot, in: unset, out: e, other: unset})
		}
		l.eachReceiver(hot, e, consider)
	}
	if bestGain == minLevelGain {
		return change{}, 0
	}
	return best, bestGain
}

// sortRanks sorts the ranks, the least busy first, by insertion, which suits an order in which few have changed.
func (l *leveller) sortRanks() {
	for n := 1; n < len(l.order); n++ {
		r := l.order[n]
		m := n
		for ; m > 0 && l.rankTimes[l.order[m-1]] > l.rankTimes[r]; m-- {
			l.order[m] = l.order[m-1]
		}
		l.order[m] = r
	}
}

// eachReceiver calls consider with the changes that bring an expert of the busiest rank, hot, to one of the least
// busy ranks.
func (l *leveller) eachReceiver(hot, e int, consider func(change)) {
	left := maxReceivers
	for _, r := range l.order {
		if left == 0 || r == hot {
			return
		}
		if l.mayTake(r, e) {
			l.eachChange(hot, r, e, consider)
			left--
		}
	}
}

// eachChange calls consider with each change that brings an expert of the busiest rank, hot, to rank r.
func (l *leveller) eachChange(hot, r, e int, consider func(change)) {
	if len(l.held[r]) < l.slots {
		consider(change{rank: r, in: e, out: unset, other: unset})
	}
	for _, out := range l.held[r] {
		if len(l.holders[out]) > 1 {
			consider(change{rank: r, in: e, out: out, other: unset})
		}
		if l.mayTake(hot, out) {
			consider(change{rank: r, in: e, out: out, other: hot})
		}
	}
}

// mayTake reports whether a rank lacks an expert and may add it without exceeding maxNew.
func (l *leveller) mayTake(r, e int) bool {
	isAllowed := l.newExperts[r] < l.maxNew && (l.mayMove == nil || l.mayMove(r))
	return (l.origin[r][e] || isAllowed) && !slices.Contains(l.holders[e], r)
}

// gain returns by how much a change lowers the summed timeCost of the ranks.
func (l *leveller) gain(c change) float64 {
	if c.other != unset {
		shift := l.replicaLoad(c.in) - l.replicaLoad(c.out)
		l.addDelta(c.rank, shift)
		l.addDelta(c.other, -shift)
		return l.takeGain()
	}
	if c.in != unset {
		l.addResplit(c.in, len(l.holders[c.in])+1)
		l.addDelta(c.rank, l.load[c.in]/float64(len(l.holders[c.in])+1))
	}
	if c.out != unset {
		l.addDelta(c.rank, -l.replicaLoad(c.out))
		rest := len(l.holders[c.out]) - 1
		l.addResplit(c.out, rest)
		l.addDelta(c.rank, l.replicaLoad(c.out)-l.load[c.out]/float64(rest))
	}
	return l.takeGain()
}

// addResplit adds to delta what the holders of an expert take more or less once it has the given number of replicas.
func (l *leveller) addResplit(e, replicas int) {
	shift := l.load[e]/float64(replicas) - l.replicaLoad(e)
	for _, r := range l.holders[e] {
		l.addDelta(r, shift)
	}
}

func (l *leveller) addDelta(r int, shift float64) {
	if l.delta[r] == 0 {
		l.touched = append(l.touched, r)
	}
	l.delta[r] += shift * l.unitTimes[r]
}

// takeGain returns by how much the changes in delta lower the summed timeCost, and clears them.
func (l *leveller) takeGain() float64 {
	gain := 0.0
	for _, r := range l.touched {
		gain += l.timeCost(l.rankTimes[r]) - l.timeCost(l.rankTimes[r]+l.delta[r])
		l.delta[r] = 0
	}
	l.touched = l.touched[:0]
	return gain
}

// timeCost returns the sixth power of a rank's time over the mean, so that the busiest ranks count most.
func (l *leveller) timeCost(load float64) float64 {
	x := load / l.mean
	return x * x * x * x * x * x
}

func (l *leveller) apply(c change) {
	before := []int{c.rank}
	if c.in != unset {
		before = append(before, l.holders[c.in]...)
	}
	if c.out != unset {
		before = append(before, l.holders[c.out]...)
		l.remove(c.rank, c.out)
	}
	if c.in != unset {
		l.add(c.rank, c.in)
	}
	if c.other != unset {
		before = append(before, c.other)
		l.remove(c.other, c.in)
		l.add(c.other, c.out)
	}
	for _, r := range before {
		l.rankTimes[r] = 0
		for _, e := range l.held[r] {
			l.rankTimes[r] += l.replicaLoad(e) * l.unitTimes[r]
		}
	}
}

func (l *leveller) add(r, e int) {
	l.held[r] = append(l.held[r], e)
	l.holders[e] = append(l.holders[e], r)
	if !l.origin[r][e] {
		l.newExperts[r]++
	}
}

func (l *leveller) remove(r, e int) {
	l.held[r] = slices.DeleteFunc(l.held[r], func(other int) bool { return other == e })
	l.holders[e] = slices.DeleteFunc(l.holders[e], func(other int) bool { return other == r })
	if !l.origin[r][e] {
		l.newExperts[r]--
	}
}
