package upstream

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// This file writes requests. What a write finds out about the connection also tells how the response ended.

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
	c.writeErr = c.writeAll(body)
	if c.writeErr != nil && c.hasEarlyResponse() {
		return nil
	}
	return eris.Wrap(c.writeErr, "write request")
}

// hasEarlyResponse reports whether a response came before the request was written, after which the connection carries no other
// request.
func (c *Connection) hasEarlyResponse() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(earlyResponseTime))
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(c.readDeadline)
	return err == nil
}

// sendLong writes a body while it waits for the response, which may come before the upstream has read all of the body. The
// rest of the body is still written while the response is read.
func (c *Connection) sendLong(body [][]byte) error {
	written := make(chan error, 1)
	c.written = written
	go func() { written <- c.writeAll(body) }()
	_, err := c.reader.Peek(1)
	if err != nil && c.awaitWritten() != nil {
		return eris.Wrap(err, "write request")
	}
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

// awaitWritten waits until the request is written or its writing has failed, and returns the error.
func (c *Connection) awaitWritten() error {
	if c.written != nil {
		c.writeErr = <-c.written
		c.written = nil
	}
	return c.writeErr
}

// isWritten reports whether the whole request was written.
func (c *Connection) isWritten() bool {
	if c.written == nil {
		return c.writeErr == nil
	}
	timer := time.NewTimer(lateWriteTime)
	defer timer.Stop()
	select {
	case c.writeErr = <-c.written:
		c.written = nil
		return c.writeErr == nil
	case <-timer.C:
		return false
	}
}

// read reads from the network connection. It returns io.EOF only if the upstream has closed its side.
func (c *Connection) read(data []byte) (int, error) {
	n, err := c.conn.Read(data)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns the error that ended the reads of the connection: that of a reset, or io.EOF if there was none. The system
// reports a reset once, to a read or to a write. When a write has taken it, reads find only the end of the data, as they do
// after the upstream has closed its side, so the result of the write decides. A write in progress is ended for that.
func (c *Connection) endError() error {
	_ = c.conn.SetWriteDeadline(time.Now())
	if err := c.awaitWritten(); isBroken(err) {
		return err
	}
	return io.EOF
}

// isBroken reports whether a write failed because the connection broke before the upstream closed its side: with EPIPE it broke
// afterwards, and after a timeout it is not broken.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
