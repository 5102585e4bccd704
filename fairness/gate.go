package fairness

import (
	"context"
	"sync"
	"time"

	"guavahitch.example/guavahitch/outcome"
)

type (
	// Gate admits the requests of goroutines through a Queue. It is safe for concurrent use.
	Gate struct {
		// take reserves capacity for a request. It is called with the mutex held.
		take  func(now time.Time, t *Ticket) bool
		mutex sync.Mutex
		queue *Queue
		waits map[*Ticket]chan *outcome.Error
	}
)

// NewGate returns a gate. It calls take for the next request in the queue; take reserves capacity for the request and
// reports whether there was any. It must not call the gate.
func NewGate(s Settings, take func(now time.Time, t *Ticket) bool) *Gate {
	return &Gate{take: take, queue: NewQueue(s), waits: map[*Ticket]chan *outcome.Error{}}
}

// Acquire blocks until the request is admitted and returns nil, or returns the refusal as soon as the request is
// dropped. After nil, the caller must call Release. When ctx ends first, the refusal has the reason "cancelled".
func (g *Gate) Acquire(ctx context.Context, t *Ticket) *outcome.Error {
	ended := make(chan *outcome.Error, 1)
	if refused := g.push(t, ended); refused != nil {
		return refused
	}
	return g.await(ctx, t, ended)
}

// Reacquire puts an admitted request back into the queue after its upstream refused it as full, and blocks as Acquire
// does. The request becomes the first in its organisation's order.
func (g *Gate) Reacquire(ctx context.Context, t *Ticket) *outcome.Error {
	ended := make(chan *outcome.Error, 1)
	g.mutex.Lock()
	g.queue.Requeue(t)
	g.waits[t] = ended
	g.grant(time.Now())
	g.mutex.Unlock()
	return g.await(ctx, t, ended)
}

func (g *Gate) await(ctx context.Context, t *Ticket, ended chan *outcome.Error) *outcome.Error {
	var late <-chan time.Time
	if !t.LatestStart.IsZero() {
		timer := time.NewTimer(time.Until(t.LatestStart) + time.Millisecond)
		defer timer.Stop()
		late = timer.C
	}
	for {
		select {
		case refused := <-ended:
			return refused
		case <-late:
			g.Wake()
			late = nil
		case <-ctx.Done():
			return g.cancel(t, ended)
		}
	}
}

// Release records that an admitted request has ended, with the actual cost; zero keeps the expected cost.
func (g *Gate) Release(t *Ticket, actual float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.queue.Release(t, actual)
	g.grant(time.Now())
}

// Wake admits as many requests as there is capacity for and refuses those that can no longer start in time. Call it
// whenever capacity may have been freed.
func (g *Gate) Wake() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.grant(now)
}

// Len returns the number of waiting requests.
func (g *Gate) Len() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Len()
}

func (g *Gate) push(t *Ticket, ended chan *outcome.Error) *outcome.Error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	refused := g.queue.Push(now, t)
	if refused == nil {
		g.waits[t] = ended
	}
	g.grant(now)
	return refused
}

// cancel removes a request whose context has ended. A request that has left the queue in the meantime keeps its
// result, admission or refusal.
func (g *Gate) cancel(t *Ticket, ended chan *outcome.Error) *outcome.Error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.queue.Remove(t) {
		return <-ended
	}
	delete(g.waits, t)
	return &outcome.Error{Step: stepAdmit, Outcome: outcome.NotRun, Reason: "cancelled", Detail: "the caller has gone"}
}

func (g *Gate) grant(now time.Time) {
	for {
		for _, u := range g.queue.TakeDropped(now) {
			g.notify(u.Ticket, u.Refusal)
		}
		t := g.queue.Head()
		if t == nil || !g.take(now, t) {
			return
		}
		g.queue.Pop(now)
		g.notify(t, nil)
	}
}

func (g *Gate) notify(t *Ticket, refused *outcome.Error) {
	g.waits[t] <- refused
	delete(g.waits, t)
}
