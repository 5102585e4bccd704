package fairness

import "container/heap"

// idleLimit bounds the organisations without requests whose debt is remembered.
const idleLimit = 16384

// flowOf returns the organisation's flow, which it adds when it is new.
func (q *Queue) flowOf(organisation string) *flow {
	f, ok := q.flows[organisation]
	if !ok {
		f = newFlow(organisation, q.settings.LimitsOf(organisation))
		q.flows[organisation] = f
	} else {
		f.limits = q.settings.LimitsOf(organisation)
	}
	return f
}

func (q *Queue) add(f *flow, t *Ticket, first bool) {
	if !f.isWaiting() {
		f.finish = max(f.finish, q.virtual)
	}
	f.add(t, first)
	q.waiting++
	t.state = ticketWaiting
	t.expiry = -1
	if !t.Latest.IsZero() {
		heap.Push(&q.expiry, t)
	}
	q.place(f)
}

func (q *Queue) remove(t *Ticket) {
	if t.expiry >= 0 {
		heap.Remove(&q.expiry, t.expiry)
	}
	t.flow.remove(t)
	q.waiting--
	q.place(t.flow)
}

// place puts the organisation into the heaps where it belongs and takes it out of the others.
func (q *Queue) place(f *flow) {
	wasBacklogged := f.places[backlogSlot] >= 0
	set(&q.ready, f, f.isReady())
	set(&q.backlog, f, f.isWaiting())
	set(&q.idle, f, !f.isWaiting() && f.running == 0)
	if isBacklogged := f.isWaiting(); isBacklogged != wasBacklogged {
		q.sumWeights(f, isBacklogged)
	}
}

// sumWeights keeps the sum of the weights of the organisations with waiting requests.
func (q *Queue) sumWeights(f *flow, isBacklogged bool) {
	if isBacklogged {
		f.counted = f.weight()
		q.weights += f.counted
		return
	}
	q.weights -= f.counted
	if q.backlog.Len() == 0 {
		q.weights = 0
	}
}

func set(h *flowHeap, f *flow, member bool) {
	place := f.places[h.slot]
	switch {
	case member && place < 0:
		heap.Push(h, f)
	case member:
		heap.Fix(h, place)
	case place >= 0:
		heap.Remove(h, place)
	}
}

// settle forgets the organisations without requests whose debt has ended, and bounds the others.
func (q *Queue) settle() {
	for q.idle.Len() > 0 {
		f := q.idle.flows[0]
		if f.finish > q.virtual && q.idle.Len() <= idleLimit {
			return
		}
		heap.Remove(&q.idle, 0)
		delete(q.flows, f.name)
	}
}

// victim returns the request to shed for a newcomer: the newest of the least weight, of the organisation with
// the most waiting relative to its weight. It is the newcomer itself when that is the least.
func (q *Queue) victim(f *flow, t *Ticket) *Ticket {
	most := q.backlog.flows[0]
	if f == most || (f.cost+t.cost())/f.weight() >= most.cost/most.weight() {
		if !f.isWaiting() || t.weight() <= f.least().weight() {
			return t
		}
		return f.least()
	}
	return most.least()
}
