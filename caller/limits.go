package caller

import (
	"net"
	"sync"
)

// limits.go bounds the number of open connections and the memory for request bodies.

type (
	// budget is an amount of memory in bytes that concurrent requests share.
	budget struct {
		mutex     sync.Mutex
		available int64
	}

	// limitListener is a listener that bounds the number of open connections. Each one occupies a slot.
	limitListener struct {
		net.Listener
		slots chan struct{}
	}

	// limitedConn is a connection that frees its slot when it is closed.
	limitedConn struct {
		net.Conn
		once    sync.Once
		release func()
	}
)

func newBudget(size int64) *budget { return &budget{available: size} }

func (b *budget) reserve(size int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if size > b.available {
		return false
	}
	b.available -= size
	return true
}

func (b *budget) free(size int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.available += size
}

// newLimitListener returns a listener that accepts a connection only while fewer than limit are open.
func newLimitListener(listener net.Listener, limit int) net.Listener {
	return &limitListener{Listener: listener, slots: make(chan struct{}, limit)}
}

// Accept waits for a free slot and then for a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: connection, release: func() { <-l.slots }}, nil
}

// Close closes the connection and frees its slot. It may be called more than once.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
