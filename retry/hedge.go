package retry

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the share of attempts whose first token arrives before a hedge is sent.
	hedgeQuantile = 0.95
	// hedgeStep is the relative change of the estimate per sample.
	hedgeStep = 0.02
	// minHedgeDelay is the lower bound of the delay before a hedge.
	minHedgeDelay = 5 * time.Millisecond
)

// Hedge computes when to start a second attempt beside a first one that is slow to answer. It estimates the 95th
// percentile of the time to the first token. The zero value is ready for use and allows no hedge until it has enough
// samples. It is safe for concurrent use.
type Hedge struct {
	mutex    sync.Mutex
	estimate time.Duration
	samples  int
}

// minHedgeSamples is the number of samples before the estimate is used.
const minHedgeSamples = 50

// Observe records the time to the first token of an attempt.
func (h *Hedge) Observe(first time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.samples++
	if h.estimate == 0 {
		h.estimate = max(first, minHedgeDelay)
		return
	}
	// Stochastic approximation of the quantile: at the quantile, steps up and down balance.
	step := float64(h.estimate) * hedgeStep
	if first > h.estimate {
		h.estimate += time.Duration(step * hedgeQuantile)
		return
	}
	h.estimate = max(minHedgeDelay, h.estimate-time.Duration(step*(1-hedgeQuantile)))
}

// After returns the delay after which a request may be hedged, and whether it may be hedged at all. The request must
// be repeatable, its service must have a free slot, and the answer must still fit before the deadline. The caller
// spends from the Budget when it sends the hedge.
func (h *Hedge) After(now, deadline time.Time, repeatable, hasRoom bool) (time.Duration, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !repeatable || !hasRoom || h.samples < minHedgeSamples {
		return 0, false
	}
	if !Fits(now, deadline, 2*h.estimate) {
		return 0, false
	}
	return h.estimate, true
}
