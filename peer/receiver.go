package peer

// The receiving side: batches that travelled over several connections are put back into their order, so that
// pipelined appends are not taken for gaps in the log.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"guavahitch.example/guavahitch/wire"
)

const (
	// maxRequestBytes is the largest request that is read, in bytes.
	maxRequestBytes = 24 << 20
	// gapPatience is the longest that batches wait for one before them.
	gapPatience = 20 * time.Millisecond
	// maxEarly is the most batches that wait for one before them.
	maxEarly = 16
	// maxStreams is the most senders that are told apart.
	maxStreams = 64
)

type (
	// Receiver implements the Replica service and hands messages on in their order.
	Receiver struct {
		step    func(*wire.ReplicaMessage)
		mutex   sync.Mutex
		streams map[string]*stream
	}

	// stream is what one run of a sender has sent.
	stream struct {
		mutex sync.Mutex
		id    uint64
		// next is the sequence of the batch that is due.
		next  uint64
		early map[uint64][]*wire.ReplicaMessage
		timer *time.Timer
	}
)

// NewReceiver returns a Receiver that hands each message to step, which must not block.
func NewReceiver(step func(*wire.ReplicaMessage)) *Receiver {
	return &Receiver{step: step, streams: map[string]*stream{}}
}

// Handler returns the HTTP handler of the service; it belongs behind mutual TLS.
func (r *Receiver) Handler() http.Handler {
	server := wire.NewReplicaServer(r)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(w, request.Body, maxRequestBytes)
		server.ServeHTTP(w, request)
	})
}

// Deliver takes a batch. Its messages are handed on in the order of their sequence; one that is missing for
// long, or comes late, does not hold up the others.
func (r *Receiver) Deliver(_ context.Context, batch *wire.ReplicaBatch) (*wire.ReplicaReceipt, error) {
	if len(batch.Messages) == 0 || batch.Messages[0] == nil || batch.Messages[0].From == "" {
		return nil, twirp.RequiredArgumentError("messages")
	}
	s := r.stream(batch)
	if s == nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many senders")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.take(s, batch)
	return &wire.ReplicaReceipt{}, nil
}

// stream returns the stream of the batch; a sender that was started anew begins another one.
func (r *Receiver) stream(batch *wire.ReplicaBatch) *stream {
	from := batch.Messages[0].From
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.streams[from]
	if s != nil && s.id == batch.Stream {
		return s
	}
	if s == nil && len(r.streams) >= maxStreams {
		return nil
	}
	s = &stream{id: batch.Stream, next: batch.Sequence, early: map[uint64][]*wire.ReplicaMessage{}}
	r.streams[from] = s
	return s
}

func (r *Receiver) take(s *stream, batch *wire.ReplicaBatch) {
	switch {
	case batch.Sequence < s.next:
		r.handOn(batch.Messages)
	case batch.Sequence == s.next:
		r.handOn(batch.Messages)
		s.next++
		r.drain(s)
	default:
		s.early[batch.Sequence] = batch.Messages
		if len(s.early) >= maxEarly {
			r.skip(s)
		}
	}
	r.watch(s)
}

// drain hands on the early batches that are due now.
func (r *Receiver) drain(s *stream) {
	for {
		messages, isThere := s.early[s.next]
		if !isThere {
			return
		}
		delete(s.early, s.next)
		r.handOn(messages)
		s.next++
	}
}

// skip gives up on the batches before the first early one.
func (r *Receiver) skip(s *stream) {
	first := uint64(0)
	for sequence := range s.early {
		if first == 0 || sequence < first {
			first = sequence
		}
	}
	if first == 0 {
		return
	}
	s.next = first
	r.drain(s)
}

// watch makes sure that early batches do not wait for ever.
func (r *Receiver) watch(s *stream) {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.early) == 0 {
		return
	}
	s.timer = time.AfterFunc(gapPatience, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		r.skip(s)
		r.watch(s)
	})
}

func (r *Receiver) handOn(messages []*wire.ReplicaMessage) {
	for _, m := range messages {
		if m != nil {
			r.step(m)
		}
	}
}
