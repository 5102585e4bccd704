// Package event holds the hybrid logical clock and the bounded ring of events that every process keeps.
// The time line collects the rings over the Events protocol and merges them.
package event

import (
	"sync"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// furthestAhead is how far ahead of the own wall clock a peer's stamp is believed.
const furthestAhead = time.Hour

type (
	// Stamp is a reading of the hybrid logical clock: wall time in microseconds since 1970, and a
	// counter that orders readings of the same microsecond.
	Stamp struct {
		WallUs  int64
		Logical uint32
	}

	// Clock is a hybrid logical clock. It never runs backwards, and a message received with a later stamp
	// moves it past that stamp. The zero value is ready for use.
	Clock struct {
		mutex sync.Mutex
		last  Stamp
	}
)

// Before reports whether the stamp is earlier than the other.
func (s Stamp) Before(other Stamp) bool {
	if s.WallUs != other.WallUs {
		return s.WallUs < other.WallUs
	}
	return s.Logical < other.Logical
}

// StampOf returns the stamp that an event carries.
func StampOf(e *wire.Event) Stamp {
	return Stamp{WallUs: e.WallUs, Logical: e.Logical}
}

// Now returns the next stamp.
func (c *Clock) Now() Stamp {
	return c.Observe(Stamp{})
}

// Observe moves the clock past a stamp received from a peer and returns the next stamp.
func (c *Clock) Observe(seen Stamp) Stamp {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next := Stamp{WallUs: time.Now().UnixMicro()}
	if seen.WallUs > next.WallUs+furthestAhead.Microseconds() {
		seen = Stamp{}
	}
	for _, s := range []Stamp{c.last, seen} {
		if next.WallUs < s.WallUs {
			next = s
		}
	}
	for _, s := range []Stamp{c.last, seen} {
		if !s.Before(next) {
			next = Stamp{WallUs: s.WallUs, Logical: s.Logical + 1}
		}
	}
	c.last = next
	return next
}
