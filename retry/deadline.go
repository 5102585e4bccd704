package retry

import "time"

const (
	// hopMargin is the share of the remaining time that each hop reserves for the response to travel back.
	hopMargin = 0.02
	// minMargin is the lower bound of that reserve.
	minMargin = time.Millisecond
)

// Fits reports whether work that takes the given time ends before the deadline. The zero deadline means none.
func Fits(now, deadline time.Time, takes time.Duration) bool {
	return deadline.IsZero() || !now.Add(takes).After(deadline)
}

// NextHopTimeout returns the time to give the next hop: what is left until the deadline less a margin for the
// response. It is a duration because the clocks of different instances may disagree. A zero duration with ok true
// means that there is no deadline; ok is false when no time is left.
func NextHopTimeout(now, deadline time.Time) (left time.Duration, ok bool) {
	if deadline.IsZero() {
		return 0, true
	}
	left = deadline.Sub(now)
	left -= max(minMargin, time.Duration(float64(left)*hopMargin))
	return left, left > 0
}

// DeadlineFromTimeout returns the deadline at this hop of a request that arrived with the given time left. Without a
// positive time left it returns the zero time, which means no deadline.
func DeadlineFromTimeout(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}
