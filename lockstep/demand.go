package lockstep

import (
	"math"
	"time"
)

const (
	// shortHalfLife is the time in which a count loses half of its weight in the short-term estimate.
	shortHalfLife = 80 * time.Millisecond
	// shiftDistance is the distance between the short-term and the long-term estimate above which the demand counts as
	// changed. The distance is the sum over all experts of the difference of their shares, between 0 and 2.
	shiftDistance = 0.25
)

type (
	// demand estimates how often each expert is chosen, from the counts that ranks report.
	demand struct {
		halfLife time.Duration
		last     map[int]rankCounts
		// load is the estimate, shortTerm an estimate with a shorter half-life. Both are indexed by set and expert.
		load, shortTerm [][]float64
		// lastKnown is the last estimate that was based on enough counts, nil before there was one.
		lastKnown [][]float64
		updated   time.Time
	}

	// rankCounts is the last report of a rank.
	rankCounts struct {
		born   int64
		counts []uint32
	}
)

func newDemand(shape Shape, halfLife time.Duration) *demand {
	d := &demand{halfLife: halfLife, last: map[int]rankCounts{}}
	for range shape.Sets {
		d.load = append(d.load, make([]float64, shape.Experts))
		d.shortTerm = append(d.shortTerm, make([]float64, shape.Experts))
	}
	return d
}

// add takes the counts that all ranks reported at one time. When the demand has changed, the short-term estimate
// replaces the long-term one.
func (d *demand) add(states []State, now time.Time) {
	if !d.updated.IsZero() {
		decay(d.load, now.Sub(d.updated), d.halfLife)
		decay(d.shortTerm, now.Sub(d.updated), shortHalfLife)
	}
	d.updated = now
	for _, s := range states {
		d.addRank(s)
	}
	if total(d.shortTerm) >= minChoices*float64(len(states)) && distance(d.load, d.shortTerm) > shiftDistance {
		for set := range d.load {
			copy(d.load[set], d.shortTerm[set])
		}
	}
	d.saveKnown()
}

// isKnown reports whether the estimate is based on enough counts.
func (d *demand) isKnown() bool {
	return total(d.load) >= minChoices*float64(len(d.load)*len(d.load[0]))
}

// saveKnown stores the estimate in lastKnown if it is based on enough counts.
func (d *demand) saveKnown() {
	if !d.isKnown() {
		return
	}
	if d.lastKnown == nil {
		for _, set := range d.load {
			d.lastKnown = append(d.lastKnown, make([]float64, len(set)))
		}
	}
	for set := range d.load {
		copy(d.lastKnown[set], d.load[set])
	}
}

// estimate returns the demand to plan for, nil when too little is known. A group that has just formed again has lost
// its counts. Its requests are assumed to be like those before, so the last known estimate is used.
func (d *demand) estimate(isNewGroup bool) [][]float64 {
	switch {
	case d.isKnown():
		return d.load
	case isNewGroup:
		return d.lastKnown
	default:
		return nil
	}
}

// decay reduces the weight of all counts for the time that has passed.
func decay(load [][]float64, passed, halfLife time.Duration) {
	factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for _, set := range load {
		for e := range set {
			set[e] *= factor
		}
	}
}

// distance returns the sum over all experts of the absolute difference of their shares in two estimates.
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

// addRank adds the counts of a rank since its last report. Counts start at 0 when the engine restarts.
func (d *demand) addRank(s State) {
	if len(s.Counts) == 0 {
		return
	}
	before := d.last[s.Rank]
	d.last[s.Rank] = rankCounts{born: s.Born, counts: s.Counts}
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
		d.shortTerm[i/experts][i%experts] += float64(count - earlier)
	}
}

// total returns the sum over all sets and experts.
func total(load [][]float64) float64 {
	sum := 0.0
	for _, set := range load {
		for _, v := range set {
			sum += v
		}
	}
	return sum
}
