package availability

import (
	"net/http"
	"time"
)

type (
	// Fields holds the names of the header fields in which upstreams say something of themselves.
	Fields struct {
		// Leaving marks every response of an upstream that is about to leave.
		Leaving string
		// RateLimit holds the requests a second that the upstream takes from all entries together.
		RateLimit string
	}

	// Notice is what the head of a response says of the upstream that sent it.
	Notice struct {
		// IsLeaving is set if the upstream is about to leave.
		IsLeaving bool
		// Backoff is for how long it asks for no further requests, 0 for none.
		Backoff time.Duration
		// RateLimit is the limit that it names.
		RateLimit RateLimit
		// IsRateLimitUnknown is set if the response does not tell whether the upstream names a limit.
		IsRateLimitUnknown bool
	}
)

// ReadNotice reads the notice in a response. A backoff counts only in a response with status 503.
func ReadNotice(response *http.Response, fields Fields, now time.Time) Notice {
	leaving := response.Header.Get(fields.Leaving)
	n := Notice{IsLeaving: leaving != "" && leaving != "0"}
	if response.StatusCode == http.StatusServiceUnavailable {
		// A malformed field asks for nothing.
		n.Backoff, _ = ParseRetryAfter(response.Header, now)
	}
	values := response.Header.Values(fields.RateLimit)
	n.RateLimit = ParseRateLimit(values)
	n.IsRateLimitUnknown = len(values) > 0 && !n.RateLimit.IsNamed
	return n
}

// Said returns only what the upstream has said of itself and what it was sent under the cold limit, without what was seen
// of its answers.
func (s State) Said() State {
	return State{
		backoffUntil: s.backoffUntil, backoffHeard: s.backoffHeard, leavingSince: s.leavingSince, rateLimit: s.rateLimit,
		rateLimitHeard: s.rateLimitHeard, cold: s.cold,
	}
}

// HasSaid reports whether the upstream has said anything of itself, or was sent something under the cold limit.
func (s State) HasSaid() bool {
	return !s.backoffUntil.IsZero() || !s.leavingSince.IsZero() || !s.rateLimitHeard.IsZero() || s.cold != nil
}

// WithNotice returns a copy for an upstream that sent a notice in the response to a request that was sent at the given
// time.
func (s State) WithNotice(sent, now time.Time, n Notice) State {
	if n.IsLeaving {
		s = s.WithLeaving(now)
	}
	s = s.WithBackoff(now, n.Backoff)
	switch {
	case n.RateLimit.IsNamed:
		return s.WithRateLimit(now, now, n.RateLimit)
	case n.IsRateLimitUnknown || !s.rateLimit.IsNamed || !sent.After(s.rateLimitHeard):
		// The answer to a request from before the limit may be older than the limit.
		return s
	default:
		return s.WithRateLimit(now, now, RateLimit{})
	}
}
