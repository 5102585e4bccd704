package soak_test

import (
	"net"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// A proxy forwards all bytes, delays them, drops them in both directions, or drops only responses.
	forwardAll proxyMode = iota
	delayAll
	dropAll
	dropResponses
)

// delayTime is the time by which a proxy delays bytes.
const delayTime = 80 * time.Millisecond

type (
	// proxyMode is the way in which a proxy treats the bytes of its connections.
	proxyMode int

	// proxy forwards connections to an upstream and disturbs them.
	proxy struct {
		listener net.Listener
		target   string
		mutex    sync.Mutex
		mode     proxyMode
		// disturbedAt is when the mode changed or connections were reset last.
		disturbedAt time.Time
		conns       map[net.Conn]bool
	}
)

func newProxy(w *cluster, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept(listener)
	return p
}

func (p *proxy) address() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.listener.Addr().String()
}

func (p *proxy) close() {
	p.mutex.Lock()
	_ = p.listener.Close()
	p.mutex.Unlock()
	p.reset()
}

func (p *proxy) setMode(mode proxyMode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode, p.disturbedAt = mode, time.Now()
}

// lastDisturbed returns when the proxy last changed its mode or reset connections.
func (p *proxy) lastDisturbed() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.disturbedAt
}

func (p *proxy) currentMode() proxyMode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mode
}

// interrupt resets all connections and accepts none for a time.
func (p *proxy) interrupt(w *cluster, pause time.Duration) {
	address := p.address()
	p.close()
	time.Sleep(pause)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		w.reportViolation("listen again: %v", err)
		return
	}
	p.mutex.Lock()
	p.listener = listener
	p.mutex.Unlock()
	go p.accept(listener)
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.disturbedAt = time.Now()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.relay(conn)
	}
}

func (p *proxy) relay(client net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mutex.Lock()
	p.conns[client], p.conns[upstream] = true, true
	p.mutex.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copyBytes(upstream, client, true) })
	copies.Go(func() { p.copyBytes(client, upstream, false) })
	copies.Wait()
	p.mutex.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mutex.Unlock()
}

// copyBytes forwards bytes in one direction. Once it has dropped bytes, it drops all later ones in this direction too,
// because the stream of bytes would have a gap.
func (p *proxy) copyBytes(to, from net.Conn, isRequest bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	isDropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := p.currentMode(); {
		case mode == dropAll, mode == dropResponses && !isRequest:
			isDropping = true
		case mode == delayAll:
			time.Sleep(delayTime)
		}
		if isDropping {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
