package fairness

import "container/heap"

// idleLimit bounds the number of flows without requests that are remembered because their finish tag is ahead of the
// virtual time. Such an organisation was granted more than its share; if it were forgotten, it could return at once
// without waiting for the others to catch up.
const idleLimit = 16384

// flowOf returns the organisation's flow, with its current limits, and creates it when it is new.
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
		f.finishTag = max(f.finishTag, q.virtualTime)
	}
	f.add(t, first)
	q.waiting++
	t.state = ticketWaiting
	t.heapIndex = -1
	if !t.LatestStart.IsZero() {
		heap.Push(&q.expiry, t)
	}
	q.updateHeaps(f)
}

func (q *Queue) remove(t *Ticket) {
	if t.heapIndex >= 0 {
		heap.Remove(&q.expiry, t.heapIndex)
	}
	t.flow.remove(t)
	q.waiting--
	q.updateHeaps(t.flow)
}

// updateHeaps adds the flow to the heaps that it belongs to and removes it from the others.
func (q *Queue) updateHeaps(f *flow) {
	wasBacklogged := f.heapIndex[backlogHeap] >= 0
	setMembership(&q.ready, f, f.isReady())
	setMembership(&q.backlog, f, f.isWaiting())
	setMembership(&q.idle, f, !f.isWaiting() && f.running == 0)
	if isBacklogged := f.isWaiting(); isBacklogged != wasBacklogged {
		q.sumWeights(f, isBacklogged)
	}
}

// sumWeights updates the sum of the weights of the organisations with waiting requests.
func (q *Queue) sumWeights(f *flow, isBacklogged bool) {
	if isBacklogged {
		f.countedWeight = f.weight()
		q.weightSum += f.countedWeight
		return
	}
	q.weightSum -= f.countedWeight
	if q.backlog.Len() == 0 {
		q.weightSum = 0
	}
}

func setMembership(h *flowHeap, f *flow, member bool) {
	index := f.heapIndex[h.kind]
	switch {
	case member && index < 0:
		heap.Push(h, f)
	case member:
		heap.Fix(h, index)
	case index >= 0:
		heap.Remove(h, index)
	}
}

// forgetIdle removes flows without requests whose finish tag has passed, and the ones with the earliest tags when
// there are more than idleLimit.
func (q *Queue) forgetIdle() {
	for q.idle.Len() > 0 {
		f := q.idle.flows[0]
		if f.finishTag > q.virtualTime && q.idle.Len() <= idleLimit {
			return
		}
		heap.Remove(&q.idle, 0)
		delete(q.flows, f.name)
	}
}

// victim returns the request to drop for a new one when the queue is full: the newest request of the lowest weight in
// the organisation with the most waiting cost relative to its weight. It is the new request itself when that one
// ranks lowest.
func (q *Queue) victim(f *flow, t *Ticket) *Ticket {
	mostBacklogged := q.backlog.flows[0]
	if f == mostBacklogged || (f.cost+t.cost())/f.weight() >= mostBacklogged.cost/mostBacklogged.weight() {
		if !f.isWaiting() || t.weight() <= f.leastWeighted().weight() {
			return t
		}
		return f.leastWeighted()
	}
	return mostBacklogged.leastWeighted()
}
