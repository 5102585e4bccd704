package fairness

import (
	"context"
	"sync"
	"time"

	"guavahitch.example/guavahitch/outcome"
)

type (
	// Gate admits the requests of goroutines through a Queue.
	Gate struct {
		// take is called under the gate's lock.
		take  func(now time.Time, t *Ticket) bool
		mutex sync.Mutex
		queue *Queue
		waits map[*Ticket]chan *outcome.Error
	}
)

// NewGate returns a gate before the room that take hands out: take is called for the request that is next and
// reports whether there was room, which it then has taken for the request. It must not call the gate.
func NewGate(s Settings, take func(now time.Time, t *Ticket) bool) *Gate {
	return &Gate{take: take, queue: NewQueue(s), waits: map[*Ticket]chan *outcome.Error{}}
}

// Acquire blocks until there is room for the request and returns nil, or the refusal as soon as the request is
// given up on. After nil, Release must be called. The end of ctx gives the request up with reason "cancelled".
func (g *Gate) Acquire(ctx context.Context, t *Ticket) *outcome.Error {
	ended := make(chan *outcome.Error, 1)
	if refused := g.push(t, ended); refused != nil {
		return refused
	}
	return g.await(ctx, t, ended)
}

// Reacquire takes an admitted request back that its upstream refused for want of room, and blocks as Acquire does.
// The request is the next of its organisation.
func (g *Gate) Reacquire(ctx context.Context, t *Ticket) *outcome.Error {
	ended := make(chan *outcome.Error, 1)
	g.mutex.Lock()
	g.queue.Return(t)
	g.waits[t] = ended
	g.grant(time.Now())
	g.mutex.Unlock()
	return g.await(ctx, t, ended)
}

func (g *Gate) await(ctx context.Context, t *Ticket, ended chan *outcome.Error) *outcome.Error {
	var late <-chan time.Time
	if !t.Latest.IsZero() {
		timer := time.NewTimer(time.Until(t.Latest) + time.Millisecond)
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
			return g.abandon(t, ended)
		}
	}
}

// Release tells that an admitted request has ended, with the cost that it took; zero keeps the expected one.
func (g *Gate) Release(t *Ticket, actual float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.queue.Release(t, actual)
	g.grant(time.Now())
}

// Wake admits as many requests as there is room for and refuses those that are late. Call it whenever room
// may have come free.
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

// abandon gives a request up whose caller has gone. When it was admitted at the same moment it is admitted.
func (g *Gate) abandon(t *Ticket, ended chan *outcome.Error) *outcome.Error {
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
		for _, u := range g.queue.GiveUp(now) {
			g.end(u.Ticket, u.Refusal)
		}
		t := g.queue.Head()
		if t == nil || !g.take(now, t) {
			return
		}
		g.queue.Pop(now)
		g.end(t, nil)
	}
}

func (g *Gate) end(t *Ticket, refused *outcome.Error) {
	g.waits[t] <- refused
	delete(g.waits, t)
}
