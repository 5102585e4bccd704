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
	// relay passes TCP connections on to an address. It can make the open ones go silent for good while new
	// ones work, as a middle box does that has lost track of them.
	relay struct {
		listener net.Listener
		target   string
		mutex    sync.Mutex
		pipes    []*pipe
	}

	pipe struct {
		near, far net.Conn
		silent    atomic.Bool
		// swallowed is when bytes were last swallowed on their way to the far end, in Unix nanoseconds.
		swallowed atomic.Int64
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
		for _, p := range r.pipes {
			_ = p.near.Close()
			_ = p.far.Close()
		}
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pipe{near: near, far: far}
		r.mutex.Lock()
		r.pipes = append(r.pipes, p)
		r.mutex.Unlock()
		go p.copy(near, far, false)
		go p.copy(far, near, true)
	}
}

// copy passes bytes on. A silent pipe swallows them and tells neither end.
func (p *pipe) copy(to, from net.Conn, isRequest bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			if isRequest && n > 0 {
				p.swallowed.Store(time.Now().UnixNano())
			}
			if err != nil {
				return
			}
			continue
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

// silence makes all open connections go silent for good and returns how many.
func (r *relay) silence() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, p := range r.pipes {
		p.silent.Store(true)
	}
	return len(r.pipes)
}

// lastSwallowed returns when a silent connection last swallowed bytes on their way to the sidecar.
func (r *relay) lastSwallowed() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := int64(0)
	for _, p := range r.pipes {
		last = max(last, p.swallowed.Load())
	}
	return time.Unix(0, last)
}
