package quarantine

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

// Snapshot returns the state of the tracker.
func (t *Tracker) Snapshot() *wire.TrackerSnapshot {
	s := &wire.TrackerSnapshot{Crashes: append([]string(nil), t.order...)}
	for _, r := range t.sorted() {
		s.Requests = append(s.Requests, &wire.TrackedRequest{Verdict: r.verdict(), Deaths: int32(r.deaths)})
	}
	return s
}

// Restore replaces the state of the tracker by a snapshot's; nil empties it.
func (t *Tracker) Restore(s *wire.TrackerSnapshot) {
	*t = *NewTracker(t.settings)
	for _, id := range s.GetCrashes() {
		t.isNewCrash(id)
	}
	for _, tracked := range s.GetRequests() {
		f, ok := FromBytes(tracked.GetVerdict().GetFingerprint())
		if !ok {
			continue
		}
		k := key{tracked.Verdict.Organisation, f}
		t.records[k] = &record{
			key: k, deaths: int(tracked.Deaths), proved: tracked.Verdict.Proved,
			expires: time.UnixMilli(tracked.Verdict.ExpiresMs),
		}
		t.perOwner[k.organisation]++
	}
}
