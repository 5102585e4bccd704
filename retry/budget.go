// Package retry decides whether a request is tried again: the budget that keeps retries a small share of the
// load, the rule for hedging, and the arithmetic of deadlines. Nothing here sends or sleeps.
package retry

import (
	"sync"
	"time"
)

// Budget bounds the retries of one service to a share of its first attempts plus a small constant rate, so that
// failures cannot multiply the load. The zero value allows none. It is safe for concurrent use.
type Budget struct {
	ratio float64
	floor float64
	burst float64
	mutex sync.Mutex
	held  float64
	last  time.Time
}

// NewBudget returns a budget of ratio retries for each first attempt and of floor retries a second besides, of
// which at most burst are saved up.
func NewBudget(ratio, floor, burst float64) *Budget {
	return &Budget{ratio: max(ratio, 0), floor: max(floor, 0), burst: max(burst, 0), held: max(burst, 0)}
}

// Attempted counts a first attempt.
func (b *Budget) Attempted(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.earn(now)
	b.held = min(b.burst, b.held+b.ratio)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.earn(now)
	if b.held < 1 {
		return false
	}
	b.held--
	return true
}

func (b *Budget) earn(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.held = min(b.burst, b.held+b.floor*now.Sub(b.last).Seconds())
	}
	if now.After(b.last) {
		b.last = now
	}
}
