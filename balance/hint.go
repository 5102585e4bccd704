package balance

import "sync"

// RankHint tells on which rank of a group a request should run, so that the running tokens of the ranks even
// out and no rank makes the steps of all others long. Requests placed since the last report count at once,
// so that lagged reports do not send many requests to one rank. It is safe for concurrent use.
type RankHint struct {
	mutex sync.Mutex
	cost  []float64
	// reported holds the running tokens of the last report; placed those of requests that it cannot hold yet.
	reported []float64
	placed   []float64
	previous []float64
}

// NewRankHint returns a hint for ranks of the given speeds, without load; a rank of speed 0 gets nothing.
func NewRankHint(speeds []float64) *RankHint {
	h := &RankHint{
		cost:     make([]float64, len(speeds)),
		reported: make([]float64, len(speeds)),
		placed:   make([]float64, len(speeds)),
		previous: make([]float64, len(speeds)),
	}
	h.SetSpeeds(speeds)
	return h
}

// SetSpeeds changes the speeds of the ranks.
func (h *RankHint) SetSpeeds(speeds []float64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for r := range h.cost {
		h.cost[r] = 0
		if r < len(speeds) && speeds[r] > 0 {
			h.cost[r] = 1 / speeds[r]
		}
	}
}

// Report takes in the running tokens of each rank. What was placed before the report before this one is in
// it; what was placed since may not be, and counts until the next report.
func (h *RankHint) Report(runningTokens []int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for r := range h.reported {
		if r < len(runningTokens) {
			h.reported[r] = float64(runningTokens[r])
		}
	}
	copy(h.previous, h.placed)
	clear(h.placed)
}

// Place returns the rank that is earliest with a request of so many tokens, the lowest-numbered of equals,
// and counts the tokens to it; -1 when all ranks are lost.
func (h *RankHint) Place(tokens int64) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at, earliest := none, maxTime
	for r, cost := range h.cost {
		if cost == 0 {
			continue
		}
		if time := (h.reported[r] + h.previous[r] + h.placed[r] + float64(tokens)) * cost; time < earliest {
			at, earliest = r, time
		}
	}
	if at != none {
		h.placed[at] += float64(tokens)
	}
	return at
}
