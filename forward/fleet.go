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
	// firstSuspension is the suspension after a first failure. It doubles with each consecutive failure up to
	// longestSuspension.
	firstSuspension   = 200 * time.Millisecond
	longestSuspension = 2 * time.Second
	// latencyWeight and failureWeight are the weights of a new sample in the moving averages.
	latencyWeight = 0.2
	failureWeight = 0.15
	// failurePenalty scales how much the failure rate raises the cost of an upstream.
	failurePenalty = 12.0
	// slowPace is the pace above which an upstream counts as slow. Pace is the time of a token step divided by that of
	// a healthy upstream.
	slowPace = 1.25
	// maxReportAge is the age from which a load report is not used to pick upstreams by load or to count streams.
	maxReportAge = time.Second
	// statisticsHalfLife is the time in which the failure rate of an unused upstream decays by half.
	statisticsHalfLife = 3 * time.Second
)

type (
	// Upstream is the state that an entry keeps of one instance: its last announcement, its connection pool and
	// statistics of its responses. It is safe for concurrent use.
	Upstream struct {
		instance atomic.Pointer[roster.Instance]
		pool     *upstream.Pool
		// inFlight counts the requests of this entry at the upstream, othersInFlight those of all other entries
		// according to the last load report.
		inFlight       atomic.Int64
		othersInFlight atomic.Int64
		// isGroupDown is set for a rank of a group that is not running.
		isGroupDown atomic.Bool
		migratable  migratable
		crash       crashWatch

		mutex          sync.Mutex
		lastHeartbeat  time.Time
		failures       int
		suspendedUntil time.Time
		// latency is a moving average of response times in seconds, 0 without a sample.
		latency     float64
		failureRate float64
		lastSample  time.Time
		lastSuccess time.Time
		// pace is the time of a token step divided by that of a healthy upstream, from the last load report.
		pace float64
	}

	// Fleet holds the upstreams that an entry knows. Updates from control rebuild an immutable view, which requests
	// read without a lock.
	Fleet struct {
		settings Settings
		mutex    sync.Mutex
		roster   *roster.Roster
		byID     map[string]*Upstream
		view     atomic.Pointer[view]
		// loadsReported is the time of the last load report.
		loadsReported atomic.Pointer[time.Time]
		// changes notifies waiting requests of new upstreams, new configurations and ended outages.
		changes broadcast
	}

	// view is an immutable index of the ready upstreams by service.
	view struct {
		services map[string][]*Upstream
		// incompleteSince holds the services whose groups all lack a rank, and since when.
		incompleteSince map[string]time.Time
	}
)

// NewFleet returns a fleet without upstreams.
func NewFleet(settings Settings) *Fleet {
	f := &Fleet{settings: settings.withDefaults(), roster: roster.New(), byID: map[string]*Upstream{}}
	f.view.Store(&view{services: map[string][]*Upstream{}})
	f.loadsReported.Store(&time.Time{})
	return f
}

// Update applies announcements and renewals of instances. LastHeartbeat of each entry is when control last
// received something from the instance.
func (f *Fleet) Update(announced []roster.Entry, renewals []roster.Entry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.roster.Revision()
	for _, entry := range announced {
		f.roster.Announce(entry.Instance, entry.LastHeartbeat)
	}
	for _, entry := range renewals {
		f.roster.Renew(entry)
	}
	f.updateHeartbeats()
	if f.roster.Revision() != before {
		f.rebuild()
	}
}

func (f *Fleet) updateHeartbeats() {
	for id, u := range f.byID {
		if entry := f.roster.Get(id); entry != nil {
			u.mutex.Lock()
			u.lastHeartbeat = entry.LastHeartbeat
			u.mutex.Unlock()
		}
	}
}

// Expire removes upstreams that have sent no announcement or renewal for the limit.
func (f *Fleet) Expire(now time.Time, limit time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.roster.Revision()
	f.roster.Expire(now, limit)
	if f.roster.Revision() != before {
		f.rebuild()
	}
}

// rebuild replaces the view by one of the current roster. It closes the pools of upstreams that are no longer ready or
// that were replaced by a new incarnation.
func (f *Fleet) rebuild() {
	next := &view{services: map[string][]*Upstream{}}
	kept := map[string]*Upstream{}
	for _, entry := range f.roster.Entries() {
		instance := entry.Instance
		if instance.State != roster.Ready {
			continue
		}
		u := f.byID[instance.ID]
		if u == nil || u.isReplacedBy(instance) {
			u = &Upstream{pool: upstream.NewPool(instance.Address, f.settings.ConnectTimeout), lastHeartbeat: entry.LastHeartbeat}
		}
		u.instance.Store(&instance)
		kept[instance.ID] = u
		next.services[instance.Service] = append(next.services[instance.Service], u)
	}
	for id, u := range f.byID {
		if kept[id] != u {
			u.pool.Close()
		}
	}
	markDownGroups(kept)
	next.incompleteSince = incompleteServices(next.services, f.view.Load().incompleteSince, time.Now())
	f.byID = kept
	f.view.Store(next)
	f.changes.notify()
}

