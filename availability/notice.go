package availability

import (
	"net/http"
	"time"
)

// Notice is what the head of a response says of the upstream that sent it.
type Notice struct {
	// IsLeaving is set if the upstream is about to leave.
	IsLeaving bool
	// Backoff is for how long it asks for no further requests, 0 for none.
	Backoff time.Duration
}

// ReadNotice reads the notice in a response. The leavingField is the name of the header field by which an upstream says
// that it leaves. A backoff counts only in a response with status 503.
func ReadNotice(response *http.Response, leavingField string, now time.Time) Notice {
	leaving := response.Header.Get(leavingField)
	n := Notice{IsLeaving: leaving != "" && leaving != "0"}
	if response.StatusCode == http.StatusServiceUnavailable {
		// A malformed field asks for nothing.
		n.Backoff, _ = ParseRetryAfter(response.Header, now)
	}
	return n
}

// WithNotice returns a copy for an upstream that sent a notice.
func (s State) WithNotice(now time.Time, n Notice) State {
	if n.IsLeaving {
		s = s.WithLeaving(now)
	}
	return s.WithBackoff(now, n.Backoff)
}
