package upstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/fake"
	"guavahitch.example/guavahitch/upstream"
)

const (
	// uploadBytes is more than the buffers of two sockets hold.
	uploadBytes = 12 << 20
	// repetitions is the number of runs of each case: which of a read and a write takes the error of a reset varies.
	repetitions = 16
	// fillTime is the time in which a request fills the buffers of the sockets.
	fillTime = 20 * time.Millisecond
)

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// exchange sends a request to an upstream that answers early, and returns the body of its response.
func exchange(t *testing.T, upload int, answer func(conn net.Conn, request *http.Request)) (string, error) {
	raw, err := fake.StartEarly(answer)
	require.NoError(t, err)
	defer raw.Stop()
	conn, err := upstream.Dial(t.Context(), raw.Address(), time.Second)
	require.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return receive(conn, upload)
}

func receive(conn *upstream.Connection, upload int) (string, error) {
	if err := conn.Send(http.MethodPost, "/", "h", http.Header{}, make([]byte, upload)); err != nil {
		return "", err
	}
	response, err := conn.Receive(http.MethodPost, anyAnswer)
	if err != nil {
		return "", err
	}
	body, release, err := upstream.ReadBody(response, uploadBytes, upstream.NewMemory(upstream.DefaultMemory))
	defer release()
	return string(body), err
}

// Guards against a body without a length that counts as whole although a reset cut it while the request was still being written.
func TestBodyCutByAResetUnderAnUpload(t *testing.T) {
	for name, answer := range map[string]string{
		"success":               "HTTP/1.1 200 OK\r\n\r\npart",
		"failure":               "HTTP/1.1 404 Not Found\r\n\r\npart",
		"events":                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\n\r\npart",
		"after Continue":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart",
		"after Early Hints":     "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart",
		"head alone":            "HTTP/1.1 200 OK\r\n\r\n",
		"with a length":         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"in chunks":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"in chunks, no trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for range repetitions {
				body, err := exchange(t, uploadBytes, func(conn net.Conn, _ *http.Request) {
					_, _ = conn.Write([]byte(answer))
					time.Sleep(fillTime)
					reset(conn)
				})
				require.Error(t, err, "the body counts as whole: %q", body)
			}
		})
	}
}

// Guards against a body without a length that counts as whole although a reset came before its short request was written.
func TestBodyCutBeforeAShortRequest(t *testing.T) {
	for range repetitions {
		near, far := pair(t)
		_, err := far.Write([]byte("HTTP/1.1 200 OK\r\n\r\npart"))
		require.NoError(t, err)
		reset(far)
		time.Sleep(time.Millisecond)
		body, err := receive(upstream.NewConnection(near), 1)
		require.Error(t, err, "the body counts as whole: %q", body)
	}
}

// Guards against a whole early answer that is lost because its upstream has not read the request.
func TestWholeAnswerUnderAnUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	body := strings.Repeat("whole ", 1000)
	closeWrite := func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }
	for name, c := range map[string]struct {
		answer string
		end    func(conn net.Conn, request *http.Request)
	}{
		"length, the request is read on": {head + "Content-Length: 6000\r\n\r\n" + body, readOn},
		"length, then a reset": {head + "Content-Length: 6000\r\n\r\n" + body, func(conn net.Conn, _ *http.Request) {
			time.Sleep(fillTime)
			reset(conn)
		}},
		"half close, the request is read on": {head + "\r\n" + body, func(conn net.Conn, request *http.Request) {
			closeWrite(conn)
			readOn(conn, request)
		}},
		"half close, the request stands": {head + "\r\n" + body, func(conn net.Conn, _ *http.Request) {
			closeWrite(conn)
			time.Sleep(100 * time.Millisecond)
		}},
		"half close, then a reset": {head + "\r\n" + body, func(conn net.Conn, _ *http.Request) {
			closeWrite(conn)
			time.Sleep(fillTime)
			reset(conn)
		}},
		"half close and reset at once": {head + "\r\n" + body, func(conn net.Conn, _ *http.Request) {
			time.Sleep(fillTime)
			closeWrite(conn)
			reset(conn)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for range repetitions {
				got, err := exchange(t, uploadBytes, func(conn net.Conn, request *http.Request) {
					_, _ = conn.Write([]byte(c.answer))
					c.end(conn, request)
				})
				require.NoError(t, err)
				require.Equal(t, body, got)
			}
		})
	}
}

// readOn reads the body of a request to its end.
func readOn(_ net.Conn, request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) }
