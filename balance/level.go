package balance

// Levelling a map whose replicas take even parts, with a bound on the experts that are new to each rank: the
// maps of engines that divide an expert's tokens evenly and can prepare only a few experts at once.

import (
	"cmp"
	"slices"
)

const (
	// levelGain is the least fall of the weighed load that keeps a change, in units of one rank at the mean.
	levelGain = 1e-3
	// levelChanges bounds the changes of one layer for each rank.
	levelChanges = 4
	// receivers is the number of ranks, of those with the least load, that an expert may be brought to.
	receivers = 6
	// nowhere stands for no expert and no rank.
	nowhere = -1
)

type (
	// Placement holds the experts of each rank of one layer.
	Placement [][]int

	// LevelResult is the outcome of LevelLayer.
	LevelResult struct {
		Placement Placement
		// Before and After are the load of the busiest rank over the mean.
		Before, After float64
		// Moved is the number of experts that are new to a rank.
		Moved int
	}

	// leveller changes the placement of one layer.
	leveller struct {
		load []float64
		// paces holds the time that each rank takes for a unit of load.
		paces    []float64
		slots    int
		spare    int
		origin   [][]bool
		held     Placement
		holders  [][]int
		ranks    []float64
		newcomer []int
		mean     float64
		// order holds the ranks, those with the least load first.
		order []int
		// delta and touched hold what a change that is weighed does to the ranks.
		delta   []float64
		touched []int
	}

	// change gives a rank the expert in, in place of the expert out; either may be nowhere. In an exchange the
	// rank other gives in away and takes out.
	change struct {
		rank, in, out, other int
	}
)

// LevelLayer returns a more even placement of one layer under the load of each expert, by as few changes as bring
// the busiest rank down to goal times the mean. Paces holds the time that each rank takes for a unit of load, nil
// when all are equal. A rank holds at most slots experts, of which at most spare are new to it.
func LevelLayer(present Placement, load, paces []float64, slots, spare int, goal float64) LevelResult {
	l := newLeveller(present, load, paces, slots, spare)
	before := l.busiest()
	for range levelChanges * len(present) {
		if l.busiest() <= goal || !l.improve() {
			break
		}
	}
	if l.busiest() > before {
		// The changes evened the other ranks at the cost of the busiest one, which alone counts for a pass.
		return LevelResult{Placement: newLeveller(present, load, paces, slots, spare).held, Before: before, After: before}
	}
	moved := 0
	for _, count := range l.newcomer {
		moved += count
	}
	return LevelResult{Placement: l.held, Before: before, After: l.busiest(), Moved: moved}
}

// Skew returns the time of the busiest rank of one layer over that of ranks among which the load is even.
func Skew(placement Placement, load, paces []float64) float64 {
	return newLeveller(placement, load, paces, 0, 0).busiest()
}

func newLeveller(present Placement, load, paces []float64, slots, spare int) *leveller {
	if paces == nil {
		paces = slices.Repeat([]float64{1}, len(present))
	}
	l := &leveller{
		load: load, paces: paces, slots: slots, spare: spare, holders: make([][]int, len(load)),
		ranks: make([]float64, len(present)), newcomer: make([]int, len(present)),
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
			l.ranks[r] += l.part(e) * paces[r]
		}
	}
	speed := 0.0
	for _, pace := range paces {
		speed += 1 / pace
	}
	l.mean = sum(load) / speed
	return l
}

// part returns what one replica of an expert takes.
func (l *leveller) part(e int) float64 { return l.load[e] / float64(len(l.holders[e])) }

func (l *leveller) busiest() float64 {
	if l.mean == 0 {
		return 1
	}
	return slices.Max(l.ranks) / l.mean
}

// improve carries out the best change that takes load off the busiest rank, and reports whether one was worth
// it.
func (l *leveller) improve() bool {
	if l.mean == 0 {
		return false
	}
	slices.SortFunc(l.order, func(a, b int) int { return cmp.Compare(l.ranks[a], l.ranks[b]) })
	hot := l.order[len(l.order)-1]
	best, bestGain := change{}, levelGain
	consider := func(c change) {
		if gain := l.gain(c); gain > bestGain {
			best, bestGain = c, gain
		}
	}
	for _, e := range l.held[hot] {
		if len(l.holders[e]) > 1 {
			consider(change{rank: hot, in: nowhere, out: e, other: nowhere})
		}
		l.eachReceiver(hot, e, consider)
	}
	if bestGain == levelGain {
		return false
	}
	l.apply(best)
	return true
}

