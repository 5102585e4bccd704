// Package fairness shares scarce capacity among the requests of many organisations, by weight.
//
// Queue is the core: a deterministic state machine of start-time fair queueing over organisations. Callers pass the
// time, and the queue does no I/O. Gate wraps it for goroutines: Acquire blocks until the request may run or is
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
	// DefaultLimit is the default maximum number of waiting requests in a queue.
	DefaultLimit = 4096
	// stepAdmit is the Step of errors from this package.
	stepAdmit = "admit"
	// shortestRetry and longestRetry bound the retry advice.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 30 * time.Second
)

type (
	// Limits are the limits of one organisation.
	Limits struct {
		// Weight is the organisation's share of the service relative to others; zero stands for 1.
		Weight float64
		// Running is the maximum number of requests that run at once; zero means no limit.
		Running int
		// Queued is the maximum number of requests that wait at once; zero leaves only the limit of the queue.
		Queued int
	}

	// Settings configures a Queue.
	Settings struct {
		// LimitsOf returns the limits of an organisation. When it is nil, each organisation has weight 1 and no
		// limits.
		LimitsOf func(organisation string) Limits
		// Limit is the maximum number of waiting requests; zero stands for DefaultLimit.
		Limit int
		// MaxWait is the predicted wait above which a request is refused even if it could still end in time; zero
		// means no such bound.
		MaxWait time.Duration
	}

	// Queue orders waiting requests by weighted fair queueing. It is not safe for concurrent use.
	Queue struct {
		settings    Settings
		flows       map[string]*flow
		ready       flowHeap // organisations with a waiting request that may run, by start tag
		backlog     flowHeap // organisations with waiting requests, the most backlogged first
		idle        flowHeap // organisations without requests, by finish tag
		expiry      ticketHeap
		dropped     []Dropped
		virtualTime float64
		waiting     int
		weightSum   float64 // sum of the weights of the organisations with waiting requests
		meter       rateMeter
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
	if s.MaxWait <= 0 {
		s.MaxWait = math.MaxInt64
	}
	return &Queue{
		settings: s, flows: map[string]*flow{},
		ready:   flowHeap{less: hasEarlierTag, kind: readyHeap},
		backlog: flowHeap{less: isMoreBacklogged, kind: backlogHeap},
		idle:    flowHeap{less: hasEarlierTag, kind: idleHeap},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Organisations returns the number of organisations that the queue holds state for.
func (q *Queue) Organisations() int { return len(q.flows) }

// Push adds a request or refuses it at once. The Outcome of the error is always NotRun. Its Reason is "overloaded"
// when the request could not start in time or the queue is full and holds no request that ranks lower, and "limit"
// when the organisation has too many waiting requests. Push may drop requests of less weight, or of an organisation
// with a larger backlog, in favour of the new one; TakeDropped returns them.
func (q *Queue) Push(now time.Time, t *Ticket) *outcome.Error {
	q.forgetIdle()
	f := q.flowOf(t.Organisation)
	defer q.updateHeaps(f)
	if f.limits.Queued > 0 && f.waiting.Len() >= f.limits.Queued {
		return q.refuse(http.StatusTooManyRequests, "limit", "too many waiting requests of the organisation",
			q.predictWait(f, 0))
	}
	slack := t.slack(now, q.settings.MaxWait)
	if late := q.predictWait(f, 0) - slack; late > 0 {
		if q.predictWait(f, f.costBelow(t.weight())) > slack {
			return q.refuse(http.StatusTooManyRequests, "overloaded", "cannot start in time", late)
		}
		q.shed(f, slack)
	}
	if q.waiting >= q.settings.Limit {
		victim := q.victim(f, t)
		if victim == t {
			return q.refuse(http.StatusServiceUnavailable, "overloaded", "the queue is full", q.predictWait(f, 0))
		}
		q.drop(victim, "shed for a request of more weight or of a smaller share")
	}
	q.add(f, t, false)
	return nil
}

// Pop removes and returns the request to run next, or nil when none may run. The request counts as running for its
// organisation until Release.
func (q *Queue) Pop(now time.Time) *Ticket {
	t := q.Head()
	if t == nil {
		return nil
	}
	q.virtualTime = max(q.virtualTime, t.flow.finishTag)
	q.Grant(now, t)
	return t
}

// Grant removes a waiting request to run it out of order. Like one from Pop, it counts as running until Release. The
// virtual time does not advance, so that the organisations that were passed over lose nothing.
func (q *Queue) Grant(now time.Time, t *Ticket) {
	f := t.flow
	q.remove(t)
	t.state = ticketGranted
	f.finishTag = max(q.virtualTime, f.finishTag) + t.cost()/f.weight()
	f.running++
	q.meter.add(now, t.cost(), q.waiting > 0)
	q.updateHeaps(f)
	q.dropLate(now, f)
}

// Head returns the request that Pop would return.
func (q *Queue) Head() *Ticket {
	if q.ready.Len() == 0 {
		return nil
	}
	return q.ready.flows[0].head()
}

// HeadOf returns the request of an organisation that runs next of those that wait, or nil when none waits.
func (q *Queue) HeadOf(organisation string) *Ticket {
	f := q.flows[organisation]
	if f == nil || !f.isWaiting() {
		return nil
	}
	return f.head()
}

// Waiting returns the numbers of waiting requests of an organisation, and of those among them that were refused before.
func (q *Queue) Waiting(organisation string) (all, returning int) {
	f := q.flows[organisation]
	if f == nil {
		return 0, 0
	}
	return f.waiting.Len(), f.returning()
}

// Backlogged returns the number of organisations with waiting requests.
func (q *Queue) Backlogged() int { return q.backlog.Len() }

// Requeue puts a request back that Pop returned but that did not run. It becomes the first in its organisation's
// order.
func (q *Queue) Requeue(t *Ticket) {
	if t.state != ticketGranted {
		return
	}
	f := t.flow
	f.running--
	f.finishTag = max(0, f.finishTag-t.cost()/f.weight())
	q.meter.cost = max(0, q.meter.cost-t.cost())
	q.add(f, t, true)
}

// Release records that a request from Pop has ended. The finish tag of its organisation is corrected from the
// expected to the actual cost; zero keeps the expected cost.
func (q *Queue) Release(t *Ticket, actual float64) {
	if t.state != ticketGranted {
		return
	}
	t.state = ticketEnded
	f := t.flow
	f.running--
	if actual > 0 {
		f.finishTag = max(0, f.finishTag+(actual-t.cost())/f.weight())
	}
	q.updateHeaps(f)
	q.forgetIdle()
}

// Remove removes a waiting request and reports whether it was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if t.state != ticketWaiting {
		return false
	}
	q.remove(t)
	t.state = ticketEnded
	return true
}

// TakeDropped returns the requests that were dropped since the last call, each with the refusal to return to its
// caller at once. It first drops those that can no longer start in time. Call it after each Push and Pop and at
// NextExpiry.
func (q *Queue) TakeDropped(now time.Time) []Dropped {
	for q.expiry.Len() > 0 && q.expiry[0].LatestStart.Before(now) {
		q.drop(q.expiry[0], "cannot start in time any more")
	}
	dropped := q.dropped
	q.dropped = nil
	return dropped
}

// NextExpiry returns the time after which TakeDropped must be called next; zero when no waiting request has a latest
// start.
func (q *Queue) NextExpiry() time.Time {
	if q.expiry.Len() == 0 {
		return time.Time{}
	}
	return q.expiry[0].LatestStart
}

// Wait predicts how long a new request of an organisation would wait.
func (q *Queue) Wait(organisation string) time.Duration {
	f, ok := q.flows[organisation]
	if !ok {
		f = newFlow(organisation, q.settings.LimitsOf(organisation))
	}
	return q.predictWait(f, 0)
}

// predictWait divides the cost that must be served before a new request of the organisation by its share of the
// service rate. That cost is the organisation's waiting cost, less the cost leftOut, plus the granted cost by which its
// finish tag is ahead of the virtual time.
func (q *Queue) predictWait(f *flow, leftOut float64) time.Duration {
	rate := q.meter.rate()
	if rate <= 0 || q.waiting == 0 {
		return 0
	}
	weights := q.weightSum
	if !f.isWaiting() {
		weights += f.weight()
	}
	ahead := f.cost - leftOut + max(0, f.finishTag-q.virtualTime)*f.weight()
	share := rate * f.weight() / weights
	return time.Duration(min(ahead/share, longestRetry.Seconds()*100) * float64(time.Second))
}

// dropLate drops the lowest-weighted request of an organisation when its newest one can no longer start in time. This
// happens when the service rate falls.
func (q *Queue) dropLate(now time.Time, f *flow) {
	if !f.isWaiting() {
		return
	}
	newest := f.tail()
	if q.predictWait(f, newest.cost()) > newest.slack(now, q.settings.MaxWait) {
		q.drop(f.leastWeighted(), "cannot start in time any more")
	}
}

// shed drops the organisation's lowest-weighted requests until a new one is predicted to start within slack.
func (q *Queue) shed(f *flow, slack time.Duration) {
	for f.isWaiting() && q.predictWait(f, 0) > slack {
		q.drop(f.leastWeighted(), "shed for a request of more weight")
	}
}

func (q *Queue) drop(t *Ticket, detail string) {
	wait := q.predictWait(t.flow, 0)
	q.remove(t)
	t.state = ticketEnded
	q.dropped = append(q.dropped, Dropped{
		Ticket: t, Refusal: q.refuse(http.StatusTooManyRequests, "overloaded", detail, wait),
	})
}

func (q *Queue) refuse(status int, reason, detail string, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: stepAdmit, Outcome: outcome.NotRun, Reason: reason, Status: status,
		Detail:     fmt.Sprintf("%s; %d requests wait", detail, q.waiting),
		RetryAfter: min(max(retryAfter, shortestRetry), longestRetry),
	}
}
