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
	// DefaultPerOrganisation is the number of fingerprints kept for one organisation.
	DefaultPerOrganisation = 256
	// DefaultLimit is the number of fingerprints kept in all.
	DefaultLimit = 4096
	// SuspectFor is the time for which a fingerprint stays suspect after a crash.
	SuspectFor = 5 * time.Minute
	// ProvedFor is the time for which a proved fingerprint stays refused.
	ProvedFor = 24 * time.Hour
	// deathLimit is the number of upstreams that one request may cost.
	deathLimit = 2
	// crashLimit bounds the crash ids remembered to tell repeated reports.
	crashLimit = 1024
)

type (
	// Settings bound the memory of a tracker; zero fields stand for the defaults.
	Settings struct {
		PerOrganisation int
		Limit           int
		SuspectFor      time.Duration
		ProvedFor       time.Duration
	}

	// Tracker is the state machine that turns deaths into verdicts. It is not safe for concurrent use. The same
	// inputs give the same state.
	Tracker struct {
		settings Settings
		records  map[key]*record
		perOwner map[string]int
		crashes  map[string]struct{}
		order    []string // crash ids, oldest first
	}

	// key names a record. The organisation is a part of it, so that no report about one organisation's request
	// touches another's.
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
	return &Tracker{settings: s, records: map[key]*record{}, perOwner: map[string]int{}, crashes: map[string]struct{}{}}
}

// RecordDeath takes the report of one death and returns the verdicts that it changes. A repeated report changes none.
//
// The requests that ran become suspects. The one that alone ran in two distinct crashes, of which the second may be
// its trial, is proved deadly for ProvedFor. When several ran in the same two crashes, a trial of each could cost a
// third upstream, so they are refused for SuspectFor.
func (t *Tracker) RecordDeath(now time.Time, report *wire.DeathReport) []*wire.Quarantine {
	now = now.Truncate(time.Millisecond)
	t.Expire(now)
	if !t.isNewCrash(report.GetCrashId()) {
		return nil
	}
	touched := t.suspects(now, report.GetRunning())
	again := 0
	for _, r := range touched {
		if r.deaths >= deathLimit {
			again++
		}
	}
	verdicts := make([]*wire.Quarantine, 0, len(touched))
	for _, r := range touched {
		switch {
		case r.deaths >= deathLimit && again == 1:
			r.proved = true
			r.expires = now.Add(t.settings.ProvedFor)
		case r.deaths >= deathLimit:
			r.proved = true
		}
		verdicts = append(verdicts, r.verdict())
	}
	t.bound()
	return verdicts
}

// Clear takes the news that a suspect ran to its end, alone, and frees it.
func (t *Tracker) Clear(organisation string, f Fingerprint) bool {
	r, ok := t.records[key{organisation, f}]
	if !ok || r.proved {
		return false
	}
	t.drop(r)
	return true
}

// Expire forgets what has expired.
func (t *Tracker) Expire(now time.Time) {
	for _, r := range t.records {
		if !now.Before(r.expires) {
			t.drop(r)
		}
	}
}

// Verdicts returns all verdicts, in the order of organisation and fingerprint.
func (t *Tracker) Verdicts() []*wire.Quarantine {
	all := make([]*wire.Quarantine, 0, len(t.records))
	for _, r := range t.sorted() {
		all = append(all, r.verdict())
	}
	return all
}

// Len returns the number of fingerprints kept.
func (t *Tracker) Len() int { return len(t.records) }

func (t *Tracker) isNewCrash(id string) bool {
	if _, known := t.crashes[id]; known {
		return false
	}
	t.crashes[id] = struct{}{}
	t.order = append(t.order, id)
	if len(t.order) > crashLimit {
		delete(t.crashes, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

// suspects counts a death for each distinct request that ran and returns their records.
func (t *Tracker) suspects(now time.Time, running []*wire.Suspect) []*record {
	var touched []*record
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
			t.perOwner[k.organisation]++
		}
		if slices.Contains(touched, r) {
			continue
		}
		r.deaths++
		if !r.proved {
			r.expires = now.Add(t.settings.SuspectFor)
		}
		touched = append(touched, r)
	}
	return touched
}

// bound drops what expires first, of the organisation that holds the most, while there is too much.
func (t *Tracker) bound() {
	for _, owner := range slices.Sorted(maps.Keys(t.perOwner)) {
		for t.perOwner[owner] > t.settings.PerOrganisation {
			t.dropFirst(owner)
		}
	}
	for len(t.records) > t.settings.Limit {
		t.dropFirst(t.largestOwner())
	}
}

func (t *Tracker) largestOwner() string {
	largest, most := "", 0
	for owner, held := range t.perOwner {
		if held > most || held == most && owner < largest {
			largest, most = owner, held
		}
	}
	return largest
}

func (t *Tracker) dropFirst(owner string) {
	var first *record
	for _, r := range t.records {
		if r.key.organisation == owner && (first == nil || r.isBefore(first)) {
			first = r
		}
	}
	t.drop(first)
}

// isBefore orders the records of one organisation by what is dropped first.
func (r *record) isBefore(other *record) bool {
	if !r.expires.Equal(other.expires) {
		return r.expires.Before(other.expires)
	}
	return bytes.Compare(r.key.fingerprint[:], other.key.fingerprint[:]) < 0
}

func (t *Tracker) drop(r *record) {
	delete(t.records, r.key)
	t.perOwner[r.key.organisation]--
	if t.perOwner[r.key.organisation] == 0 {
		delete(t.perOwner, r.key.organisation)
	}
}

func (t *Tracker) sorted() []*record {
	all := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.key.organisation, b.key.organisation), bytes.Compare(a.key.fingerprint[:], b.key.fingerprint[:]))
	})
	return all
}

func (r *record) verdict() *wire.Quarantine {
	return &wire.Quarantine{
		Fingerprint: r.key.fingerprint.Bytes(), Organisation: r.key.organisation, Proved: r.proved,
		ExpiresMs: r.expires.UnixMilli(),
	}
}
