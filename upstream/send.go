package upstream

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// This file writes requests.

const (
	// longBodyBytes is the size in bytes above which a body may fill the buffers of a connection.
	longBodyBytes = 16 << 10
	// earlyResponseTime is how long a response is awaited after a request could not be written, lateWriteTime how long the end
	// of a request is awaited after its response has ended.
	earlyResponseTime = 100 * time.Millisecond
	lateWriteTime     = 10 * time.Millisecond
)

// Send writes a request with the given header and a body in pieces. It sets Host and Content-Length itself. An upstream may
// answer before it has read all of the request, and read no further: then Send ends without an error, so that Receive reads the
// response.
func (c *Connection) Send(method, target, host string, header http.Header, body ...[]byte) error {
	length := 0
	for _, piece := range body {
		length += len(piece)
	}
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
	if length > 0 || method != http.MethodGet && method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(length))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if length > longBodyBytes {
		return c.sendLong(body)
	}
	err := c.writeAll(body)
	if err != nil && c.hasEarlyResponse() {
		return nil
	}
	return eris.Wrap(err, "write request")
}

// hasEarlyResponse reports whether a response came before the request was written, after which the connection carries no other
// request.
func (c *Connection) hasEarlyResponse() bool {
	c.mustClose = true
	_ = c.conn.SetReadDeadline(time.Now().Add(earlyResponseTime))
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(c.readDeadline)
	return err == nil
}

// sendLong writes a body while it waits for the response, which may come before the upstream has read all of the body. The
// rest of the body is still written while the response is read.
func (c *Connection) sendLong(body [][]byte) error {
	written := make(chan error, 1)
	go func() { written <- c.writeAll(body) }()
	if _, err := c.reader.Peek(1); err != nil {
		if <-written == nil {
			return nil
		}
		return eris.Wrap(err, "write request")
	}
	c.written = written
	return nil
}

// writeAll writes the pieces of a body and sends what is buffered.
func (c *Connection) writeAll(body [][]byte) error {
	for _, piece := range body {
		// Flush returns the error of a write that failed.
		_, _ = c.writer.Write(piece)
	}
	return c.writer.Flush()
}

// isWritten reports whether the whole request was written.
func (c *Connection) isWritten() bool {
	if c.written == nil {
		return true
	}
	timer := time.NewTimer(lateWriteTime)
	defer timer.Stop()
	select {
	case err := <-c.written:
		c.written = nil
		return err == nil
	case <-timer.C:
		return false
	}
}
