// Package slowstart determines how many requests may be at an upstream that has just started or recovered. A State begins
// with a part of the slots of the upstream, doubles the limit for each round of answers that are as fast as those of the
// other upstreams, and reduces it when answers become slower than they were with fewer requests, come late, or are refused.
// States and baselines are immutable values; the package does no I/O and reads no clock. Package forward keeps a State for
// each upstream, and one for each group of ranks.
package slowstart

import (
	"math"
	"time"
)

const (
	// initialShare is the limit of a ramp at its start, as a share of the slots. Less costs more work at upstreams that are
	// slow for a short time than it saves at others.
	initialShare = 0.5
	// usedShare is the part of the limit that has to be in use for it to grow.
	usedShare = 0.5
	// minShare is the smallest limit as a share of the slots. Answers at this limit show when the upstream is faster.
	minShare = 1.0 / 16
	// defaultSlots is the number of slots of an upstream that announces none.
	defaultSlots = 8

	// sampleWeight and fastWeight are the weights of an answer in the moving average of the ratio, the second one of an
	// answer that is faster than the average. Faster answers count for more, since a queue only makes answers slower.
	sampleWeight, fastWeight = 0.4, 0.6
	// goodRatio is the ratio up to which answers are as fast as those of other upstreams.
	goodRatio = 1.35
	// recoveredRatio is the ratio above which a single good answer shows that the upstream has recovered.
	recoveredRatio = 2.0
	// goodPause is the part of the objective for pauses between events below which a pause shows the same.
	goodPause = 0.7
	// queueRatio is the ratio to the floor above which requests are queueing at the upstream.
	queueRatio = 1.5
	// growth is the factor of the limit in a round of good answers, slowGrowth in a round of answers that are slower than
	// those of other upstreams but do not become slower with more requests.
	growth, slowGrowth = 2.0, 1.25
	// maxCut is the factor of the limit in a round of late answers, and the smallest one in a round of queueing requests.
	maxCut = 0.5
	// floorTime is the time for which the lowest ratio is remembered. It has to exceed the time in which a queue that
	// one round of growth has built drains.
	floorTime = time.Second
	// floorSamples is the number of answers before which the average does not tell the floor.
	floorSamples = 3
	// lateShare is the part of the latency objective above which answers come too late, or nearly so.
	lateShare = 0.8
	// minRound is the shortest time between two changes of the limit.
	minRound = 50 * time.Millisecond
	// settledRounds is the number of good rounds without which a ramp does not end.
	settledRounds = 2

	// slowRatio is the ratio above which an upstream without a limit is ramped up again, slowSamples the number of
	// consecutive samples above it. A moment of slowness has to affect several answers.
	slowRatio   = 3.0
	slowSamples = 3

	// unknownLatency is the assumed time of an answer before there is a sample.
	unknownLatency = 150 * time.Millisecond
	// trialSpacing is the longest time between two requests of all entries at an upstream, so that its recovery is seen.
	// The time between two of one entry is that times the number of entries: with a fixed time, hundreds of entries
	// together would send more than a small upstream can serve.
	trialSpacing = 160 * time.Millisecond
	// reportedQueue is the number of requests that an upstream reports as waiting, as a share of its slots, above which
	// the limit is reduced. Reports are some hundred ms old, so a report reduces it at most once per reportInterval.
	reportedQueue  = 0.25
	reportInterval = 500 * time.Millisecond
)

type (
	// State is what one entry knows of the ramp of an upstream, or of a group of ranks. The zero value is an upstream
	// without a limit.
	State struct {
		isRamping bool
		// limit is the number of requests of this entry that may be at the upstream, share its equal share of the slots.
		limit, share float64
		// entries is the number of entries.
		entries int
		// ratio is a moving average of the times of answers, divided by the expected ones.
		ratio float64
		// floor and nextFloor are the lowest ratios of the period of floorTime before floorSince and of that after it.
		floor, nextFloor float64
		floorSince       time.Time
		// latency is a moving average of the times of answers in seconds, 0 without a sample.
		latency float64
		// pauseRatio is a moving average of the pauses between events, divided by their objective.
		pauseRatio float64
		// samples counts the answers since the start.
		samples int
		// changed is when the limit last changed. Answers to requests that were sent before do not change it.
		changed time.Time
		// rounds counts consecutive good rounds, slow consecutive samples above slowRatio.
		rounds, slow int
		// sent is when this entry last sent a request, reduced when a load report last reduced the limit.
		sent, reduced time.Time
	}

	// Answer is one answer of an upstream.
	Answer struct {
		// Sent is when the request was sent, Took the time to the answer or to the first event of a stream.
		Sent time.Time
		Took time.Duration
		// Expected is the time that other upstreams take for such a request, 0 if it is not known.
		Expected time.Duration
		// Objective is the latency objective of the request, 0 for none.
		Objective time.Duration
		// Own counts the requests of this entry at the upstream, with this one.
		Own int
	}
)

