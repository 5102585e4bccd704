// Package upstream speaks HTTP/1.1 to upstreams over connections of its own: one request at a time on each,
// nothing added to a request, nothing sent twice, and every answer matched to its request by identifier.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readBuffer and writeBuffer are the sizes of a connection's buffers, in bytes.
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
	// maxStrays is the most answers to other requests that are skipped on one connection.
	maxStrays = 2
	// maxStrayBytes is the most bytes of such an answer that are read to skip it.
	maxStrayBytes = 256 << 10
	// keepAliveMargin is taken off the idle time that an upstream announces.
	keepAliveMargin = 500 * time.Millisecond
)

// Connection is one connection to an upstream. It is used by one goroutine at a time, but for Close.
type Connection struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the last answer ended.
	idleSince time.Time
	// idleLimit is the time for which the upstream keeps an idle connection, 0 when it did not say.
	idleLimit time.Duration
	isSpent   bool
}

// Dial opens a connection.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Connection, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	return NewConnection(conn), nil
}

// NewConnection returns a connection over an open transport.
func NewConnection(conn net.Conn) *Connection {
	return &Connection{
		conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), writer: bufio.NewWriterSize(conn, writeBuffer),
	}
}

// Close closes an idle connection.
func (c *Connection) Close() {
	c.isSpent = true
	_ = c.conn.Close()
}

// Abort resets the connection, so that an exchange under way fails and nothing that is still on its way reaches the
// upstream. It may be called from another goroutine.
func (c *Connection) Abort() {
	if tcp, isTCP := c.conn.(*net.TCPConn); isTCP {
		// Without the option the connection is closed all the same, only less abruptly.
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// SetDeadline bounds the reads and writes that follow.
func (c *Connection) SetDeadline(at time.Time) { _ = c.conn.SetDeadline(at) }

// SetReadDeadline bounds the reads that follow.
func (c *Connection) SetReadDeadline(at time.Time) { _ = c.conn.SetReadDeadline(at) }

// Buffered reports whether bytes wait that were read already.
func (c *Connection) Buffered() bool { return c.reader.Buffered() > 0 }

// Send writes a request: the request line, the header lines and the body.
func (c *Connection) Send(method, target, host string, header http.Header, body []byte) error {
	w := c.writer
	_, _ = w.WriteString(method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(host)
	_, _ = w.WriteString("\r\n")
	for name, values := range header {
		for _, value := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(value)
			_, _ = w.WriteString("\r\n")
		}
	}
	if len(body) > 0 || method != http.MethodGet && method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(body)))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(body)
	return eris.Wrap(w.Flush(), "write request")
}

// Receive reads the head of the answer to a request. Answers for which isOurs is false belong to earlier
// requests of the connection and are skipped.
func (c *Connection) Receive(method string, isOurs func(http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxStrays + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, eris.Wrap(err, "read answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if isOurs(response.Header) {
			c.noteKeepAlive(response)
			return response, nil
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
		if err != nil {
			return nil, eris.Wrap(err, "skip an answer to an earlier request")
		}
		if response.Close || skipped == maxStrayBytes {
			return nil, eris.New("the connection ended with an answer to an earlier request")
		}
	}
	return nil, eris.New("too many answers to earlier requests")
}

func (c *Connection) noteKeepAlive(response *http.Response) {
	if response.Close {
		c.isSpent = true
	}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		value, isTimeout := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); isTimeout && err == nil {
			c.idleLimit = max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
}

// Release notes that an answer was read to its end, and reports whether the connection can carry another
// request. Bytes that follow the answer make it unusable.
func (c *Connection) Release(now time.Time) bool {
	if c.isSpent || c.reader.Buffered() > 0 {
		return false
	}
	c.idleSince = now
	c.reader.Reset(c.conn)
	return true
}

// IsFit reports whether an idle connection can still be used: the upstream has not closed it, and nothing
// arrived on it.
func (c *Connection) IsFit(now time.Time, limit time.Duration) bool {
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit)
	}
	if now.Sub(c.idleSince) >= limit {
		return false
	}
	raw, isRaw := c.conn.(syscall.Conn)
	if !isRaw {
		return true
	}
	return isQuiet(raw)
}

// isQuiet reports whether a read of the socket would block, as it does on an open connection without data.
func isQuiet(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		isOpen = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && isOpen
}
