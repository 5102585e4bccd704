package http1

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// transport is a round tripper that checks each response.
type transport struct{ inner http.RoundTripper }

// NewClient returns a client that returns ErrMalformed for a malformed response, and for one that follows a malformed interim
// response. The connections of an http.Transport, which must not be in use yet, become those of Dial.
func NewClient(inner http.RoundTripper) *http.Client {
	if base, isBase := inner.(*http.Transport); isBase {
		dial := base.DialContext
		if dial == nil {
			dial = (&net.Dialer{}).DialContext
		}
		base.DialContext = Dial(dial)
	}
	return &http.Client{Transport: transport{inner}}
}

// NewDefaultClient returns a client with the settings of http.DefaultTransport.
func NewDefaultClient() *http.Client {
	return NewClient(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip sends a request and checks its response.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return CheckNames(http.Header(header)) },
	})
	response, err := t.inner.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the round tripper inside. http.Client calls it.
func (t transport) CloseIdleConnections() {
	if closer, isCloser := t.inner.(interface{ CloseIdleConnections() }); isCloser {
		closer.CloseIdleConnections()
	}
}
