package retry

import "time"

const (
	// hopMargin is the part of the time left that a hop keeps for the way back.
	hopMargin = 0.02
	// leastMargin bounds that margin from below.
	leastMargin = time.Millisecond
)

// Fits reports whether work that takes the given time ends before the deadline. The zero deadline never comes.
func Fits(now, deadline time.Time, takes time.Duration) bool {
	return deadline.IsZero() || !now.Add(takes).After(deadline)
}

// Pass returns the time to give the next hop: what is left until the deadline less a margin for the way back.
// It passes as a duration because clocks of different instances do not agree. Zero means that no deadline was
// set; ok is false when nothing is left.
func Pass(now, deadline time.Time) (left time.Duration, ok bool) {
	if deadline.IsZero() {
		return 0, true
	}
	left = deadline.Sub(now)
	left -= max(leastMargin, time.Duration(float64(left)*hopMargin))
	return left, left > 0
}

// Receive returns the deadline at this hop of a request that came with the given time left; zero stands for no
// deadline.
func Receive(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}
