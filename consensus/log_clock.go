package consensus

// Log time: the time in entries, which the state machine uses as its clock. It runs with the leader's monotonic
// clock and follows the leader's wall clock slowly, so a wall clock that is wrong or steps changes the length of a
// lease by no more than the slew: the time elapsed divided by slewDivisor. Heartbeats carry log time, and the next
// leader continues from it.

import "time"

// slewDivisor bounds how much faster or slower log time runs than the leader's monotonic clock: 1/100, which is 1 %.
const slewDivisor = 100

// logClock is the log time at a time of the monotonic clock; the zero value is not set yet.
type logClock struct {
	time time.Duration
	at   time.Time
}

// set sets the clock to the log time of a heartbeat.
func (l *logClock) set(timeMs int64, now time.Time) {
	*l = logClock{time: time.Duration(timeMs) * time.Millisecond, at: now}
}

// advance moves log time forward to now, and towards the wall clock by at most the slew.
func (l *logClock) advance(wall time.Duration, now time.Time) {
	if l.at.IsZero() {
		*l = logClock{time: wall, at: now}
		return
	}
	elapsed := now.Sub(l.at)
	slew := elapsed / slewDivisor
	expected := l.time + elapsed
	*l = logClock{time: expected + min(max(wall-expected, -slew), slew), at: now}
}

// logTimeMs returns the leader's log time, in milliseconds since 1970. It never decreases.
func (c *Core) logTimeMs() int64 {
	wall := time.Duration(c.now.UnixNano())
	if c.settings.WallClock != nil {
		wall = c.settings.WallClock(c.now)
	}
	c.clock.advance(wall, c.now)
	return max(c.clock.time.Milliseconds(), c.lastTimeMs)
}
