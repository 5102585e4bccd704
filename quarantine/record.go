package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// maxCrashesKept is the number of crashes of which a record keeps the details.
const maxCrashesKept = 16

type (
	// key identifies a record. It contains the organisation, so that a report about one organisation's request
	// never affects another's. Parts of prompts are shared and have no organisation.
	key struct {
		organisation string
		fingerprint  Fingerprint
		isPart       bool
	}

	// record is what the tracker knows of one request or part.
	record struct {
		key key
		// crashes are the latest crashes in which the request was running, earliest first. earlierDeaths counts those that
		// an earlier build recorded without details.
		crashes       []*crash
		earlierDeaths int
		// progress is the last time at which an answer to the request went on well.
		progress time.Time
		proved   bool
		// provedTerm is the time of the last refusal if the request was proved deadly by itself, otherwise 0.
		provedTerm time.Duration
		expires    time.Time
		// revision is that of the last progress, 0 for none. isOwn is set if this process saw it itself.
		revision uint64
		isOwn    bool
	}
)

func (k key) compare(other key) int {
	return cmp.Or(
		cmp.Compare(k.organisation, other.organisation),
		bytes.Compare(k.fingerprint[:], other.fingerprint[:]),
		compareBools(k.isPart, other.isPart),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// limit returns the number of crashes after which the request or part is refused.
func (r *record) limit(deaths deathCount) int {
	limit := deathLimit
	if r.key.isPart && !r.progress.IsZero() {
		limit = trustedPartLimit
	}
	if deaths.answering > 0 && deaths.early < limit {
		return answeringLimit
	}
	return limit
}

// isOverLimit reports whether a number of crashes is enough to refuse the request or part.
func (r *record) isOverLimit(deaths deathCount) bool { return deaths.total() >= r.limit(deaths) }

// hasCrashBetween reports whether the request was running in a crash after one time and not after another.
func (r *record) hasCrashBetween(after, until time.Time) bool {
	return slices.ContainsFunc(r.crashes, func(c *crash) bool { return c.at.After(after) && !c.at.After(until) })
}

// carriers returns how many requests with the part ran in its crashes.
func (r *record) carriers() int {
	count := 0
	for _, c := range r.crashes {
		count += len(c.carriers[r.key])
	}
	return count
}

// keepProgress makes the record last as long as the latest crash in which the request was running is evidence, if its answer
// ever went on well.
func (r *record) keepProgress() {
	if !r.progress.IsZero() && !r.proved && len(r.crashes) > 0 {
		r.expires = later(r.expires, r.crashes[len(r.crashes)-1].at.Add(crashFor))
	}
}

// firstCrash returns the time of the earliest crash of which details are kept, the zero time if there is none.
func (r *record) firstCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[0].at
}

// prove marks the request as deadly for a time.
func (r *record) prove(now time.Time, term time.Duration) {
	r.proved = true
	r.provedTerm = term
	r.expires = now.Add(term)
}

// startTrial ends the refusal of a request that was proved deadly by itself. It stays a suspect for a time.
func (r *record) startTrial(length time.Duration) {
	r.proved = false
	r.expires = r.expires.Add(length)
}

// isOnTrial reports whether the refusal of a request has ended and it is not known yet how its next answer goes.
func (r *record) isOnTrial() bool { return r.provedTerm > 0 && !r.proved }

// addCrash adds a crash in which the request was running, unless it is known. The record keeps the latest maxCrashesKept.
func (r *record) addCrash(c *crash) {
	n, isKnown := slices.BinarySearchFunc(r.crashes, c, (*crash).compare)
	if isKnown {
		return
	}
	r.crashes = slices.Insert(r.crashes, n, c)
	if len(r.crashes) > maxCrashesKept {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
}

// compareEviction orders the records of one organisation for eviction: those once proved deadly last, then by expiry, then
// by fingerprint.
func (r *record) compareEviction(other *record) int {
	return cmp.Or(
		compareBools(r.provedTerm > 0, other.provedTerm > 0),
		r.expires.Compare(other.expires),
		r.key.compare(other.key),
	)
}

func (r *record) verdict() *wire.Quarantine {
	return &wire.Quarantine{
		Fingerprint: r.key.fingerprint.Bytes(), Organisation: r.key.organisation, Proved: r.proved,
		ExpiresMs: r.expires.UnixMilli(), IsPart: r.key.isPart,
	}
}
