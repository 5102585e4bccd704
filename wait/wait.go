// Package wait provides a sleep that ends early when its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for the duration d and returns true, or returns false when the context ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
