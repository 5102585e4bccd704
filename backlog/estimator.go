// Package backlog decides whether a stream is sent to a group of engines at once, waits at its entry for a while, or is
// refused because it could not be answered before its deadline. An Estimator follows the streams of one entry at one group;
// it predicts from them how long a further stream takes. It is a deterministic state machine: callers pass the time and
// tell it of streams that are sent, begin and end.
package backlog

import (
	"math"
	"time"

	"guavahitch.example/guavahitch/ewma"
)

const (
	// meterTime is the time constant of the rate at which streams begin. It follows a group that has just changed its pace.
	meterTime = time.Second
	// minMeterTime is the shortest time that a rate is measured over.
	minMeterTime = 10 * time.Millisecond
	// minBegins is the number of begins within meterTime from which their rate is known.
	minBegins = 2.0
	// averageWeight is the weight of a new sample of the length of a stream.
	averageWeight = 0.05
	// dueFactor is how many times the predicted time must be left before the deadline. The prediction is for the present
	// pace of the group, which may become slower.
	dueFactor = 2.0
	// minRetryAfter is the shortest time after which a refused caller is told to come back.
	minRetryAfter = 100 * time.Millisecond
)

const (
	// Send means that the stream is sent to the group now.
	Send Action = iota
	// Wait means that the stream waits at the entry.
	Wait
	// Refuse means that the stream cannot be answered before its deadline.
	Refuse
)

type (
	// Action is what to do with a stream.
	Action int

	// Request is a stream that is to be sent to the group.
	Request struct {
		// Deadline is the time left until the caller gives up.
		Deadline time.Duration
		// HasRoom is set if the group may run a further stream and no other goes first.
		HasRoom bool
		// Waiting is the number of streams that wait at the entry.
		Waiting int
		// IsWaiting is set if it has waited already. It is not refused then: the group may become faster.
		IsWaiting bool
	}

	// Verdict is the decision about a stream.
	Verdict struct {
		Action Action
		// Expected is the predicted time to the end of the stream if all that wait are served first, 0 if it is not known.
		Expected time.Duration
		// RetryAfter is the time after which there is room for a refused stream.
		RetryAfter time.Duration
	}

	// Estimator follows the streams of one entry at one group. It is not safe for concurrent use.
	Estimator struct {
		// queued counts the streams that were sent and have not begun.
		queued int
		begins meter
		length ewma.Mean
		passes passes
	}

	// meter measures the rate at which streams begin. It starts anew after meterTime without a begin: a group that begins
	// streams again after an outage is not slow because it had stood still.
	meter struct {
		counter ewma.Counter
		since   time.Time
	}
)

// Sent records that a stream is sent to the group.
func (e *Estimator) Sent() { e.queued++ }

// Begun records the first event of a stream that was sent.
func (e *Estimator) Begun(now time.Time) {
	e.queued--
	e.begins.add(now)
}

// Abandoned records that a stream ended before its first event.
func (e *Estimator) Abandoned() { e.queued-- }

// Ended records the time from the first event of a stream to its end.
func (e *Estimator) Ended(took time.Duration) { e.length.Add(took.Seconds(), averageWeight) }

// Judge decides about a stream. Without room it waits until the group has room, or until just enough time is left before its
// deadline. It is refused if those that go before it take so long that it could not end before its deadline. The same holds
// while further streams would make running ones late.
func (e *Estimator) Judge(now time.Time, r Request) Verdict {
	isTight := e.passes.areTight(now)
	if r.HasRoom && !isTight || e.begins.counter.Count(now) < minBegins {
		return Verdict{}
	}
	rate := e.begins.rate(now)
	begin := seconds(float64(e.queued+1) / rate)
	length := seconds(e.length.High())
	v := Verdict{Expected: seconds(float64(e.queued+r.Waiting+1)/rate) + length}
	switch {
	case !r.IsWaiting && v.Expected > r.Deadline:
		v.Action, v.RetryAfter = Refuse, max(v.Expected-r.Deadline, minRetryAfter)
	case time.Duration(dueFactor*float64(begin+length)) < r.Deadline:
		v.Action = Wait
	}
	return v
}

func (m *meter) add(now time.Time) {
	if now.Sub(m.counter.Last()) > meterTime {
		m.counter, m.since = ewma.NewCounter(meterTime), now
	}
	m.counter.Add(now, 1)
}

// rate returns the number per second since the meter started.
func (m *meter) rate(now time.Time) float64 {
	weights := -math.Expm1(-max(now.Sub(m.since), minMeterTime).Seconds() / meterTime.Seconds())
	return m.counter.Rate(now) / weights
}

// seconds returns a number of seconds as a duration, bounded to an hour.
func seconds(n float64) time.Duration {
	return time.Duration(min(n, time.Hour.Seconds()) * float64(time.Second))
}
