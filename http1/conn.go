package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a network connection whose reads tell a reset from the end of the data. The system reports a reset once, to a read or to
// a write, whichever comes first. When a write has taken it, the next read finds only the end of the data, as it does after the
// peer has closed its side. A body without a length would then look whole.
type Conn struct {
	net.Conn
	// mutex is held during a write.
	mutex sync.Mutex
	// broken is the error of the write that found the connection broken.
	broken error
}

// NewConn returns a Conn that uses an open network connection.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Dial returns a function that opens connections with another one and returns each as a Conn.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Write writes to the connection and keeps what it finds out about it.
func (c *Conn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n, err := c.Conn.Write(data)
	if c.broken == nil && isBroken(err) {
		c.broken = err
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the peer has closed its side.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != io.EOF {
		return n, err
	}
	// The result of a write in progress decides, so it is ended.
	_ = c.SetWriteDeadline(time.Now())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.broken != nil {
		return n, c.broken
	}
	return n, io.EOF
}

// isBroken reports whether a write failed because the connection broke before the peer closed its side: with EPIPE it broke
// afterwards, and after a timeout it is not broken.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
