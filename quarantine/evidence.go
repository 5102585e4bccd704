package quarantine

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// This file keeps a tracker as a set of evidence that processes exchange. The verdicts of such a tracker follow from the
// set alone, whatever the order in which it came.

// progressInterval is the time within which a later progress is no news unless a crash lies between. Ages that are passed
// on grow by the time on the way.
const progressInterval = time.Second

// observeProgress notes that the answer to a request went on well at a time, and reports whether that is news. The crashes
// before that time do not count against the request.
func (t *Tracker) observeProgress(at time.Time, k key) bool {
	at = at.Truncate(time.Millisecond)
	r := t.records[k]
	if r == nil {
		r = t.newRecord(k, at)
	}
	if !at.After(r.progress.Add(progressInterval)) && !r.hasCrashBetween(r.progress, at) {
		return false
	}
	r.progress, r.isOwn = at, false
	t.revision++
	r.revision = t.revision
	return true
}

// replay returns a tracker with the verdicts that follow from the evidence of this one in the order of time.
func (t *Tracker) replay(now time.Time) *Tracker {
	next := NewTracker(t.settings)
	next.revision = t.revision
	progress := t.byProgress()
	for _, c := range t.byTime {
		for len(progress) > 0 && progress[0].progress.Before(c.at) {
			next.applyProgress(progress[0])
			progress = progress[1:]
		}
		next.applyCrash(c)
	}
	for _, r := range progress {
		next.applyProgress(r)
	}
	next.Expire(now)
	return next
}

// byProgress returns the records with progress, earliest first.
func (t *Tracker) byProgress() []*record {
	progress := slices.DeleteFunc(t.sorted(), func(r *record) bool { return r.progress.IsZero() })
	slices.SortStableFunc(progress, func(a, b *record) int { return a.progress.Compare(b.progress) })
	return progress
}

// applyCrash adds a crash that is later than all others and judges its requests.
func (t *Tracker) applyCrash(c *crash) {
	t.Expire(c.at)
	t.crashes[c.id] = c
	t.byTime = append(t.byTime, c)
	for _, s := range c.sightings {
		t.suspect(c.at, c, s.request)
	}
	t.judge(c.at, c)
	t.evict()
}

// applyProgress adds the progress of another tracker's record. If too few crashes are left that count, the refusal of the
// request ends.
func (t *Tracker) applyProgress(other *record) {
	t.Expire(other.progress)
	r := t.records[other.key]
	if r == nil {
		r = t.newRecord(other.key, other.progress)
	}
	r.progress, r.revision, r.isOwn = other.progress, other.revision, other.isOwn
	if t.deaths(r) < deathLimit {
		r.proved, r.provedTerm = false, 0
	}
	if !r.proved {
		r.expires = later(r.expires, r.progress.Add(t.settings.SuspectFor))
	}
	t.evict()
}

// evidence returns the crashes and the progress that were added after a revision, only those that this process saw itself
// if isOwn is set. Times are sent as ages, so that the clocks of the processes need not agree.
func (t *Tracker) evidence(now time.Time, since uint64, isOwn bool) *wire.Evidence {
	e := &wire.Evidence{}
	for _, c := range t.byTime {
		if c.revision > since && (c.isOwn || !isOwn) {
			e.Deaths = append(e.Deaths, c.report(now))
		}
	}
	for _, r := range t.sorted() {
		if r.revision > since && (r.isOwn || !isOwn) {
			e.Progress = append(e.Progress, &wire.Progress{
				Fingerprint: r.key.fingerprint.Bytes(), Organisation: r.key.organisation, AgeMs: now.Sub(r.progress).Milliseconds(),
			})
		}
	}
	return e
}

// report returns the report of a crash with all requests that are known to have run in it.
func (c *crash) report(now time.Time) *wire.DeathReport {
	report := &wire.DeathReport{CrashId: c.id, AgeMs: now.Sub(c.at).Milliseconds()}
	for _, s := range c.sightings {
		suspect := &wire.Suspect{Fingerprint: s.request.fingerprint.Bytes(), Organisation: s.request.organisation}
		if !s.sent.IsZero() {
			suspect.RanMs = max(c.at.Sub(s.sent).Milliseconds(), 1)
		}
		report.Running = append(report.Running, suspect)
	}
	return report
}
