package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// memoryCrashes is the number of crashes that a memory keeps and sends.
	memoryCrashes = 256
	// memoryProvedFor is the time for which a request is refused after its second crash. Connections that end are weaker
	// evidence than the report of a sidecar, so a trial comes earlier.
	memoryProvedFor = 2 * time.Minute
	// memorySharedLimit is the number of crashes after which several requests of the same crashes are all refused.
	memorySharedLimit = 3
	// trialInterval is the time between two requests that a memory admits while they are on trial.
	trialInterval = 10 * time.Second
)

// CheckFunc is Memory.Check or Memory.Begin.
type CheckFunc func(now time.Time, organisation string, f Fingerprint) *outcome.Error

// Memory is a Tracker that processes share without agreement: each adds what it sees, passes on what it has not passed on
// yet, and merges what it receives, in any order and any number of times. All that hold the same evidence refuse the same
// requests. It is safe for concurrent use.
type Memory struct {
	// isEmpty is set while no request is suspect or refused, so that Check needs no lock.
	isEmpty atomic.Bool
	mutex   sync.Mutex
	tracker *Tracker
	// trials holds when the last request of each record on trial was admitted.
	trials map[key]time.Time
	// changed is closed and replaced at each new piece of evidence.
	changed chan struct{}
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	m := &Memory{
		tracker: NewTracker(Settings{Crashes: memoryCrashes, ProvedFor: memoryProvedFor, SharedLimit: memorySharedLimit}),
		trials:  map[key]time.Time{}, changed: make(chan struct{}),
	}
	m.isEmpty.Store(true)
	return m
}

// IsEmpty reports whether Check refuses nothing.
func (m *Memory) IsEmpty() bool { return m.isEmpty.Load() }

// Check returns the refusal of a request that is proved deadly, or nil. Once a refusal has ended, the request is on
// trial: it is refused only for trialInterval after one that Begin admitted, until it is known how its answer went.
func (m *Memory) Check(now time.Time, organisation string, f Fingerprint) *outcome.Error {
	if m.IsEmpty() {
		return nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.check(now, key{organisation, f})
}

// Begin is Check before an attempt that starts if it returns nil.
func (m *Memory) Begin(now time.Time, organisation string, f Fingerprint) *outcome.Error {
	if m.IsEmpty() {
		return nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := key{organisation, f}
	if refused := m.check(now, k); refused != nil {
		return refused
	}
	if r := m.tracker.records[k]; r != nil && r.isOnTrial() {
		m.trials[k] = now
	}
	return nil
}

// check implements Check. The caller holds the mutex.
func (m *Memory) check(now time.Time, k key) *outcome.Error {
	m.tracker.Expire(now)
	m.isEmpty.Store(m.tracker.Len() == 0)
	r := m.tracker.records[k]
	if r == nil {
		return nil
	}
	if r.proved {
		return refusal("deadly", "upstreams crashed while they ran this request", r.expires.Sub(now))
	}
	next := m.trials[k].Add(trialInterval)
	if r.isOnTrial() && now.Before(next) {
		return refusal("on-trial", "upstreams crashed while they ran this request; another one is on trial", next.Sub(now))
	}
	return nil
}

// RecordDeath adds the report of a crash and returns the requests that are refused because of it.
func (m *Memory) RecordDeath(now time.Time, report *wire.DeathReport) []*wire.Quarantine {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := m.tracker.observe(now.Truncate(time.Millisecond), report)
	if c == nil {
		return nil
	}
	c.isOwn = true
	return m.update(now)
}

// RecordProgress records that the answer to a request goes on well, if the request is suspect.
func (m *Memory) RecordProgress(now time.Time, organisation string, f Fingerprint) {
	if m.IsEmpty() {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := key{organisation, f}
	r := m.tracker.records[k]
	if r != nil && r.hasCrashBetween(r.progress, now) && m.tracker.observeProgress(now, k) {
		r.isOwn = true
		m.update(now)
	}
}

// Merge adds evidence of another process and returns the requests that are refused because of it.
func (m *Memory) Merge(now time.Time, evidence *wire.Evidence) []*wire.Quarantine {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	isNews := false
	for _, p := range evidence.GetProgress() {
		if f, ok := FromBytes(p.Fingerprint); ok {
			isNews = m.tracker.observeProgress(now.Add(-milliseconds(p.AgeMs)), key{p.Organisation, f}) || isNews
		}
	}
	for _, report := range evidence.GetDeaths() {
		isNews = m.tracker.observe(now.Truncate(time.Millisecond), report) != nil || isNews
	}
	if !isNews {
		return nil
	}
	return m.update(now)
}

// update derives the verdicts from new evidence and notifies those that pass it on. It returns the requests that were not
// refused before. The caller holds the mutex.
func (m *Memory) update(now time.Time) []*wire.Quarantine {
	before := m.tracker
	refusedBefore := map[key]bool{}
	for k, r := range before.records {
		refusedBefore[k] = r.proved
	}
	m.tracker = before.replay(now)
	m.isEmpty.Store(m.tracker.Len() == 0)
	close(m.changed)
	m.changed = make(chan struct{})
	return slices.DeleteFunc(m.tracker.Verdicts(), func(v *wire.Quarantine) bool {
		f, _ := FromBytes(v.Fingerprint)
		return !v.Proved || refusedBefore[key{v.Organisation, f}]
	})
}

// Evidence returns what was added since a revision, the revision that includes it, and a channel that is closed at the
// next addition. The evidence is nil if there is none.
func (m *Memory) Evidence(now time.Time, since uint64) (*wire.Evidence, uint64, <-chan struct{}) {
	return m.evidence(now, since, false)
}

// OwnEvidence is Evidence without what came from other processes, except at revision 0, where all of it is returned.
func (m *Memory) OwnEvidence(now time.Time, since uint64) (*wire.Evidence, uint64, <-chan struct{}) {
	return m.evidence(now, since, since > 0)
}

func (m *Memory) evidence(now time.Time, since uint64, isOwn bool) (*wire.Evidence, uint64, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	e := m.tracker.evidence(now, since, isOwn)
	if len(e.Deaths) == 0 && len(e.Progress) == 0 {
		e = nil
	}
	return e, m.tracker.revision, m.changed
}
