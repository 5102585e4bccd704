package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/upstream"
)

// Events are returned whole even if the bytes arrive one at a time.
func ExampleEventReader() {
	body := "id: 1\ndata: roof\n\nid: 2\ndata: lease\n\nid: 3\nda"
	reader := upstream.NewEventReader(iotest.OneByteReader(strings.NewReader(body)), upstream.NewMemory(upstream.DefaultMemory))
	for {
		event, id, _, err := reader.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%d %q\n", id, event)
	}
	// Output:
	// 1 "id: 1\ndata: roof\n\n"
	// 2 "id: 2\ndata: lease\n\n"
	// unexpected EOF
}

func TestEventReaderEnds(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		want error
	}{
		"proper end": {"id: 1\n\n", io.EOF}, "blank lines at the end": {"id: 1\n\n\r\n", io.EOF}, "within a line": {"id: 1\n\nid: ", io.ErrUnexpectedEOF},
		"before the blank line": {"id: 1\n\ndata: x\n", io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			reader := upstream.NewEventReader(strings.NewReader(c.body), upstream.NewMemory(upstream.DefaultMemory))
			_, id, hasID, err := reader.Next()
			require.NoError(t, err)
			require.True(t, hasID)
			require.Equal(t, int64(1), id)
			_, _, _, err = reader.Next()
			require.ErrorIs(t, err, c.want)
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("id: x\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		reader := upstream.NewEventReader(strings.NewReader(body), upstream.NewMemory(upstream.DefaultMemory))
		total := 0
		for {
			event, _, _, err := reader.Next()
			if err != nil {
				break
			}
			total += len(event)
		}
		require.LessOrEqual(t, total, len(body))
	})
}

// pair returns the two ends of a connection over loopback.
func pair(t *testing.T) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func anyAnswer(http.Header) bool { return true }

// An idle connection that the upstream has closed, or on which data has arrived, must not be used again.
func TestIdleConnectionReuse(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		change func(net.Conn)
		isFit  bool
	}{
		"quiet":  {func(net.Conn) {}, true},
		"closed": {func(far net.Conn) { _ = far.Close() }, false},
		"reset": {func(far net.Conn) {
			_ = far.(*net.TCPConn).SetLinger(0)
			_ = far.Close()
		}, false},
		"late bytes": {func(far net.Conn) { fmt.Fprint(far, "HTTP/1.1 200 OK\r\n") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			conn := upstream.NewConnection(near)
			require.NoError(t, conn.Send("GET", "/", "h", http.Header{}, nil))
			_, err := http.ReadRequest(bufio.NewReader(far))
			require.NoError(t, err)
			fmt.Fprint(far, "HTTP/1.1 204 No Content\r\n\r\n")
			_, err = conn.Receive("GET", anyAnswer)
			require.NoError(t, err)
			require.True(t, conn.MarkIdle(now))
			c.change(far)
			if !c.isFit {
				require.Eventually(t, func() bool { return !conn.IsReusable(now, time.Minute) }, 10*time.Second, time.Millisecond)
				return
			}
			require.True(t, conn.IsReusable(now, time.Minute))
			require.False(t, conn.IsReusable(now.Add(2*time.Minute), time.Minute))
		})
	}
}

// A connection must not be used after the keep-alive timeout that the upstream announced, nor after Connection: close.
func TestKeepAlive(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		field      string
		isReleased bool
		isFit      bool
	}{
		"no timeout": {"", true, true}, "two seconds": {"Keep-Alive: timeout=2, max=9\r\n", true, false}, "close": {"Connection: close\r\n", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			conn := upstream.NewConnection(near)
			fmt.Fprintf(far, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", c.field)
			_, err := conn.Receive("GET", anyAnswer)
			require.NoError(t, err)
			require.Equal(t, c.isReleased, conn.MarkIdle(now))
			if c.isReleased {
				require.Equal(t, c.isFit, conn.IsReusable(now.Add(1800*time.Millisecond), time.Minute))
			}
		})
	}
}

// Abort must reset the connection instead of closing it: otherwise bytes delayed by a slow link would still reach the
// upstream after the request was abandoned.
func TestAbortResets(t *testing.T) {
	near, far := pair(t)
	conn := upstream.NewConnection(near)
	require.NoError(t, conn.Send("GET", "/", "h", http.Header{}, nil))
	_, err := http.ReadRequest(bufio.NewReader(far))
	require.NoError(t, err)
	conn.Abort()
	_, err = far.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
