package lockstep

import (
	"math"
	"time"
)

const (
	// latestHalfLife is the time in which a count loses half of its weight in the latest demand.
	latestHalfLife = 80 * time.Millisecond
	// shiftDistance is the distance of the latest demand from the estimate, as the sum over all experts of the
	// difference of their shares, beyond which the demand counts as another one. It lies between 0 and 2.
	shiftDistance = 0.25
)

type (
	// demand estimates how often each expert is chosen, from the counts of the ranks.
	demand struct {
		halfLife time.Duration
		last     map[int]counted
		// load is the estimate, latest one that forgets sooner; both by set and expert.
		load, latest [][]float64
		// known is the last estimate that rested on enough counts, nil before there was one.
		known   [][]float64
		updated time.Time
	}

	// counted is what a rank reported last.
	counted struct {
		born   int64
		counts []uint32
	}
)

func newDemand(shape Shape, halfLife time.Duration) *demand {
	d := &demand{halfLife: halfLife, last: map[int]counted{}}
	for range shape.Sets {
		d.load = append(d.load, make([]float64, shape.Experts))
		d.latest = append(d.latest, make([]float64, shape.Experts))
	}
	return d
}

// add takes the counts of all ranks at one time. When what is in demand has changed, the estimate starts anew.
func (d *demand) add(states []State, now time.Time) {
	if !d.updated.IsZero() {
		fade(d.load, now.Sub(d.updated), d.halfLife)
		fade(d.latest, now.Sub(d.updated), latestHalfLife)
	}
	d.updated = now
	for _, s := range states {
		d.addRank(s)
	}
	if total(d.latest) >= leastChoices*float64(len(states)) && distance(d.load, d.latest) > shiftDistance {
		for set := range d.load {
			copy(d.load[set], d.latest[set])
		}
	}
	d.keep()
}

// isKnown reports whether the estimate rests on enough counts.
func (d *demand) isKnown() bool {
	return total(d.load) >= leastChoices*float64(len(d.load)*len(d.load[0]))
}

// keep remembers an estimate that rests on enough counts.
func (d *demand) keep() {
	if !d.isKnown() {
		return
	}
	if d.known == nil {
		for _, set := range d.load {
			d.known = append(d.known, make([]float64, len(set)))
		}
	}
	for set := range d.load {
		copy(d.known[set], d.load[set])
	}
}

// estimate returns the demand to plan for, nil when too little is known. A group that has formed anew lost its counts,
// and is asked for what it was asked for before.
func (d *demand) estimate(isNew bool) [][]float64 {
	switch {
	case d.isKnown():
		return d.load
	case isNew:
		return d.known
	default:
		return nil
	}
}

func fade(load [][]float64, passed, halfLife time.Duration) {
	factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for _, set := range load {
		for e := range set {
			set[e] *= factor
		}
	}
}

// distance returns the sum over all experts of the difference of their shares in two demands.
func distance(a, b [][]float64) float64 {
	sumA, sumB := total(a), total(b)
	if sumA == 0 || sumB == 0 {
		return 0
	}
	sum := 0.0
	for set := range a {
		for e := range a[set] {
			sum += math.Abs(a[set][e]/sumA - b[set][e]/sumB)
		}
	}
	return sum
}

// addRank adds what a rank counted since its last report; counts start anew with the engine.
func (d *demand) addRank(s State) {
	if len(s.Counts) == 0 {
		return
	}
	before := d.last[s.Rank]
	d.last[s.Rank] = counted{born: s.Born, counts: s.Counts}
	isSame := before.born == s.Born && len(before.counts) == len(s.Counts)
	if len(d.load) == 0 || len(s.Counts) != len(d.load)*len(d.load[0]) {
		return
	}
	experts := len(d.load[0])
	for i, count := range s.Counts {
		earlier := uint32(0)
		if isSame && before.counts[i] <= count {
			earlier = before.counts[i]
		}
		d.load[i/experts][i%experts] += float64(count - earlier)
		d.latest[i/experts][i%experts] += float64(count - earlier)
	}
}

// total returns the sum over all experts.
func total(load [][]float64) float64 {
	sum := 0.0
	for _, set := range load {
		for _, v := range set {
			sum += v
		}
	}
	return sum
}
