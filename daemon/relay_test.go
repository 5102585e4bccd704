package daemon_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type (
	// relay forwards TCP connections to an address. It can make the open connections silent for good while new ones
	// work, like a middlebox that has lost the state of the open ones.
	relay struct {
		listener net.Listener
		target   string
		// delay is how long bytes to the target are held, in nanoseconds.
		delay       atomic.Int64
		mutex       sync.Mutex
		connections []*relayedConnection
	}

	// relayedConnection is one connection through a relay.
	relayedConnection struct {
		client, server net.Conn
		silent         atomic.Bool
		// discarded is when bytes from the client were last discarded, in Unix nanoseconds.
		discarded atomic.Int64
	}
)

func newRelay(t testing.TB, target string) *relay {
	listener, err := net.Listen("tcp", loopback)
	require.NoError(t, err)
	r := &relay{listener: listener, target: target}
	go r.serve()
	t.Cleanup(func() {
		_ = listener.Close()
		r.mutex.Lock()
		defer r.mutex.Unlock()
		for _, p := range r.connections {
			_ = p.client.Close()
			_ = p.server.Close()
		}
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &relayedConnection{client: client, server: server}
		r.mutex.Lock()
		r.connections = append(r.connections, p)
		r.mutex.Unlock()
		go p.copy(client, server, nil)
		go p.copy(server, client, &r.delay)
	}
}

// copy forwards bytes, requests after a delay. On a silent connection it discards them without closing either end.
func (p *relayedConnection) copy(to, from net.Conn, delay *atomic.Int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			if delay != nil && n > 0 {
				p.discarded.Store(time.Now().UnixNano())
			}
			if err != nil {
				return
			}
			continue
		}
		if delay != nil {
			time.Sleep(time.Duration(delay.Load()))
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes all open connections silent for good and returns their number.
func (r *relay) silence() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, p := range r.connections {
		p.silent.Store(true)
	}
	return len(r.connections)
}

// connectionCount returns how many connections were opened through the relay.
func (r *relay) connectionCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.connections)
}

// lastDiscarded returns when a silent connection last discarded bytes on their way to the sidecar.
func (r *relay) lastDiscarded() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := int64(0)
	for _, p := range r.connections {
		last = max(last, p.discarded.Load())
	}
	return time.Unix(0, last)
}
