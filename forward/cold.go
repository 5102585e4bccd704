package forward

import (
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/quota"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
)

// This file keeps the bound on the requests that an upstream gets in any second from all entries together, in services whose
// upstreams may be cold. The bound holds at all times, since an upstream may become cold before anyone is told. Each entry
// has a share of it, and asks the leader of control for more when its callers need more.

// startShare is the largest share of an entry that may not use its own yet, where the whole system has just started or the
// upstream does not say that it is cold. After a loss of power all requests would be refused for seconds otherwise.
const startShare = 1

// minRefillWait is the shortest time until a waiting request is tried again for a share. An upstream with a free share may refuse
// it for another reason, for example its memory.
const minRefillWait = 10 * time.Millisecond

type (
	// coldLimits holds what an entry knows of the cold bounds. Requests read it without a lock.
	coldLimits struct {
		// services holds the limits by service. It is empty if no service has one.
		services atomic.Pointer[map[string]*coldLimit]
		// census is changed under the mutex of the fleet.
		census atomic.Pointer[quota.Census]
	}

	// coldLimit is the cold bound of the upstreams of one service, and the demand for requests under it.
	coldLimit struct {
		bound quota.ColdBound
		// requests counts the requests since the last sample, lacking those of them that found no upstream.
		requests, lacking atomic.Int64
		// isScarce is set if the leader granted fewer requests than it was asked for last.
		isScarce atomic.Bool
		// sampled, perSecond and asked are used by the goroutine that asks the leader. perSecond is a moving average of the
		// requests.
		sampled   time.Time
		perSecond float64
		asked     int
	}

	// coldView is a limit at one moment. The zero value stands for a service without one, and allows every request.
	coldView struct {
		*coldLimit
		// entries is the number of entries that divide the bound, 0 if this one may use no share.
		entries     int
		hearsLeader bool
		// startingEntries divides the bound while entries is 0. isStarting is set if the whole system has just started.
		startingEntries int
		isStarting      bool
	}

	// ColdChange reports that an upstream says it has become cold, or warm.
	ColdChange struct {
		Service  string
		Upstream string
		Born     int64
		IsCold   bool
		// Left is the time for which it stays cold.
		Left time.Duration
	}
)

func newColdLimits() *coldLimits {
	c := &coldLimits{}
	c.services.Store(&map[string]*coldLimit{})
	c.census.Store(&quota.Census{})
	return c
}

// setColdLimits applies the cold bounds of a configuration. A service with the same bound as before keeps its demand.
func (f *Fleet) setColdLimits(table *route.Table) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held := *f.cold.services.Load()
	next := map[string]*coldLimit{}
	for i := range table.Configuration().Services {
		service := &table.Configuration().Services[i]
		bound := f.settings.Cold.Bound(service.ColdPerSecond)
		if bound.IsZero() {
			continue
		}
		next[service.Name] = held[service.Name]
		if l := held[service.Name]; l == nil || l.bound != bound {
			next[service.Name] = &coldLimit{bound: bound}
		}
	}
	f.cold.services.Store(&next)
}

// OnCount records the number of entries that a replica tells.
func (f *Fleet) OnCount(now time.Time, count quota.Count) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := f.cold.census.Load().With(now, count)
	f.cold.census.Store(&next)
}

// Peak returns the largest number of entries that is known.
func (f *Fleet) Peak() quota.Peak { return f.cold.census.Load().Peak() }

// coldView returns the limit of a service now.
func (f *Fleet) coldView(service string, now time.Time) coldView {
	limit := (*f.cold.services.Load())[service]
	if limit == nil {
		return coldView{}
	}
	return f.viewOf(limit, now)
}

// viewOf returns a limit at one moment.
func (f *Fleet) viewOf(limit *coldLimit, now time.Time) coldView {
	census := f.cold.census.Load()
	return coldView{
		coldLimit: limit, entries: census.Entries(now), hearsLeader: census.HearsLeader(now),
		startingEntries: census.StartingEntries(), isStarting: census.IsStarting(),
	}
}

// wait returns the time until a request may be sent to the upstream, 0 if it may be sent now.
func (v coldView) wait(u *Upstream, state availability.State, now time.Time) time.Duration {
	if v.coldLimit == nil {
		return 0
	}
	return state.ColdWait(now, v.share(u, now))
}

// share returns the number of requests that this entry may send to the upstream in each availability.ColdWindow without a
// grant.
func (v coldView) share(u *Upstream, now time.Time) int {
	if v.entries == 0 && (v.isStarting || !u.Instance().IsCold(now)) {
		return min(startShare, v.bound.Share(v.startingEntries, u.draw))
	}
	return v.bound.Share(v.entries, u.draw)
}

