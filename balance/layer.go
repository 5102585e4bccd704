package balance

import "guavahitch.example/guavahitch/expertmap"

const (
	none = -1
	// maxTime is later than any rank.
	maxTime = 1e300
	// rounding is the error that sums of times may have.
	rounding = 1e-12
)

// layer is the working state of one layer while a plan is searched: the replicas, how the load of each
// expert is divided among them, and the resulting time of each rank. All slices are reused from layer to
// layer.
type layer struct {
	slots int
	// load is the load of each expert; time and cost are the time of each rank and its time per unit of load.
	load []float64
	time []float64
	cost []float64
	// held and part are the expert in each slot and the load that its replica takes.
	held []int16
	part []float64
	// The replicas of an expert form a list through first and next; count is its length.
	first []int32
	next  []int32
	count []int16
}

// newLayer returns the state for one layer of a shape.
func newLayer(shape expertmap.Shape, speeds []float64) *layer {
	l := &layer{
		slots: shape.Slots,
		time:  make([]float64, shape.Ranks),
		cost:  make([]float64, shape.Ranks),
		held:  make([]int16, shape.LayerSize()),
		part:  make([]float64, shape.LayerSize()),
		first: make([]int32, shape.Experts),
		next:  make([]int32, shape.LayerSize()),
		count: make([]int16, shape.Experts),
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
	clear(l.time)
	for e := range l.first {
		l.first[e], l.count[e] = none, 0
	}
	for n := len(placed) - 1; n >= 0; n-- {
		l.held[n], l.part[n] = expertmap.Empty, 0
		if e := placed[n]; e != expertmap.Empty && l.cost[n/l.slots] > 0 {
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
	r := n / l.slots
	l.time[r] += (part - l.part[n]) * l.cost[r]
	l.part[n] = part
}

// level divides the load of an expert so that the ranks of its replicas end as equally late as they can.
func (l *layer) level(e int) {
	if l.count[e] < 2 {
		l.levelOne(e)
		return
	}
	// A rank that is later than the common time without this expert takes none of it; dropping it lowers
	// the common time, so the set of ranks that share only shrinks.
	bound := maxTime
	for {
		load, speed, dropped := l.load[e], 0.0, false
		for n := l.first[e]; n != none; n = l.next[n] {
			r := int(n) / l.slots
			if rest := l.time[r] - l.part[n]*l.cost[r]; rest < bound {
				load += rest / l.cost[r]
				speed += 1 / l.cost[r]
			}
		}
		common := load / speed
		for n := l.first[e]; n != none; n = l.next[n] {
			r := int(n) / l.slots
			rest := l.time[r] - l.part[n]*l.cost[r]
			dropped = dropped || rest < bound && rest > common+rounding
		}
		if !dropped {
			l.assign(e, common, bound)
			return
		}
		bound = common
	}
}

// levelOne gives a single replica the whole load.
func (l *layer) levelOne(e int) {
	if n := l.first[e]; n != none {
		l.setPart(int(n), l.load[e])
	}
}

// assign raises each rank below the bound to the common time.
func (l *layer) assign(e int, common, bound float64) {
	for n := l.first[e]; n != none; n = l.next[n] {
		r := int(n) / l.slots
		rest := l.time[r] - l.part[n]*l.cost[r]
		part := 0.0
		if rest < bound && rest < common {
			part = (common - rest) / l.cost[r]
		}
		l.setPart(int(n), part)
	}
}

// sweep levels all experts with several replicas, in turns of both directions.
func (l *layer) sweep(rounds int) {
	last := len(l.load) - 1
	for round := range rounds {
		for e := range l.load {
			if round%2 == 1 {
				e = last - e
			}
			if l.count[e] > 1 {
				l.level(e)
			}
		}
	}
}

// latest returns the rank with the greatest time, the lowest-numbered of equals.
func (l *layer) latest() int {
	at := 0
	for r, time := range l.time {
		if time > l.time[at] {
			at = r
		}
	}
	return at
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

// holds reports whether a rank has a replica of an expert.
func (l *layer) holds(rank int, e int16) bool {
	for _, held := range l.held[rank*l.slots : (rank+1)*l.slots] {
		if held == e {
			return true
		}
	}
	return false
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
