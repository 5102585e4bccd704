package balance

import "sync"

// RankHint suggests the rank of a group on which a request should run, so that the ranks have equal numbers of
// running tokens and no rank delays the steps of all others. Requests placed since the last report count at once;
// otherwise delayed reports would send many requests to one rank. It is safe for concurrent use.
type RankHint struct {
	mutex sync.Mutex
	cost  []float64
	// reported holds the running tokens of the last report, placed the tokens of requests placed since then, and
	// previousPlaced the tokens of requests placed between the last two reports.
	reported       []float64
	placed         []float64
	previousPlaced []float64
}

// NewRankHint returns a hint for ranks of the given speeds, without load. Ranks of speed 0 are never suggested.
func NewRankHint(speeds []float64) *RankHint {
	h := &RankHint{
		cost:           make([]float64, len(speeds)),
		reported:       make([]float64, len(speeds)),
		placed:         make([]float64, len(speeds)),
		previousPlaced: make([]float64, len(speeds)),
	}
	h.SetSpeeds(speeds)
	return h
}

// SetSpeeds replaces the speeds of the ranks.
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

// Report sets the running tokens of each rank. Requests placed before the previous report are included in them.
// Requests placed since then may not be, so they count until the next report.
func (h *RankHint) Report(runningTokens []int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for r := range h.reported {
		if r < len(runningTokens) {
			h.reported[r] = float64(runningTokens[r])
		}
	}
	copy(h.previousPlaced, h.placed)
	clear(h.placed)
}

// Place returns the rank that finishes first with a request of the given tokens, the lowest-numbered one among
// equals, and adds the tokens to it. It returns -1 when all ranks are lost.
func (h *RankHint) Place(tokens int64) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at, earliest := none, maxTime
	for r, cost := range h.cost {
		if cost == 0 {
			continue
		}
		if time := (h.reported[r] + h.previousPlaced[r] + h.placed[r] + float64(tokens)) * cost; time < earliest {
			at, earliest = r, time
		}
	}
	if at != none {
		h.placed[at] += float64(tokens)
	}
	return at
}
