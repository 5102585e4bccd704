// Package fairness admits the requests of many organisations to scarce room, by weight.
//
// Queue is the core: a state machine of start-time fair queueing over organisations. It is told the time, does
// no I/O and is deterministic. Gate wraps it for goroutines: Acquire blocks until the request may run or is
// refused. A request that cannot start in time is refused before it runs, as soon as that is known.
package fairness

import (
	"fmt"
	"net/http"
	"time"

	"guavahitch.example/guavahitch/outcome"
)

const (
	// DefaultLimit is the number of requests that a queue holds when its settings name none.
	DefaultLimit = 4096
	// stepAdmit is the step that errors of this package name.
	stepAdmit = "admit"
	// shortestRetry and longestRetry bound the retry advice.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 30 * time.Second
)

type (
	// Limits are the limits of one organisation.
	Limits struct {
		// Weight is the share of service relative to others; zero stands for 1.
		Weight float64
		// Running is the most requests that run at once; zero means no limit.
		Running int
		// Queued is the most requests that wait at once; zero means no limit but the queue's own.
		Queued int
	}

	// Settings are the settings of a queue.
	Settings struct {
		// LimitsOf returns the limits of an organisation; nil gives each weight 1 and no limits.
		LimitsOf func(organisation string) Limits
		// Limit is the most requests that wait at once; zero stands for DefaultLimit.
		Limit int
	}

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

		flow       *flow
		class      *class
		prev, next *Ticket
		expiry     int // place in the heap of latest starts, -1 when it has none
		state      ticketState
	}

	// Queue orders waiting requests by weighted fair service. It is not safe for concurrent use.
	Queue struct {
		settings Settings
		flows    map[string]*flow
		ready    flowHeap // organisations with waiting requests and room, by start tag
		backlog  flowHeap // organisations with waiting requests, the most backlogged first
		idle     flowHeap // organisations without requests, by the virtual time at which their debt ends
		expiry   ticketHeap
		virtual  float64
		waiting  int
		weights  float64 // sum of the weights of the organisations with waiting requests
		meter    rateMeter
	}
)

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	if s.LimitsOf == nil {
		s.LimitsOf = func(string) Limits { return Limits{} }
	}
	if s.Limit <= 0 {
		s.Limit = DefaultLimit
	}
	return &Queue{
		settings: s, flows: map[string]*flow{},
		ready:   flowHeap{less: startsBefore, slot: readySlot},
		backlog: flowHeap{less: isMoreBacklogged, slot: backlogSlot},
		idle:    flowHeap{less: startsBefore, slot: idleSlot},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Organisations returns the number of organisations that the queue remembers.
func (q *Queue) Organisations() int { return len(q.flows) }

// Push adds a request. The error, always NotRun, refuses it at once: reason "overloaded" when it could not
// start in time or weighs least while the queue is full, and "limit" when its organisation is at its limit.
// A request that was shed to make room is returned with its refusal.
func (q *Queue) Push(now time.Time, t *Ticket) (shed *Shed, refused *outcome.Error) {
	q.settle()
	f := q.flowOf(t.Organisation)
	defer q.place(f)
	if f.limits.Queued > 0 && f.waiting >= f.limits.Queued {
		return nil, q.refuse(http.StatusTooManyRequests, "limit", "too many waiting requests of the organisation", q.wait(f, t))
	}
	wait := q.wait(f, t)
	if !t.Latest.IsZero() && now.Add(wait).After(t.Latest) {
		return nil, q.refuse(http.StatusTooManyRequests, "overloaded", "cannot start in time", now.Add(wait).Sub(t.Latest))
	}
	if q.waiting >= q.settings.Limit {
		victim := q.victim(f, t)
		if victim == t {
			return nil, q.refuse(http.StatusServiceUnavailable, "overloaded", "the queue is full", wait)
		}
		q.remove(victim)
		victim.state = ticketEnded
		shed = &Shed{
			Ticket:  victim,
			Refusal: q.refuse(http.StatusServiceUnavailable, "overloaded", "shed for a request of more weight or a smaller share", wait),
		}
	}
	q.add(f, t)
	return shed, nil
}

// Pop removes and returns the request to run next, or nil when none may run. Its organisation's count of
// running requests grows until Release.
func (q *Queue) Pop(now time.Time) *Ticket {
	t := q.Head()
	if t == nil {
		return nil
	}
	f := t.flow
	q.virtual = max(q.virtual, f.finish)
	q.remove(t)
	q.meter.add(now, t.cost(), q.waiting > 0)
	f.finish = max(f.finish, q.virtual) + t.cost()/f.weight()
	f.running++
	t.state = ticketGranted
	q.place(f)
	return t
}

// Head returns the request that Pop would return.
func (q *Queue) Head() *Ticket {
	if q.ready.Len() == 0 {
		return nil
	}
	return q.ready.flows[0].head()
}

// Release tells that a request that Pop returned has ended. The cost is corrected by what it took: actual
// replaces the expected cost; zero keeps it.
func (q *Queue) Release(t *Ticket, actual float64) {
	if t.state != ticketGranted {
		return
	}
	t.state = ticketEnded
	f := t.flow
	f.running--
	if actual > 0 {
		f.finish = max(0, f.finish+(actual-t.cost())/f.weight())
	}
	q.place(f)
	q.settle()
}

// Remove takes a waiting request out and reports whether it was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if t.state != ticketWaiting {
		return false
	}
	q.remove(t)
	t.state = ticketEnded
	return true
}

// Expire removes and returns the requests that can no longer start in time, each with its refusal.
func (q *Queue) Expire(now time.Time) []Shed {
	var expired []Shed
	for q.expiry.Len() > 0 && q.expiry[0].Latest.Before(now) {
		t := q.expiry[0]
		wait := q.wait(t.flow, t)
		q.remove(t)
		t.state = ticketEnded
		expired = append(expired, Shed{
			Ticket:  t,
			Refusal: q.refuse(http.StatusTooManyRequests, "overloaded", "cannot start in time any more", wait),
		})
	}
	return expired
}

// NextExpiry returns the time at which Expire next has work to do; zero when no request waits for it.
func (q *Queue) NextExpiry() time.Time {
	if q.expiry.Len() == 0 {
		return time.Time{}
	}
	return q.expiry[0].Latest
}

// Wait predicts how long a request would wait before it starts.
func (q *Queue) Wait(t *Ticket) time.Duration {
	f, ok := q.flows[t.Organisation]
	if !ok {
		f = newFlow(t.Organisation, q.settings.LimitsOf(t.Organisation))
	}
	return q.wait(f, t)
}

// wait divides what waits before the request in its organisation by the organisation's share of the rate.
func (q *Queue) wait(f *flow, t *Ticket) time.Duration {
	rate := q.meter.rate()
	if rate <= 0 || q.waiting == 0 {
		return 0
	}
	weights := q.weights
	if f.waiting == 0 {
		weights += f.weight()
	}
	ahead := f.costFrom(t.weight()) + max(0, f.finish-q.virtual)*f.weight()
	share := rate * f.weight() / weights
	return time.Duration(ahead / share * float64(time.Second))
}

func (q *Queue) refuse(status int, reason, detail string, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: stepAdmit, Outcome: outcome.NotRun, Reason: reason, Status: status,
		Detail:     fmt.Sprintf("%s; %d requests wait", detail, q.waiting),
		RetryAfter: min(max(retryAfter, shortestRetry), longestRetry),
	}
}
