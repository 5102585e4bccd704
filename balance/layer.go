package balance

import (
	"slices"

	"guavahitch.example/guavahitch/expertmap"
)

const (
	none = -1
	// maxTime is later than any rank.
	maxTime = 1e300
	// rounding is the error that sums of times may have.
	rounding = 1e-12
	// noticeable is the least change of a rank's time that counts, relative to the mean.
	noticeable = 2e-4
)

// layer is the working state of one layer while a plan is searched: the replicas, how the load of each
// expert is divided among them, and the resulting time of each rank. All slices are reused from layer to
// layer.
type layer struct {
	slots int
	// rankOf is the rank of each slot.
	rankOf []int32
	// load is the load of each expert; time is that of each rank, cost its time for a unit of load, speed the
	// inverse of cost.
	load  []float64
	time  []float64
	cost  []float64
	speed []float64
	// notice is the least change of a rank's time that counts as a change.
	notice float64
	// held and part are the expert in each slot and the load that its replica takes.
	held []int16
	part []float64
	// The replicas of an expert form a list through first and next; count is its length.
	first []int32
	next  []int32
	count []int16
	// queue and queued are the experts that ripple has yet to level.
	queue  []int16
	queued []bool
}

// newLayer returns the state for one layer of a shape.
func newLayer(shape expertmap.Shape, speeds []float64) *layer {
	l := &layer{
		slots: shape.Slots,
		time:  make([]float64, shape.Ranks),
		cost:  make([]float64, shape.Ranks),
		speed: speeds,
		held:  make([]int16, shape.LayerSize()),
		part:  make([]float64, shape.LayerSize()),
		first: make([]int32, shape.Experts),
		next:  make([]int32, shape.LayerSize()),
		count: make([]int16, shape.Experts),
		queue: make([]int16, 0, 2*shape.Experts),

		queued: make([]bool, shape.Experts),
	}
	for n := range shape.LayerSize() {
		l.rankOf = append(l.rankOf, int32(n/shape.Slots))
	}
	for r, speed := range speeds {
		if speed > 0 {
			l.cost[r] = 1 / speed
		}
	}
	return l
}

// reset loads a placement and the loads of the experts. Replicas on lost ranks are dropped. Shares divide
// the loads; nil shares divide them evenly.
func (l *layer) reset(placed []int16, shares, load []float64) {
	l.load = load
	l.notice = sum(load) * noticeable / float64(len(l.time))
	clear(l.time)
	for e := range l.first {
		l.first[e], l.count[e] = none, 0
	}
	for n := len(placed) - 1; n >= 0; n-- {
		l.held[n], l.part[n] = expertmap.Empty, 0
		if e := placed[n]; e != expertmap.Empty && l.cost[l.rankOf[n]] > 0 {
			l.link(n, e)
		}
	}
	for e := range l.first {
		l.divide(e, shares)
	}
}

// divide splits the load of an expert by the shares of the replicas that are left, or evenly.
func (l *layer) divide(e int, shares []float64) {
	sum := 0.0
	if shares != nil {
		for n := l.first[e]; n != none; n = l.next[n] {
			sum += shares[n]
		}
	}
	for n := l.first[e]; n != none; n = l.next[n] {
		part := l.load[e] / float64(l.count[e])
		if sum > 0 {
			part = l.load[e] * shares[n] / sum
		}
		l.setPart(int(n), part)
	}
}

// link puts an expert into an empty slot without load.
func (l *layer) link(n int, e int16) {
	l.held[n], l.part[n] = e, 0
	l.next[n] = l.first[e]
	l.first[e] = int32(n)
	l.count[e]++
}

// unlink empties a slot and takes its load off the rank.
func (l *layer) unlink(n int) {
	e := l.held[n]
	l.setPart(n, 0)
	l.held[n] = expertmap.Empty
	l.count[e]--
	if int(l.first[e]) == n {
		l.first[e] = l.next[n]
		return
	}
	at := l.first[e]
	for int(l.next[at]) != n {
		at = l.next[at]
	}
	l.next[at] = l.next[n]
}

// setPart changes the load that a replica takes.
func (l *layer) setPart(n int, part float64) {
	r := l.rankOf[n]
	l.time[r] += (part - l.part[n]) * l.cost[r]
	l.part[n] = part
}

// level divides the load of an expert so that the ranks of its replicas end as equally late as they can. It
// reports whether a noticeable part of the load moved.
func (l *layer) level(e int) bool {
	switch l.count[e] {
	case 0:
		return false
	case 1:
		l.setPart(int(l.first[e]), l.load[e])
		return false
	case 2:
		return l.levelTwo(e)
	}
	common, bound := l.commonTime(e)
	moved := false
	for n := l.first[e]; n != none; n = l.next[n] {
		r := int(l.rankOf[n])
		part := 0.0
		if rest := l.time[r] - l.part[n]*l.cost[r]; rest < bound && rest < common {
			part = (common - rest) * l.speed[r]
		}
		moved = l.shift(int(n), part) || moved
	}
	return moved
}