// UpdateLoads applies a load report. Requests at an upstream beyond those of this entry are attributed to other
// entries.
func (f *Fleet) UpdateLoads(loads []registry.Load) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, load := range loads {
		if u := f.byID[load.ID]; u != nil {
			u.setPace(load.Pace)
			u.othersInFlight.Store(max(int64(load.Running+load.Waiting)-u.inFlight.Load(), 0))
		}
	}
	now := time.Now()
	f.loadsReported.Store(&now)
}

// hasFreshLoads reports whether the last load report is recent enough to be used.
func (f *Fleet) hasFreshLoads(now time.Time) bool {
	return now.Sub(*f.loadsReported.Load()) < maxReportAge
}

// totalInFlight returns the number of requests that all entries together have at the upstream.
func (u *Upstream) totalInFlight() int64 { return u.inFlight.Load() + u.othersInFlight.Load() }

// Service returns the ready upstreams of a service.
func (f *Fleet) Service(name string) []*Upstream { return f.view.Load().services[name] }

// Instance returns the last announcement of the upstream.
func (u *Upstream) Instance() *roster.Instance { return u.instance.Load() }

// isReplacedBy reports whether an announcement belongs to another incarnation, address or service than the upstream.
func (u *Upstream) isReplacedBy(next roster.Instance) bool {
	held := u.instance.Load()
	return held.Born != next.Born || held.Address != next.Address || held.Service != next.Service
}

// health is a snapshot of the statistics by which pick chooses among upstreams.
type health struct {
	lastHeartbeat time.Time
	isSuspended   bool
	latency       float64
	failureRate   float64
	lastSuccess   time.Time
	pace          float64
	isGroupDown   bool
}

func (u *Upstream) health(now time.Time) health {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	fade := math.Exp2(-now.Sub(u.lastSample).Seconds() / statisticsHalfLife.Seconds())
	return health{
		lastHeartbeat: u.lastHeartbeat, isSuspended: now.Before(u.suspendedUntil), latency: u.latency,
		failureRate: u.failureRate * fade, lastSuccess: u.lastSuccess, pace: u.pace,
		isGroupDown: u.isGroupDown.Load(),
	}
}

// markDownGroups sets isGroupDown of all ranks. A group runs if any of its ranks announces it as open in the newest
// epoch that its ranks announce.
func markDownGroups(upstreams map[string]*Upstream) {
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
		u.isGroupDown.Store(group.Size > 0 && !newest[group.Name].IsOpen)
	}
}

// incompleteServices returns the services whose groups all lack a rank, and since when. A service that was incomplete
// before keeps its time.
func incompleteServices(services map[string][]*Upstream, earlier map[string]time.Time, now time.Time) map[string]time.Time {
	incomplete := map[string]time.Time{}
	for service, upstreams := range services {
		if hasCompleteGroup(upstreams) {
			continue
		}
		incomplete[service] = now
		if since, wasIncomplete := earlier[service]; wasIncomplete {
			incomplete[service] = since
		}
	}
	return incomplete
}

// hasCompleteGroup reports whether an upstream stands alone, or all ranks of a group are known.
func hasCompleteGroup(upstreams []*Upstream) bool {
	ranks := map[string]int{}
	for _, u := range upstreams {
		group := u.Instance().Group
		ranks[group.Name]++
		if ranks[group.Name] >= group.Size {
			return true
		}
	}
	return false
}

// lacksRanks reports whether all groups of a service have lacked a rank for longer than lostRankTimeout.
func (f *Fleet) lacksRanks(service string, now time.Time) bool {
	since, isIncomplete := f.view.Load().incompleteSince[service]
	return isIncomplete && now.Sub(since) > lostRankTimeout
}

// hasRunningUpstream reports whether a service has an upstream outside the groups that are down.
func (f *Fleet) hasRunningUpstream(service string) bool {
	return slices.ContainsFunc(f.Service(service), func(u *Upstream) bool { return !u.isGroupDown.Load() })
}

func (u *Upstream) setPace(pace float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.pace = pace
}

// recordResponse records a response and its duration. A success ends a suspension.
func (u *Upstream) recordResponse(now time.Time, took time.Duration, isFailure bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.updateFailureRate(now, isFailure)
	if isFailure {
		return
	}
	u.failures = 0
	u.suspendedUntil = time.Time{}
	u.lastSuccess = now
	if u.latency == 0 {
		u.latency = took.Seconds()
		return
	}
	u.latency += latencyWeight * (took.Seconds() - u.latency)
}

// recordBroken records a failed connection or an invalid response, and suspends the upstream.
func (u *Upstream) recordBroken(now time.Time) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.updateFailureRate(now, true)
	suspension := min(firstSuspension<<min(u.failures, 8), longestSuspension)
	u.failures++
	u.suspendedUntil = now.Add(suspension)
}

func (u *Upstream) updateFailureRate(now time.Time, isFailure bool) {
	fade := math.Exp2(-now.Sub(u.lastSample).Seconds() / statisticsHalfLife.Seconds())
	u.failureRate *= fade
	u.lastSample = now
	sample := 0.0
	if isFailure {
		sample = 1
	}
	u.failureRate += failureWeight * (sample - u.failureRate)
}
