package balance

import (
	"slices"

	"guavahitch.example/guavahitch/expertmap"
)

const (
	none = -1
	// maxTime is greater than the time of any rank.
	maxTime = 1e300
	// roundingError is the error that sums of times may have.
	roundingError = 1e-12
	// minRelativeChange is the smallest change of a rank's time that counts as a change, relative to the mean.
	minRelativeChange = 2e-4
)

// layer is the working state of one layer during the search for a plan: the replicas, the load that each of them
// takes, and the resulting time of each rank. The rank with the greatest time is the busiest, and the whole layer
// takes as long as that rank. The slices are reused from layer to layer.
type layer struct {
	slots int
	// rankOf is the rank of each slot.
	rankOf []int32
	// load is the load of each expert. time is the time of each rank, cost the rank's time for a unit of load, and
	// speed the inverse of cost.
	load  []float64
	time  []float64
	cost  []float64
	speed []float64
	// minChange is the smallest change of a rank's time that counts as a change.
	minChange float64
	// held is the expert in each slot, and replicaLoad the load that its replica takes.
	held        []int16
	replicaLoad []float64
	// The replicas of an expert form a linked list through first and next; count is its length.
	first []int32
	next  []int32
	count []int16
	// queue and queued are the experts that levelAround has yet to level.
	queue  []int16
	queued []bool
}

