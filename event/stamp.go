package event

import (
	"fmt"
	"net/http"
)

// stamp.go carries the clock over HTTP, so that an answer's events come after the events that caused it,
// however far the wall clocks of two instances are apart.

// HeaderClock carries the sender's clock: microseconds since 1970, a dot and the logical part.
const HeaderClock = "Guavahitch-Clock"

type stampedTransport struct {
	clock *Clock
	inner http.RoundTripper
}

// String returns the stamp as the header carries it.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.WallUs, s.Logical) }

// ParseStamp returns the stamp that a header carries, or the zero stamp.
func ParseStamp(text string) Stamp {
	var s Stamp
	if n, err := fmt.Sscanf(text, "%d.%d", &s.WallUs, &s.Logical); err != nil || n != 2 {
		return Stamp{}
	}
	return s
}

// Transport returns a transport that sends the clock with each request and observes that of each answer.
func (c *Clock) Transport(inner http.RoundTripper) http.RoundTripper {
	return &stampedTransport{clock: c, inner: inner}
}

// RoundTrip sends a request with the clock.
func (t *stampedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(HeaderClock, t.clock.Now().String())
	response, err := t.inner.RoundTrip(request)
	if err == nil {
		t.clock.Observe(ParseStamp(response.Header.Get(HeaderClock)))
	}
	return response, err
}

// Handler returns a handler that observes the clock of each request and answers with its own.
func (c *Clock) Handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stamp := c.Observe(ParseStamp(r.Header.Get(HeaderClock)))
		w.Header().Set(HeaderClock, stamp.String())
		inner.ServeHTTP(w, r)
	})
}
