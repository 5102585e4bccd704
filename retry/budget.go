// Package retry decides whether a failed request is attempted again. Budget limits retries to a small share of the
// load, Hedge computes when to send a second attempt beside a slow one, Decide combines the budget with what is known
// of the failure, and the deadline functions pass the remaining time from hop to hop. Nothing in this package sends
// requests or sleeps.
package retry

import (
	"sync"
	"time"
)

// Budget is a token bucket that limits the retries of one service to a share of its first attempts plus a small
// constant rate, so that failures cannot multiply the load. The zero value allows no retries. It is safe for
// concurrent use.
type Budget struct {
	ratio  float64
	floor  float64
	burst  float64
	mutex  sync.Mutex
	tokens float64
	last   time.Time
}

// NewBudget returns a budget that adds ratio retries for each first attempt and floor retries per second. It starts
// full and saves at most burst retries.
func NewBudget(ratio, floor, burst float64) *Budget {
	return &Budget{ratio: max(ratio, 0), floor: max(floor, 0), burst: max(burst, 0), tokens: max(burst, 0)}
}

// RecordFirstAttempt adds the share of a retry that one first attempt earns.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Spend takes one retry from the budget and reports whether one was available.
func (b *Budget) Spend(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the retries of the constant rate since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.burst, b.tokens+b.floor*now.Sub(b.last).Seconds())
	}
	if now.After(b.last) {
		b.last = now
	}
}
