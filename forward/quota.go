package forward

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/quota"
)

// This file keeps the rate limits that upstreams name. A limit is one for all entries together. The leader of control
// grants each entry the requests that it may send; an entry without a leader keeps to an equal share.

const (
	// grantTimeout is how long after the last answer of the leader an entry waits for grants before it uses an equal share.
	grantTimeout = time.Second
	// quotaHorizon is the time for whose requests an entry holds grants.
	quotaHorizon = 400 * time.Millisecond
	// demandWeight is the weight of a new sample in the moving average of the demand.
	demandWeight = 0.3
	// fullReportInterval is the time between two reports of all limits to the same leader.
	fullReportInterval = 30 * time.Second
)

type (
	// quotas holds what an entry knows of the rate limits of its upstreams beyond the state of each upstream.
	quotas struct {
		// isUsed is set once an upstream has named a limit.
		isUsed atomic.Bool
		mutex  sync.Mutex
		// granted is when the leader last answered.
		granted time.Time
		// reported is when all limits were last reported.
		reported time.Time
		// unreported holds the IDs of the upstreams of which the leader does not know what was heard last.
		unreported map[string]struct{}
		// fromControl holds the limits that other entries have heard, for upstreams that this entry does not know yet.
		fromControl map[string]quota.Limit
		demands     map[string]*quotaDemand
		// lacking wakes the request for quota when a caller lacks it.
		lacking broadcast
	}

	// quotaDemand is the demand for requests to the limited upstreams of a service.
	quotaDemand struct {
		// requests counts the requests since the last sample.
		requests int
		sampled  time.Time
		// asked is the number of requests for which the leader was asked last, isScarce is set if it granted fewer.
		asked    int
		isScarce bool
		// returning counts the requests that were refused before and wait for quota.
		returning int
		// perSecond and grantsPerSecond are moving averages of the requests and of those that were granted.
		perSecond, grantsPerSecond float64
	}
)

func newQuotas() *quotas {
	return &quotas{
		unreported: map[string]struct{}{}, fromControl: map[string]quota.Limit{}, demands: map[string]*quotaDemand{},
	}
}

// limitShare returns the part of each limit that this entry may use without grants.
func (f *Fleet) limitShare(now time.Time) float64 {
	f.quotas.mutex.Lock()
	defer f.quotas.mutex.Unlock()
	if now.Sub(f.quotas.granted) < grantTimeout {
		return 0
	}
	return quota.LeaderlessShare(f.entries.Load())
}

// hasQuota reports whether a limit allows a request to the upstream now.
func (u *Upstream) hasQuota(now time.Time, fleet *Fleet) bool {
	share := fleet.limitShare(now)
	_, after := u.update(func(s availability.State) availability.State {
		return s.WithShare(now, share, fleet.settings.draw())
	})
	return after.HasQuota(now)
}

// takeQuota takes one request from the quota of the upstream and from its cold bound, and reports whether both had one.
func (u *Upstream) takeQuota(now time.Time, cold coldView) bool {
	isTaken := false
	u.update(func(s availability.State) availability.State {
		if isTaken = s.HasQuota(now) && cold.wait(u, s, now) == 0; !isTaken {
			return s
		}
		return cold.withRequest(s.WithRequest(now), now)
	})
	return isTaken
}

