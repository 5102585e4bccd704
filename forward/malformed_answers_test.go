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

// malformedLines are lines of a head whose field name is malformed or that have none.
var malformedLines = []string{
	"Content-Length : 3", "Transfer-Encoding : chunked", "X Trace: 1", "X-Trace : 1", "X-Seal : s2", "X\tTrace: 1", "X-Trace\t: 1",
	"X\x00Trace: 1", "X\x01Trace: 1", "X\x1fTrace: 1", "X\x7fTrace: 1", "X\rTrace: 1", "X\x80Trace: 1", "X\u00e9: 1", ": 1", "X(Trace): 1", "X-Trace",
}

// foldedLines begin with a blank, so that they continue the value of the line before.
var foldedLines = []string{" X-Trace: 1", "\tX-Trace: 1", " ", " Content-Length: 3"}

// longField is longer than the read buffer of a connection.
var longField = "X-Long: " + strings.Repeat("x", 5000) + "\r\n"

// Guards against an answer in whose head the name of a field is malformed, and that reaches the caller: with that line, or with a
// body that is not the upstream's, because the line was to say where it ends. The same holds for interim answers.
func TestAnswersWithMalformedFieldNames(t *testing.T) {
	const ok, framing = "HTTP/1.1 200 OK\r\nFIELDS", "Content-Length: 4\r\n"
	for _, line := range append(malformedLines, foldedLines...) {
		line += "\r\n"
		for name, text := range map[string]string{
			"first":           "HTTP/1.1 200 OK\r\n" + line + "FIELDS" + framing + "\r\ndone",
			"between":         ok + line + framing + "\r\ndone",
			"last":            ok + "Content-Type: text/plain\r\n" + line + "\r\n4\r\ndone\r\n0\r\n\r\n",
			"after the seal":  ok + line + "\r\ndone",
			"in a long head":  "HTTP/1.1 200 OK\r\n" + longField + "FIELDS" + line + framing + "\r\ndone",
			"a refusal":       "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nFIELDS" + line + framing + "\r\ndone",
			"interim":         "HTTP/1.1 103 Early Hints\r\nX-Own: 1\r\n" + line + "\r\n" + ok + framing + "\r\ndone",
			"after interim":   "HTTP/1.1 100 Continue\r\n\r\n" + ok + line + framing + "\r\ndone",
			"bare line feeds": strings.ReplaceAll(ok+line+framing+"\r\n", "\r\n", "\n") + "done",
		} {
			t.Run(fmt.Sprintf("%q %s", line, name), func(t *testing.T) { requireBroken(t, text) })
		}
	}
}

// Guards against a whole body that counts as an answer although its trailer is malformed.
func TestAnswersWithMalformedTrailers(t *testing.T) {
	for _, line := range malformedLines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			u := rawUpstream(t, "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Own: 1\r\n"+line+"\r\n\r\n")
			response, body, err := newEntry(t, u).send("POST", "/credit/", "x")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode, "%q", body)
		})
	}
}

// Guards against a stream that ends as complete although its trailer is malformed.
func TestStreamWithAMalformedTrailer(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
		writeStream(conn, request, 1)
		fmt.Fprint(conn, "0\r\nX Trace: 1\r\n\r\n")
		return false
	})
	_, _, err := newEntry(t, u).send("POST", "/match/once/", "x")
	require.Error(t, err, "the stream must end as incomplete")
}

// Guards against well-formed answers that are refused: blanks around values, bytes over 127 in them, bare line feeds, long heads,
// and bodies that read like malformed lines.
func TestWellFormedAnswersArePassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 9\r\n"
	for name, text := range map[string]string{
		"blanks around a value": head + "X-Own: \t a b \t \r\n\r\n a : b\n c",
		"bytes over 127":        head + "X-Own: \x80\xff\r\n\r\n a : b\n c",
		"empty value":           head + "X-Own:\r\n\r\n a : b\n c",
		"token characters":      head + "x!#$%&'*+-.^_`|~9: 1\r\n\r\n a : b\n c",
		"bare line feeds":       strings.ReplaceAll(head+"\r\n", "\r\n", "\n") + " a : b\n c",
		"long head":             "HTTP/1.1 200 OK\r\n" + longField + longField + "FIELDSContent-Length: 9\r\n\r\n a : b\n c",
		"after interim answers": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "\r\n a : b\n c",
		"trailer":               "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n9\r\n a : b\n c\r\n0\r\nX-Own: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			response, body, err := newEntry(t, rawUpstream(t, text)).send("POST", "/credit/", "x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, " a : b\n c", body)
		})
	}
}