// withRequest returns the state after a request was taken from the limit.
func (v coldView) withRequest(state availability.State, now time.Time) availability.State {
	if v.coldLimit == nil {
		return state
	}
	return state.WithColdRequest(now)
}

// recordSkips counts a pick that could not use some upstreams, and asks for grants if none was left.
func (s *Server) recordSkips(service string, skipped int, isNoneLeft bool) {
	if skipped == 0 {
		return
	}
	if report := s.settings.OnColdSkip; report != nil {
		report(service, skipped)
	}
	if isNoneLeft {
		s.fleet.quotas.lacking.notify()
	}
}

// recordColdDemand counts a request, and whether it found no upstream for lack of quota, if its service has a cold bound.
func (j *job) recordColdDemand(now time.Time, isLacking bool) {
	v := j.server.fleet.coldView(j.service, now)
	if v.coldLimit == nil {
		return
	}
	v.requests.Add(1)
	if isLacking {
		v.lacking.Add(1)
	}
}

// isWithinColdLimit reports whether the request may be sent to its upstream now. One that was not sent soon after its
// upstream was picked, for example because the connection took long to open, is charged again.
func (a *attempt) isWithinColdLimit() bool {
	now := time.Now()
	v := a.job.server.fleet.coldView(a.job.service, now)
	if v.coldLimit == nil || now.Sub(a.job.picked) <= availability.ChargeTime {
		return true
	}
	isTaken := false
	a.upstream.update(func(s availability.State) availability.State {
		if isTaken = v.wait(a.upstream, s, now) == 0; !isTaken {
			return s
		}
		return v.withRequest(s, now)
	})
	return isTaken
}

// coldQueueTime returns how long a request that lacks quota under the cold bound may wait, at most the limit: while a share is
// refilled within it, or the leader has granted all that was asked for. It also returns a channel that receives when a share is
// refilled.
func (j *job) coldQueueTime(now time.Time, limit time.Duration) (length time.Duration, refilled <-chan time.Time) {
	v := j.server.fleet.coldView(j.service, now)
	if v.coldLimit == nil {
		return 0, nil
	}
	wait := limit + 1
	for _, u := range j.untried(now) {
		wait = min(wait, v.wait(u, u.currentState(), now))
	}
	switch {
	case wait <= limit:
		return limit, time.After(max(wait, minRefillWait))
	case v.hearsLeader && !v.isScarce.Load():
		return limit, nil
	default:
		return 0, nil
	}
}

// coldDemands adds the requests beyond its shares that this entry would send to the upstreams of each service.
func (f *Fleet) coldDemands(now time.Time, demands []quota.Demand) []quota.Demand {
	for service, limit := range *f.cold.services.Load() {
		v := f.viewOf(limit, now)
		wanted := v.sample(now)
		for _, u := range f.Service(service) {
			if wanted <= 0 {
				break
			}
			if state := u.currentState(); u.takesRequests(state, now, f.settings.DrainTime) {
				wanted -= state.ColdLeft(now, v.share(u, now))
			}
		}
		v.asked = max(wanted, 0)
		if v.asked > 0 {
			demands = append(demands, quota.Demand{Service: service, Cold: v.asked})
		}
	}
	return demands
}

// sample updates the moving average of the requests and returns the number to be able to send within the next quotaHorizon.
// Those that found no upstream are likely to come again.
func (l *coldLimit) sample(now time.Time) int {
	requests, lacking := l.requests.Swap(0), l.lacking.Swap(0)
	if l.sampled.IsZero() {
		l.sampled = now
		return int(lacking)
	}
	elapsed := max(now.Sub(l.sampled), time.Millisecond)
	l.perSecond += demandWeight * (float64(requests)/elapsed.Seconds() - l.perSecond)
	l.sampled = now
	return max(quota.Wanted(l.perSecond*quotaHorizon.Seconds()), int(lacking))
}

// recordColdGrants records the requests that the leader granted by service in its last answer.
func (f *Fleet) recordColdGrants(granted map[string]int) {
	for service, limit := range *f.cold.services.Load() {
		limit.isScarce.Store(granted[service] < limit.asked)
	}
}

// reportColdChange calls Settings.OnColdChange if an upstream has become cold or warm. The announcement before is nil for an
// upstream that was not known.
func (f *Fleet) reportColdChange(before *roster.Instance, next roster.Instance, now time.Time) {
	wasCold := before != nil && !before.ColdUntil.IsZero()
	isCold := next.IsCold(now)
	if report := f.settings.OnColdChange; report != nil && wasCold != isCold && f.coldView(next.Service, now).coldLimit != nil {
		report(ColdChange{
			Service: next.Service, Upstream: next.ID, Born: next.Born, IsCold: isCold, Left: max(next.ColdUntil.Sub(now), 0),
		})
	}
}