// newLayer returns the state for one layer of a shape.
func newLayer(shape expertmap.Shape, speeds []float64) *layer {
	l := &layer{
		slots:       shape.Slots,
		time:        make([]float64, shape.Ranks),
		cost:        make([]float64, shape.Ranks),
		speed:       speeds,
		held:        make([]int16, shape.LayerSize()),
		replicaLoad: make([]float64, shape.LayerSize()),
		first:       make([]int32, shape.Experts),
		next:        make([]int32, shape.LayerSize()),
		count:       make([]int16, shape.Experts),
		queue:       make([]int16, 0, 2*shape.Experts),

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

// reset loads a placement and the loads of the experts. Replicas on lost ranks are dropped. Shares divide the load of
// each expert among its replicas; nil shares divide it evenly.
func (l *layer) reset(placed []int16, shares, load []float64) {
	l.load = load
	l.minChange = sum(load) * minRelativeChange / float64(len(l.time))
	clear(l.time)
	for e := range l.first {
		l.first[e], l.count[e] = none, 0
	}
	for n := len(placed) - 1; n >= 0; n-- {
		l.held[n], l.replicaLoad[n] = expertmap.Empty, 0
		if e := placed[n]; e != expertmap.Empty && l.cost[l.rankOf[n]] > 0 {
			l.link(n, e)
		}
	}
	for e := range l.first {
		l.divide(e, shares)
	}
}

// divide splits the load of an expert by the shares of its remaining replicas, or evenly when shares is nil or they
// add up to 0.
func (l *layer) divide(e int, shares []float64) {
	sum := 0.0
	if shares != nil {
		for n := l.first[e]; n != none; n = l.next[n] {
			sum += shares[n]
		}
	}
	for n := l.first[e]; n != none; n = l.next[n] {
		replicaLoad := l.load[e] / float64(l.count[e])
		if sum > 0 {
			replicaLoad = l.load[e] * shares[n] / sum
		}
		l.setReplicaLoad(int(n), replicaLoad)
	}
}

// link puts an expert into an empty slot without load.
func (l *layer) link(n int, e int16) {
	l.held[n], l.replicaLoad[n] = e, 0
	l.next[n] = l.first[e]
	l.first[e] = int32(n)
	l.count[e]++
}

// unlink empties a slot and takes its load off the rank.
func (l *layer) unlink(n int) {
	e := l.held[n]
	l.setReplicaLoad(n, 0)
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

// setReplicaLoad sets the load that a replica takes and updates the time of its rank.
func (l *layer) setReplicaLoad(n int, replicaLoad float64) {
	r := l.rankOf[n]
	l.time[r] += (replicaLoad - l.replicaLoad[n]) * l.cost[r]
	l.replicaLoad[n] = replicaLoad
}

// level divides the load of an expert so that the ranks of its replicas finish at the same time, as far as the load
// suffices. It reports whether a noticeable amount of load moved.
func (l *layer) level(e int) bool {
	switch l.count[e] {
	case 0:
		return false
	case 1:
		l.setReplicaLoad(int(l.first[e]), l.load[e])
		return false
	case 2:
		return l.levelTwo(e)
	}
	common, bound := l.commonTime(e)
	moved := false
	for n := l.first[e]; n != none; n = l.next[n] {
		r := int(l.rankOf[n])
		replicaLoad := 0.0
		if rest := l.time[r] - l.replicaLoad[n]*l.cost[r]; rest < bound && rest < common {
			replicaLoad = (common - rest) * l.speed[r]
		}
		moved = l.shift(int(n), replicaLoad) || moved
	}
	return moved
}

// levelTwo is level for an expert with two replicas.
func (l *layer) levelTwo(e int) bool {
	a := l.first[e]
	b := l.next[a]
	ra, rb := int(l.rankOf[a]), int(l.rankOf[b])
	restA := l.time[ra] - l.replicaLoad[a]*l.cost[ra]
	restB := l.time[rb] - l.replicaLoad[b]*l.cost[rb]
	common := (l.load[e] + restA*l.speed[ra] + restB*l.speed[rb]) / (l.speed[ra] + l.speed[rb])
	loadA := (common - restA) * l.speed[ra]
	if loadA < 0 {
		loadA = 0
	} else if loadA > l.load[e] {
		loadA = l.load[e]
	}
	l.setReplicaLoad(int(b), l.load[e]-loadA)
	return l.shift(int(a), loadA)
}

// commonTime returns the time at which the ranks of an expert's replicas can finish together, and a bound. A rank
// whose time without the expert reaches the bound takes none of its load. Leaving out a rank lowers the common time,
// so the set of ranks that share the load only shrinks.
func (l *layer) commonTime(e int) (common, bound float64) {
	bound = maxTime
	for {
		load, speed, maxRest := l.load[e], 0.0, 0.0
		for n := l.first[e]; n != none; n = l.next[n] {
			r := int(l.rankOf[n])
			if rest := l.time[r] - l.replicaLoad[n]*l.cost[r]; rest < bound {
				load += rest * l.speed[r]
				speed += l.speed[r]
				if rest > maxRest {
					maxRest = rest
				}
			}
		}
		common = load / speed
		if maxRest <= common+roundingError {
			return common, bound
		}
		bound = maxRest
	}
}

// shift sets the load that a replica takes and reports whether the time of its rank changes by more than minChange.
func (l *layer) shift(n int, replicaLoad float64) bool {
	change := (replicaLoad - l.replicaLoad[n]) * l.cost[l.rankOf[n]]
	l.setReplicaLoad(n, replicaLoad)
	return change > l.minChange || -change > l.minChange
}

// levelAround levels the experts that share ranks with the given ones, and continues with the neighbours of each
// expert whose load moved noticeably. It stops after limit experts.
func (l *layer) levelAround(limit int, from ...int) {
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

// enqueueAround adds all experts with several replicas that share a rank with an expert to the queue.
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

// levelAll levels all experts with several replicas, alternating the direction from round to round, until no
// noticeable load moves or all rounds are done.
func (l *layer) levelAll(rounds int) {
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

// busiest returns the rank with the greatest time below a bound, the lowest-numbered one among equals, or none.
func (l *layer) busiest(below float64) int {
	at := none
	for r, time := range l.time {
		if time < below && (at == none || time > l.time[at]) {
			at = r
		}
	}
	return at
}

// leastBusy returns the rank with the smallest time above a bound, without lost ranks, or none.
func (l *layer) leastBusy(above float64) int {
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

// maxRankTime returns the time of the busiest rank, which is the time of the layer.
func (l *layer) maxRankTime() float64 {
	greatest := 0.0
	for _, time := range l.time {
		if time > greatest {
			greatest = time
		}
	}
	return greatest
}

// unevenness returns the sum of the squared rank times. Unlike the maximum, it falls with each improvement even while
// several ranks are equally busy.
func (l *layer) unevenness() float64 {
	sum := 0.0
	for _, time := range l.time {
		sum += time * time
	}
	return sum
}

// copyFrom copies the state of another layer of the same shape.
func (l *layer) copyFrom(other *layer) {
	l.load = other.load
	copy(l.time, other.time)
	copy(l.held, other.held)
	copy(l.replicaLoad, other.replicaLoad)
	copy(l.first, other.first)
	copy(l.next, other.next)
	copy(l.count, other.count)
}
