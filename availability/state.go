// Package availability holds what a process knows about whether an upstream takes requests: that it has asked for backoff,
// that it is leaving, that it fails or is slow. State is one immutable value; it does no I/O and reads no clock.
// Package forward keeps a State for each upstream of an entry, package sidecar one for the engine next to it.
package availability

import (
	"math"
	"time"
)

const (
	// RampTime is the time after a backoff in which the number of requests at the upstream may grow to all its slots.
	RampTime = 2 * time.Second
	// defaultSlots is the number of slots of an upstream that announces none, for the ramp.
	defaultSlots = 8
	// slowPace is the pace above which an upstream counts as slow.
	slowPace = 1.25

	// firstSuspension is the suspension after a first failure. It doubles with each consecutive failure up to
	// longestSuspension.
	firstSuspension   = 200 * time.Millisecond
	longestSuspension = 2 * time.Second
	// latencyWeight and failureWeight are the weights of a new sample in the moving averages.
	latencyWeight = 0.2
	failureWeight = 0.15
	// statisticsHalfLife is the time in which the failure rate of an unused upstream decays by half.
	statisticsHalfLife = 3 * time.Second
)

// State is what is known of one incarnation of an upstream. The zero value is an upstream of which nothing is known.
type State struct {
	// LastHeartbeat is when control last received something from the upstream.
	LastHeartbeat time.Time
	// LastSuccess is when the upstream last answered well.
	LastSuccess time.Time
	// Latency is a moving average of response times in seconds, 0 without a sample.
	Latency float64
	// Pace is the time of a token step divided by that of a healthy upstream, from the last load report.
	Pace float64
	// IsGroupDown is set for a rank of a group that is not running.
	IsGroupDown bool

	// backoffUntil is the end of the backoff that the upstream asked for, backoffHeard when it was first heard, leavingSince
	// when the upstream first said that it leaves. All are zero if it said nothing.
	backoffUntil, backoffHeard, leavingSince time.Time
	// rateLimit is the limit that the upstream named last, rateLimitHeard when it last named one or stopped to.
	rateLimit      RateLimit
	rateLimitHeard time.Time
	// share is the part of the limit that this process may use by itself, bucket what it has of that. grants are what
	// it may send besides.
	share  float64
	bucket Bucket
	grants []grant
	// cold is what was sent under the cold limit of the service, nil if the service has none or nothing was sent.
	cold *coldUse
	// failures counts the consecutive failures, which suspend the upstream until suspendedUntil.
	failures       int
	suspendedUntil time.Time
	failureRate    float64
	lastSample     time.Time
}

// WithHeartbeat returns a copy for an upstream from which control heard at the given time.
func (s State) WithHeartbeat(at time.Time) State {
	s.LastHeartbeat = at
	return s
}

// WithPace returns a copy with a reported pace.
func (s State) WithPace(pace float64) State {
	s.Pace = pace
	return s
}

// WithGroupDown returns a copy for a rank whose group runs or does not run.
func (s State) WithGroupDown(isDown bool) State {
	s.IsGroupDown = isDown
	return s
}

// WithBackoff returns a copy for an upstream that asks for backoff from now on. It never shortens an earlier one.
func (s State) WithBackoff(now time.Time, length time.Duration) State {
	until := now.Add(length)
	if length <= 0 || !until.After(s.backoffUntil) {
		return s
	}
	if !s.IsBackingOff(now) {
		s.backoffHeard = now
	}
	s.backoffUntil = until
	return s
}

// WithLeaving returns a copy for an upstream that says that it leaves. An incarnation that leaves does not come back, so
// nothing undoes this.
func (s State) WithLeaving(now time.Time) State {
	if s.leavingSince.IsZero() {
		s.leavingSince = now
	}
	return s
}

// WithResponse returns a copy after a response and its duration. A success ends a suspension, but no backoff.
func (s State) WithResponse(now time.Time, took time.Duration, isFailure bool) State {
	s = s.withSample(now, isFailure)
	if isFailure {
		return s
	}
	s.failures = 0
	s.suspendedUntil = time.Time{}
	s.LastSuccess = now
	if s.Latency == 0 {
		s.Latency = took.Seconds()
		return s
	}
	s.Latency += latencyWeight * (took.Seconds() - s.Latency)
	return s
}

// WithBroken returns a copy after a failed connection or an invalid response, which suspends the upstream.
func (s State) WithBroken(now time.Time) State {
	s = s.withSample(now, true)
	suspension := min(firstSuspension<<min(s.failures, 8), longestSuspension)
	s.failures++
	s.suspendedUntil = now.Add(suspension)
	return s
}

func (s State) withSample(now time.Time, isFailure bool) State {
	s.failureRate = s.FailureRate(now)
	s.lastSample = now
	sample := 0.0
	if isFailure {
		sample = 1
	}
	s.failureRate += failureWeight * (sample - s.failureRate)
	return s
}

// FailureRate returns the moving average of the failures, which decays while there are no samples.
func (s State) FailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp2(-now.Sub(s.lastSample).Seconds()/statisticsHalfLife.Seconds())
}

// IsSuspended reports whether failures exclude the upstream while there is another.
func (s State) IsSuspended(now time.Time) bool { return now.Before(s.suspendedUntil) }

// IsSlow reports whether the last load report calls the upstream slow.
func (s State) IsSlow() bool { return s.Pace > slowPace }

// IsLeaving reports whether the upstream has said that it leaves.
func (s State) IsLeaving() bool { return !s.leavingSince.IsZero() }

// HasLeft reports whether the upstream said that it leaves at least the given time ago.
func (s State) HasLeft(now time.Time, drainTime time.Duration) bool {
	return s.IsLeaving() && now.Sub(s.leavingSince) >= drainTime
}

// IsBackingOff reports whether requests to the upstream must wait.
func (s State) IsBackingOff(now time.Time) bool { return now.Before(s.backoffUntil) }

// IsInBackoff reports whether a request that was sent at the given time was sent in the backoff that still lasts now.
func (s State) IsInBackoff(sent, now time.Time) bool {
	return s.IsBackingOff(now) && sent.After(s.backoffHeard)
}

// BackoffEnd returns the end of the last backoff, zero if there was none.
func (s State) BackoffEnd() time.Time { return s.backoffUntil }

// Limit returns how many requests may be at the upstream at once: none during a backoff, a number that grows to its
// slots during RampTime after that, and any number otherwise. The slots may be 0 for an unknown number.
func (s State) Limit(now time.Time, slots int) int64 {
	since := now.Sub(s.backoffUntil)
	switch {
	case s.backoffUntil.IsZero() || since >= RampTime:
		return math.MaxInt64
	case since < 0:
		return 0
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	return int64(math.Ceil(float64(slots) * max(float64(since), 1) / float64(RampTime)))
}
