// Package event provides the hybrid logical clock and the bounded ring of events of each process. The clock's stamps
// travel with requests and responses between processes, so that stamped events are in causal order across processes.
// The time line reads the rings over the Events protocol and merges their events by stamp.
package event

import (
	"sync"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// maxClockSkew is how far a peer's stamp may be ahead of the local wall clock. A stamp further ahead is ignored.
const maxClockSkew = time.Hour

type (
	// Stamp is a reading of the hybrid logical clock: wall time in microseconds since 1970, and a
	// counter that orders readings of the same microsecond.
	Stamp struct {
		WallUs  int64
		Logical uint32
	}

	// Clock is a hybrid logical clock. Its stamps strictly increase, and a message with a later stamp advances it past
	// that stamp. The zero value is ready for use. It is safe for concurrent use.
	Clock struct {
		mutex sync.Mutex
		last  Stamp
	}
)

// Before reports whether s is earlier than other.
func (s Stamp) Before(other Stamp) bool {
	if s.WallUs != other.WallUs {
		return s.WallUs < other.WallUs
	}
	return s.Logical < other.Logical
}

// StampOf returns the stamp of an event.
func StampOf(e *wire.Event) Stamp {
	return Stamp{WallUs: e.WallUs, Logical: e.Logical}
}

// Now returns a new stamp, which is later than all stamps that the clock has returned or observed.
func (c *Clock) Now() Stamp {
	return c.Observe(Stamp{})
}

// Observe advances the clock past a stamp received from a peer and returns a new stamp. A stamp more than an hour ahead
// of the local wall clock is ignored.
func (c *Clock) Observe(received Stamp) Stamp {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next := Stamp{WallUs: time.Now().UnixMicro()}
	if received.WallUs > next.WallUs+maxClockSkew.Microseconds() {
		received = Stamp{}
	}
	for _, s := range []Stamp{c.last, received} {
		if next.WallUs < s.WallUs {
			next = s
		}
	}
	for _, s := range []Stamp{c.last, received} {
		if !s.Before(next) {
			next = Stamp{WallUs: s.WallUs, Logical: s.Logical + 1}
		}
	}
	c.last = next
	return next
}
