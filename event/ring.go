package event

import (
	"context"
	"strings"
	"sync"

	"guavahitch.example/guavahitch/wire"
)

const (
	// RingSize is the number of events that a process keeps.
	RingSize = 16384
	// maxListedEvents is the maximum number of events that one call of List returns.
	maxListedEvents = 4096
	// replacement stands for bytes that are not UTF-8.
	replacement = "\ufffd"
)

// Ring keeps the latest RingSize events of one process and serves them to the time line. It implements wire.Events and
// is safe for concurrent use.
type Ring struct {
	process string
	clock   *Clock
	mutex   sync.Mutex
	events  []*wire.Event
	next    uint64
}

// NewRing returns an empty ring for the named process.
func NewRing(process string, clock *Clock) *Ring {
	return &Ring{process: process, clock: clock, events: make([]*wire.Event, 0, RingSize), next: 1}
}

// Add stamps and stores an event. When the ring is full, it drops the oldest event. Bytes that are not UTF-8 are replaced, as the
// time line could not be sent with them.
func (r *Ring) Add(e *wire.Event) {
	for _, text := range []*string{&e.Kind, &e.Request, &e.Group, &e.Change, &e.Peer, &e.Detail, &e.Outcome} {
		*text = strings.ToValidUTF8(*text, replacement)
	}
	stamp := r.clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e.WallUs, e.Logical = stamp.WallUs, stamp.Logical
	e.Process, e.Sequence = r.process, r.next
	if len(r.events) < RingSize {
		r.events = append(r.events, e)
	} else {
		r.events[int((r.next-1)%RingSize)] = e
	}
	r.next++
}

// List returns the events after a sequence number, oldest first, and how many of those the ring has already dropped.
func (r *Ring) List(_ context.Context, request *wire.EventsRequest) (*wire.EventsReply, error) {
	limit := int(request.Limit)
	if limit <= 0 || limit > maxListedEvents {
		limit = maxListedEvents
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reply := &wire.EventsReply{Process: r.process}
	first := r.next - uint64(len(r.events))
	from := request.After + 1
	if from < first {
		reply.Dropped = first - from
		from = first
	}
	for n := from; n < r.next && len(reply.Events) < limit; n++ {
		reply.Events = append(reply.Events, r.events[int((n-1)%RingSize)])
	}
	return reply, nil
}
