package quarantine

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

// Snapshot returns the state of the tracker as a message.
func (t *Tracker) Snapshot() *wire.TrackerSnapshot {
	s := &wire.TrackerSnapshot{Revision: t.revision}
	for _, c := range t.byTime {
		s.Crashes = append(s.Crashes, c.id)
		s.Details = append(s.Details, c.snapshot())
	}
	for _, r := range t.sorted() {
		s.Requests = append(s.Requests, &wire.TrackedRequest{
			Verdict: r.verdict(), Deaths: int32(t.deaths(r).total()), SinceMs: unixMilli(r.firstCrash()), ProgressMs: unixMilli(r.progress),
			EarlierDeaths: int32(r.earlierDeaths), ProvedTermMs: r.provedTerm.Milliseconds(), Revision: r.revision,
		})
	}
	return s
}

func (c *crash) snapshot() *wire.TrackedCrash {
	m := &wire.TrackedCrash{AtMs: unixMilli(c.at), Revision: c.revision}
	for _, s := range c.runs {
		stored := &wire.TrackedRun{
			Fingerprint: s.request.fingerprint.Bytes(), Organisation: s.request.organisation, SentMs: unixMilli(s.sent),
		}
		for _, part := range s.parts {
			stored.Parts = append(stored.Parts, part.fingerprint.Bytes())
		}
		m.Running = append(m.Running, stored)
	}
	return m
}

// Restore replaces the state of the tracker with that of the snapshot; nil clears it. The settings stay. Snapshots of
// earlier builds hold the IDs of crashes without details; the deaths of their requests are kept as earlier ones.
func (t *Tracker) Restore(s *wire.TrackerSnapshot) {
	*t = *NewTracker(t.settings)
	t.revision = s.GetRevision()
	for n, id := range s.GetCrashes() {
		var m *wire.TrackedCrash
		if n < len(s.GetDetails()) {
			m = s.Details[n]
		}
		c := t.crash(id, fromUnixMilli(m.GetAtMs()))
		if c != nil {
			c.restore(m)
		}
	}
	hasDetails := len(s.GetDetails()) > 0
	for _, tracked := range s.GetRequests() {
		t.restoreRecord(tracked, hasDetails)
	}
}

func (c *crash) restore(m *wire.TrackedCrash) {
	c.revision = m.GetRevision()
	for _, s := range m.GetRunning() {
		f, ok := FromBytes(s.GetFingerprint())
		if !ok {
			continue
		}
		c.add(run{
			request: key{organisation: s.Organisation, fingerprint: f}, parts: partKeys(s.Parts), sent: fromUnixMilli(s.SentMs),
		})
	}
}

func (t *Tracker) restoreRecord(tracked *wire.TrackedRequest, hasDetails bool) {
	f, ok := FromBytes(tracked.GetVerdict().GetFingerprint())
	if !ok {
		return
	}
	r := t.newRecord(
		key{tracked.Verdict.Organisation, f, tracked.Verdict.IsPart}, time.UnixMilli(tracked.Verdict.ExpiresMs),
	)
	t.restoreCrashes(r, fromUnixMilli(tracked.SinceMs))
	r.proved = tracked.Verdict.Proved
	r.provedTerm = milliseconds(tracked.ProvedTermMs)
	if r.provedTerm > 0 {
		t.proved[r.key] = r
	}
	r.progress = fromUnixMilli(tracked.ProgressMs)
	r.revision = tracked.Revision
	r.earlierDeaths = int(tracked.EarlierDeaths)
	if !hasDetails {
		r.earlierDeaths = int(tracked.Deaths)
	}
}

// restoreCrashes adds the crashes since a time in which the request was running to its record.
func (t *Tracker) restoreCrashes(r *record, since time.Time) {
	for _, c := range t.byTime {
		if len(c.carriers[r.key]) > 0 && !c.at.Before(since) {
			r.addCrash(c)
		}
	}
}

// unixMilli returns the milliseconds of a time, 0 for the zero time.
func unixMilli(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
