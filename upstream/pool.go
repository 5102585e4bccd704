package upstream

import (
	"context"
	"sync"
	"time"
)

const (
	// DefaultIdleTimeout is the longest idle time after which a pooled connection is still used.
	DefaultIdleTimeout = 4 * time.Second
	// maxIdleConnections is the largest number of idle connections in one pool.
	maxIdleConnections = 32
)

// Pool keeps the idle connections to one upstream. It is safe for concurrent use.
type Pool struct {
	address string
	// timeout bounds opening a connection.
	timeout  time.Duration
	mutex    sync.Mutex
	idle     []*Connection
	isClosed bool
}

// NewPool returns an empty pool of connections to an address.
func NewPool(address string, timeout time.Duration) *Pool {
	return &Pool{address: address, timeout: timeout}
}

// Get returns the most recently used idle connection, or opens one if none is reusable. A connection that was idle for
// the limit or DefaultIdleTimeout is closed instead.
func (p *Pool) Get(ctx context.Context, now time.Time, limit time.Duration) (*Connection, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		if c.IsReusable(now, min(limit, DefaultIdleTimeout)) {
			return c, nil
		}
		c.Close()
	}
	return p.Open(ctx)
}

// Open opens a connection.
func (p *Pool) Open(ctx context.Context) (*Connection, error) { return Dial(ctx, p.address, p.timeout) }

func (p *Pool) pop() *Connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// Put returns a connection to the pool after its response was read to the end. It closes a connection that cannot be
// used again, and one beyond the size of the pool.
func (p *Pool) Put(c *Connection, now time.Time) {
	if !c.MarkIdle(now) {
		c.Close()
		return
	}
	p.mutex.Lock()
	isKept := !p.isClosed && len(p.idle) < maxIdleConnections
	if isKept {
		p.idle = append(p.idle, c)
	}
	p.mutex.Unlock()
	if !isKept {
		c.Close()
	}
}

// Close closes all idle connections. Connections that are in use are closed when they are put back.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.isClosed = nil, true
	p.mutex.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
