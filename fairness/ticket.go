package fairness

import "guavahitch.example/guavahitch/outcome"

const (
	ticketNew ticketState = iota
	ticketWaiting
	ticketGranted
	ticketEnded
)

type (
	ticketState int

	// Shed is a request that was taken out of the queue, with the refusal to send at once.
	Shed struct {
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

// Len, Less, Swap, Push and Pop implement heap.Interface.
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
