package forward

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/upstream"
)

const (
	// firstSuspension doubles with each failure in a row, up to longestSuspension.
	firstSuspension   = 200 * time.Millisecond
	longestSuspension = 2 * time.Second
	// latencyWeight and failureWeight are the parts of a new sample in the moving averages.
	latencyWeight = 0.2
	failureWeight = 0.15
	// failurePenalty multiplies the cost of an upstream by its failure rate.
	failurePenalty = 12.0
	// slowPace is the time of a step over that of a healthy upstream from which an upstream counts as slow.
	slowPace = 1.25
	// reportLimit is the age of a report of loads beyond which it is not used.
	reportLimit = time.Second
	// statisticsHalfLife is the time in which what was seen of an unused upstream counts half.
	statisticsHalfLife = 3 * time.Second
)

type (
	// Upstream is one instance as an entry sees it: what it announced, the connections to it and how it has
	// answered. It is safe for concurrent use.
	Upstream struct {
		instance atomic.Pointer[roster.Instance]
		pool     *upstream.Pool
		// inFlight counts this entry's requests at the upstream, others those of all other entries by the last
		// report.
		inFlight atomic.Int64
		others   atomic.Int64
		// isClosed tells that the upstream is a rank of a group that does not run.
		isClosed atomic.Bool
		streams  streams

		mutex          sync.Mutex
		heard          time.Time
		failures       int
		suspendedUntil time.Time
		// latency is a moving average in seconds, 0 without a sample.
		latency     float64
		failureRate float64
		sampled     time.Time
		succeeded   time.Time
		// pace is the time of a step over that of a healthy upstream, by the last report.
		pace float64
	}

	// Fleet holds the upstreams of an entry. Frames change it; requests read an immutable view.
	Fleet struct {
		settings Settings
		mutex    sync.Mutex
		roster   *roster.Roster
		byID     map[string]*Upstream
		view     atomic.Pointer[view]
		// reported is when loads were reported last.
		reported atomic.Pointer[time.Time]
		// changes tells of new upstreams and configurations.
		changes broadcast
	}

	// view is an immutable index of the upstreams that take work.
	view struct {
		services map[string][]*Upstream
	}
)

// NewFleet returns a fleet without upstreams.
func NewFleet(settings Settings) *Fleet {
	f := &Fleet{settings: settings.withDefaults(), roster: roster.New(), byID: map[string]*Upstream{}}
	f.view.Store(&view{services: map[string][]*Upstream{}})
	f.reported.Store(&time.Time{})
	return f
}

// Update takes announcements and renewals; heard is when each was heard.
func (f *Fleet) Update(announced []roster.Entry, renewals []roster.Entry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.roster.Revision()
	for _, entry := range announced {
		f.roster.Announce(entry.Instance, entry.Heard)
	}
	for _, entry := range renewals {
		f.roster.Renew(entry)
	}
	f.noteHeard()
	if f.roster.Revision() != before {
		f.rebuild()
	}
}

func (f *Fleet) noteHeard() {
	for id, u := range f.byID {
		if entry := f.roster.Get(id); entry != nil {
			u.mutex.Lock()
			u.heard = entry.Heard
			u.mutex.Unlock()
		}
	}
}

// Expire forgets upstreams that were silent for the limit.
func (f *Fleet) Expire(now time.Time, limit time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.roster.Revision()
	f.roster.Expire(now, limit)
	if f.roster.Revision() != before {
		f.rebuild()
	}
}

// rebuild makes the view anew; upstreams of earlier incarnations end with their idle connections.
func (f *Fleet) rebuild() {
	next := &view{services: map[string][]*Upstream{}}
	kept := map[string]*Upstream{}
	for _, entry := range f.roster.Entries() {
		instance := entry.Instance
		if instance.State != roster.Ready {
			continue
		}
		u := f.byID[instance.ID]
		if u == nil || u.isOther(instance) {
			u = &Upstream{pool: upstream.NewPool(instance.Address, f.settings.ConnectTimeout), heard: entry.Heard}
		}
		u.instance.Store(&instance)
		kept[instance.ID] = u
		next.services[instance.Service] = append(next.services[instance.Service], u)
	}
	for id, u := range f.byID {
		if kept[id] != u {
			u.pool.Shut()
		}
	}
	noteGroups(kept)
	f.byID = kept
	f.view.Store(next)
	f.changes.wake()
}

