package peer

// The receiving side: it takes over the connection of an upgrade request and reads frames until either side
// closes it.

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"time"

	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/wire"
)

const (
	// idleTimeout is how long a connection may carry no frame before it is closed. A sender opens another one when
	// it has messages to send.
	idleTimeout = 30 * time.Second
	// writeTimeout bounds the writing of an acknowledgement or of the upgrade response.
	writeTimeout = time.Second
	// smallFrameBytes is the size up to which a frame is not counted. framePause is the longest time without a byte of a larger one.
	smallFrameBytes = 64 << 10
	framePause      = 5 * time.Second
	// maxConnections is the maximum number of open connections.
	maxConnections = 64

	upgradeResponse = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n"
)

// Receiver accepts connections from other replicas and delivers their messages. Messages of one connection are
// delivered in order.
type Receiver struct {
	step func(*wire.ReplicaMessage)
	// account counts large frames.
	account     *limit.Account
	closed      context.Context
	close       context.CancelFunc
	mutex       sync.Mutex
	connections map[net.Conn]bool
	isClosed    bool
	readers     sync.WaitGroup
}

// NewReceiver returns a Receiver that calls step with each message. Calls for different connections may overlap, and
// step must not block. Large frames draw from the account.
func NewReceiver(step func(*wire.ReplicaMessage), account *limit.Account) *Receiver {
	closed, cancel := context.WithCancel(context.Background())
	return &Receiver{step: step, account: account, closed: closed, close: cancel, connections: map[net.Conn]bool{}}
}

// Handler returns the HTTP handler for Path. It does not authenticate, so it must be served behind mutual TLS. Its
// connections are hijacked from the HTTP server; Close closes them.
func (r *Receiver) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Upgrade") != Protocol {
			w.Header().Set("Upgrade", Protocol)
			http.Error(w, "this address speaks "+Protocol+" only", http.StatusUpgradeRequired)
			return
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			http.Error(w, "the connection cannot be upgraded: "+err.Error(), http.StatusHTTPVersionNotSupported)
			return
		}
		if r.register(conn) {
			r.serve(conn, buffered.Reader)
			r.unregister(conn)
		}
		_ = conn.Close()
	})
}

// Close closes all connections, waits until their readers have ended, and refuses new connections.
func (r *Receiver) Close() {
	r.close()
	r.mutex.Lock()
	r.isClosed = true
	for conn := range r.connections {
		_ = conn.Close()
	}
	r.mutex.Unlock()
	r.readers.Wait()
}

// register adds an open connection. It returns false when the Receiver is closed or has too many connections.
func (r *Receiver) register(conn net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isClosed || len(r.connections) >= maxConnections {
		return false
	}
	r.connections[conn] = true
	r.readers.Add(1)
	return true
}

func (r *Receiver) unregister(conn net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.connections, conn)
	r.readers.Done()
}

// serve reads frames until the connection ends or carries an invalid frame.
func (r *Receiver) serve(conn net.Conn, buffered *bufio.Reader) {
	if !writeWithTimeout(conn, []byte(upgradeResponse)) {
		return
	}
	for {
		batch, err := r.readFrame(conn, buffered)
		if err != nil {
			return
		}
		for _, m := range batch.Messages {
			r.step(m)
		}
		// One acknowledgement covers all frames that arrived together.
		if buffered.Buffered() == 0 && !writeWithTimeout(conn, encodeAck(batch.Sequence)) {
			return
		}
	}
}

// readFrame reads one frame, in pieces if it is large.
func (r *Receiver) readFrame(conn net.Conn, buffered *bufio.Reader) (*wire.ReplicaBatch, error) {
	deadline := time.Now().Add(idleTimeout)
	_ = conn.SetReadDeadline(deadline)
	head, err := buffered.Peek(lengthBytes)
	if err != nil || binary.LittleEndian.Uint32(head) <= smallFrameBytes {
		return ReadFrame(buffered)
	}
	length, err := readLength(buffered)
	if err != nil {
		return nil, err
	}
	frame, err := r.account.Read(r.closed, buffered, int64(length), conn.SetReadDeadline, limit.BodyLimits{
		Bytes: maxFrameBytes, Deadline: deadline, Pause: framePause,
	})
	defer frame.Release()
	if err != nil {
		return nil, err
	}
	return decodeBatch(frame.Bytes())
}

func writeWithTimeout(conn net.Conn, data []byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(data)
	return err == nil
}
