package fairness

const (
	readySlot = iota
	backlogSlot
	idleSlot
	slots
)

type (
	// flow holds the waiting requests of one organisation.
	flow struct {
		name    string
		limits  Limits
		finish  float64 // virtual time at which the service granted so far ends
		running int
		waiting int
		cost    float64
		counted float64    // weight that the queue's sum holds for it
		classes []*class   // by weight, greatest first; few, for kinds of service are few
		places  [slots]int // place in each heap, -1 when it is not there
	}

	// class holds the waiting requests of one weight in the order of their arrival.
	class struct {
		weight      float64
		cost        float64
		first, last *Ticket
	}

	// flowHeap is a heap of organisations. Each flow knows its place in each heap.
	flowHeap struct {
		flows []*flow
		less  func(a, b *flow) bool
		slot  int
	}
)

func newFlow(name string, limits Limits) *flow {
	return &flow{name: name, limits: limits, places: [slots]int{-1, -1, -1}}
}

func (f *flow) weight() float64 {
	if f.limits.Weight <= 0 {
		return 1
	}
	return f.limits.Weight
}

// isReady reports whether a request of the organisation may run.
func (f *flow) isReady() bool {
	return f.waiting > 0 && (f.limits.Running <= 0 || f.running < f.limits.Running)
}

// head returns the oldest request of the greatest weight.
func (f *flow) head() *Ticket { return f.classes[0].first }

// tail returns the newest request of the least weight.
func (f *flow) tail() *Ticket { return f.classes[len(f.classes)-1].last }

// costFrom returns the cost of the waiting requests of at least the given weight.
func (f *flow) costFrom(weight float64) float64 {
	cost := 0.0
	for _, c := range f.classes {
		if c.weight >= weight {
			cost += c.cost
		}
	}
	return cost
}

func (f *flow) add(t *Ticket) {
	c := f.classOf(t.weight())
	t.flow, t.class, t.prev, t.next = f, c, c.last, nil
	if c.last != nil {
		c.last.next = t
	} else {
		c.first = t
	}
	c.last = t
	c.cost += t.cost()
	f.cost += t.cost()
	f.waiting++
}

func (f *flow) remove(t *Ticket) {
	c := t.class
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		c.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		c.last = t.prev
	}
	t.prev, t.next = nil, nil
	c.cost -= t.cost()
	f.cost -= t.cost()
	f.waiting--
	if c.first == nil {
		f.drop(c)
	}
	if f.waiting == 0 {
		f.cost = 0
	}
}

// classOf returns the class of a weight, which it adds in its place when it is new.
func (f *flow) classOf(weight float64) *class {
	at := 0
	for at < len(f.classes) && f.classes[at].weight > weight {
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

func (f *flow) drop(c *class) {
	for n, known := range f.classes {
		if known == c {
			f.classes = append(f.classes[:n], f.classes[n+1:]...)
			return
		}
	}
}

// startsBefore orders organisations by the virtual time at which their next request starts.
func startsBefore(a, b *flow) bool {
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.name < b.name
}

// isMoreBacklogged orders organisations by what waits, relative to their weight, the most first.
func isMoreBacklogged(a, b *flow) bool {
	backlogA, backlogB := a.cost/a.weight(), b.cost/b.weight()
	if backlogA != backlogB {
		return backlogA > backlogB
	}
	return a.name < b.name
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less applies the order of the heap.
func (h *flowHeap) Less(a, b int) bool { return h.less(h.flows[a], h.flows[b]) }

// Swap keeps the places of the organisations up to date.
func (h *flowHeap) Swap(a, b int) {
	h.flows[a], h.flows[b] = h.flows[b], h.flows[a]
	h.flows[a].places[h.slot], h.flows[b].places[h.slot] = a, b
}

// Push adds a *flow.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.places[h.slot] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop removes the last one.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.places[h.slot] = -1
	return f
}
