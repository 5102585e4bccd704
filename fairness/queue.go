// Package fairness admits the requests of many organisations to scarce room, by weight.
//
// Queue is the core: a state machine of start-time fair queueing over organisations. It is told the time, does
// no I/O and is deterministic. Gate wraps it for goroutines: Acquire blocks until the request may run or is
// refused. A request that cannot start in time is refused before it runs, as soon as that is known.
package fairness

import (
	"fmt"
	"math"
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
		// LongestWait is the predicted wait beyond which a request is refused even if it could still end in time;
		// zero means no such bound.
		LongestWait time.Duration
	}

	// Queue orders waiting requests by weighted fair service. It is not safe for concurrent use.
	Queue struct {
		settings Settings
		flows    map[string]*flow
		ready    flowHeap // organisations with waiting requests that may run, by start tag
		backlog  flowHeap // organisations with waiting requests, the most backlogged first
		idle     flowHeap // organisations without requests, by the virtual time at which their debt ends
		expiry   ticketHeap
		given    []GivenUp
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
	if s.LongestWait <= 0 {
		s.LongestWait = math.MaxInt64
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
// start in time or when the queue is full and it weighs least, and "limit" when its organisation is at its limit.
// Requests of less weight may be given up for it; GiveUp returns them.
func (q *Queue) Push(now time.Time, t *Ticket) *outcome.Error {
	q.settle()
	f := q.flowOf(t.Organisation)
	defer q.place(f)
	if f.limits.Queued > 0 && f.waiting.Len() >= f.limits.Queued {
		return q.refuse(http.StatusTooManyRequests, "limit", "too many waiting requests of the organisation", q.wait(f, 0))
	}
	slack := t.slack(now, q.settings.LongestWait)
	if late := q.wait(f, 0) - slack; late > 0 {
		if q.wait(f, f.costBelow(t.weight())) > slack {
			return q.refuse(http.StatusTooManyRequests, "overloaded", "cannot start in time", late)
		}
		q.shed(f, slack)
	}
	if q.waiting >= q.settings.Limit {
		victim := q.victim(f, t)
		if victim == t {
			return q.refuse(http.StatusServiceUnavailable, "overloaded", "the queue is full", q.wait(f, 0))
		}
		q.giveUp(victim, "shed for a request of more weight or of a smaller share")
	}
	q.add(f, t, false)
	return nil
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
	t.state = ticketGranted
	f.finish = q.virtual + t.cost()/f.weight()
	f.running++
	q.meter.add(now, t.cost(), q.waiting > 0)
	q.place(f)
	q.review(now, f)
	return t
}

// Head returns the request that Pop would return.
func (q *Queue) Head() *Ticket {
	if q.ready.Len() == 0 {
		return nil
	}
	return q.ready.flows[0].head()
}

// Return takes a request back that Pop returned and that did not run after all. It is the next of its
// organisation.
func (q *Queue) Return(t *Ticket) {
	if t.state != ticketGranted {
		return
	}
	f := t.flow
	f.running--
	f.finish = max(0, f.finish-t.cost()/f.weight())
	q.meter.cost = max(0, q.meter.cost-t.cost())
	q.add(f, t, true)
}

// Release tells that a request that Pop returned has ended. The service of its organisation is corrected by
// what the request took: actual replaces the expected cost; zero keeps it.
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

// GiveUp returns the requests that were given up on since the last call, each with the refusal to send at once.
// Call it after each Push and Pop and at NextExpiry.
func (q *Queue) GiveUp(now time.Time) []GivenUp {
	for q.expiry.Len() > 0 && q.expiry[0].Latest.Before(now) {
		q.giveUp(q.expiry[0], "cannot start in time any more")
	}
	given := q.given
	q.given = nil
	return given
}

// NextExpiry returns the time after which GiveUp next has work to do; zero when no request waits for it.
func (q *Queue) NextExpiry() time.Time {
	if q.expiry.Len() == 0 {
		return time.Time{}
	}
	return q.expiry[0].Latest
}

// Wait predicts how long a new request of an organisation would wait.
func (q *Queue) Wait(organisation string) time.Duration {
	f, ok := q.flows[organisation]
	if !ok {
		f = newFlow(organisation, q.settings.LimitsOf(organisation))
	}
	return q.wait(f, 0)
}

// wait divides what waits in the organisation, less the cost left out, by its share of the service rate.
func (q *Queue) wait(f *flow, leftOut float64) time.Duration {
	rate := q.meter.rate()
	if rate <= 0 || q.waiting == 0 {
		return 0
	}
	weights := q.weights
	if !f.isWaiting() {
		weights += f.weight()
	}
	ahead := f.cost - leftOut + max(0, f.finish-q.virtual)*f.weight()
	share := rate * f.weight() / weights
	return time.Duration(min(ahead/share, longestRetry.Seconds()*100) * float64(time.Second))
}

// review gives up on the least weighted requests of an organisation while its newest could not start in time,
// which a fall of the service rate brings about.
func (q *Queue) review(now time.Time, f *flow) {
	if !f.isWaiting() {
		return
	}
	newest := f.tail()
	if q.wait(f, newest.cost()) > newest.slack(now, q.settings.LongestWait) {
		q.giveUp(f.least(), "cannot start in time any more")
	}
}

// shed gives up on the organisation's least weighted requests until a new one would start within slack.
func (q *Queue) shed(f *flow, slack time.Duration) {
	for f.isWaiting() && q.wait(f, 0) > slack {
		q.giveUp(f.least(), "shed for a request of more weight")
	}
}

func (q *Queue) giveUp(t *Ticket, detail string) {
	wait := q.wait(t.flow, 0)
	q.remove(t)
	t.state = ticketEnded
	q.given = append(q.given, GivenUp{Ticket: t, Refusal: q.refuse(http.StatusTooManyRequests, "overloaded", detail, wait)})
}

func (q *Queue) refuse(status int, reason, detail string, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: stepAdmit, Outcome: outcome.NotRun, Reason: reason, Status: status,
		Detail:     fmt.Sprintf("%s; %d requests wait", detail, q.waiting),
		RetryAfter: min(max(retryAfter, shortestRetry), longestRetry),
	}
}
