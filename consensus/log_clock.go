package consensus

// Log time: the time that entries carry and the state machine lives by. It runs with the leader's monotonic
// clock and follows the leader's wall clock slowly, so that a wall clock that is wrong or steps moves no lease
// by more than the slew. Heartbeats carry it, and the next leader goes on from there.

import "time"

// slewShare bounds by how much log time may run faster or slower than the leader's clock, as a divisor: 1 %.
const slewShare = 100

// logClock is log time at one moment; the zero value knows none yet.
type logClock struct {
	time time.Duration
	at   time.Time
}

// set takes over the log time of a heartbeat.
func (l *logClock) set(timeMs int64, now time.Time) {
	*l = logClock{time: time.Duration(timeMs) * time.Millisecond, at: now}
}

// advance brings log time to now.
func (l *logClock) advance(wall time.Duration, now time.Time) {
	if l.at.IsZero() {
		*l = logClock{time: wall, at: now}
		return
	}
	elapsed := now.Sub(l.at)
	slew := elapsed / slewShare
	expected := l.time + elapsed
	*l = logClock{time: expected + min(max(wall-expected, -slew), slew), at: now}
}

// logTimeMs returns the leader's log time, in milliseconds since 1970. It never decreases.
func (c *Core) logTimeMs() int64 {
	wall := time.Duration(c.now.UnixNano())
	if c.settings.Wall != nil {
		wall = c.settings.Wall(c.now)
	}
	c.clock.advance(wall, c.now)
	return max(c.clock.time.Milliseconds(), c.lastTimeMs)
}
