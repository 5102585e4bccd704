package balance

import "slices"

// This file levels all layers of a map together, under a bound on the new experts of each rank in all layers.

type (
	// MapLeveller levels the layers of one map step by step. It is not safe for concurrent use.
	MapLeveller struct {
		layers []*leveller
		// before holds the skew of each layer at first, and after the present one.
		before, after []float64
		// changesLeft bounds the changes of each layer.
		changesLeft []int
		// best holds the best change of each layer, valid unless isStale is set.
		best    []scoredChange
		isStale []bool
		// newExperts holds the new experts of each rank in all layers, which are at most maxTotal.
		newExperts []int
		maxTotal   int
	}

	// scoredChange is a change with its gain, which is 0 if no change is worth making.
	scoredChange struct {
		change change
		gain   float64
	}

	// MapResult is what a MapLeveller has reached.
	MapResult struct {
		// Before and After are the time of the busiest rank over the mean, averaged over the layers.
		Before, After float64
		// Moved is the number of experts that are new to a rank, MaxMoved that of the rank with the most.
		Moved, MaxMoved int
	}
)

// NewMapLeveller returns a leveller of a map for the given load of each expert by layer. UnitTimes holds the time that
// each rank takes for a unit of load; nil means all are equal. A rank holds at most slots experts of a layer, of which
// at most maxNew are new to it.
func NewMapLeveller(present []Placement, load [][]float64, unitTimes []float64, slots, maxNew int) *MapLeveller {
	m := &MapLeveller{}
	for n, placement := range present {
		l := newLeveller(placement, load[n], unitTimes, slots, maxNew)
		l.mayMove = m.mayMove
		m.layers = append(m.layers, l)
		m.before = append(m.before, l.skew())
		m.after = append(m.after, l.skew())
		m.changesLeft = append(m.changesLeft, maxChangesPerRank*len(placement))
		m.best = append(m.best, scoredChange{})
		m.isStale = append(m.isStale, true)
	}
	m.newExperts = make([]int, len(present[0]))
	return m
}

// mayMove reports whether a rank may take a further new expert.
func (m *MapLeveller) mayMove(r int) bool { return m.newExperts[r] < m.maxTotal }

// Level makes the best changes of all layers one by one, with at most maxTotal new experts on each rank, until the
// busiest rank of each layer is at most goal times the mean or no change is worth making.
func (m *MapLeveller) Level(maxTotal int, goal float64) {
	m.maxTotal = maxTotal
	for n := range m.isStale {
		m.isStale[n] = true
	}
	for {
		n := m.bestLayer(goal)
		if n < 0 {
			return
		}
		m.apply(n)
	}
}

// bestLayer returns the layer whose best change has the largest gain, or -1.
func (m *MapLeveller) bestLayer(goal float64) int {
	at := -1
	for n, l := range m.layers {
		if m.changesLeft[n] == 0 || m.after[n] <= goal {
			continue
		}
		if m.isStale[n] || !m.isAllowed(n) {
			m.best[n].change, m.best[n].gain = l.bestChange()
			m.isStale[n] = false
		}
		if m.best[n].gain > 0 && (at < 0 || m.best[n].gain > m.best[at].gain) {
			at = n
		}
	}
	return at
}

// isAllowed reports whether the best change of a layer is still within the bound of its ranks.
func (m *MapLeveller) isAllowed(n int) bool {
	l, c := m.layers[n], m.best[n].change
	if m.best[n].gain == 0 {
		return true
	}
	if c.in != unset && !l.mayTake(c.rank, c.in) {
		return false
	}
	return c.other == unset || l.mayTake(c.other, c.out)
}

// apply makes the best change of a layer.
func (m *MapLeveller) apply(n int) {
	l := m.layers[n]
	for r, count := range l.newExperts {
		m.newExperts[r] -= count
	}
	l.apply(m.best[n].change)
	for r, count := range l.newExperts {
		m.newExperts[r] += count
	}
	m.after[n] = l.skew()
	m.changesLeft[n]--
	m.isStale[n] = true
}

// Result returns what was reached so far.
func (m *MapLeveller) Result() MapResult {
	result := MapResult{}
	moved := make([]int, len(m.newExperts))
	count := float64(len(m.layers))
	for n, l := range m.layers {
		result.Before += m.before[n] / count
		result.After += min(m.after[n], m.before[n]) / count
		if m.isWorse(n) {
			continue
		}
		for r, newExperts := range l.newExperts {
			moved[r] += newExperts
		}
	}
	for _, n := range moved {
		result.Moved += n
		result.MaxMoved = max(result.MaxMoved, n)
	}
	return result
}

// Placements returns the map as it is now. A layer that the changes have made less even is as at first.
func (m *MapLeveller) Placements() []Placement {
	var placements []Placement
	for n, l := range m.layers {
		if m.isWorse(n) {
			placements = append(placements, l.present)
			continue
		}
		held := make(Placement, len(l.held))
		for r, experts := range l.held {
			held[r] = slices.Clone(experts)
		}
		placements = append(placements, held)
	}
	return placements
}

// isWorse reports whether the changes have made a layer less even: they evened out other ranks but raised the busiest one,
// which alone determines the time of a pass.
func (m *MapLeveller) isWorse(n int) bool { return m.after[n] > m.before[n] }
