package peer

// The sending side: one queue and one goroutine for each replica, so that a slow or unresponsive replica does not
// delay messages to the others.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

const (
	// DefaultTimeout bounds the wait for the acknowledgement of a small batch, and the opening of a connection.
	DefaultTimeout = 300 * time.Millisecond
	// minBytesPerMs is the lowest expected throughput, which extends the timeout of large batches.
	minBytesPerMs = 4 << 10

	// maxQueuedMessages and maxQueuedBytes bound the queue of one replica; messages beyond it are dropped.
	maxQueuedMessages = 8192
	maxQueuedBytes    = 32 << 20
	// maxBatchBytes is the size from which on no further message is added to a batch.
	maxBatchBytes = 2 << 20
	// reconnectDelay is the time between a failure and the next attempt to connect.
	reconnectDelay = 20 * time.Millisecond
)

type (
	// Settings configure a Sender.
	Settings struct {
		// URL returns the base URL of a replica, such as "https://10.0.0.4:8700", or "" if it is unknown.
		URL func(id string) string
		// Client opens the connections. It must use HTTP/1.1 and must not set a timeout for calls.
		Client *http.Client
		// Timeout replaces DefaultTimeout if it is not 0.
		Timeout time.Duration
		// OnFailure, if set, is called for each failure to connect or to send.
		OnFailure func(id string, err error)
	}

	// Sender sends messages to other replicas. Messages may be lost. It is safe for concurrent use.
	Sender struct {
		settings Settings
		mutex    sync.Mutex
		outboxes map[string]*outbox
		isClosed bool
		ctx      context.Context
		cancel   context.CancelFunc
		workers  sync.WaitGroup
	}

	// outbox holds the queue of messages for one replica and the goroutine that sends them.
	outbox struct {
		sender   *Sender
		id       string
		signal   chan struct{}
		sequence uint64

		mutex       sync.Mutex
		queue       []*wire.ReplicaMessage
		queuedBytes int
	}
)

// NewSender returns a Sender. The caller must close it to stop its goroutines.
func NewSender(settings Settings) *Sender {
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		settings: settings, outboxes: map[string]*outbox{}, ctx: ctx, cancel: cancel,
	}
}

// Send queues a message for the replica with the id to. It does not block, and drops the message if the queue of
// the replica is full or the Sender is closed.
func (s *Sender) Send(to string, m *wire.ReplicaMessage) {
	if o := s.outbox(to); o != nil {
		o.enqueue(m)
	}
}

// Close discards the queued messages, cancels the opening of connections, closes the connections and waits until all
// goroutines have ended. A frame that is being written is still completed, unless its acknowledgement times out.
func (s *Sender) Close() {
	s.mutex.Lock()
	s.isClosed = true
	s.mutex.Unlock()
	s.cancel()
	s.workers.Wait()
}

func (s *Sender) outbox(id string) *outbox {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosed {
		return nil
	}
	o := s.outboxes[id]
	if o == nil {
		o = &outbox{sender: s, id: id, signal: make(chan struct{}, 1)}
		s.outboxes[id] = o
		s.workers.Go(o.run)
	}
	return o
}

func (o *outbox) enqueue(m *wire.ReplicaMessage) {
	size := proto.Size(m)
	o.mutex.Lock()
	isFull := len(o.queue) >= maxQueuedMessages || o.queuedBytes+size > maxQueuedBytes
	if !isFull {
		o.queue = append(o.queue, m)
		o.queuedBytes += size
	}
	o.mutex.Unlock()
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// run sends the queued messages until the Sender is closed. It uses one connection at a time.
func (o *outbox) run() {
	var c *connection
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for {
		select {
		case <-o.sender.ctx.Done():
			return
		case <-o.signal:
		}
		for batch := o.nextBatch(); batch != nil; batch = o.nextBatch() {
			c = o.deliver(c, batch)
		}
	}
}

// deliver sends a batch over c, or over a new connection if c is nil or closed. It returns the connection for the
// next batch, or nil after a failure, in which case the batch is lost.
func (o *outbox) deliver(c *connection, batch *wire.ReplicaBatch) *connection {
	if c == nil || c.isClosed() {
		var err error
		if c, err = o.connect(); err != nil {
			o.handleFailure(err)
			return nil
		}
	}
	if err := c.send(batch); err != nil {
		c.close()
		o.handleFailure(err)
		return nil
	}
	return c
}

func (o *outbox) connect() (*connection, error) {
	settings := o.sender.settings
	url := settings.URL(o.id)
	if url == "" {
		return nil, eris.Errorf("the address of replica %s is not known", o.id)
	}
	c, err := connect(o.sender.ctx, settings.Client, url, settings.Timeout)
	if err != nil {
		return nil, err
	}
	o.sender.workers.Go(c.readAcks)
	return c, nil
}

// handleFailure reports a failure and waits for reconnectDelay.
func (o *outbox) handleFailure(err error) {
	if o.sender.ctx.Err() != nil {
		return
	}
	if o.sender.settings.OnFailure != nil {
		o.sender.settings.OnFailure(o.id, err)
	}
	timer := time.NewTimer(reconnectDelay)
	defer timer.Stop()
	select {
	case <-o.sender.ctx.Done():
	case <-timer.C:
	}
}

// nextBatch removes queued messages until they reach maxBatchBytes, and returns them as a batch. It returns nil if the
// queue is empty or the Sender is closed.
func (o *outbox) nextBatch() *wire.ReplicaBatch {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	count, size := 0, 0
	for count < len(o.queue) && size < maxBatchBytes {
		size += proto.Size(o.queue[count])
		count++
	}
	if count == 0 || o.sender.ctx.Err() != nil {
		return nil
	}
	o.sequence++
	batch := &wire.ReplicaBatch{Sequence: o.sequence, Messages: o.queue[:count:count]}
	o.queue = o.queue[count:]
	o.queuedBytes -= size
	return batch
}
