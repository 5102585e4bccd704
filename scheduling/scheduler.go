// Package scheduling decides in which order the streams of one service start at an entry when there is no room for all,
// how long each of them may wait, and when a refused one should come back. A Scheduler is a deterministic state machine:
// callers pass the time and tell it of arrivals, starts, ends and load reports.
//
// More urgent requests go first. Within a priority, organisations share the starts by work. Organisations and priorities
// that get less than a fixed part of the overall service go before all others.
package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavahitch.example/guavahitch/ewma"
	"guavahitch.example/guavahitch/fairness"
)

const (
	// maxWaiting bounds the waiting requests, whose bodies are held in memory.
	maxWaiting = 1024
	// freeWaitShare is the part of its objective that a request waits in any case, since that costs the caller nothing.
	freeWaitShare = 0.125
	// defaultObjective is assumed for requests without an objective.
	defaultObjective = time.Second
	// MaxWait is the longest wait, and maxWaitShare the longest as a share of the time to the deadline. Callers give up a
	// stream without an event after two seconds, and it has yet to begin when the wait is over.
	MaxWait      = 900 * time.Millisecond
	maxWaitShare = 0.25
	// roomGain multiplies the part of the reported room that an entry fills by itself. All entries see the same room, and
	// usually only some of them have waiting requests.
	roomGain = 1.5
	// contentionTime is how long after a request has waited new ones of its priority start only as they are allowed.
	contentionTime = time.Second
	// maxAllowance bounds the starts that are saved up while there is no room for them.
	maxAllowance = 2.0
)

const (
	// RuleTooLate refuses a request that is expected to start long after its latest start.
	RuleTooLate = "expected too late"
	// RuleShortWait refuses a request that has waited for freeWaitShare and is not expected to start in time.
	RuleShortWait = "short wait over"
	// RuleLongWait refuses a request that was expected to start in time and did not.
	RuleLongWait = "latest start passed"
	// RuleQueueFull refuses a request because too many wait.
	RuleQueueFull = "too many waiting"
)

type (
	// Request is one request from its arrival until it starts or is refused. Callers set the exported fields and do not
	// change them afterwards.
	Request struct {
		Organisation string
		// Priority is the priority of the request. 0 is the most urgent.
		Priority int
		// Work is the expected work in any unit that all requests share.
		Work float64
		// Arrived is the arrival at this entry, and Deadline the time at which the caller gives up.
		Arrived, Deadline time.Time
		// Objective is the time from the first attempt of the caller in which its answer should begin, 0 if it has none.
		Objective time.Duration
		// Elapsed is the time from the first attempt of the caller until Arrived.
		Elapsed time.Duration
		// IsReturning is set if the request was refused before.
		IsReturning bool
		// Value is for the caller's use.
		Value any

		ticket *fairness.Ticket
		class  *class
		// isLong is set if the request waits for its latest start, and not only for freeWaitShare.
		isLong bool
	}

	// Verdict tells whether a request may wait.
	Verdict struct {
		// Rule is the rule that refuses the request, empty if it may wait.
		Rule string
		// Until is the time at which Review must be called for a request that still waits.
		Until time.Time
		// Position is the number of waiting requests that start before it.
		Position int
		// ExpectedWait is the expected time until it starts, negative if it is not known.
		ExpectedWait time.Duration
	}

	// Scheduler holds the waiting requests of one service at one entry. It is not safe for concurrent use.
	Scheduler struct {
		// classes holds the state of each priority that has had requests, the most urgent first.
		classes []*class
		waiting int
		demand  demand
		total   counts
		// supply measures the places that this entry may fill: those of its own streams that end, and its part of the room
		// in load reports.
		supply ewma.Counter
		// allowance is the number of waiting requests that may start now.
		allowance float64
		// equalShare is the part of the last limit that each entry would have if all had the same.
		// running is the number of streams of this entry.
		equalShare float64
		running    int
		// firstEvent is the time from the start of a stream to its first event.
		firstEvent ewma.Mean
	}

	// class holds the requests of one priority.
	class struct {
		priority int
		queue    *fairness.Queue
		total    counts
		flows    map[string]*counts
		// waiting holds the number of waiting requests by organisation.
		waiting map[string]int
		// arrivals and starts measure all requests, also those that do not wait.
		arrivals, starts ewma.Counter
		// nextReturn is the time that is promised to the next refused request.
		nextReturn time.Time
		// waited is when a request last began to wait.
		waited time.Time
	}
)

