package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/fake"
)

// upload is larger than what the buffers of two sockets hold.
var upload = strings.Repeat("0123456789abcdef", 12<<16)

// cuttingUpstream starts an upstream that sends the beginning of an answer as soon as it has read the head of a request, and resets
// the connection while the body is still being written.
func cuttingUpstream(t *testing.T, format string) *fakeUpstream {
	raw, err := fake.StartEarly(func(conn net.Conn, request *http.Request) {
		fields := fmt.Sprintf("X-Request: %s\r\nX-Seal: s1\r\n", request.Header.Get("X-Request"))
		_, _ = conn.Write([]byte(strings.Replace(format, "FIELDS", fields, 1)))
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	require.NoError(t, err)
	t.Cleanup(raw.Stop)
	return &fakeUpstream{address: raw.Address()}
}

// Guards against a part of an answer that reaches the caller as a whole one, because the upstream reset the connection while the
// entry was still writing the request. Which side of the entry hears of the reset varies, so each case is repeated.
func TestAnswersCutUnderAnUpload(t *testing.T) {
	const events = "HTTP/1.1 200 OK\r\nFIELDSContent-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n"
	for _, c := range []struct{ name, target, answer string }{
		{"success", "/credit/", "HTTP/1.1 200 OK\r\nFIELDS\r\npart"},
		{"failure", "/credit/", "HTTP/1.1 404 Not Found\r\nFIELDS\r\npart"},
		{"HTTP/1.0", "/credit/", "HTTP/1.0 200 OK\r\nFIELDS\r\npart"},
		{"after an interim answer", "/credit/", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS\r\npart"},
		{"head alone", "/credit/", "HTTP/1.1 200 OK\r\nFIELDS\r\n"},
		{"events", "/match/once/", events},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 8 {
				e := newEntry(t, cuttingUpstream(t, c.answer))
				e.allowBodies()
				response, body, err := e.send("POST", c.target, upload)
				if err == nil {
					require.Equal(t, http.StatusBadGateway, response.StatusCode, "the caller got %q as a whole answer", body)
				}
			}
		})
	}
}
