package routing

import (
	"cmp"
	"slices"

	"guavahitch.example/guavahitch/wire"
)

const (
	// slowRankRatio is the ratio of a rank's step time to the one predicted from its tokens above which the rank
	// counts as slow.
	slowRankRatio = 1.15
	// maxSlowRatio bounds the factor by which a slow rank gets less work.
	maxSlowRatio = 8.0
)

type (
	// rankView is the last load report of the ranks of one upstream.
	rankView struct {
		others []int64   // running tokens of other entries on each rank
		slow   []float64 // ratio of the step time to the predicted one; 1 for a rank that is not slow
	}

	// stepLine predicts the step time of a rank from its running tokens.
	stepLine struct {
		base  float64 // step time without tokens, in microseconds
		slope float64 // microseconds per token
	}
)

// newRankView returns the view of the reported loads. The entry's own tokens that were on each rank at the time of
// the sample are subtracted.
func newRankView(loads []*wire.RankLoad, own []int64) *rankView {
	v := &rankView{others: make([]int64, len(own)), slow: make([]float64, len(own))}
	for n := range v.slow {
		v.slow[n] = 1
	}
	line := newStepLine(loads)
	for _, l := range loads {
		n := int(l.Rank)
		if n < 0 || n >= len(own) {
			continue
		}
		v.others[n] = max(0, l.RunningTokens-own[n])
		if ratio := line.ratio(l); ratio > slowRankRatio {
			v.slow[n] = min(ratio, maxSlowRatio)
		}
	}
	return v
}

// newStepLine fits a resistant line through the median points of the ranks with fewer and with more tokens. The fit
// tells a loaded rank from a slow one, and a few slow ranks do not shift it.
func newStepLine(loads []*wire.RankLoad) stepLine {
	if len(loads) == 0 {
		return stepLine{}
	}
	sorted := slices.Clone(loads)
	slices.SortFunc(sorted, func(a, b *wire.RankLoad) int {
		return cmp.Or(cmp.Compare(a.RunningTokens, b.RunningTokens), cmp.Compare(a.StepUs, b.StepUs))
	})
	half := (len(sorted) + 1) / 2
	lowTokens, lowStep := medianLoad(sorted[:half])
	highTokens, highStep := medianLoad(sorted[len(sorted)-half:])
	line := stepLine{}
	if highTokens > lowTokens {
		line.slope = max(0, (highStep-lowStep)/(highTokens-lowTokens))
	}
	rests := make([]float64, len(sorted))
	for n, l := range sorted {
		rests[n] = float64(l.StepUs) - line.slope*float64(l.RunningTokens)
	}
	line.base = median(rests)
	return line
}

// ratio returns the step time of a rank relative to the predicted one, or 0 when the prediction is not positive.
func (l stepLine) ratio(load *wire.RankLoad) float64 {
	explained := l.base + l.slope*float64(load.RunningTokens)
	if explained <= 0 {
		return 0
	}
	return float64(load.StepUs) / explained
}

// medianLoad returns the median running tokens and the median step time, in microseconds.
func medianLoad(loads []*wire.RankLoad) (tokens, step float64) {
	allTokens, allSteps := make([]float64, len(loads)), make([]float64, len(loads))
	for n, l := range loads {
		allTokens[n], allSteps[n] = float64(l.RunningTokens), float64(l.StepUs)
	}
	return median(allTokens), median(allSteps)
}

// median returns the lower median.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

// pickRank returns the rank on which the tokens delay the common step least, or -1 when the engine places requests
// itself. All ranks step together, so the rank with the largest product of running tokens and slow factor determines
// the step time.
func (a *upstreamState) pickRank(tokens int64) int {
	best, bestTime := -1, 0.0
	view := a.ranks.Load()
	for n := range a.rankTokens {
		held := a.rankTokens[n].Load()
		slow := 1.0
		if view != nil {
			held += view.others[n]
			slow = view.slow[n]
		}
		time := float64(held+tokens) * slow
		if best < 0 || time < bestTime {
			best, bestTime = n, time
		}
	}
	return best
}
