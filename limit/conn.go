package limit

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"time"
)

const (
	// silent is a connection on which nothing has been received yet.
	silent phase = iota
	// receiving is one on which a part of a head has been received.
	receiving
	// serving is one whose request is being served.
	serving
	// refused is one whose request was refused within its body. It is closed after the response.
	refused
	// idle is one whose last request was answered.
	idle
	// removed is one that is closed.
	removed
)

type (
	// phase is what a connection does.
	phase int

	// conn is a connection that an Account counts. The mutex of the Account guards its fields.
	conn struct {
		net.Conn
		account *Account
		phase   phase
		// since is when the phase began. In the phase receiving it is when the first byte of the head came.
		since time.Time
		// held is the memory that the connection has taken.
		held int64
	}

	// connKey is the key of the conn in the context of a request.
	connKey struct{}
)

func isUnfinished(p phase) bool { return p == silent || p == receiving }

func isRefused(p phase) bool { return p == refused }

func isIdle(p phase) bool { return p == idle }

// admit counts a new connection. It returns nil if there is no place for it, and the connection must be closed.
func (a *Account) admit(c net.Conn, now time.Time) *conn {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.makeRoomForConnection(now) {
		a.counts.arrivals.Add(1)
		return nil
	}
	admitted := &conn{Conn: c, account: a, since: now, held: ConnectionBytes}
	a.used += ConnectionBytes
	a.connections[admitted] = struct{}{}
	return admitted
}

// Read counts the bytes of heads.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.receive(n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// receive counts bytes that were received. It returns false if the connection was closed meanwhile. If there is no memory for the
// head, the connections that have been without a whole head for longest are closed, which may be this one.
func (c *conn) receive(bytes int) bool {
	a := c.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch c.phase {
	case serving, refused:
		return true
	case removed:
		return false
	case silent, idle:
		c.phase, c.since = receiving, time.Now()
	}
	cost := int64(headCost * bytes)
	c.held += cost
	a.used += cost
	for a.used > a.settings.Memory && c.phase != removed && a.closeOldest(isUnfinished, time.Now(), 0) {
		a.counts.heads.Add(1)
	}
	return c.phase != removed
}

// begin records that a request is being served. It returns false if the connection was closed meanwhile.
func (c *conn) begin() bool {
	c.account.mutex.Lock()
	defer c.account.mutex.Unlock()
	if c.phase == removed {
		return false
	}
	c.phase = serving
	return true
}

// refuse records that the request is refused within its body.
func (c *conn) refuse() {
	c.account.mutex.Lock()
	defer c.account.mutex.Unlock()
	if c.phase == serving {
		c.phase, c.since = refused, time.Now()
	}
}

// finish records that the last request was answered.
func (c *conn) finish() {
	a := c.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if c.phase == removed {
		return
	}
	c.phase, c.since = idle, time.Now()
	if c.held > ConnectionBytes {
		a.give(c.held - ConnectionBytes)
		c.held = ConnectionBytes
	}
}

// Close closes the connection and gives back what it holds.
func (c *conn) Close() error {
	c.account.mutex.Lock()
	defer c.account.mutex.Unlock()
	return c.remove()
}

// CloseWrite ends the sending side, so that the client reads the end of a refusal while its body is still on its way.
func (c *conn) CloseWrite() error {
	half, isHalf := c.Conn.(interface{ CloseWrite() error })
	if !isHalf {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// remove closes the connection and gives back what it holds. The mutex of the Account must be held.
func (c *conn) remove() error {
	if c.phase != removed {
		c.phase = removed
		delete(c.account.connections, c)
		c.account.give(c.held)
		c.held = 0
	}
	return c.Conn.Close()
}

// Timeouts are the times after which a connection is closed. Those that are 0 do not end.
type Timeouts struct {
	// Header is the longest time from the first byte of a head to its end.
	Header time.Duration
	// Idle is the longest time without a request.
	Idle time.Duration
}

// of returns the longest time that a connection may stay in a phase.
func (t Timeouts) of(p phase) time.Duration {
	limit := time.Duration(0)
	switch p {
	case silent, idle:
		limit = t.Idle
	case receiving:
		limit = t.Header
	}
	if limit <= 0 {
		return math.MaxInt64
	}
	return limit
}

// connOf returns the conn of a request, nil if its server has no Account.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
