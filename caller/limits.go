package caller

import (
	"net"
	"sync"
)

// limits.go bounds the connections and the memory that callers can hold.

type (
	// budget is memory that many requests share, in bytes.
	budget struct {
		mutex sync.Mutex
		left  int64
	}

	limitListener struct {
		net.Listener
		places chan struct{}
	}

	limitedConn struct {
		net.Conn
		once    sync.Once
		release func()
	}
)

func newBudget(size int64) *budget { return &budget{left: size} }

func (b *budget) take(size int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if size > b.left {
		return false
	}
	b.left -= size
	return true
}

func (b *budget) give(size int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left += size
}

// newLimitListener returns a listener that accepts no further connection while limit are open.
func newLimitListener(listener net.Listener, limit int) net.Listener {
	return &limitListener{Listener: listener, places: make(chan struct{}, limit)}
}

// Accept waits for a free place and a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: connection, release: func() { <-l.places }}, nil
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
