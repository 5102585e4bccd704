// Package upstream is an HTTP/1.1 client for upstreams. A Connection carries one request at a time; it adds no fields
// but Host and Content-Length, never sends a request twice, and lets its caller match each response to its request by
// identifier. A Pool keeps idle connections to one upstream, EventReader reads server-sent events from a response, and
// Client serves generated RPC clients over pools.
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

	"guavahitch.example/guavahitch/http1"
)

const (
	// readBuffer and writeBuffer are the sizes of the buffers of a connection, in bytes.
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
	// maxStaleResponses is the largest number of responses to earlier requests that Receive skips. Informational (1xx)
	// responses count as well.
	maxStaleResponses = 2
	// maxStaleBytes bounds the body that is read to skip a response to an earlier request.
	maxStaleBytes = 256 << 10
	// maxHeadBytes bounds the head of one response, and headTimeout the time from its first byte to its end.
	maxHeadBytes = 64 << 10
	headTimeout  = 2 * time.Second
	// keepAliveMargin is subtracted from the keep-alive timeout that an upstream announces.
	keepAliveMargin = 500 * time.Millisecond
)

// Connection is a connection to an upstream that carries one request at a time. Only Abort may be called while another
// goroutine uses it.
type Connection struct {
	// LastRequest is the ID of the request that the connection carried last. Its user sets it.
	LastRequest string

	conn   *http1.Conn
	input  *limitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// readDeadline is the deadline of reads, zero for none.
	readDeadline time.Time
	// idleSince is the time at which the last response ended, zero before the first one.
	idleSince time.Time
	// idleTimeout is the keep-alive timeout that the upstream announced, less keepAliveMargin. It is 0, and does not
	// apply, if the upstream announced nothing or a timeout of 0.
	idleTimeout time.Duration
	// written receives the result of writing a long body whose response came first, nil if there is none.
	written chan error
	// mustClose is set when the connection must not carry another request.
	mustClose bool
}

// Dial opens a connection to an address. Both the context and the timeout bound it.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Connection, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	return NewConnection(conn), nil
}

// NewConnection returns a Connection that uses an open network connection.
func NewConnection(conn net.Conn) *Connection {
	checked := http1.NewConn(conn)
	input := &limitedReader{source: checked, left: unlimited}
	return &Connection{
		conn: checked, input: input, reader: bufio.NewReaderSize(input, readBuffer), writer: bufio.NewWriterSize(checked, writeBuffer),
	}
}

// IsReused reports whether the connection has carried a request before.
func (c *Connection) IsReused() bool { return !c.idleSince.IsZero() }

// Close closes an idle connection.
func (c *Connection) Close() {
	c.mustClose = true
	_ = c.conn.Close()
}

// Abort resets the connection. An exchange in progress fails, and data still in transit is discarded instead of
// reaching the upstream later. It may be called from another goroutine.
func (c *Connection) Abort() {
	if tcp, isTCP := c.conn.Conn.(*net.TCPConn); isTCP {
		// If the option cannot be set, Close still closes the connection, but without a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// SetDeadline sets the deadline of later reads and writes.
func (c *Connection) SetDeadline(at time.Time) {
	c.readDeadline = at
	_ = c.conn.SetDeadline(at)
}

// SetReadDeadline sets the deadline of later reads.
func (c *Connection) SetReadDeadline(at time.Time) {
	c.readDeadline = at
	_ = c.conn.SetReadDeadline(at)
}

// Buffered reports whether the read buffer holds unread bytes.
func (c *Connection) Buffered() bool { return c.reader.Buffered() > 0 }

// Receive reads the head of the response to a request. It skips responses for which isExpected returns false, which
// belong to earlier requests on the connection, and informational (1xx) responses.
func (c *Connection) Receive(method string, isExpected func(http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxStaleResponses + 1 {
		response, err := c.readHead(request)
		if err != nil {
			return nil, eris.Wrap(err, "read response")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if isExpected(response.Header) {
			c.readKeepAlive(response)
			return response, nil
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
		if err != nil {
			return nil, eris.Wrap(err, "skip response to an earlier request")
		}
		if response.Close || skipped == maxStaleBytes {
			return nil, eris.New("connection not usable after a response to an earlier request")
		}
	}
	return nil, eris.New("too many responses to earlier requests")
}

// readHead reads the head of one response. It waits for the first byte until the deadline of the connection; the rest is
// bounded by maxHeadBytes and headTimeout.
func (c *Connection) readHead(request *http.Request) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	deadline := c.readDeadline
	if limit := time.Now().Add(headTimeout); deadline.IsZero() || limit.Before(deadline) {
		_ = c.conn.SetReadDeadline(limit)
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.input.beginHead(buffered)
	response, err := http.ReadResponse(c.reader, request)
	hasFold := c.input.endHead()
	_ = c.conn.SetReadDeadline(deadline)
	if err != nil {
		return nil, err
	}
	if hasFold {
		return nil, eris.Wrap(http1.ErrMalformed, "folded line")
	}
	return response, http1.Check(response)
}

func (c *Connection) readKeepAlive(response *http.Response) {
	if response.Close {
		c.mustClose = true
	}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		value, isTimeout := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); isTimeout && err == nil {
			c.idleTimeout = max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
}

// MarkIdle records that a response was read to its end, and reports whether the connection can carry another request.
// It cannot if bytes follow the response, or the request was not read to its end.
func (c *Connection) MarkIdle(now time.Time) bool {
	if c.mustClose || c.reader.Buffered() > 0 || !c.isWritten() {
		return false
	}
	c.idleSince = now
	c.reader.Reset(c.input)
	return true
}

// IsReusable reports whether an idle connection can carry another request: it was idle for less than the limit and the
// keep-alive timeout of the upstream, the upstream has not closed it, and no data has arrived on it.
func (c *Connection) IsReusable(now time.Time, limit time.Duration) bool {
	if c.idleTimeout > 0 {
		limit = min(limit, c.idleTimeout)
	}
	if now.Sub(c.idleSince) >= limit {
		return false
	}
	raw, isRaw := c.conn.Conn.(syscall.Conn)
	if !isRaw {
		return true
	}
	return isOpenWithoutData(raw)
}

// isOpenWithoutData reports whether a read of the socket would block, which is the case for an open connection with no
// data to read.
func isOpenWithoutData(conn syscall.Conn) bool {
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