// levelTwo is level for an expert with two replicas.
func (l *layer) levelTwo(e int) bool {
	a := l.first[e]
	b := l.next[a]
	ra, rb := int(l.rankOf[a]), int(l.rankOf[b])
	restA := l.time[ra] - l.part[a]*l.cost[ra]
	restB := l.time[rb] - l.part[b]*l.cost[rb]
	common := (l.load[e] + restA*l.speed[ra] + restB*l.speed[rb]) / (l.speed[ra] + l.speed[rb])
	partA := (common - restA) * l.speed[ra]
	if partA < 0 {
		partA = 0
	} else if partA > l.load[e] {
		partA = l.load[e]
	}
	l.setPart(int(b), l.load[e]-partA)
	return l.shift(int(a), partA)
}

// commonTime returns the time that the ranks of an expert's replicas can share, and the bound from which on
// a rank is too late without the expert to take any of it. Dropping a rank lowers the common time, so the
// set of ranks that share only shrinks.
func (l *layer) commonTime(e int) (common, bound float64) {
	bound = maxTime
	for {
		load, speed, latest := l.load[e], 0.0, 0.0
		for n := l.first[e]; n != none; n = l.next[n] {
			r := int(l.rankOf[n])
			if rest := l.time[r] - l.part[n]*l.cost[r]; rest < bound {
				load += rest * l.speed[r]
				speed += l.speed[r]
				if rest > latest {
					latest = rest
				}
			}
		}
		common = load / speed
		if latest <= common+rounding {
			return common, bound
		}
		bound = latest
	}
}

// shift changes the load that a replica takes and reports whether the change is noticeable.
func (l *layer) shift(n int, part float64) bool {
	change := (part - l.part[n]) * l.cost[l.rankOf[n]]
	l.setPart(n, part)
	return change > l.notice || -change > l.notice
}

// ripple levels the experts around the given ones, outwards, until no noticeable load moves or the number
// of levelled experts reaches a limit.
func (l *layer) ripple(limit int, from ...int) {
	l.queue = l.queue[:0]
	for _, e := range from {
		l.enqueueAround(e)
	}
	for at := 0; at < len(l.queue) && at < limit; at++ {
		e := int(l.queue[at])
		l.queued[e] = false
		if l.level(e) {
			l.enqueueAround(e)
		}
	}
	for _, e := range l.queue {
		l.queued[e] = false
	}
}

// enqueueAround puts all experts with several replicas that share a rank with an expert into the queue.
func (l *layer) enqueueAround(e int) {
	for n := l.first[e]; n != none; n = l.next[n] {
		start := int(l.rankOf[n]) * l.slots
		for _, other := range l.held[start : start+l.slots] {
			if other == expertmap.Empty || l.count[other] < 2 || l.queued[other] {
				continue
			}
			l.queued[other] = true
			l.queue = append(l.queue, other)
		}
	}
}

// sweep levels all experts with several replicas, in turns of both directions, until no noticeable load
// moves or the rounds are over.
func (l *layer) sweep(rounds int) {
	last := len(l.load) - 1
	for round := range rounds {
		moved := false
		for e := range l.load {
			if round%2 == 1 {
				e = last - e
			}
			if l.count[e] > 1 {
				moved = l.level(e) || moved
			}
		}
		if !moved {
			return
		}
	}
}

// latest returns the rank with the greatest time below a bound, the lowest-numbered of equals, or none.
func (l *layer) latest(below float64) int {
	at := none
	for r, time := range l.time {
		if time < below && (at == none || time > l.time[at]) {
			at = r
		}
	}
	return at
}

// earliest returns the rank with the least time above a bound that can take load, or none.
func (l *layer) earliest(above float64) int {
	at := none
	for r, time := range l.time {
		if time > above && l.cost[r] > 0 && (at == none || time < l.time[at]) {
			at = r
		}
	}
	return at
}

// rankHolds reports whether a rank has a replica of an expert.
func (l *layer) rankHolds(rank int, e int16) bool {
	return slices.Contains(l.held[rank*l.slots:(rank+1)*l.slots], e)
}

// latestTime returns the time of the latest rank.
func (l *layer) latestTime() float64 {
	latest := 0.0
	for _, time := range l.time {
		if time > latest {
			latest = time
		}
	}
	return latest
}

// unevenness is the sum of the squared times; it falls with each improvement also while several ranks are
// equally late.
func (l *layer) unevenness() float64 {
	sum := 0.0
	for _, time := range l.time {
		sum += time * time
	}
	return sum
}

// copyFrom makes the state equal to another one of the same shape.
func (l *layer) copyFrom(other *layer) {
	l.load = other.load
	copy(l.time, other.time)
	copy(l.held, other.held)
	copy(l.part, other.part)
	copy(l.first, other.first)
	copy(l.next, other.next)
	copy(l.count, other.count)
}
