package forward

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/evacuation"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/upstream"
)

const (
	// maxReportAge is the age from which a load report is not used to pick upstreams by load or to count streams.
	maxReportAge = time.Second
	// removedRetention is how long the state of a removed upstream is kept.
	removedRetention = time.Hour
)

type (
	// Upstream is the state that an entry keeps of one instance: its last announcement, its connection pool and
	// whether it takes requests. It is safe for concurrent use.
	Upstream struct {
		instance atomic.Pointer[roster.Instance]
		pool     *upstream.Pool
		// inFlight counts the requests of this entry at the upstream, othersInFlight those of all other entries
		// according to the last load report, which told reported for all.
		inFlight       atomic.Int64
		othersInFlight atomic.Int64
		reported       atomic.Int64
		// work is the work of the requests of this entry at the upstream.
		work       atomic.Int64
		migratable migratable
		crash      crashWatch
		ramp       atomic.Pointer[ramp]
		memory     heldMemory
		// draw is a random number in [0, 1), which decides whether this entry has a share of a cold bound that is too small for
		// all entries.
		draw float64

		mutex sync.Mutex
		state availability.State
	}

	// Fleet holds the upstreams that an entry knows. Updates from control rebuild an immutable view, which requests
	// read without a lock.
	Fleet struct {
		settings Settings
		mutex    sync.Mutex
		roster   *roster.Roster
		byID     map[string]*Upstream
		// removed holds what upstreams that were removed have said, by ID.
		removed map[string]removedUpstream
		view    atomic.Pointer[view]
		// loadsReported is the time of the last load report.
		loadsReported atomic.Pointer[time.Time]
		// entries is the number of entries that share the limits of services and upstreams.
		entries atomic.Int64
		quotas  *quotas
		// evacuations is the set of evacuated domains.
		evacuations atomic.Pointer[evacuation.Set]
		ramps       *ramps
		cold        *coldLimits
		memory      memoryLimits
		// changes notifies waiting requests of new upstreams, new configurations and ended outages.
		changes broadcast
	}

	// removedUpstream is the state of an incarnation that was removed. It may announce itself again.
	removedUpstream struct {
		born  int64
		state availability.State
		at    time.Time
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
	f := &Fleet{
		settings: settings.withDefaults(), roster: roster.New(), byID: map[string]*Upstream{}, removed: map[string]removedUpstream{},
		quotas: newQuotas(), ramps: newRamps(), cold: newColdLimits(),
	}
	f.roster.SetServices(func(string) bool { return false })
	f.view.Store(&view{services: map[string][]*Upstream{}})
	f.loadsReported.Store(&time.Time{})
	f.evacuations.Store(&evacuation.Set{})
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

// setServices has the roster distinguish announcements of services that are not in the table.
func (f *Fleet) setServices(table *route.Table) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.roster.Revision()
	f.roster.SetServices(func(service string) bool { return table.Service(service) != nil })
	if f.roster.Revision() != before {
		f.rebuild()
	}
}

func (f *Fleet) updateHeartbeats() {
	for id, u := range f.byID {
		if entry := f.roster.Get(id); entry != nil {
			u.update(func(s availability.State) availability.State { return s.WithHeartbeat(entry.LastHeartbeat) })
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
	now, next := time.Now(), &view{services: map[string][]*Upstream{}}
	kept := map[string]*Upstream{}
	for _, entry := range f.roster.Entries() {
		instance := entry.Instance
		if instance.State != roster.Ready {
			continue
		}
		u := f.byID[instance.ID]
		if u == nil || u.isReplacedBy(instance) {
			u = &Upstream{
				pool:  upstream.NewPool(instance.Address, f.settings.ConnectTimeout),
				state: f.rememberedState(instance).WithHeartbeat(entry.LastHeartbeat),
				draw:  f.settings.draw(),
			}
		}
		isNew := u.Instance() == nil
		f.reportColdChange(u.Instance(), instance, now)
		u.instance.Store(&instance)
		if isNew {
			f.restoreLimit(now, u)
		}
		kept[instance.ID] = u
		next.services[instance.Service] = append(next.services[instance.Service], u)
	}
	for id, u := range f.byID {
		if kept[id] != u {
			u.pool.Close()
			f.rememberState(u, now)
		}
	}
	f.forgetRemoved(now)
	markDownGroups(kept)
	f.ramps.update(now, kept)
	next.incompleteSince = f.incompleteServices(next.services, f.view.Load().incompleteSince, now)
	f.byID = kept
	f.view.Store(next)
	f.changes.notify()
}

// rememberState keeps what a removed upstream has said of itself, in case the same incarnation returns.
func (f *Fleet) rememberState(u *Upstream, now time.Time) {
	if state := u.currentState().Said(); state.HasSaid() {
		f.removed[u.Instance().ID] = removedUpstream{born: u.Instance().Born, state: state, at: now}
	}
}

// rememberedState returns the state to begin with for an instance that was not known.
func (f *Fleet) rememberedState(instance roster.Instance) availability.State {
	if r, isKnown := f.removed[instance.ID]; isKnown && r.born == instance.Born {
		return r.state
	}
	return availability.State{}
}

// forgetRemoved drops the states of upstreams that were removed long ago.
func (f *Fleet) forgetRemoved(now time.Time) {
	maps.DeleteFunc(f.removed, func(_ string, r removedUpstream) bool { return now.Sub(r.at) > removedRetention })
}

// UpdateLoads applies a load report. Requests at an upstream beyond those of this entry are attributed to other
// entries.
func (f *Fleet) UpdateLoads(loads []registry.Load) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, load := range loads {
		if u := f.byID[load.ID]; u != nil {
			u.update(func(s availability.State) availability.State { return s.WithPace(load.Pace) })
			u.reported.Store(int64(load.Running + load.Waiting))
			u.othersInFlight.Store(max(int64(load.Running+load.Waiting)-u.inFlight.Load(), 0))
		}
	}
	now := time.Now()
	f.ramps.report(now, loads, f.byID, int(f.entries.Load()))
	f.loadsReported.Store(&now)
}

// hasFreshLoads reports whether the last load report is recent enough to be used.
func (f *Fleet) hasFreshLoads(now time.Time) bool {
	return now.Sub(*f.loadsReported.Load()) < maxReportAge
}

// begin counts a request of this entry at the upstream until the returned function is called.
func (u *Upstream) begin(w work) (end func()) {
	u.inFlight.Add(1)
	u.work.Add(int64(w))
	return func() {
		u.inFlight.Add(-1)
		u.work.Add(-int64(w))
	}
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

// currentState returns what is known of whether the upstream takes requests.
func (u *Upstream) currentState() availability.State {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.state
}

// update replaces the state by a changed copy and returns both.
func (u *Upstream) update(change func(availability.State) availability.State) (before, after availability.State) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	before = u.state
	u.state = change(before)
	return before, u.state
}

// recordResponse records a response and its duration.
func (u *Upstream) recordResponse(now time.Time, took time.Duration, isFailure bool) {
	u.update(func(s availability.State) availability.State { return s.WithResponse(now, took, isFailure) })
}

// recordBroken records a failed connection or an invalid response.
func (u *Upstream) recordBroken(now time.Time) {
	u.update(func(s availability.State) availability.State { return s.WithBroken(now) })
}

// takesRequests reports whether a further request may be sent to the upstream: it has not left, is not in a backoff,
// and after one it has fewer requests of this entry than its limit.
func (u *Upstream) takesRequests(s availability.State, now time.Time, drainTime time.Duration) bool {
	return !s.HasLeft(now, drainTime) && u.inFlight.Load() < s.Limit(now, u.Instance().Slots)
}

// markDownGroups records of all ranks whether their group is down. A group runs if any of its ranks announces it as open
// in the newest epoch that its ranks announce.
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
		isDown := group.Size > 0 && !newest[group.Name].IsOpen
		u.update(func(s availability.State) availability.State { return s.WithGroupDown(isDown) })
	}
}

// incompleteServices returns the services whose groups outside evacuated domains all lack a rank, and since when. A service
// that was incomplete before keeps its time.
func (f *Fleet) incompleteServices(
	services map[string][]*Upstream, earlier map[string]time.Time, now time.Time,
) map[string]time.Time {
	incomplete := map[string]time.Time{}
	for service, upstreams := range services {
		if hasCompleteGroup(f.open(upstreams)) {
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
