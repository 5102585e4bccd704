package forward

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// This file holds the streams that wait at the entry because their group has no room for them. They start when the group has
// room, or when just enough time is left before their deadline.

const (
	// waitInterval is the longest time after which waiting streams are tried again. Deadlines come closer without a notice.
	waitInterval = 50 * time.Millisecond
	// usualFirstEvent is the assumed time from the start of a stream to its first event.
	usualFirstEvent = 200 * time.Millisecond
)

// waitingStream is a stream that waits for a place.
type waitingStream struct {
	job *job
	// result receives nil when the stream is admitted, and its refusal otherwise.
	result chan *refusal
}

// admitOrWait admits a request or returns the refusal. A stream without a place waits for one.
func (g *admission) admitOrWait(j *job) *refusal {
	refused := g.admit(j, 1)
	if refused == nil || refused.waiting == nil {
		return refused
	}
	return g.awaitPlace(j, refused.waiting)
}

// isNext reports whether a place is for this stream: none that waits goes before it.
func (g *admission) isNext(j *job, now time.Time) bool {
	return !slices.ContainsFunc(g.waiting, func(w *waitingStream) bool { return w.job != j && compareTurns(w.job, j, now) < 0 })
}

// compareTurns orders streams that wait for a place. Those that can still begin in time go first, by the time that they have
// left for it; the others follow by their deadline.
func compareTurns(a, b *job, now time.Time) int {
	leftOfA, leftOfB := a.objectiveLeft(now), b.objectiveLeft(now)
	isLateA, isLateB := leftOfA < usualFirstEvent, leftOfB < usualFirstEvent
	switch {
	case isLateA != isLateB && isLateA:
		return 1
	case isLateA != isLateB:
		return -1
	case isLateA:
		return a.deadline.Compare(b.deadline)
	default:
		return cmp.Compare(leftOfA, leftOfB)
	}
}

// enqueue adds a stream to those that wait, unless it is among them. The caller holds the mutex.
func (g *admission) enqueue(j *job) *waitingStream {
	if j.waiting != nil {
		return j.waiting
	}
	j.waiting = &waitingStream{job: j, result: make(chan *refusal, 1)}
	g.waiting = append(g.waiting, j.waiting)
	if !g.isDispatching {
		g.isDispatching = true
		go g.dispatch()
	}
	return j.waiting
}

// awaitPlace waits until the stream is admitted, or refuses it when its deadline is too close or the entry stops.
func (g *admission) awaitPlace(j *job, w *waitingStream) *refusal {
	began := time.Now()
	defer func() { j.waited = time.Since(began) }()
	stopping := j.server.refusing.next()
	if j.server.isRefusing.Load() {
		return g.abandon(w, stoppingRefusal())
	}
	latest, cancel := context.WithDeadline(j.request.Context(), j.deadline.Add(-minRetryTime))
	defer cancel()
	select {
	case refused := <-w.result:
		return refused
	case <-stopping:
		return g.abandon(w, stoppingRefusal())
	case <-latest.Done():
		return g.abandon(w, noPlaceRefusal(0))
	}
}

// abandon removes a stream that no longer waits. If it was admitted or refused meanwhile, that holds.
func (g *admission) abandon(w *waitingStream, refused *refusal) *refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if w.job.waiting == nil {
		return <-w.result
	}
	g.dequeue(w)
	if len(g.waiting) == 0 {
		// This lets dispatch return.
		g.places.notify()
	}
	return refused
}

func (g *admission) dequeue(w *waitingStream) {
	w.job.waiting = nil
	g.waiting = slices.DeleteFunc(g.waiting, func(other *waitingStream) bool { return other == w })
}

// dispatch starts waiting streams as places become free, until none waits.
func (g *admission) dispatch() {
	timer := time.NewTimer(waitInterval)
	defer timer.Stop()
	for {
		changed := g.places.next()
		if !g.startWaiting(time.Now()) {
			return
		}
		timer.Reset(waitInterval)
		select {
		case <-changed:
		case <-timer.C:
		}
	}
}

// startWaiting starts the waiting streams that may start now, in the order of compareTurns. Some that go later may be due
// although an earlier one waits on. It returns false if none waits any more.
func (g *admission) startWaiting(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	slices.SortStableFunc(g.waiting, func(a, b *waitingStream) int { return compareTurns(a.job, b.job, now) })
	for _, w := range slices.Clone(g.waiting) {
		refused := g.admitLocked(w.job, 1, now)
		if refused != nil && refused.waiting != nil {
			continue
		}
		g.dequeue(w)
		w.result <- refused
	}
	g.isDispatching = len(g.waiting) > 0
	return g.isDispatching
}
