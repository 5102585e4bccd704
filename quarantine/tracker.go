package quarantine

import (
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
	// DefaultCrashes is the default limit of crashes kept with the requests that were running.
	DefaultCrashes = 64
	// SuspectFor is the default time for which a fingerprint stays suspect after a crash.
	SuspectFor = 5 * time.Minute
	// ProvedFor is the default time for which a fingerprint proved deadly is refused.
	ProvedFor = 24 * time.Hour
	// maxProvedFor bounds the time for which a fingerprint is refused after repeated proofs.
	maxProvedFor = 24 * time.Hour
	// provedGrowth multiplies the time of refusal with each further crash.
	provedGrowth = 4
	// deathLimit is the number of crashes after which a request is refused.
	deathLimit = 2
	// answeringLimit is the number of crashes after which a request is refused whose answer had gone on well in some of them.
	// Such an answer is cut off by whatever ends its upstream, so each crash says less.
	answeringLimit = 3
	// sharedPartLimit is the number of crashes after which parts of the same crashes are all refused.
	sharedPartLimit = 3
	// partProvedFor is the time for which a part is refused at first. It may be shared, so a trial comes early.
	partProvedFor = 2 * time.Minute
	// trustedPartLimit is the number of crashes after which a part is refused although answers to requests with it went on
	// well before. Such a part is shared by many requests, which run beside whatever crashes.
	trustedPartLimit = 4
	// maxRuns bounds the requests kept of one crash, maxParts the parts kept of one request.
	maxRuns  = 512
	maxParts = 32
)

type (
	// Settings limit how much a tracker keeps and for how long. A zero field means its default.
	Settings struct {
		PerOrganisation int
		Limit           int
		Crashes         int
		SuspectFor      time.Duration
		ProvedFor       time.Duration
		// SharedLimit is the number of crashes after which requests that ran in the same crashes are all refused. It is
		// deathLimit by default.
		SharedLimit int
		// InSequence makes a crash count against a request only if the request was sent after the crash that counted
		// before. For parts that always holds.
		InSequence bool
	}

	// Tracker is the state machine that derives verdicts from crash reports. It is deterministic: the same inputs
	// give the same state on every replica. It is not safe for concurrent use.
	Tracker struct {
		settings Settings
		records  map[key]*record
		// proved holds the records that are or were proved deadly by themselves.
		proved          map[key]*record
		perOrganisation map[string]int
		crashes         map[string]*crash
		byTime          []*crash // crashes, earliest first
		// places holds the rivals of the requests of a crash, computed when first asked for. New evidence makes a new tracker
		// (Memory.replay).
		places map[*crash]map[key]Rivals
		// nextExpiry is the earliest time at which a record may expire.
		nextExpiry time.Time
		// revision increases with each new piece of evidence.
		revision uint64
	}
)

// NewTracker returns an empty tracker.
func NewTracker(s Settings) *Tracker {
	s.PerOrganisation = cmp.Or(s.PerOrganisation, DefaultPerOrganisation)
	s.Limit = cmp.Or(s.Limit, DefaultLimit)
	s.Crashes = cmp.Or(s.Crashes, DefaultCrashes)
	s.SuspectFor = cmp.Or(s.SuspectFor, SuspectFor)
	s.ProvedFor = cmp.Or(s.ProvedFor, ProvedFor)
	s.SharedLimit = cmp.Or(s.SharedLimit, deathLimit)
	return &Tracker{
		settings: s, records: map[key]*record{}, proved: map[key]*record{}, perOrganisation: map[string]int{}, crashes: map[string]*crash{},
		places: map[*crash]map[key]Rivals{},
	}
}

// RecordDeath removes expired records, applies the report of a crash and returns the verdicts on the requests that were
// running. Several reports of one crash add up; what was reported before changes no verdict.
//
// The requests that were running become suspects. If exactly one of them has now run in two or more distinct crashes,
// that request is proved deadly and refused for ProvedFor, longer with each further crash; the second crash may be its
// trial. If several have, for example in the same two crashes, a trial of each could crash a third upstream, so all of
// them are refused for SuspectFor once they ran in SharedLimit crashes.
func (t *Tracker) RecordDeath(now time.Time, report *wire.DeathReport) []*wire.Quarantine {
	now = now.Truncate(time.Millisecond)
	t.Expire(now)
	c := t.observe(now, report)
	if c == nil {
		return nil
	}
	verdicts := t.judge(now, c)
	t.evict()
	return verdicts
}

