package forward

import "time"

// Decision tells how a request ended and what decided it.
type Decision struct {
	Request string
	Status  int
	// Reason is a short stable phrase.
	Reason  string
	Route   string
	Service string
	// Version is the configuration that was in force.
	Version uint64
	// Upstream is the last one that the request was sent to.
	Upstream string
	// Attempts counts the upstreams that received the request, Unsent those that could not be reached.
	Attempts, Unsent int
	// Migrated counts the attempts that were broken off because their upstream held up its group.
	Migrated int
	Took     time.Duration
	// TimeToFirstEvent is the time to the first event of a stream, LongestPause the longest time between two events.
	TimeToFirstEvent, LongestPause time.Duration
	// InFlight and Limit are the requests of the service at this entry and the most that it admits, 0 for no
	// limit, as the request came.
	InFlight, Limit int
}