// WithStart returns a copy for an upstream that starts or is usable again. A number of slots of 0 stands for an unknown one.
// The phase in [0, 1) spreads the first requests of many entries over the time between two of them.
func (s State) WithStart(now time.Time, slots, entries int, phase float64) State {
	share := equalShare(slots, entries)
	s = State{
		isRamping: true, share: share, entries: entries, limit: initialShare * share, ratio: 1, floor: math.Inf(1), nextFloor: math.Inf(1),
		floorSince: now, changed: now,
	}
	s.sent = now.Add(-time.Duration(phase * float64(s.trialInterval())))
	return s
}

// WithShare returns a copy that knows the equal share of this entry, for an upstream without a limit.
func (s State) WithShare(slots, entries int) State {
	if !s.isRamping {
		s.share, s.entries = equalShare(slots, entries), entries
	}
	return s
}

func equalShare(slots, entries int) float64 {
	if slots <= 0 {
		slots = defaultSlots
	}
	return float64(slots) / float64(max(entries, 1))
}

// IsRamping reports whether the upstream has a limit.
func (s State) IsRamping() bool { return s.isRamping }

// Limit returns the number of requests of this entry that may be at the upstream, and infinity without a limit. Below 1,
// it is the part of the time in which one request may be there.
func (s State) Limit() float64 {
	if !s.isRamping {
		return math.Inf(1)
	}
	return s.limit
}

// Ratio returns the moving average of the times of answers, divided by the expected ones; 0 without a sample.
func (s State) Ratio() float64 { return s.ratio }

// Allows reports whether this entry may send a further request while it has some at the upstream.
func (s State) Allows(now time.Time, own int) bool {
	switch {
	case !s.isRamping || float64(own)+1 <= s.limit:
		return true
	case own > 0:
		return false
	default:
		return now.Sub(s.sent) >= s.trialInterval()
	}
}

// trialInterval returns the time between two requests of an entry whose limit is below 1.
func (s State) trialInterval() time.Duration {
	latency := s.latency
	if latency == 0 {
		latency = unknownLatency.Seconds()
	}
	longest := trialSpacing * time.Duration(max(s.entries, 1))
	return time.Duration(min(latency/min(s.limit, 1), longest.Seconds()) * float64(time.Second))
}

// WithRequest returns a copy for an entry that sends a request.
func (s State) WithRequest(now time.Time) State {
	s.sent = now
	return s
}

// WithAnswer returns a copy after an answer.
func (s State) WithAnswer(now time.Time, a Answer) State {
	s = s.withSample(now, a)
	if !s.isRamping {
		return s.withSlowness(now)
	}
	if a.Sent.Before(s.changed) || now.Sub(s.changed) < minRound {
		return s
	}
	queueing := s.ratio / max(min(s.floor, s.nextFloor), 1)
	// While all upstreams answer late, holding back this one would only make the others later.
	isLate := a.Objective > 0 && s.latency > lateShare*a.Objective.Seconds() || s.pauseRatio > 1
	switch {
	case isLate && s.ratio > goodRatio:
		return s.withCut(now, maxCut, minShare)
	case queueing > queueRatio:
		return s.withCut(now, max(queueRatio/queueing, maxCut), initialShare)
	case s.ratio <= goodRatio:
		return s.withGoodRound(now, a, growth)
	default:
		return s.withGoodRound(now, a, slowGrowth)
	}
}

