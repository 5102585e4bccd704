package peer

// The sending side: one queue and one goroutine for each replica, so that a slow or silent one holds up no
// other.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

const (
	// DefaultTimeout is the longest wait for the receipt of a small batch.
	DefaultTimeout = 300 * time.Millisecond
	// slowestBytesPerMs prolongs the timeout of large batches.
	slowestBytesPerMs = 4 << 10

	// maxCalls is the most calls to one replica at once.
	maxCalls = 4
	// maxQueued and maxQueuedBytes bound what waits for one replica; the rest is dropped.
	maxQueued      = 8192
	maxQueuedBytes = 32 << 20
	// maxBatchBytes is the size at which a batch is closed, in bytes.
	maxBatchBytes = 2 << 20
	// failurePause is the time without new calls after a failed one.
	failurePause = 20 * time.Millisecond
)

type (
	// Settings say how a Sender reaches the other replicas.
	Settings struct {
		// URL returns the base URL of a replica, such as "https://10.0.0.4:8700", or "" when it is unknown.
		URL func(id string) string
		// Client carries the calls. It should speak HTTP/1.1, so that a silent connection is given up
		// together with the one call on it.
		Client *http.Client
		// Timeout replaces DefaultTimeout, when set.
		Timeout time.Duration
		// OnFailure, when set, is told of each failed call.
		OnFailure func(id string, err error)
	}

	// Sender sends messages to other replicas. It is safe for concurrent use.
	Sender struct {
		settings Settings
		stream   uint64
		mutex    sync.Mutex
		lanes    map[string]*lane
		isClosed bool
		ctx      context.Context
		cancel   context.CancelFunc
		workers  sync.WaitGroup
	}

	// lane is the way to one replica.
	lane struct {
		sender *Sender
		id     string
		signal chan struct{}
		calls  chan struct{}

		mutex       sync.Mutex
		queue       []*wire.ReplicaMessage
		queuedBytes int
		pausedUntil time.Time
		sequence    uint64
	}
)

// NewSender returns a Sender that works until it is closed.
func NewSender(settings Settings) *Sender {
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		settings: settings, stream: rand.Uint64(), lanes: map[string]*lane{}, ctx: ctx, cancel: cancel,
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
		l = &lane{sender: s, id: id, signal: make(chan struct{}, 1), calls: make(chan struct{}, maxCalls)}
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

// run keeps up to maxCalls calls under way while messages wait.
func (l *lane) run() {
	for {
		select {
		case <-l.sender.ctx.Done():
			return
		case <-l.signal:
		}
		for l.waitForPause() && l.waitForCall() {
			batch, size := l.take()
			if batch == nil {
				<-l.calls
				break
			}
			l.sender.workers.Go(func() {
				defer func() { <-l.calls }()
				l.call(batch, size)
			})
		}
	}
}

// waitForPause waits out the pause after a failure, and returns false when the sender is closed.
func (l *lane) waitForPause() bool {
	l.mutex.Lock()
	pause := time.Until(l.pausedUntil)
	l.mutex.Unlock()
	if pause <= 0 {
		return l.sender.ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-l.sender.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (l *lane) waitForCall() bool {
	select {
	case <-l.sender.ctx.Done():
		return false
	case l.calls <- struct{}{}:
		return true
	}
}

// take returns the next batch and its size in bytes, or nil when nothing waits.
func (l *lane) take() (*wire.ReplicaBatch, int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count, size := 0, 0
	for count < len(l.queue) && size < maxBatchBytes {
		size += proto.Size(l.queue[count])
		count++
	}
	if count == 0 {
		return nil, 0
	}
	l.sequence++
	batch := &wire.ReplicaBatch{Stream: l.sender.stream, Sequence: l.sequence, Messages: l.queue[:count:count]}
	l.queue = l.queue[count:]
	l.queuedBytes -= size
	return batch, size
}

func (l *lane) call(batch *wire.ReplicaBatch, size int) {
	url := l.sender.settings.URL(l.id)
	if url == "" {
		return
	}
	timeout := l.sender.settings.Timeout + time.Duration(size/slowestBytesPerMs)*time.Millisecond
	ctx, cancel := context.WithTimeout(l.sender.ctx, timeout)
	defer cancel()
	_, err := wire.NewReplicaProtobufClient(url, l.sender.settings.Client).Deliver(ctx, batch)
	if err == nil || l.sender.ctx.Err() != nil {
		return
	}
	l.mutex.Lock()
	l.pausedUntil = time.Now().Add(failurePause)
	l.mutex.Unlock()
	if l.sender.settings.OnFailure != nil {
		l.sender.settings.OnFailure(l.id, err)
	}
}