// Clear removes a suspect that ran alone and completed. It returns false if the request is no suspect or is proved
// deadly.
func (t *Tracker) Clear(organisation string, f Fingerprint) bool {
	r, ok := t.records[key{organisation: organisation, fingerprint: f}]
	if !ok || r.proved {
		return false
	}
	t.remove(r)
	return true
}

// ClearPart records that the answer to a request with a part went on well, and reports whether the part was suspect. The
// crashes before no longer count against it.
func (t *Tracker) ClearPart(now time.Time, part Fingerprint) bool {
	k := key{fingerprint: part, isPart: true}
	r := t.records[k]
	if r == nil || r.proved || t.deaths(r).total() == 0 {
		return false
	}
	t.observeProgress(now, k)
	return true
}

// Expire removes the records that have expired. A request that was proved deadly by itself is on trial for as long again,
// and at least until nothing counts any more of those that ran beside it.
func (t *Tracker) Expire(now time.Time) {
	if now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(maxProvedFor)
	for _, r := range t.records {
		if now.Before(r.expires) {
			t.expireBy(r.expires)
			continue
		}
		trialFor := max(r.provedTerm, t.settings.SuspectFor)
		if r.proved && r.provedTerm > 0 && now.Before(r.expires.Add(trialFor)) {
			r.startTrial(trialFor)
			t.expireBy(r.expires)
			continue
		}
		t.remove(r)
	}
}

// expireBy makes Expire look at the records at a time.
func (t *Tracker) expireBy(at time.Time) {
	if at.Before(t.nextExpiry) {
		t.nextExpiry = at
	}
}

// Verdicts returns all verdicts, sorted by organisation and fingerprint.
func (t *Tracker) Verdicts() []*wire.Quarantine {
	all := make([]*wire.Quarantine, 0, len(t.records))
	for _, r := range t.sorted() {
		if r.proved || t.deaths(r).total() > 0 {
			all = append(all, r.verdict())
		}
	}
	return all
}

// Len returns the number of fingerprints kept.
func (t *Tracker) Len() int { return len(t.records) }

// evict enforces the limits. For each organisation over its limit, and then for the largest organisation while the
// total is too high, it removes the records that are evicted first.
func (t *Tracker) evict() {
	for _, organisation := range slices.Sorted(maps.Keys(t.perOrganisation)) {
		if surplus := t.perOrganisation[organisation] - t.settings.PerOrganisation; surplus > 0 {
			t.evictFirst(organisation, surplus)
		}
	}
	for len(t.records) > t.settings.Limit {
		t.evictFirst(t.largestOrganisation(), 1)
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

// evictFirst removes a number of records of an organisation.
func (t *Tracker) evictFirst(organisation string, count int) {
	var held []*record
	for _, r := range t.records {
		if r.key.organisation == organisation {
			held = append(held, r)
		}
	}
	slices.SortFunc(held, (*record).compareEviction)
	for _, r := range held[:count] {
		t.remove(r)
	}
}

func (t *Tracker) remove(r *record) {
	delete(t.records, r.key)
	delete(t.proved, r.key)
	t.perOrganisation[r.key.organisation]--
	if t.perOrganisation[r.key.organisation] == 0 {
		delete(t.perOrganisation, r.key.organisation)
	}
}

func (t *Tracker) newRecord(k key, expires time.Time) *record {
	r := &record{key: k, expires: expires}
	t.records[k] = r
	t.expireBy(expires)
	t.perOrganisation[k.organisation]++
	return r
}

func (t *Tracker) sorted() []*record {
	return slices.SortedFunc(maps.Values(t.records), func(a, b *record) int { return a.key.compare(b.key) })
}

func milliseconds(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }
