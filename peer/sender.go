package peer

// The sending side: one queue and one goroutine for each replica, so that a slow or silent one holds up no
// other.

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
	// DefaultTimeout is the longest wait for the receipt of a small batch, and for a new connection.
	DefaultTimeout = 300 * time.Millisecond
	// slowestBytesPerMs prolongs the timeout of large batches.
	slowestBytesPerMs = 4 << 10

	// maxQueued and maxQueuedBytes bound what waits for one replica; the rest is dropped.
	maxQueued      = 8192
	maxQueuedBytes = 32 << 20
	// maxBatchBytes is the size at which a batch is closed, in bytes.
	maxBatchBytes = 2 << 20
	// failurePause is the time between a failure and the next connection.
	failurePause = 20 * time.Millisecond
)

type (
	// Settings say how a Sender reaches the other replicas.
	Settings struct {
		// URL returns the base URL of a replica, such as "https://10.0.0.4:8700", or "" when it is unknown.
		URL func(id string) string
		// Client opens the connections. It has to speak HTTP/1.1 and must not limit the time of a call.
		Client *http.Client
		// Timeout replaces DefaultTimeout, when set.
		Timeout time.Duration
		// OnFailure, when set, is told of each connection that failed.
		OnFailure func(id string, err error)
	}

	// Sender sends messages to other replicas. It is safe for concurrent use.
	Sender struct {
		settings Settings
		mutex    sync.Mutex
		lanes    map[string]*lane
		isClosed bool
		ctx      context.Context
		cancel   context.CancelFunc
		workers  sync.WaitGroup
	}

	// lane is the way to one replica.
	lane struct {
		sender   *Sender
		id       string
		signal   chan struct{}
		sequence uint64

		mutex       sync.Mutex
		queue       []*wire.ReplicaMessage
		queuedBytes int
	}
)

// NewSender returns a Sender that works until it is closed.
func NewSender(settings Settings) *Sender {
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		settings: settings, lanes: map[string]*lane{}, ctx: ctx, cancel: cancel,
	}
}

// Send queues a message. It does not block, and drops the message when too many wait.
func (s *Sender) Send(to string, m *wire.ReplicaMessage) {
	if l := s.lane(to); l != nil {
		l.add(m)
	}
}

// Close gives up what is queued and under way.
func (s *Sender) Close() {
	s.mutex.Lock()
	s.isClosed = true
	s.mutex.Unlock()
	s.cancel()
	s.workers.Wait()
}

func (s *Sender) lane(id string) *lane {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosed {
		return nil
	}
	l := s.lanes[id]
	if l == nil {
		l = &lane{sender: s, id: id, signal: make(chan struct{}, 1)}
		s.lanes[id] = l
		s.workers.Go(l.run)
	}
	return l
}

func (l *lane) add(m *wire.ReplicaMessage) {
	size := proto.Size(m)
	l.mutex.Lock()
	isFull := len(l.queue) >= maxQueued || l.queuedBytes+size > maxQueuedBytes
	if !isFull {
		l.queue = append(l.queue, m)
		l.queuedBytes += size
	}
	l.mutex.Unlock()
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// run sends what waits, over one connection after the other.
func (l *lane) run() {
	var c *connection
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for {
		select {
		case <-l.sender.ctx.Done():
			return
		case <-l.signal:
		}
		for batch := l.take(); batch != nil; batch = l.take() {
			c = l.deliver(c, batch)
		}
	}
}

// deliver sends a batch over the connection, or a new one, and returns the connection for the next batch.
func (l *lane) deliver(c *connection, batch *wire.ReplicaBatch) *connection {
	if c == nil || c.isClosed() {
		var err error
		if c, err = l.connect(); err != nil {
			l.fail(err)
			return nil
		}
	}
	if err := c.send(batch); err != nil {
		c.close()
		l.fail(err)
		return nil
	}
	return c
}

func (l *lane) connect() (*connection, error) {
	settings := l.sender.settings
	url := settings.URL(l.id)
	if url == "" {
		return nil, eris.Errorf("the address of replica %s is not known", l.id)
	}
	c, err := connect(l.sender.ctx, settings.Client, url, settings.Timeout)
	if err != nil {
		return nil, err
	}
	l.sender.workers.Go(c.readReceipts)
	return c, nil
}

// fail reports a failure and waits a little before the next connection.
func (l *lane) fail(err error) {
	if l.sender.ctx.Err() != nil {
		return
	}
	if l.sender.settings.OnFailure != nil {
		l.sender.settings.OnFailure(l.id, err)
	}
	timer := time.NewTimer(failurePause)
	defer timer.Stop()
	select {
	case <-l.sender.ctx.Done():
	case <-timer.C:
	}
}

// take returns what waits as one batch, or nil when nothing does.
func (l *lane) take() *wire.ReplicaBatch {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count, size := 0, 0
	for count < len(l.queue) && size < maxBatchBytes {
		size += proto.Size(l.queue[count])
		count++
	}
	if count == 0 || l.sender.ctx.Err() != nil {
		return nil
	}
	l.sequence++
	batch := &wire.ReplicaBatch{Sequence: l.sequence, Messages: l.queue[:count:count]}
	l.queue = l.queue[count:]
	l.queuedBytes -= size
	return batch
}
