package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeSealed writes a response with a seal, the ID of the request and the given fields and body.
func writeSealed(conn net.Conn, r *http.Request, status int, fields, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nX-Request: %s\r\nX-Seal: s2\r\n%s\r\n%s", status, r.Header.Get("X-Request"), fields, body)
}

// Guards against a stream that has begun and broken off, and into which the answer of the next upstream is written although
// it does not continue the stream. The caller must get the events before the break only, and the stream must not look complete.
func TestAnswersThatDoNotContinueAStream(t *testing.T) {
	const events = "Content-Type: text/event-stream\r\n"
	text := "the upstream is broken"
	framed := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	embeddedHead := "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
	withoutID := "data: " + text + "\n\n"
	repeated := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
	for name, form := range map[string]struct {
		status       int
		fields, body string
	}{
		"internal error":                   {500, framed(text), text},
		"refusal":                          {503, "X-Not-Executed: 1\r\n" + framed(text), text},
		"another upstream":                 {421, framed(text), text},
		"bad request":                      {400, framed(text), text},
		"redirection":                      {302, "Location: /\r\n" + framed(text), text},
		"error as events":                  {500, events + framed(withoutID), withoutID},
		"success with a text":              {200, events + framed(text), text},
		"success with a paragraph":         {200, framed(text + "\n\n"), text + "\n\n"},
		"JSON in place of events":          {200, "Content-Type: application/json\r\n" + framed("{}\n\n"), "{}\n\n"},
		"no events in JSON":                {200, "Content-Type: application/json\r\n" + framed(""), ""},
		"event without an ID":              {200, events + framed(withoutID), withoutID},
		"events from the first on":         {200, events + framed(repeated), repeated},
		"head in the body":                 {200, events + framed(embeddedHead), embeddedHead},
		"no events and no length":          {200, events + "Connection: close\r\n", ""},
		"text without a length":            {200, events + "Connection: close\r\n", text},
		"event without an ID, no length":   {200, events + "Connection: close\r\n", withoutID},
		"content encoding":                 {200, events + "Content-Encoding: gzip\r\n" + framed(withoutID), withoutID},
		"partial content without an event": {206, events + framed(withoutID), withoutID},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken := newUpstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
				writeStream(conn, r, 1, 2)
				return false
			})
			next := newUpstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
				writeSealed(conn, r, form.status, form.fields, form.body)
				return false
			})
			_, body, err := newEntry(t, broken, next).send("POST", "/match/", "x")
			require.Len(t, next.received(), 1)
			require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", body)
			require.Error(t, err, "the stream looks complete")
		})
	}
}

// Guards against a stream without event IDs that is begun anew inside the same response.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
		writeStream(conn, r)
		writeChunk(conn, "data: piece 1\n\n")
		return false
	})
	other := newUpstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
		writeStream(conn, r, 1)
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	})
	_, body, err := newEntry(t, u, other).send("POST", "/match/", "x")
	require.Error(t, err)
	require.Equal(t, "data: piece 1\n\n", body)
	require.Empty(t, other.received())
}

// Guards against a refusal that an upstream writes once more on a kept connection, and that is taken for the answer to a request
// which the caller sends again under the same ID, and which runs.
func TestRepeatedRefusalOnAKeptConnection(t *testing.T) {
	for _, target := range []string{"/credit/", "/balance/", "/match/", "/match/once/"} {
		t.Run(target, func(t *testing.T) {
			requests := map[net.Conn]int{}
			u := newUpstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
				requests[conn]++
				refusal := "X-Not-Executed: 1\r\nContent-Length: 0\r\n"
				writeSealed(conn, r, 503, refusal, "")
				if requests[conn] == 1 {
					return true
				}
				// The request runs, and the upstream writes its earlier refusal before the answer.
				writeResponse(conn, r, 200, "")
				return true
			})
			e := newEntry(t, u)
			for range 3 {
				response, _, err := e.send("POST", target, "x")
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			}
			for conn, count := range requests {
				require.Equal(t, 1, count, "connection %v carried the request again", conn.LocalAddr())
			}
		})
	}
}
