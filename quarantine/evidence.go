package quarantine

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

// This file keeps a tracker as a set of evidence that processes exchange. The verdicts of such a tracker follow from the
// set alone, whatever the order in which it came.

const (
	// progressInterval is the time within which a later progress is no news unless a crash lies between. Ages that are
	// passed on grow by the time on the way.
	progressInterval = time.Second
	// crashFor is the time for which a crash is kept as evidence, and with it the progress that clears requests of it. A
	// crash under which something ran that is proved deadly is kept as long as that.
	crashFor = 2 * SuspectFor
)

// observeProgress notes that the answer to a request went on well at a time, and reports whether that is news. The crashes
// before that time do not count against the request. If enough of them had counted to refuse it, or to leave open which of
// several requests is deadly, the verdicts are to be derived again.
func (t *Tracker) observeProgress(at time.Time, k key) (mayChangeVerdicts, isNews bool) {
	r := t.records[k]
	if r == nil {
		r = t.newRecord(k, at)
	}
	if !at.After(r.progress.Add(progressInterval)) && !r.hasCrashBetween(r.progress, at) {
		r.progress = later(r.progress, at)
		return false, false
	}
	wasOverLimit := r.proved || r.isOverLimit(t.deaths(r))
	r.progress, r.isOwn = at, false
	r.keepProgress()
	t.revision++
	r.revision = t.revision
	return wasOverLimit, true
}

// replay returns a tracker with the verdicts that follow from the evidence of this one. Crashes are judged in the order of
// time, with the progress of all times known, so that the verdicts do not depend on when the evidence came.
func (t *Tracker) replay(now time.Time) *Tracker {
	next := NewTracker(t.settings)
	next.revision = t.revision
	for _, r := range t.records {
		if !r.progress.IsZero() {
			next.addProgress(r)
		}
	}
	for _, c := range t.byTime {
		if now.Sub(c.at) < crashFor || t.isExplanation(c) {
			next.applyCrash(c)
		}
	}
	next.evict()
	next.Expire(now)
	return next
}

// isExplanation reports whether something ran in a crash that is or was proved deadly.
func (t *Tracker) isExplanation(c *crash) bool {
	for k := range t.proved {
		if len(c.carriers[k]) > 0 {
			return true
		}
	}
	return false
}

// addProgress adds the progress of another tracker's record.
func (t *Tracker) addProgress(other *record) {
	r := t.newRecord(other.key, other.progress.Add(t.settings.SuspectFor))
	r.progress, r.revision, r.isOwn = other.progress, other.revision, other.isOwn
}

// applyCrash adds a crash that is later than all others and judges its requests.
func (t *Tracker) applyCrash(c *crash) {
	t.Expire(c.at)
	t.crashes[c.id] = c
	t.byTime = append(t.byTime, c)
	for _, s := range c.runs {
		t.suspectAll(c, s)
	}
	t.judge(c.at, c)
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
				IsPart: r.key.isPart,
			})
		}
	}
	return e
}

// report returns the report of a crash with all requests that are known to have run in it.
func (c *crash) report(now time.Time) *wire.DeathReport {
	report := &wire.DeathReport{CrashId: c.id, AgeMs: now.Sub(c.at).Milliseconds()}
	for _, s := range c.runs {
		suspect := &wire.Suspect{Fingerprint: s.request.fingerprint.Bytes(), Organisation: s.request.organisation, AfterCrash: s.after}
		for _, part := range s.parts {
			suspect.Parts = append(suspect.Parts, part.fingerprint.Bytes())
		}
		if !s.sent.IsZero() {
			suspect.RanMs = max(c.at.Sub(s.sent).Milliseconds(), 1)
		}
		if s.isAnswering {
			report.Answering = append(report.Answering, suspect)
		} else {
			report.Running = append(report.Running, suspect)
		}
	}
	return report
}
