package quarantine

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

// Snapshot returns the state of the tracker as a message.
func (t *Tracker) Snapshot() *wire.TrackerSnapshot {
	s := &wire.TrackerSnapshot{Crashes: append([]string(nil), t.crashOrder...)}
	for _, r := range t.sorted() {
		s.Requests = append(s.Requests, &wire.TrackedRequest{Verdict: r.verdict(), Deaths: int32(r.deaths)})
	}
	return s
}

// Restore replaces the state of the tracker with that of the snapshot; nil clears it. The settings stay.
func (t *Tracker) Restore(s *wire.TrackerSnapshot) {
	*t = *NewTracker(t.settings)
	for _, id := range s.GetCrashes() {
		t.recordCrash(id)
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
		t.perOrganisation[k.organisation]++
	}
}