// eachReceiver hands on the changes that bring an expert of the hot rank to one of the ranks with the least load.
func (l *leveller) eachReceiver(hot, e int, consider func(change)) {
	left := receivers
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

// eachChange hands on each change that brings an expert of the hot rank to another rank.
func (l *leveller) eachChange(hot, r, e int, consider func(change)) {
	if len(l.held[r]) < l.slots {
		consider(change{rank: r, in: e, out: nowhere, other: nowhere})
	}
	for _, out := range l.held[r] {
		if len(l.holders[out]) > 1 {
			consider(change{rank: r, in: e, out: out, other: nowhere})
		}
		if l.mayTake(hot, out) {
			consider(change{rank: r, in: e, out: out, other: hot})
		}
	}
}

// mayTake reports whether a rank lacks an expert and can prepare it.
func (l *leveller) mayTake(r, e int) bool {
	return (l.origin[r][e] || l.newcomer[r] < l.spare) && !slices.Contains(l.holders[e], r)
}

// gain returns by how much a change lowers the weighed load of the ranks.
func (l *leveller) gain(c change) float64 {
	if c.other != nowhere {
		shift := l.part(c.in) - l.part(c.out)
		l.touch(c.rank, shift)
		l.touch(c.other, -shift)
		return l.settle()
	}
	if c.in != nowhere {
		l.spread(c.in, len(l.holders[c.in])+1)
		l.touch(c.rank, l.load[c.in]/float64(len(l.holders[c.in])+1))
	}
	if c.out != nowhere {
		l.touch(c.rank, -l.part(c.out))
		rest := len(l.holders[c.out]) - 1
		l.spread(c.out, rest)
		l.touch(c.rank, l.part(c.out)-l.load[c.out]/float64(rest))
	}
	return l.settle()
}

// spread notes what the holders of an expert take once there are so many replicas.
func (l *leveller) spread(e, replicas int) {
	shift := l.load[e]/float64(replicas) - l.part(e)
	for _, r := range l.holders[e] {
		l.touch(r, shift)
	}
}

func (l *leveller) touch(r int, shift float64) {
	if l.delta[r] == 0 {
		l.touched = append(l.touched, r)
	}
	l.delta[r] += shift * l.paces[r]
}

// settle returns the gain of what was noted, and forgets it.
func (l *leveller) settle() float64 {
	gain := 0.0
	for _, r := range l.touched {
		gain += l.weigh(l.ranks[r]) - l.weigh(l.ranks[r]+l.delta[r])
		l.delta[r] = 0
	}
	l.touched = l.touched[:0]
	return gain
}

// weigh returns the sixth power of a load over the mean, so that the busiest ranks count most.
func (l *leveller) weigh(load float64) float64 {
	x := load / l.mean
	return x * x * x * x * x * x
}

func (l *leveller) apply(c change) {
	before := []int{c.rank}
	if c.in != nowhere {
		before = append(before, l.holders[c.in]...)
	}
	if c.out != nowhere {
		before = append(before, l.holders[c.out]...)
		l.remove(c.rank, c.out)
	}
	if c.in != nowhere {
		l.add(c.rank, c.in)
	}
	if c.other != nowhere {
		before = append(before, c.other)
		l.remove(c.other, c.in)
		l.add(c.other, c.out)
	}
	for _, r := range before {
		l.ranks[r] = 0
		for _, e := range l.held[r] {
			l.ranks[r] += l.part(e) * l.paces[r]
		}
	}
}

func (l *leveller) add(r, e int) {
	l.held[r] = append(l.held[r], e)
	l.holders[e] = append(l.holders[e], r)
	if !l.origin[r][e] {
		l.newcomer[r]++
	}
}

func (l *leveller) remove(r, e int) {
	l.held[r] = slices.DeleteFunc(l.held[r], func(other int) bool { return other == e })
	l.holders[e] = slices.DeleteFunc(l.holders[e], func(other int) bool { return other == r })
	if !l.origin[r][e] {
		l.newcomer[r]--
	}
}
