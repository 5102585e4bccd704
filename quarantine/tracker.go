package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// DefaultPerOrganisation is the default limit of fingerprints kept for one organisation.
	DefaultPerOrganisation = 256
	// DefaultLimit is the default limit of fingerprints kept for all organisations together.
	DefaultLimit = 4096
	// SuspectFor is the default time for which a fingerprint stays suspect after a crash.
	SuspectFor = 5 * time.Minute
	// ProvedFor is the default time for which a fingerprint proved deadly is refused.
	ProvedFor = 24 * time.Hour
	// deathLimit is the number of crashes after which a request is refused.
	deathLimit = 2
	// maxCrashIDs bounds the crash IDs kept to detect repeated reports.
	maxCrashIDs = 1024
)

type (
	// Settings limit how much a tracker keeps and for how long. A zero field means its default.
	Settings struct {
		PerOrganisation int
		Limit           int
		SuspectFor      time.Duration
		ProvedFor       time.Duration
	}

	// Tracker is the state machine that derives verdicts from crash reports. It is deterministic: the same inputs
	// give the same state on every replica. It is not safe for concurrent use.
	Tracker struct {
		settings        Settings
		records         map[key]*record
		perOrganisation map[string]int
		crashes         map[string]struct{}
		crashOrder      []string // crash IDs, oldest first
	}

	// key identifies a record. It contains the organisation, so that a report about one organisation's request
	// never affects another's.
	key struct {
		organisation string
		fingerprint  Fingerprint
	}

	record struct {
		key     key
		deaths  int
		proved  bool
		expires time.Time
	}
)

// NewTracker returns an empty tracker.
func NewTracker(s Settings) *Tracker {
	s.PerOrganisation = cmp.Or(s.PerOrganisation, DefaultPerOrganisation)
	s.Limit = cmp.Or(s.Limit, DefaultLimit)
	s.SuspectFor = cmp.Or(s.SuspectFor, SuspectFor)
	s.ProvedFor = cmp.Or(s.ProvedFor, ProvedFor)
	return &Tracker{
		settings: s, records: map[key]*record{}, perOrganisation: map[string]int{}, crashes: map[string]struct{}{},
	}
}

// RecordDeath removes expired records, applies the report of a crash and returns the verdicts on the requests that were
// running. A repeated report changes no verdict.
//
// The requests that were running become suspects. If exactly one of them has now run in two or more distinct crashes,
// that request is proved deadly and refused for ProvedFor; the second crash may be its trial. If several have, for
// example in the same two crashes, a trial of each could crash a third upstream, so all of them are refused for
// SuspectFor.
func (t *Tracker) RecordDeath(now time.Time, report *wire.DeathReport) []*wire.Quarantine {
	now = now.Truncate(time.Millisecond)
	t.Expire(now)
	if !t.recordCrash(report.GetCrashId()) {
		return nil
	}
	affected := t.countDeaths(now, report.GetRunning())
	overLimit := 0
	for _, r := range affected {
		if r.deaths >= deathLimit {
			overLimit++
		}
	}
	verdicts := make([]*wire.Quarantine, 0, len(affected))
	for _, r := range affected {
		switch {
		case r.deaths >= deathLimit && overLimit == 1:
			r.proved = true
			r.expires = now.Add(t.settings.ProvedFor)
		case r.deaths >= deathLimit:
			r.proved = true
		}
		verdicts = append(verdicts, r.verdict())
	}
	t.evict()
	return verdicts
}

// Clear removes a suspect that ran alone and completed. It returns false if the request is no suspect or is proved
// deadly.
func (t *Tracker) Clear(organisation string, f Fingerprint) bool {
	r, ok := t.records[key{organisation, f}]
	if !ok || r.proved {
		return false
	}
	t.remove(r)
	return true
}

// Expire removes the records that have expired.
func (t *Tracker) Expire(now time.Time) {
	for _, r := range t.records {
		if !now.Before(r.expires) {
			t.remove(r)
		}
	}
}

// Verdicts returns all verdicts, sorted by organisation and fingerprint.
func (t *Tracker) Verdicts() []*wire.Quarantine {
	all := make([]*wire.Quarantine, 0, len(t.records))
	for _, r := range t.sorted() {
		all = append(all, r.verdict())
	}
	return all
}

// Len returns the number of fingerprints kept.
func (t *Tracker) Len() int { return len(t.records) }

func (t *Tracker) recordCrash(id string) bool {
	if _, known := t.crashes[id]; known {
		return false
	}
	t.crashes[id] = struct{}{}
	t.crashOrder = append(t.crashOrder, id)
	if len(t.crashOrder) > maxCrashIDs {
		delete(t.crashes, t.crashOrder[0])
		t.crashOrder = t.crashOrder[1:]
	}
	return true
}

// countDeaths counts a crash for each distinct request that was running and returns the records.
func (t *Tracker) countDeaths(now time.Time, running []*wire.Suspect) []*record {
	var affected []*record
	for _, s := range running {
		f, ok := FromBytes(s.GetFingerprint())
		if !ok {
			continue
		}
		k := key{s.GetOrganisation(), f}
		r, known := t.records[k]
		if !known {
			r = &record{key: k}
			t.records[k] = r
			t.perOrganisation[k.organisation]++
		}
		if slices.Contains(affected, r) {
			continue
		}
		r.deaths++
		if !r.proved {
			r.expires = now.Add(t.settings.SuspectFor)
		}
		affected = append(affected, r)
	}
	return affected
}

// evict enforces the limits. For each organisation over its limit, and then for the largest organisation while the
// total is too high, it removes the record that expires first.
func (t *Tracker) evict() {
	for _, organisation := range slices.Sorted(maps.Keys(t.perOrganisation)) {
		for t.perOrganisation[organisation] > t.settings.PerOrganisation {
			t.evictFirst(organisation)
		}
	}
	for len(t.records) > t.settings.Limit {
		t.evictFirst(t.largestOrganisation())
	}
}

func (t *Tracker) largestOrganisation() string {
	largest, most := "", 0
	for organisation, held := range t.perOrganisation {
		if held > most || held == most && organisation < largest {
			largest, most = organisation, held
		}
	}
	return largest
}

func (t *Tracker) evictFirst(organisation string) {
	var first *record
	for _, r := range t.records {
		if r.key.organisation == organisation && (first == nil || r.isEvictedBefore(first)) {
			first = r
		}
	}
	t.remove(first)
}

// isEvictedBefore orders the records of one organisation for eviction: by expiry, then by fingerprint.
func (r *record) isEvictedBefore(other *record) bool {
	if !r.expires.Equal(other.expires) {
		return r.expires.Before(other.expires)
	}
	return bytes.Compare(r.key.fingerprint[:], other.key.fingerprint[:]) < 0
}

func (t *Tracker) remove(r *record) {
	delete(t.records, r.key)
	t.perOrganisation[r.key.organisation]--
	if t.perOrganisation[r.key.organisation] == 0 {
		delete(t.perOrganisation, r.key.organisation)
	}
}

func (t *Tracker) sorted() []*record {
	all := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(a.key.organisation, b.key.organisation),
			bytes.Compare(a.key.fingerprint[:], b.key.fingerprint[:]),
		)
	})
	return all
}

func (r *record) verdict() *wire.Quarantine {
	return &wire.Quarantine{
		Fingerprint: r.key.fingerprint.Bytes(), Organisation: r.key.organisation, Proved: r.proved,
		ExpiresMs: r.expires.UnixMilli(),
	}
}