// UpdateLoads takes a report of what upstreams have to do. Other entries' part of it is what this entry does not
// account for.
func (f *Fleet) UpdateLoads(loads []registry.Load) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, load := range loads {
		if u := f.byID[load.ID]; u != nil {
			u.notePace(load.Pace)
			u.others.Store(max(int64(load.Running+load.Waiting)-u.inFlight.Load(), 0))
		}
	}
	now := time.Now()
	f.reported.Store(&now)
}

// isReported reports whether loads were reported a short time ago.
func (f *Fleet) isReported(now time.Time) bool {
	return now.Sub(*f.reported.Load()) < reportLimit
}

// work returns the requests at the upstream, of all entries.
func (u *Upstream) work() int64 { return u.inFlight.Load() + u.others.Load() }

// Service returns the upstreams of a service that take work.
func (f *Fleet) Service(name string) []*Upstream { return f.view.Load().services[name] }

// Instance returns what the upstream announced last.
func (u *Upstream) Instance() *roster.Instance { return u.instance.Load() }

func (u *Upstream) isOther(next roster.Instance) bool {
	held := u.instance.Load()
	return held.Born != next.Born || held.Address != next.Address || held.Service != next.Service
}

// condition is what the choice among upstreams goes by.
type condition struct {
	heard       time.Time
	isSuspended bool
	latency     float64
	failureRate float64
	succeeded   time.Time
	pace        float64
	isClosed    bool
}

func (u *Upstream) condition(now time.Time) condition {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	fade := math.Exp2(-now.Sub(u.sampled).Seconds() / statisticsHalfLife.Seconds())
	return condition{
		heard: u.heard, isSuspended: now.Before(u.suspendedUntil), latency: u.latency,
		failureRate: u.failureRate * fade, succeeded: u.succeeded, pace: u.pace,
		isClosed: u.isClosed.Load(),
	}
}

// noteGroups notes which upstreams are ranks of groups that do not run. One rank that tells of a run in the newest epoch
// speaks for its whole group.
func noteGroups(upstreams map[string]*Upstream) {
	newest := map[string]roster.Group{}
	for _, u := range upstreams {
		group := u.Instance().Group
		held := newest[group.Name]
		if group.Epoch > held.Epoch || group.Epoch == held.Epoch && group.IsOpen {
			newest[group.Name] = group
		}
	}
	for _, u := range upstreams {
		group := u.Instance().Group
		u.isClosed.Store(group.Size > 0 && !newest[group.Name].IsOpen)
	}
}

// hasOpenRank reports whether some upstream of a service is not a rank of a group that does not run.
func (f *Fleet) hasOpenRank(service string) bool {
	return slices.ContainsFunc(f.Service(service), func(u *Upstream) bool { return !u.isClosed.Load() })
}

func (u *Upstream) notePace(pace float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.pace = pace
}

// noteAnswer records an answer and the time it took.
func (u *Upstream) noteAnswer(now time.Time, took time.Duration, isFailure bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.noteRate(now, isFailure)
	if isFailure {
		return
	}
	u.failures = 0
	u.suspendedUntil = time.Time{}
	u.succeeded = now
	if u.latency == 0 {
		u.latency = took.Seconds()
		return
	}
	u.latency += latencyWeight * (took.Seconds() - u.latency)
}

// noteBroken records that a connection failed or an answer was not one, and suspends the upstream.
func (u *Upstream) noteBroken(now time.Time) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.noteRate(now, true)
	suspension := min(firstSuspension<<min(u.failures, 8), longestSuspension)
	u.failures++
	u.suspendedUntil = now.Add(suspension)
}

func (u *Upstream) noteRate(now time.Time, isFailure bool) {
	fade := math.Exp2(-now.Sub(u.sampled).Seconds() / statisticsHalfLife.Seconds())
	u.failureRate *= fade
	u.sampled = now
	sample := 0.0
	if isFailure {
		sample = 1
	}
	u.failureRate += failureWeight * (sample - u.failureRate)
}
