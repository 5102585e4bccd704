package routing

import (
	"slices"

	"guavahitch.example/guavahitch/wire"
)

const (
	// slowRank is the ratio to the median step time from which a rank counts as slow.
	slowRank = 1.15
	// worstRank bounds the ratio by which a slow rank is given less.
	worstRank = 8.0
)

// rankView is the last report on the ranks of one upstream.
type rankView struct {
	tokens []int64   // running tokens of each rank
	slow   []float64 // step time relative to the median of the group, 1 for a rank that is not slow
}

func newRankView(loads []*wire.RankLoad, ranks int) *rankView {
	v := &rankView{tokens: make([]int64, ranks), slow: make([]float64, ranks)}
	rates := make([]float64, 0, len(loads))
	for n := range v.slow {
		v.slow[n] = 1
	}
	for _, l := range loads {
		rates = append(rates, rankRate(l))
	}
	median := medianOf(rates)
	for _, l := range loads {
		n := int(l.Rank)
		if n < 0 || n >= ranks {
			continue
		}
		v.tokens[n] = l.RunningTokens
		if rate := rankRate(l); median > 0 && rate > slowRank*median {
			v.slow[n] = min(rate/median, worstRank)
		}
	}
	return v
}

// rankRate returns the step time of a rank for each of its running tokens, so that a loaded rank is told from
// a slow one.
func rankRate(l *wire.RankLoad) float64 {
	return float64(l.StepUs) / float64(max(l.RunningTokens, 1))
}

func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// pickRank returns the rank whose share of a step would grow least late, or -1 when the engine places requests.
// All ranks step together, so the rank with the largest running tokens times its slow factor sets the step time.
func (a *account) pickRank(tokens int64) int {
	best, bestTime := -1, 0.0
	view := a.ranks.Load()
	for n := range a.rankWork {
		held := a.rankWork[n].Load()
		slow := 1.0
		if view != nil && n < len(view.tokens) {
			held = max(held, view.tokens[n])
			slow = view.slow[n]
		}
		time := float64(held+tokens) * slow
		if best < 0 || time < bestTime {
			best, bestTime = n, time
		}
	}
	return best
}
