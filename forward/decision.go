package forward

import (
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// Decision describes how a request ended and why, for logs and metrics.
type Decision struct {
	Request string
	Status  int
	// Reason is a short, stable phrase, also used as a metric label.
	Reason  string
	Route   string
	Service string
	// Version is the version of the configuration that the request was routed by.
	Version uint64
	// Upstream is the ID of the upstream of the last failed attempt, empty if no attempt failed. AnsweredBy is that of the
	// upstream whose response the caller got, RateLimit the limit that this upstream had named.
	Upstream, AnsweredBy string
	RateLimit            availability.RateLimit
	// Attempts counts the attempts that opened a connection without answering the caller. Unsent counts those that
	// sent nothing, mostly because they could not connect.
	Attempts, Unsent int
	// Migrated counts the attempts that were aborted because their upstream slowed down its group.
	Migrated int
	Took     time.Duration
	// TimeToFirstEvent runs from the arrival of the request to the first event of the stream. LongestPause is the
	// longest time between two events.
	TimeToFirstEvent, LongestPause time.Duration
	// Objective and GapObjective are those of the route: the latest first event and the longest pause.
	Objective, GapObjective time.Duration
	// Waited is how long the request waited for a place, Expected the time to its end that admission predicted last.
	Waited, Expected time.Duration
	// RivalWait is how long the request was held back while others that are suspect because of the same crashes ran.
	RivalWait time.Duration
	// InFlight and Limit are the concurrent requests of the service and their limit at admission. Limit is 0 if no
	// limit was applied, as for a service without engines; InFlight then counts this entry only.
	InFlight, Limit int
	// Group is the group that the request was placed on, empty if it was not placed by group. InFlight and Limit are then
	// those of the group, or those of all groups if none had room. Fill is how full it was, and IsRemote is set if none of
	// its ranks in use is in the domain of the entry.
	Group    string
	Fill     float64
	IsRemote bool
	// Turn describes how a stream was scheduled.
	Turn Turn
	// Buffered is the number of bytes that are buffered for slow callers, BufferLimit their bound, 0 if nothing is buffered.
	Buffered, BufferLimit int64
}

// Late returns which objectives a stream missed: "first event", "pause" or "both". It is empty if it missed none. The first
// event is measured from the arrival here: it is not known whether the caller was refused before.
func (d Decision) Late() string {
	isFirstLate := d.Objective > 0 && d.TimeToFirstEvent > d.Objective
	isPauseLate := d.GapObjective > 0 && d.LongestPause > d.GapObjective
	switch {
	case isFirstLate && isPauseLate:
		return "both"
	case isFirstLate:
		return "first event"
	case isPauseLate:
		return "pause"
	default:
		return ""
	}
}

// Turn describes how a stream was scheduled that competes with streams of other priorities.
type Turn struct {
	// IsScheduled is set for such streams. The other fields have no meaning for other requests.
	IsScheduled bool
	Priority    int
	// Share is the part of the limit below which the stream was admitted, 0 if others went first. It is above 1 at an entry
	// with few streams.
	Share float64
	// Wait is how long it waited for its turn.
	Wait time.Duration
	// Position is the number of waiting streams before it, and ExpectedWait the time until its turn, when that was last
	// computed. ExpectedWait is negative if it was not known.
	Position     int
	ExpectedWait time.Duration
	// Rule is the rule by which the stream was refused, empty if it was not refused for lack of a place.
	Rule string
	// IsReturning is set if the caller seems to have been refused before.
	IsReturning bool
}

// Breakage describes an exchange that an upstream broke off, for logs.
type Breakage struct {
	Request  string
	Service  string
	Upstream string
	// Born is the start of the upstream's incarnation, as it announced it.
	Born int64
	// Fingerprint is the same for each sending of the request, whatever its ID.
	Fingerprint quarantine.Fingerprint
	// Parts are the IDs of the shared parts of its prompt.
	Parts []string
	// After is the time from the sending of the request, Events the number of events that arrived.
	After  time.Duration
	Events int
	Cause  error
}

// Crash describes the end of an upstream while it ran requests of this entry.
type Crash struct {
	Upstream string
	// Born is the start of the incarnation that ended.
	Born int64
	// Running counts the requests of this entry that may have ended it, Answering those of them whose answer had gone on well.
	Running, Answering int
	// Verdicts are those on the requests that were running.
	Verdicts []*wire.Quarantine
}

// Notice is what an upstream said of itself in the response to a request.
type Notice struct {
	availability.Notice
	// EarlierLimit is the limit that the upstream had named before.
	EarlierLimit availability.RateLimit
	// IsBreach is set if the request was sent after the upstream had asked for backoff.
	IsBreach bool
	// IsFromControl is set for a limit that another entry has heard. It has no request.
	IsFromControl bool
	Request       string
	Service       string
	Upstream      string
	// Born is the start of the incarnation.
	Born int64
}
