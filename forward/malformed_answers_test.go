package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// rawUpstream starts an upstream that sends the text as its answer and closes the connection. FIELDS stands for the ID of the
// request and the seal.
func rawUpstream(t *testing.T, text string) *fakeUpstream {
	return newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
		fields := fmt.Sprintf("X-Request: %s\r\nX-Seal: s1\r\n", request.Header.Get("X-Request"))
		_, _ = conn.Write([]byte(strings.ReplaceAll(text, "FIELDS", fields)))
		return false
	})
}

// requireBroken requires that neither a plain request nor a stream gets the text as an answer.
func requireBroken(t *testing.T, text string) {
	for _, target := range []string{"/credit/", "/match/once/"} {
		response, body, err := newEntry(t, rawUpstream(t, text)).send("POST", target, "x")
		require.NoError(t, err, target)
		require.Equal(t, http.StatusBadGateway, response.StatusCode, "%s: %v %q", target, response.Header, body)
	}
}

// Guards against an answer whose status is none of HTTP and that reaches the caller, or whose body is taken for the answer.
func TestAnswersWithoutAStatus(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 5\r\n\r\nother"
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "999", "20", "2000", "2x0", ""} {
		head := "HTTP/1.1 " + status + " Trouble\r\nFIELDS"
		for name, text := range map[string]string{
			"with a length":               head + "Content-Length: 4\r\n\r\npart",
			"no length":                   head + "\r\npart",
			"no body":                     head + "Content-Length: 0\r\n\r\n",
			"a body that is like another": head + "\r\n" + whole,
			"after an interim answer":     "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\n" + whole,
		} {
			t.Run(status+" "+name, func(t *testing.T) { requireBroken(t, text) })
		}
	}
}
