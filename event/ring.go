package event

import (
	"context"
	"sync"

	"guavahitch.example/guavahitch/wire"
)

const (
	// RingSize is the number of events that a process keeps.
	RingSize = 16384
	// listLimit is the most events that one call returns.
	listLimit = 4096
)

// Ring keeps the latest events of one process in bounded memory and serves them to the time line.
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

// Add stamps the event and keeps it, dropping the oldest one when the ring is full.
func (r *Ring) Add(e *wire.Event) {
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

// List returns the events after a sequence number, oldest first, and how many were dropped unread.
func (r *Ring) List(_ context.Context, request *wire.EventsRequest) (*wire.EventsReply, error) {
	limit := int(request.Limit)
	if limit <= 0 || limit > listLimit {
		limit = listLimit
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
