package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// This file counts the crashes in which a request ran one after the other.

// sequenceSlack allows for the rounding of times when it is told whether a request was sent after a crash.
const sequenceSlack = 5 * time.Millisecond

// attempt is a run of a request that ended in a crash.
type attempt struct {
	begun, ended time.Time
	deaths       deathCount
}

// isSentAfter reports whether a request was sent after a time, as far as is known.
func (s *run) isSentAfter(at time.Time) bool {
	return s.sent.IsZero() || !s.sent.Add(sequenceSlack).Before(at)
}

// follows reports whether a request is known to be sent again after a crash.
func (s *run) follows(c *crash) bool { return s.after != "" && s.after == c.id }

// countInSequence counts the crashes of the longest sequence in which a request was sent after each crash before the next one.
func countInSequence(crashes []*crash, request key) deathCount {
	attempts := attemptsOf(crashes, request)
	var longest deathCount
	// counts holds the longest sequence that ends with each attempt.
	counts := make([]deathCount, len(attempts))
	for n, a := range attempts {
		for k, earlier := range attempts[:n] {
			isLater := !a.begun.Add(sequenceSlack).Before(earlier.ended)
			if isLater && counts[k].outweighs(counts[n]) {
				counts[n] = counts[k]
			}
		}
		counts[n] = counts[n].plus(a.deaths)
		if counts[n].outweighs(longest) {
			longest = counts[n]
		}
	}
	return longest
}

// attemptsOf returns the runs of a request in the order in which they were sent. The crashes are known with the delay of
// reports, so a run that is known to follow a crash begins no earlier than that.
func attemptsOf(crashes []*crash, request key) []attempt {
	attempts := make([]attempt, 0, len(crashes))
	for _, c := range crashes {
		s := c.runOf(request)
		a := attempt{begun: s.sent, ended: c.at, deaths: s.deaths()}
		if s.sent.IsZero() {
			a.begun = c.at
		}
		if n := slices.IndexFunc(crashes, s.follows); n >= 0 {
			a.begun = later(a.begun, crashes[n].at)
		}
		attempts = append(attempts, a)
	}
	slices.SortStableFunc(attempts, func(a, b attempt) int { return cmp.Or(a.begun.Compare(b.begun), a.ended.Compare(b.ended)) })
	return attempts
}

// deaths returns the count of a single crash.
func (s *run) deaths() deathCount {
	if s.isAnswering {
		return deathCount{answering: 1}
	}
	return deathCount{early: 1}
}

// total returns the number of crashes.
func (d deathCount) total() int { return d.early + d.answering }

// plus returns the sum of two counts.
func (d deathCount) plus(other deathCount) deathCount {
	return deathCount{early: d.early + other.early, answering: d.answering + other.answering}
}

// outweighs reports whether a count says more against a request than another one.
func (d deathCount) outweighs(other deathCount) bool {
	return cmp.Or(cmp.Compare(d.total(), other.total()), cmp.Compare(d.early, other.early)) > 0
}
