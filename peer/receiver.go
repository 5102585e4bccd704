package peer

// The receiving side: it takes over the connection of an upgrade request and reads frames until either end
// closes it.

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// idleTimeout is the silence after which a connection is closed; a sender opens another when it has
	// something to say.
	idleTimeout = 30 * time.Second
	// receiptTimeout is the longest that writing a receipt may take.
	receiptTimeout = time.Second
	// maxConnections is the most connections at once.
	maxConnections = 64

	switching = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n"
)

// Receiver hands the messages of other replicas on, in the order of each connection.
type Receiver struct {
	step     func(*wire.ReplicaMessage)
	mutex    sync.Mutex
	open     map[net.Conn]bool
	isClosed bool
	readers  sync.WaitGroup
}

// NewReceiver returns a Receiver that hands each message to step, which must not block.
func NewReceiver(step func(*wire.ReplicaMessage)) *Receiver {
	return &Receiver{step: step, open: map[net.Conn]bool{}}
}

// Handler returns the HTTP handler for Path; it belongs behind mutual TLS. Its connections leave the server
// that accepts them and end with Close.
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
		if r.enter(conn) {
			r.serve(conn, buffered.Reader)
			r.leave(conn)
		}
		_ = conn.Close()
	})
}

// Close ends all connections.
func (r *Receiver) Close() {
	r.mutex.Lock()
	r.isClosed = true
	for conn := range r.open {
		_ = conn.Close()
	}
	r.mutex.Unlock()
	r.readers.Wait()
}

func (r *Receiver) enter(conn net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isClosed || len(r.open) >= maxConnections {
		return false
	}
	r.open[conn] = true
	r.readers.Add(1)
	return true
}

func (r *Receiver) leave(conn net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.open, conn)
	r.readers.Done()
}

// serve reads frames until the connection ends or carries something else.
func (r *Receiver) serve(conn net.Conn, buffered *bufio.Reader) {
	if !reply(conn, []byte(switching)) {
		return
	}
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		batch, err := ReadFrame(buffered)
		if err != nil {
			return
		}
		for _, m := range batch.Messages {
			r.step(m)
		}
		// One receipt answers all frames that came together.
		if buffered.Buffered() == 0 && !reply(conn, encodeReceipt(batch.Sequence)) {
			return
		}
	}
}

func reply(conn net.Conn, data []byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(receiptTimeout))
	_, err := conn.Write(data)
	return err == nil
}