// withSample adds an answer to the moving averages.
func (s State) withSample(now time.Time, a Answer) State {
	if s.latency == 0 {
		s.latency = a.Took.Seconds()
	}
	s.latency += sampleWeight * (a.Took.Seconds() - s.latency)
	sample := 1.0
	if a.Expected > 0 {
		sample = a.Took.Seconds() / a.Expected.Seconds()
	}
	if s.ratio == 0 {
		s.ratio = 1
	}
	if s.isRamping && sample <= goodRatio && s.ratio > recoveredRatio {
		s = s.withRecovery()
	}
	weight := sampleWeight
	if sample < s.ratio {
		weight = fastWeight
	}
	s.ratio += weight * (sample - s.ratio)
	if sample > slowRatio {
		s.slow++
	} else {
		s.slow = 0
	}
	if s.samples++; s.samples < floorSamples {
		return s
	}
	s.nextFloor = min(s.nextFloor, s.ratio)
	if now.Sub(s.floorSince) >= floorTime {
		s.floor, s.nextFloor, s.floorSince = s.nextFloor, s.ratio, now
	}
	return s
}

// withRecovery returns a copy for an upstream whose answers have become much faster. The limit rises to that of a start.
func (s State) withRecovery() State {
	s.ratio, s.floor, s.nextFloor = 1, 1, math.Inf(1)
	s.limit = max(s.limit, initialShare*s.share)
	return s
}

// withSlowness ramps an upstream up again that has become much slower than the others.
func (s State) withSlowness(now time.Time) State {
	if s.slow < slowSamples || s.share == 0 {
		return s
	}
	s.isRamping, s.slow, s.rounds = true, 0, 0
	s.limit, s.changed, s.pauseRatio = initialShare*s.share, now, 0
	s.floor, s.nextFloor, s.floorSince = 1, math.Inf(1), now
	return s
}

// withGoodRound ends a round in which the upstream was not overloaded. The limit grows if it was used. The ramp ends if
// answers are as fast as those of other upstreams and the limit has reached an equal share of the slots or is not used.
func (s State) withGoodRound(now time.Time, a Answer, factor float64) State {
	s.rounds++
	s.changed = now
	isUsed := float64(a.Own) > usedShare*s.limit
	if isUsed {
		s.limit *= factor
	}
	if s.ratio <= goodRatio && s.rounds >= settledRounds && (!isUsed || s.limit >= s.share) {
		s.isRamping, s.slow = false, 0
	}
	return s
}

// withCut ends a round in which the upstream was overloaded. It does not reduce the limit below some part of the share.
func (s State) withCut(now time.Time, factor, least float64) State {
	s.rounds = 0
	s.limit, s.changed = min(s.limit, max(s.limit*factor, s.share*least)), now
	return s
}

// WithRefusal returns a copy after a refusal for lack of room or an error.
func (s State) WithRefusal(now time.Time, sent time.Time) State {
	if !s.isRamping || sent.Before(s.changed) {
		return s
	}
	return s.withCut(now, maxCut, minShare)
}

// WithPause returns a copy after a pause between two events of a stream. Pauses above their objective on average reduce
// the limit in the next round.
func (s State) WithPause(pause, objective time.Duration) State {
	const pauseWeight = 0.2
	if !s.isRamping || objective <= 0 {
		return s
	}
	sample := float64(pause) / float64(objective)
	if s.pauseRatio > 1 && sample < goodPause {
		s = s.withRecovery()
		s.pauseRatio = sample
	}
	s.pauseRatio += pauseWeight * (sample - s.pauseRatio)
	return s
}

// WithReport returns a copy after a load report, which counts the requests of all entries that run at the upstream and
// that wait for a slot. Where the other entries have more requests running than the limit allows this one, and none waits,
// the limit rises to an equal share of them.
func (s State) WithReport(now time.Time, running, waiting, entries int) State {
	if !s.isRamping {
		return s
	}
	all := float64(max(entries, 1))
	if float64(waiting) > reportedQueue*s.share*all && now.Sub(s.reduced) >= reportInterval {
		s.reduced = now
		return s.withCut(now, maxCut, minShare)
	}
	if waiting == 0 && s.rounds > 0 {
		s.limit = max(s.limit, min(float64(running)/all, s.share))
	}
	return s
}