// New returns a scheduler without requests.
func New() *Scheduler { return &Scheduler{supply: ewma.NewCounter(meterTime)} }

// IsWaiting reports whether the request is in the queue.
func (r *Request) IsWaiting() bool { return r.ticket != nil }

// Len returns the number of waiting requests.
func (s *Scheduler) Len() int { return s.waiting }

// class returns the state of a priority, and creates it when it is new.
func (s *Scheduler) class(priority int) *class {
	at, isKnown := slices.BinarySearchFunc(s.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !isKnown {
		s.classes = slices.Insert(s.classes, at, &class{
			priority: priority, queue: fairness.NewQueue(fairness.Settings{Limit: maxWaiting + 1}),
			flows: map[string]*counts{}, waiting: map[string]int{},
			arrivals: ewma.NewCounter(meterTime), starts: ewma.NewCounter(meterTime),
		})
	}
	return s.classes[at]
}

// Arrive records the demand of a request. It is called once for each request, before any other method.
func (s *Scheduler) Arrive(now time.Time, r *Request) {
	r.class = s.class(r.Priority)
	r.class.arrivals.Add(now, 1)
	if !r.IsReturning {
		s.count(now, r, 1, 0)
	}
}

// MayPass reports whether a request that arrives may start before all that wait: no request that is as urgent waits.
// If one has waited lately, a start must also be allowed, since all entries would fill the same room otherwise.
func (s *Scheduler) MayPass(now time.Time, r *Request) bool {
	for _, c := range s.classes {
		if c.priority > r.Priority {
			return true
		}
		if c.queue.Len() > 0 || now.Sub(c.waited) < contentionTime && !s.MayStart() {
			return false
		}
	}
	return true
}

// Push adds a request that found no room, or refuses it.
func (s *Scheduler) Push(now time.Time, r *Request) Verdict {
	v := s.judge(now, r, s.position(r))
	if v.Rule == "" && s.waiting >= maxWaiting {
		v.Rule = RuleQueueFull
	}
	if v.Rule != "" {
		return v
	}
	r.ticket = &fairness.Ticket{Organisation: r.Organisation, Cost: r.Work, IsReturning: r.IsReturning, Value: r}
	r.class.queue.Push(now, r.ticket)
	r.class.waiting[r.Organisation]++
	r.class.waited = now
	s.waiting++
	return v
}

// judge decides how long a request may wait that has a number of requests before it.
func (s *Scheduler) judge(now time.Time, r *Request, position int) Verdict {
	v := Verdict{Position: position, ExpectedWait: s.expectedWait(now, r, position)}
	longest := r.Arrived.Add(min(MaxWait, time.Duration(maxWaitShare*float64(r.Deadline.Sub(r.Arrived)))))
	short := earlier(r.Arrived.Add(time.Duration(freeWaitShare*float64(r.objective()))), longest)
	latest := earlier(s.latestStart(r), longest)
	switch {
	case r.IsReturning:
		// The caller does not come back a second time, and its answer is usually late already.
		r.isLong, v.Until = true, longest
	case v.ExpectedWait >= 0 && !now.Add(v.ExpectedWait).After(latest):
		r.isLong, v.Until = true, latest
	case v.ExpectedWait > hopelessFactor*max(latest.Sub(now), short.Sub(now)):
		v.Rule = RuleTooLate
	default:
		r.isLong, v.Until = false, short
	}
	if v.Rule == "" && !now.Before(v.Until) {
		v.Rule = RuleShortWait
	}
	return v
}

// Review decides whether a request may wait longer whose time is over. A refused request is removed.
func (s *Scheduler) Review(now time.Time, r *Request) Verdict {
	wasLong, position := r.isLong, max(s.position(r)-1, 0)
	v := s.judge(now, r, position)
	switch {
	case wasLong:
		v.Rule = RuleLongWait
	case !r.isLong:
		v.Rule = RuleShortWait
	}
	if v.Rule != "" {
		s.Remove(r)
	}
	return v
}

// Owed returns the waiting request that goes before all others because its organisation or its priority has had too
// little, or nil if there is none. It may start below the whole limit, without headroom for more urgent ones.
func (s *Scheduler) Owed(now time.Time) *Request {
	if t := s.mostOwed(now); t != nil {
		return t.Value.(*Request)
	}
	return nil
}

// Head returns the waiting request that starts next unless one is owed, or nil if none waits.
func (s *Scheduler) Head() *Request {
	for _, c := range s.classes {
		if t := c.head(); t != nil {
			return t.Value.(*Request)
		}
	}
	return nil
}

// MayStart reports whether a waiting request may start now, if there is room.
func (s *Scheduler) MayStart() bool { return s.allowance >= 1 }

// Start records that a request starts, and removes it if it waits.
func (s *Scheduler) Start(now time.Time, r *Request) {
	if r.ticket != nil {
		r.class.queue.Grant(now, r.ticket)
		r.class.queue.Release(r.ticket, 0)
		s.forget(r)
	}
	s.running++
	r.class.starts.Add(now, 1)
	s.count(now, r, 0, 1)
	s.allowance = max(s.allowance-1, 0)
}

// Remove removes a request that no longer waits.
func (s *Scheduler) Remove(r *Request) {
	if r.ticket == nil {
		return
	}
	r.class.queue.Remove(r.ticket)
	s.forget(r)
}

// forget updates the numbers of waiting requests after one has left its queue.
func (s *Scheduler) forget(r *Request) {
	r.ticket = nil
	s.waiting--
	r.class.waiting[r.Organisation]--
	if r.class.waiting[r.Organisation] == 0 {
		delete(r.class.waiting, r.Organisation)
	}
}

// RecordEnd records that a stream of this entry has ended. Its place may be filled at once.
func (s *Scheduler) RecordEnd(now time.Time) {
	s.running = max(s.running-1, 0)
	s.supply.Add(now, 1)
	s.allow(now, 1)
}

// RecordRoom records the limit and the running streams of all entries together according to a load report. An entry
// fills only a part of the room, since the other entries see the same.
func (s *Scheduler) RecordRoom(now time.Time, limit, running float64, entries int64) {
	s.equalShare = limit / float64(max(entries, 1))
	if head := s.Head(); head != nil {
		limit *= s.Share(now, head)
	}
	share := min(roomGain/float64(max(entries, 1)), 1) * max(limit-running, 0)
	s.supply.Add(now, share)
	s.allow(now, share)
}

// allow adds to the allowance while requests wait or have waited lately.
func (s *Scheduler) allow(now time.Time, starts float64) {
	if !s.isContended(now) {
		s.allowance = 0
		return
	}
	s.allowance = min(s.allowance+starts, max(maxAllowance, starts))
}

// isContended reports whether requests wait or have waited lately.
func (s *Scheduler) isContended(now time.Time) bool {
	return s.waiting > 0 || slices.ContainsFunc(s.classes, func(c *class) bool { return now.Sub(c.waited) < contentionTime })
}

// RecordFirstEvent records the time from the start of a stream to its first event.
func (s *Scheduler) RecordFirstEvent(took time.Duration) {
	s.firstEvent.Add(took.Seconds(), averageWeight)
}

// latestStart returns the time by which a request must start to begin its answer within its objective.
func (s *Scheduler) latestStart(r *Request) time.Time {
	return r.Arrived.Add(r.objective() - r.Elapsed - seconds(s.firstEvent.High()))
}

// objective returns the objective of a request, or defaultObjective.
func (r *Request) objective() time.Duration { return cmp.Or(r.Objective, defaultObjective) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// seconds returns a number of seconds as a duration, bounded to an hour.
func seconds(n float64) time.Duration {
	return time.Duration(min(math.Abs(n), time.Hour.Seconds()) * float64(time.Second))
}
