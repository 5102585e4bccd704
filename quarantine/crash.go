package quarantine

import (
	"cmp"
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// This file keeps the crashes that were reported and counts those that speak against a request.

// sequenceSlack allows for the rounding of times when it is told whether a request was sent after a crash.
const sequenceSlack = 5 * time.Millisecond

type (
	// crash is one end of an upstream, with the requests that were running there according to all reports.
	crash struct {
		id        string
		at        time.Time
		sightings []sighting
		byRequest map[key]int // index of sightings
		// revision is that of the last report that added a request. isOwn is set if this process reported requests itself.
		revision uint64
		isOwn    bool
	}

	// sighting is a request that was running in a crash.
	sighting struct {
		request key
		// sent is when the request was sent to the upstream; zero if that is not known.
		sent time.Time
	}
)

// crash returns the crash with the ID, which it adds if it is new. It returns nil if the crash is older than all kept
// and none may be added.
func (t *Tracker) crash(id string, at time.Time) *crash {
	if c := t.crashes[id]; c != nil {
		return c
	}
	if len(t.byTime) >= t.settings.Crashes {
		if at.Before(t.byTime[0].at) {
			return nil
		}
		delete(t.crashes, t.byTime[0].id)
		t.byTime = t.byTime[1:]
	}
	c := &crash{id: id, at: at, byRequest: map[key]int{}}
	t.crashes[id] = c
	n, _ := slices.BinarySearchFunc(t.byTime, c, (*crash).compare)
	t.byTime = slices.Insert(t.byTime, n, c)
	return c
}

// compare orders crashes by time.
func (c *crash) compare(other *crash) int {
	return cmp.Or(c.at.Compare(other.at), cmp.Compare(c.id, other.id))
}

// observe adds what a report says of a crash to the evidence, and returns the crash, or nil if nothing is news.
func (t *Tracker) observe(now time.Time, report *wire.DeathReport) *crash {
	c := t.crash(report.GetCrashId(), now.Add(-milliseconds(report.GetAgeMs())))
	if c == nil {
		return nil
	}
	before := len(c.sightings)
	for _, suspect := range report.GetRunning() {
		t.addSighting(c, suspect)
	}
	if len(c.sightings) == before {
		return nil
	}
	t.revision++
	c.revision = t.revision
	return c
}

// addSighting adds a request that was running in a crash, unless it is known.
func (t *Tracker) addSighting(c *crash, suspect *wire.Suspect) {
	f, ok := FromBytes(suspect.GetFingerprint())
	if !ok || len(c.sightings) >= maxSightings {
		return
	}
	s := sighting{request: key{suspect.GetOrganisation(), f}}
	if _, isKnown := c.byRequest[s.request]; isKnown {
		return
	}
	if suspect.GetRanMs() > 0 {
		s.sent = c.at.Add(-milliseconds(suspect.GetRanMs()))
	}
	c.byRequest[s.request] = len(c.sightings)
	c.sightings = append(c.sightings, s)
	t.suspect(c.at, c, s.request)
}

// suspect adds a record for a request that was running in a crash, or extends it.
func (t *Tracker) suspect(now time.Time, c *crash, k key) {
	r := t.records[k]
	if r == nil {
		r = t.newRecord(k, now)
	}
	r.addCrash(c)
	if !r.proved {
		r.expires = later(r.expires, now.Add(t.settings.SuspectFor))
	}
}

// deaths returns the number of crashes that speak against a request: those since its answer last went on well that no
// other request explains. Of crashes at the same time only one counts, because upstreams also end together for other
// reasons: the request must have been sent after the crash that counted before.
func (t *Tracker) deaths(r *record) int {
	count := r.earlierDeaths
	var last time.Time
	for _, c := range r.crashes {
		if !c.at.After(r.progress) || t.isExplained(c, r) {
			continue
		}
		if sent := c.sightings[c.byRequest[r.key]].sent; !sent.IsZero() && sent.Add(sequenceSlack).Before(last) {
			continue
		}
		count++
		last = c.at
	}
	return count
}

// isExplained reports whether another request that ran in a crash is proved deadly.
func (t *Tracker) isExplained(c *crash, r *record) bool {
	if r.provedTerm > 0 {
		return false
	}
	return slices.ContainsFunc(c.sightings, func(s sighting) bool {
		other := t.records[s.request]
		return other != nil && other != r && other.provedTerm > 0
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
