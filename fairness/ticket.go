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

	// Ticket is one request in a queue. Its exported fields other than Value must not change after Push.
	Ticket struct {
		// Organisation is the organisation that sends the request.
		Organisation string
		// Weight is the weight of the request's kind. Requests of the lowest weight are dropped first; zero stands
		// for 1.
		Weight float64
		// Cost is the expected amount of service, in any unit that all requests share; values below 1 count as 1.
		Cost float64
		// LatestStart is the time by which the request must start to end in time; the zero time means no limit.
		LatestStart time.Time
		// IsReturning is set if the request was refused before. It goes before those of its organisation that were not.
		IsReturning bool
		// Value is for the caller's use.
		Value any

		flow      *flow
		class     *class
		inFlow    *list.Element
		inClass   *list.Element
		heapIndex int // index in the expiry heap, -1 when it is not a member
		state     ticketState
	}

	// Dropped is a request that the queue dropped, with the refusal to return to its caller at once.
	Dropped struct {
		Ticket  *Ticket
		Refusal *outcome.Error
	}

	// ticketHeap is a heap of requests by latest start.
	ticketHeap []*Ticket
)

func (t *Ticket) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

func (t *Ticket) cost() float64 { return max(t.Cost, 1) }

// slack returns how long the request may wait, at most the given bound.
func (t *Ticket) slack(now time.Time, longest time.Duration) time.Duration {
	if t.LatestStart.IsZero() {
		return longest
	}
	return min(longest, t.LatestStart.Sub(now))
}

// Len returns the number of requests in the heap.
func (h ticketHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ticketHeap) Less(a, b int) bool { return h[a].LatestStart.Before(h[b].LatestStart) }

// Swap implements heap.Interface and updates the indices of both requests.
func (h ticketHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push implements heap.Interface; x is a *Ticket.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapIndex = -1
	return t
}
