package quarantine

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// This file derives verdicts from the crashes that count against requests and parts.

// judge updates the records of the requests that were running in a crash, and of their parts, and returns their verdicts.
func (t *Tracker) judge(now time.Time, c *crash) []*wire.Quarantine {
	var affected, overLimit []*record
	for _, k := range c.subjects() {
		r := t.records[k]
		if r == nil {
			continue
		}
		affected = append(affected, r)
		if r.isOverLimit(t.deaths(r)) {
			overLimit = append(overLimit, r)
		}
	}
	if r := t.culprit(overLimit); r != nil && !t.hasRival(r, affected) {
		r.prove(now, t.provedFor(r, t.deaths(r)))
		t.proved[r.key] = r
		t.expireBy(r.expires)
		t.releaseExplained(r)
	}
	for _, r := range overLimit {
		// What the culprit explains does not count any more.
		if t.isOverSharedLimit(r) {
			r.proved = true
		}
	}
	verdicts := make([]*wire.Quarantine, 0, len(affected))
	for _, r := range affected {
		verdicts = append(verdicts, r.verdict())
	}
	return verdicts
}

// hasRival reports whether another request ran in as many crashes as one that is over its limit, and only needs more of them because
// its answer had gone on well. Either may be the cause, so the next crash has to tell.
func (t *Tracker) hasRival(r *record, affected []*record) bool {
	if r.key.isPart || t.isOverSharedLimit(r) {
		return false
	}
	least := t.deaths(r).total()
	return slices.ContainsFunc(affected, func(other *record) bool {
		deaths := t.deaths(other)
		return other != r && deaths.answering > 0 && deaths.total() >= least
	})
}

// releaseExplained ends the refusal of those that were refused because the cause of their crashes could not be told, where the culprit
// explains these crashes.
func (t *Tracker) releaseExplained(culprit *record) {
	for _, c := range culprit.crashes {
		for _, k := range c.subjects() {
			r := t.records[k]
			if r != nil && r.proved && r.provedTerm == 0 && !t.isOverSharedLimit(r) {
				r.proved = false
			}
		}
	}
}

// culprit returns which of the requests and parts that ran in enough crashes is deadly, nil if that cannot be told: the only
// one, or of several parts after sharedPartLimit crashes the one that the fewest requests had. Sound requests share parts
// with deadly ones, so a part of more requests is the less likely cause.
func (t *Tracker) culprit(overLimit []*record) *record {
	if len(overLimit) == 1 {
		return overLimit[0]
	}
	var best *record
	fewest, isTie := 0, false
	for _, r := range overLimit {
		if !r.key.isPart || !t.isOverSharedLimit(r) {
			continue
		}
		carriers := r.carriers()
		switch {
		case best == nil || carriers < fewest:
			best, fewest, isTie = r, carriers, false
		case carriers == fewest:
			isTie = true
		}
	}
	if isTie {
		return nil
	}
	return best
}

// isOverSharedLimit reports whether a request or part is refused though others ran in the same crashes.
func (t *Tracker) isOverSharedLimit(r *record) bool {
	deaths := t.deaths(r)
	limit := t.settings.SharedLimit
	if r.key.isPart {
		limit = max(limit, sharedPartLimit)
	}
	if limit <= r.limit(deaths) && deaths.answering > 0 {
		limit = r.limit(deaths) + 1
	}
	return deaths.total() >= limit
}

// provedFor returns how long a request or part is refused after a number of crashes.
func (t *Tracker) provedFor(r *record, deaths deathCount) time.Duration {
	term := t.settings.ProvedFor
	if r.key.isPart {
		term = min(term, partProvedFor)
	}
	for range deaths.total() - r.limit(deaths) {
		term = min(term*provedGrowth, max(maxProvedFor, t.settings.ProvedFor))
	}
	return term
}
