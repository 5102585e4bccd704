package fairness

import "container/list"

const (
	// Each flow may be a member of several heaps; these constants index its positions in them.
	readyHeap = iota
	backlogHeap
	idleHeap
	heapCount
)

type (
	// flow holds the waiting requests of one organisation.
	flow struct {
		name          string
		limits        Limits
		finishTag     float64 // virtual time at which the service granted so far ends
		running       int
		cost          float64
		countedWeight float64        // weight that the queue's weightSum includes for this flow
		waiting       list.List      // tickets in the order of arrival, which is the order of service
		classes       []*class       // the same tickets by weight, lowest first; few, as there are few kinds of service
		heapIndex     [heapCount]int // index in each heap, -1 when it is not a member
	}

	// class holds the waiting requests of one weight in the order of arrival.
	class struct {
		weight  float64
		cost    float64
		waiting list.List
	}

	// flowHeap is a heap of flows. Each flow stores its index in each heap.
	flowHeap struct {
		flows []*flow
		less  func(a, b *flow) bool
		kind  int
	}
)

func newFlow(name string, limits Limits) *flow {
	return &flow{name: name, limits: limits, heapIndex: [heapCount]int{-1, -1, -1}}
}

func (f *flow) weight() float64 {
	if f.limits.Weight <= 0 {
		return 1
	}
	return f.limits.Weight
}

func (f *flow) isWaiting() bool { return f.waiting.Len() > 0 }

// isReady reports whether a request of the organisation waits and may run under the organisation's limit.
func (f *flow) isReady() bool {
	return f.isWaiting() && (f.limits.Running <= 0 || f.running < f.limits.Running)
}

// head returns the oldest request.
func (f *flow) head() *Ticket { return f.waiting.Front().Value.(*Ticket) }

// tail returns the newest request.
func (f *flow) tail() *Ticket { return f.waiting.Back().Value.(*Ticket) }

// leastWeighted returns the newest request of the lowest weight.
func (f *flow) leastWeighted() *Ticket { return f.classes[0].waiting.Back().Value.(*Ticket) }

// costBelow returns the cost of the waiting requests with less than the given weight.
func (f *flow) costBelow(weight float64) float64 {
	cost := 0.0
	for _, c := range f.classes {
		if c.weight < weight {
			cost += c.cost
		}
	}
	return cost
}

func (f *flow) add(t *Ticket, first bool) {
	c := f.classOf(t.weight())
	t.flow, t.class = f, c
	switch {
	case first:
		t.inFlow, t.inClass = f.waiting.PushFront(t), c.waiting.PushFront(t)
	case t.IsReturning:
		t.inFlow, t.inClass = insertReturning(&f.waiting, t), insertReturning(&c.waiting, t)
	default:
		t.inFlow, t.inClass = f.waiting.PushBack(t), c.waiting.PushBack(t)
	}
	c.cost += t.cost()
	f.cost += t.cost()
}

// insertReturning inserts a returning request after those of the list that return too.
func insertReturning(waiting *list.List, t *Ticket) *list.Element {
	for e := waiting.Front(); e != nil; e = e.Next() {
		if !e.Value.(*Ticket).IsReturning {
			return waiting.InsertBefore(t, e)
		}
	}
	return waiting.PushBack(t)
}

// returning returns the number of waiting requests that were refused before.
func (f *flow) returning() int {
	count := 0
	for e := f.waiting.Front(); e != nil && e.Value.(*Ticket).IsReturning; e = e.Next() {
		count++
	}
	return count
}

func (f *flow) remove(t *Ticket) {
	c := t.class
	f.waiting.Remove(t.inFlow)
	c.waiting.Remove(t.inClass)
	c.cost -= t.cost()
	f.cost -= t.cost()
	if c.waiting.Len() == 0 {
		f.removeClass(c)
	}
	if !f.isWaiting() {
		f.cost = 0
	}
}

// classOf returns the class of a weight and inserts it in order when it is new.
func (f *flow) classOf(weight float64) *class {
	at := 0
	for at < len(f.classes) && f.classes[at].weight < weight {
		at++
	}
	if at < len(f.classes) && f.classes[at].weight == weight {
		return f.classes[at]
	}
	f.classes = append(f.classes, nil)
	copy(f.classes[at+1:], f.classes[at:])
	f.classes[at] = &class{weight: weight}
	return f.classes[at]
}

func (f *flow) removeClass(c *class) {
	for n, known := range f.classes {
		if known == c {
			f.classes = append(f.classes[:n], f.classes[n+1:]...)
			return
		}
	}
}

// hasEarlierTag orders flows by finish tag, which is the virtual start time of their next request.
func hasEarlierTag(a, b *flow) bool {
	if a.finishTag != b.finishTag {
		return a.finishTag < b.finishTag
	}
	return a.name < b.name
}

// isMoreBacklogged orders flows by waiting cost relative to weight, the highest first.
func isMoreBacklogged(a, b *flow) bool {
	backlogA, backlogB := a.cost/a.weight(), b.cost/b.weight()
	if backlogA != backlogB {
		return backlogA > backlogB
	}
	return a.name < b.name
}

// Len returns the number of flows in the heap.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less implements heap.Interface.
func (h *flowHeap) Less(a, b int) bool { return h.less(h.flows[a], h.flows[b]) }

// Swap implements heap.Interface and updates the indices of both flows.
func (h *flowHeap) Swap(a, b int) {
	h.flows[a], h.flows[b] = h.flows[b], h.flows[a]
	h.flows[a].heapIndex[h.kind], h.flows[b].heapIndex[h.kind] = a, b
}

// Push implements heap.Interface; x is a *flow.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex[h.kind] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.heapIndex[h.kind] = -1
	return f
}
