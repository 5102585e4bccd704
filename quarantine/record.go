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
	// never affects another's.
	key struct {
		organisation string
		fingerprint  Fingerprint
	}

	// record is what the tracker knows of one request.
	record struct {
		key key
		// crashes are the crashes in which the request was running, earliest first. earlierDeaths counts those of which no
		// details are kept.
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
	)
}

// hasCrashBetween reports whether the request was running in a crash after one time and not after another.
func (r *record) hasCrashBetween(after, until time.Time) bool {
	return slices.ContainsFunc(r.crashes, func(c *crash) bool { return c.at.After(after) && !c.at.After(until) })
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

// startTrial ends the refusal of a request that was proved deadly by itself. It stays a suspect for as long again.
func (r *record) startTrial() {
	r.proved = false
	r.expires = r.expires.Add(r.provedTerm)
}

// isOnTrial reports whether the refusal of a request has ended and it is not known yet how its next answer goes.
func (r *record) isOnTrial() bool { return r.provedTerm > 0 && !r.proved }

// addCrash adds a crash in which the request was running. Beyond maxCrashesKept, the earliest is only counted.
func (r *record) addCrash(c *crash) {
	n, _ := slices.BinarySearchFunc(r.crashes, c, (*crash).compare)
	r.crashes = slices.Insert(r.crashes, n, c)
	if len(r.crashes) > maxCrashesKept {
		r.crashes = slices.Delete(r.crashes, 0, 1)
		r.earlierDeaths++
	}
}

// isEvictedBefore orders the records of one organisation for eviction: by expiry, then by fingerprint.
func (r *record) isEvictedBefore(other *record) bool {
	if !r.expires.Equal(other.expires) {
		return r.expires.Before(other.expires)
	}
	return r.key.compare(other.key) < 0
}

func (r *record) verdict() *wire.Quarantine {
	return &wire.Quarantine{
		Fingerprint: r.key.fingerprint.Bytes(), Organisation: r.key.organisation, Proved: r.proved,
		ExpiresMs: r.expires.UnixMilli(),
	}
}
