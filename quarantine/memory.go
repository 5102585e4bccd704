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
	// memoryPerOrganisation is the number of requests kept of one organisation, and that of parts.
	memoryPerOrganisation = 1024
	// memoryProvedFor is the time for which a request is refused after its second crash. Connections that end are weaker
	// evidence than the report of a sidecar, so a trial comes earlier.
	memoryProvedFor = 2 * time.Minute
	// memorySharedLimit is the number of crashes after which several requests of the same crashes are all refused.
	memorySharedLimit = 3
	// trialInterval is the time between two requests that a memory admits while they are on trial.
	trialInterval = 10 * time.Second
)

// CheckFunc is Memory.Check or Memory.Begin.
type CheckFunc func(now time.Time, subject Subject) *outcome.Error

// Memory is a Tracker that processes share without agreement: each adds what it sees, passes on what it has not passed on
// yet, and merges what it receives, in any order and any number of times. All that hold the same evidence refuse the same
// requests and parts. It is safe for concurrent use.
type Memory struct {
	// isEmpty is set while nothing is suspect or refused, so that Check needs no lock.
	isEmpty atomic.Bool
	mutex   sync.Mutex
	tracker *Tracker
	// needsReplay is set while the verdicts do not follow from the latest progress yet.
	needsReplay bool
	recent      recentParts
	// trials holds when the last request of each record on trial was admitted.
	trials map[key]time.Time
	// changed is closed and replaced at each new piece of evidence.
	changed chan struct{}
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	m := &Memory{
		tracker: NewTracker(Settings{
			PerOrganisation: memoryPerOrganisation, ProvedFor: memoryProvedFor, SharedLimit: memorySharedLimit,
			InSequence: true,
		}),
		trials: map[key]time.Time{}, changed: make(chan struct{}),
	}
	m.isEmpty.Store(true)
	return m
}

// IsEmpty reports whether Check refuses nothing.
func (m *Memory) IsEmpty() bool { return m.isEmpty.Load() }

