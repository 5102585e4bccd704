package retry

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the part of first tokens that come before a hedge is sent.
	hedgeQuantile = 0.95
	// hedgeStep is the relative change of the estimate by one sample.
	hedgeStep = 0.02
	// shortestHedge bounds the time before a hedge from below.
	shortestHedge = 5 * time.Millisecond
)

// Hedge tells when a second attempt may be started beside a first that is slow to answer. It estimates the
// 95th percentile of the time to the first token. The zero value hedges nothing until it has seen samples. It
// is safe for concurrent use.
type Hedge struct {
	mutex    sync.Mutex
	estimate time.Duration
	samples  int
}

// hedgeSamples is the number of samples from which the estimate is used.
const hedgeSamples = 50

// Observe takes the time to the first token of an attempt.
func (h *Hedge) Observe(first time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.samples++
	if h.estimate == 0 {
		h.estimate = max(first, shortestHedge)
		return
	}
	// Stochastic approximation of the quantile: steps up and down balance at it.
	step := float64(h.estimate) * hedgeStep
	if first > h.estimate {
		h.estimate += time.Duration(step * hedgeQuantile)
		return
	}
	h.estimate = max(shortestHedge, h.estimate-time.Duration(step*(1-hedgeQuantile)))
}

// After returns the time after which a request may be hedged, and whether it may be at all: only one that is
// repeatable, only while its service has room, and only when the answer can still come before the deadline.
// The caller spends from the budget when it sends the hedge.
func (h *Hedge) After(now, deadline time.Time, repeatable, hasRoom bool) (time.Duration, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !repeatable || !hasRoom || h.samples < hedgeSamples {
		return 0, false
	}
	if !Fits(now, deadline, 2*h.estimate) {
		return 0, false
	}
	return h.estimate, true
}
