package lockstep

import (
	"math"
	"slices"
	"time"

	"guavahitch.example/guavahitch/relocation"
)

const (
	// shortHalfLife is the time in which a count loses half of its weight in the short-term estimate.
	shortHalfLife = 80 * time.Millisecond
	// shiftDistance is the distance between the short-term and the long-term estimate above which the demand counts as
	// changed. The distance is the sum over all experts of the difference of their shares, between 0 and 2.
	shiftDistance = 0.25
	// changeTime is the time in which several changes of the demand count as one.
	changeTime = 600 * time.Millisecond
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
		// outlook expects how long the demand lasts.
		outlook relocation.Outlook
		// changed is when the demand changed last.
		changed time.Time
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

// add takes the counts that all ranks reported at one time. When the demand has changed, the counts of this report
// without those of the earlier demand replace the estimate.
func (d *demand) add(states []State, now time.Time) {
	if !d.updated.IsZero() {
		decay(d.load, now.Sub(d.updated), d.halfLife)
		decay(d.shortTerm, now.Sub(d.updated), shortHalfLife)
	}
	d.updated = now
	recent := d.takeCounts(states)
	earlier := clone(d.load)
	addTo(d.load, recent)
	addTo(d.shortTerm, recent)
	if relocation.Total(d.load) > 0 {
		d.outlook = d.outlook.WithStart(now)
	}
	isEnough := relocation.Total(d.shortTerm) >= minChoices*float64(len(states))
	if isEnough && distance(d.load, d.shortTerm) > shiftDistance {
		d.replace(relocation.WithoutEarlier(recent, earlier), now)
	}
	d.saveKnown()
}

// replace makes the estimate that of a demand which has just changed. Changes within changeTime count as one.
func (d *demand) replace(load [][]float64, now time.Time) {
	for set := range load {
		copy(d.load[set], load[set])
		copy(d.shortTerm[set], load[set])
	}
	if now.Sub(d.changed) > changeTime {
		d.outlook = d.outlook.WithChange(now)
	}
	d.changed = now
}

// isKnown reports whether the estimate is based on enough counts.
func (d *demand) isKnown() bool {
	return relocation.Total(d.load) >= minChoices*float64(len(d.load)*len(d.load[0]))
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
	sumA, sumB := relocation.Total(a), relocation.Total(b)
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

// takeCounts returns how often each expert was chosen since the last reports of the ranks, by set and expert. Counts start
// at 0 when the engine restarts.
func (d *demand) takeCounts(states []State) [][]float64 {
	recent := make([][]float64, len(d.load))
	for set := range recent {
		recent[set] = make([]float64, len(d.load[set]))
	}
	for _, s := range states {
		d.takeRank(s, recent)
	}
	return recent
}

func (d *demand) takeRank(s State, recent [][]float64) {
	if len(s.Counts) == 0 {
		return
	}
	before := d.last[s.Rank]
	d.last[s.Rank] = rankCounts{born: s.Born, counts: s.Counts}
	isSame := before.born == s.Born && len(before.counts) == len(s.Counts)
	if len(recent) == 0 || len(s.Counts) != len(recent)*len(recent[0]) {
		return
	}
	experts := len(recent[0])
	for i, count := range s.Counts {
		earlier := uint32(0)
		if isSame && before.counts[i] <= count {
			earlier = before.counts[i]
		}
		recent[i/experts][i%experts] += float64(count - earlier)
	}
}

func clone(load [][]float64) [][]float64 {
	copied := make([][]float64, len(load))
	for set := range load {
		copied[set] = slices.Clone(load[set])
	}
	return copied
}

func addTo(load, more [][]float64) {
	for set := range load {
		for e := range load[set] {
			load[set][e] += more[set][e]
		}
	}
}
