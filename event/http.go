package event

import (
	"fmt"
	"net/http"
)

// http.go sends the clock over HTTP. The events that follow a request or a response get later stamps than the events
// that caused it, even when the wall clocks of the two instances differ.

// HeaderClock is the header with the sender's stamp: microseconds since 1970, a dot and the logical part.
const HeaderClock = "Guavahitch-Clock"

type stampedTransport struct {
	clock *Clock
	inner http.RoundTripper
}

// String returns the stamp in the format of HeaderClock.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.WallUs, s.Logical) }

// ParseStamp parses a stamp in the format of HeaderClock. It returns the zero stamp for any other text.
func ParseStamp(text string) Stamp {
	var s Stamp
	if n, err := fmt.Sscanf(text, "%d.%d", &s.WallUs, &s.Logical); err != nil || n != 2 {
		return Stamp{}
	}
	return s
}

// Transport returns a round tripper that sends a stamp with each request and observes the stamp of each response.
func (c *Clock) Transport(inner http.RoundTripper) http.RoundTripper {
	return &stampedTransport{clock: c, inner: inner}
}

// RoundTrip sends a request with a stamp and observes the stamp of the response.
func (t *stampedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(HeaderClock, t.clock.Now().String())
	response, err := t.inner.RoundTrip(request)
	if err == nil {
		t.clock.Observe(ParseStamp(response.Header.Get(HeaderClock)))
	}
	return response, err
}

// Handler returns a handler that observes the stamp of each request and adds its own stamp to the response.
func (c *Clock) Handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stamp := c.Observe(ParseStamp(r.Header.Get(HeaderClock)))
		w.Header().Set(HeaderClock, stamp.String())
		inner.ServeHTTP(w, r)
	})
}
