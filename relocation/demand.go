package relocation

import "slices"

const (
	// popularity is how many times the mean an expert must have been chosen to show that the demand has changed.
	popularity = 2.0
	// maxEarlierPart is the largest part of a report that is taken for the earlier demand. What is left of a report with
	// more of it tells too little.
	maxEarlierPart = 0.75
)

// WithoutEarlier returns the counts of a report, by set and expert, without those that belong to the earlier demand, since
// the demand changes in the middle of a report. The part of the earlier demand is the largest that leaves no popular expert of
// it below zero: some of these are hardly chosen any more.
func WithoutEarlier(recent, earlier [][]float64) [][]float64 {
	sumRecent, sumEarlier := Total(recent), Total(earlier)
	if sumRecent == 0 || sumEarlier == 0 {
		return recent
	}
	part := 1.0
	for set := range earlier {
		popular := popularity * sumEarlier / float64(len(earlier)*len(earlier[set]))
		for e, weight := range earlier[set] {
			if weight > popular {
				part = min(part, recent[set][e]/sumRecent*sumEarlier/weight)
			}
		}
	}
	if part > maxEarlierPart {
		return recent
	}
	rest := make([][]float64, len(recent))
	for set := range rest {
		rest[set] = slices.Clone(recent[set])
		for e := range rest[set] {
			rest[set][e] = max(rest[set][e]-part*sumRecent*earlier[set][e]/sumEarlier, 0)
		}
	}
	return rest
}

// Total returns the sum over all sets and experts.
func Total(load [][]float64) float64 {
	sum := 0.0
	for _, set := range load {
		for _, weight := range set {
			sum += weight
		}
	}
	return sum
}
