package fairness

import (
	"container/list"
	"time"

	"guavahitch.example/guavahitch/outcome"
)

const (
	ticketNew ticketState = iota
	ticketWaiting
	ticketGranted
	ticketEnded
)

type (
	ticketState int

	// Ticket is one request in a queue. The fields are set before Push and not changed after.
	Ticket struct {
		// Organisation is the organisation that asks.
		Organisation string
		// Weight is the weight of the request's kind: the least weighted is shed first; zero stands for 1.
		Weight float64
		// Cost is the expected service that the request takes, in any unit that all requests share; at least 1.
		Cost float64
		// Latest is the time by which the request must start to end in time; the zero time never comes.
		Latest time.Time
		// Value is the caller's own.
		Value any

		flow    *flow
		class   *class
		inFlow  *list.Element
		inClass *list.Element
		expiry  int // place in the heap of latest starts, -1 when it has none
		state   ticketState
	}

	// GivenUp is a request that was taken out of the queue, with the refusal to send at once.
	GivenUp struct {
		Ticket  *Ticket
		Refusal *outcome.Error
	}

	// ticketHeap is a heap of requests by their latest start.
	ticketHeap []*Ticket
)

func (t *Ticket) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

func (t *Ticket) cost() float64 { return max(t.Cost, 1) }

// slack returns the time that the request may wait.
func (t *Ticket) slack(now time.Time, longest time.Duration) time.Duration {
	if t.Latest.IsZero() {
		return longest
	}
	return min(longest, t.Latest.Sub(now))
}

// Len returns the number of requests in the heap.
func (h ticketHeap) Len() int { return len(h) }

// Less orders by the latest start.
func (h ticketHeap) Less(a, b int) bool { return h[a].Latest.Before(h[b].Latest) }

// Swap keeps the places of the requests up to date.
func (h ticketHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].expiry, h[b].expiry = a, b
}

// Push adds a *Ticket.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.expiry = len(*h)
	*h = append(*h, t)
}

// Pop removes the last one.
func (h *ticketHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.expiry = -1
	return t
}