// recordDemand counts a request if its service has had limited upstreams.
func (q *quotas) recordDemand(service string) {
	if !q.isUsed.Load() {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if d := q.demands[service]; d != nil {
		d.requests++
	}
}

// demand returns the demand for a service. The caller holds the mutex.
func (q *quotas) demand(now time.Time, service string) *quotaDemand {
	d := q.demands[service]
	if d == nil {
		d = &quotaDemand{sampled: now}
		q.demands[service] = d
	}
	return d
}

// sample updates the moving average of the demand and returns the number of requests to hold for the next quotaHorizon.
func (d *quotaDemand) sample(now time.Time) int {
	elapsed := max(now.Sub(d.sampled), time.Millisecond)
	d.perSecond += demandWeight * (float64(d.requests)/elapsed.Seconds() - d.perSecond)
	d.requests, d.sampled = 0, now
	return quota.Wanted(d.perSecond * quotaHorizon.Seconds())
}

// NextQuotaRequest returns the limits to report to the leader and the requests to ask for. It returns nothing while no
// upstream names a limit and the leader knows it.
func (f *Fleet) NextQuotaRequest(now time.Time, isNewLeader bool) (limits []quota.Limit, demands []quota.Demand) {
	q := f.quotas
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if isNewLeader || now.Sub(q.reported) > fullReportInterval {
		q.reported, isNewLeader = now, true
	}
	for service, upstreams := range f.view.Load().services {
		held, isLimited := 0, false
		for _, u := range upstreams {
			state := u.currentState()
			id := u.Instance().ID
			_, isUnreported := q.unreported[id]
			if isUnreported || isNewLeader && !state.RateLimitHeard().IsZero() {
				limits = append(limits, u.limit(state))
			}
			isLimited = isLimited || state.RateLimit().IsNamed
			held += state.Granted(now)
		}
		if isLimited {
			q.isUsed.Store(true)
			d := q.demand(now, service)
			d.asked = max(d.sample(now)-held, 0)
			demands = append(demands, quota.Demand{Service: service, Requests: d.asked})
		}
	}
	clear(q.unreported)
	return limits, f.coldDemands(now, demands)
}

// limit returns what the upstream said of its limit.
func (u *Upstream) limit(state availability.State) quota.Limit {
	instance := u.Instance()
	return quota.Limit{
		Upstream: instance.ID, Born: instance.Born, Service: instance.Service,
		RateLimit: state.RateLimit(), Heard: state.RateLimitHeard(),
	}
}

// ApplyGrants adds the requests that the leader has granted.
func (f *Fleet) ApplyGrants(now time.Time, grants []quota.Grant) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	granted, coldGranted := map[string]int{}, map[string]int{}
	for _, g := range grants {
		u := f.byID[g.Upstream]
		if u == nil || u.Instance().Born != g.Born {
			continue
		}
		if g.IsCold {
			coldGranted[u.Instance().Service] += g.Requests
			u.update(func(s availability.State) availability.State {
				return s.WithColdGrant(now, g.Requests, g.Asked.Add(quota.ColdLifetime))
			})
			continue
		}
		granted[u.Instance().Service] += g.Requests
		u.update(func(s availability.State) availability.State {
			return s.WithGrant(now, g.Requests, now.Add(quota.Lifetime))
		})
	}
	f.quotas.recordGrants(now, granted)
	f.recordColdGrants(coldGranted)
	f.changes.notify()
}

// recordGrants records an answer of the leader with the requests that it grants by service.
func (q *quotas) recordGrants(now time.Time, granted map[string]int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	elapsed := min(max(now.Sub(q.granted), time.Millisecond), grantTimeout)
	q.granted = now
	for service, d := range q.demands {
		d.isScarce = granted[service] < d.asked
		d.grantsPerSecond += demandWeight * (float64(granted[service])/elapsed.Seconds() - d.grantsPerSecond)
	}
}

// ApplyLimits records limits that other entries have heard. It returns the changes to report.
func (f *Fleet) ApplyLimits(now time.Time, limits []quota.Limit) []Notice {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var changes []Notice
	for _, l := range limits {
		f.quotas.rememberLimit(l)
		u := f.byID[l.Upstream]
		if u == nil || u.Instance().Born != l.Born {
			continue
		}
		before, after := u.applyLimit(now, l)
		switch {
		case before.RateLimit() != after.RateLimit():
			changes = append(changes, Notice{
				Notice: availability.Notice{RateLimit: l.RateLimit}, EarlierLimit: before.RateLimit(), Service: l.Service,
				Upstream: l.Upstream, Born: l.Born, IsFromControl: true,
			})
		case after.RateLimit() != l.RateLimit:
			f.quotas.setUnreported(l.Upstream)
		}
	}
	return changes
}

// applyLimit records a limit that another entry has heard, unless this one has heard of it later.
func (u *Upstream) applyLimit(now time.Time, l quota.Limit) (before, after availability.State) {
	return u.update(func(s availability.State) availability.State {
		if !l.Heard.After(s.RateLimitHeard()) {
			return s
		}
		return s.WithRateLimit(now, l.Heard, l.RateLimit)
	})
}

// rememberLimit keeps a limit for an upstream that may become known later.
func (q *quotas) rememberLimit(l quota.Limit) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.fromControl[l.Upstream] = l
	maps.DeleteFunc(q.fromControl, func(_ string, held quota.Limit) bool {
		return !held.IsNamed || l.Heard.Sub(held.Heard) > removedRetention
	})
}

// restoreLimit applies a limit that control has passed on to an upstream that is new to this entry.
func (f *Fleet) restoreLimit(now time.Time, u *Upstream) {
	f.quotas.mutex.Lock()
	l, isKnown := f.quotas.fromControl[u.Instance().ID]
	f.quotas.mutex.Unlock()
	if isKnown && l.Born == u.Instance().Born {
		u.applyLimit(now, l)
	}
}

// setUnreported makes the next request for quota report what was heard of an upstream.
func (q *quotas) setUnreported(id string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.unreported[id] = struct{}{}
	q.lacking.notify()
}

// LackingQuota returns a channel that is closed when a caller next lacks quota, or a limit has changed.
func (f *Fleet) LackingQuota() <-chan struct{} { return f.quotas.lacking.next() }