// Check returns the refusal of a request that is proved deadly or has a part that is, or nil. Once a refusal has ended,
// the request or part is on trial: it is refused only for trialInterval after a request that Begin admitted, until it is
// known how the answer to that one went.
func (m *Memory) Check(now time.Time, subject Subject) *outcome.Error {
	if m.IsEmpty() {
		return nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.check(now, subject.keys())
}

// Begin is Check before an attempt that starts if it returns nil.
func (m *Memory) Begin(now time.Time, subject Subject) *outcome.Error {
	if m.IsEmpty() {
		return nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	keys := subject.keys()
	if refused := m.check(now, keys); refused != nil {
		return refused
	}
	for _, k := range keys {
		if r := m.tracker.records[k]; r != nil && r.isOnTrial() {
			m.trials[k] = now
		}
	}
	return nil
}

// check implements Check. The caller holds the mutex.
func (m *Memory) check(now time.Time, keys []key) *outcome.Error {
	if m.needsReplay {
		m.replay(now)
	}
	m.tracker.Expire(now)
	m.isEmpty.Store(m.tracker.Len() == 0)
	for _, k := range keys {
		if refused := m.checkRecord(now, m.tracker.records[k]); refused != nil {
			return refused
		}
	}
	return nil
}

func (m *Memory) checkRecord(now time.Time, r *record) *outcome.Error {
	if r == nil {
		return nil
	}
	if r.proved {
		return refusal("deadly", "upstreams crashed while they ran this request or others with a part of it", r.expires.Sub(now))
	}
	next := m.trials[r.key].Add(trialInterval)
	if r.isOnTrial() && now.Before(next) {
		return refusal("on-trial", "upstreams crashed while they ran such requests; another one is on trial", next.Sub(now))
	}
	return nil
}

// RecordDeath adds the report of a crash and returns the requests that are refused because of it.
func (m *Memory) RecordDeath(now time.Time, report *wire.DeathReport) []*wire.Quarantine {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := m.tracker.observe(now, report)
	if c == nil {
		return nil
	}
	c.isOwn = true
	return m.update(now)
}

// RecordProgress records that the answer to a request goes on well, which speaks for the parts of its prompt. It does not speak for the
// request, which may end its upstream later.
func (m *Memory) RecordProgress(now time.Time, subject Subject) {
	if len(subject.Parts) > 0 {
		m.recordProgress(now, subject.partKeys())
	}
}

// RecordCompletion records that an upstream ran a request from its start to its end, which speaks for the request and its parts.
func (m *Memory) RecordCompletion(now time.Time, subject Subject) {
	if !m.IsEmpty() || len(subject.Parts) > 0 {
		m.recordProgress(now, subject.keys())
	}
}

func (m *Memory) recordProgress(now time.Time, keys []key) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	isNews, isOverLimit := false, false
	for _, k := range keys {
		if k.isPart {
			m.recent.add(k, now)
		}
		if r := m.tracker.records[k]; r != nil && r.hasCrashBetween(r.progress, now) {
			mayFree, isNew := m.tracker.observeProgress(now, k)
			r.isOwn = r.isOwn || isNew
			isNews = isNews || isNew
			isOverLimit = isOverLimit || mayFree
		}
	}
	switch {
	case isOverLimit:
		m.update(now)
	case isNews:
		m.needsReplay = true
		m.notify()
	}
}

// Merge adds evidence of another process and returns the requests that are refused because of it.
func (m *Memory) Merge(now time.Time, evidence *wire.Evidence) []*wire.Quarantine {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	isNews, mayChange := false, false
	for _, p := range evidence.GetProgress() {
		if f, ok := FromBytes(p.Fingerprint); ok {
			mayFree, isNew := m.tracker.observeProgress(now.Add(-milliseconds(p.AgeMs)), key{p.Organisation, f, p.IsPart})
			isNews = isNews || isNew
			mayChange = mayChange || mayFree
		}
	}
	for _, report := range evidence.GetDeaths() {
		mayChange = m.tracker.observe(now, report) != nil || mayChange
	}
	switch {
	case mayChange:
		return m.update(now)
	case isNews:
		m.needsReplay = true
		m.notify()
	}
	return nil
}

// update derives the verdicts from new evidence and notifies those that pass it on. It returns the requests that were not
// refused before. The caller holds the mutex.
func (m *Memory) update(now time.Time) []*wire.Quarantine {
	m.addRecentProgress()
	before := m.tracker
	refusedBefore := map[key]bool{}
	for k, r := range before.records {
		refusedBefore[k] = r.proved
	}
	m.replay(now)
	m.notify()
	return slices.DeleteFunc(m.tracker.Verdicts(), func(v *wire.Quarantine) bool {
		f, _ := FromBytes(v.Fingerprint)
		return !v.Proved || refusedBefore[key{v.Organisation, f, v.IsPart}]
	})
}

// replay derives the verdicts again. The caller holds the mutex.
func (m *Memory) replay(now time.Time) {
	m.tracker = m.tracker.replay(now)
	m.needsReplay = false
}

// notify wakes those that pass on evidence. The caller holds the mutex.
func (m *Memory) notify() {
	m.isEmpty.Store(m.tracker.Len() == 0)
	close(m.changed)
	m.changed = make(chan struct{})
}

// addRecentProgress adds what this process knows of suspect parts that were answered well before they became suspect. The caller holds
// the mutex.
func (m *Memory) addRecentProgress() {
	for k, r := range m.tracker.records {
		at := m.recent.last(k)
		if !at.IsZero() && r.progress.IsZero() {
			m.tracker.observeProgress(at, k)
			r.isOwn = true
		}
	}
}

// Evidence returns what was added since a revision, the revision that includes it, and a channel that is closed at the
// next addition. The evidence is nil if there is none.
func (m *Memory) Evidence(now time.Time, since uint64) (*wire.Evidence, uint64, <-chan struct{}) {
	return m.evidence(now, since, false)
}

// OwnEvidence is Evidence without what came from other processes.
func (m *Memory) OwnEvidence(now time.Time, since uint64) (*wire.Evidence, uint64, <-chan struct{}) {
	return m.evidence(now, since, true)
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
