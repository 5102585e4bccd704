package forward

import (
	"math"
	"net/http"
	"slices"
	"time"
)

// This file decides which requests wait for quota at upstreams with rate limits or cold bounds, and which are refused for
// lack of it.

const (
	// maxQuotaWait is how long a request waits for grants while there are enough, maxReturnWait how long one that was
	// refused before waits in any case.
	maxQuotaWait  = 120 * time.Millisecond
	maxReturnWait = 300 * time.Millisecond
	// minRetryAfterQuota and maxRetryAfterQuota bound the Retry-After of requests that are refused for lack of quota.
	minRetryAfterQuota = 150 * time.Millisecond
	maxRetryAfterQuota = 2 * time.Second
	// reasonRateLimit and reasonColdLimit are the reasons of these refusals.
	reasonRateLimit = "rate limit"
	reasonColdLimit = "cold limit"
)

// nextUpstream returns the upstream of the next attempt, or nil if there is none. For lack of quota the request waits if more
// is likely to come soon, or if it was refused before: then it goes before new ones.
func (j *job) nextUpstream() *Upstream {
	now := time.Now()
	isReturning := j.isHeadSent || j.isCallerRetry()
	quotas := j.server.fleet.quotas
	quotas.recordDemand(j.service)
	j.picked = now
	u := j.server.pick(j, now, isReturning || !quotas.isAwaited(j.service))
	var lacks *refusal
	if u == nil {
		lacks = j.quotaRefusal(now)
	}
	j.recordColdDemand(now, lacks != nil)
	if lacks == nil {
		return u
	}
	return j.awaitQuota(now, isReturning, lacks.reason == reasonColdLimit)
}

// awaitQuota waits until an upstream has quota for the request. It returns nil if none has within the time. The request lacks
// quota under a rate limit or, if lacksCold is set, under a cold bound.
func (j *job) awaitQuota(now time.Time, isReturning, lacksCold bool) *Upstream {
	quotas := j.server.fleet.quotas
	limit := maxQuotaWait
	if isReturning {
		limit = maxReturnWait
	}
	wait := quotas.wait(j.service, isReturning)
	if lacksCold {
		wait, _ = j.coldQueueTime(now, limit)
	}
	if isReturning {
		defer quotas.addReturning(now, j.service)()
	}
	timer := time.NewTimer(min(wait, j.deadline.Sub(now)/4))
	defer timer.Stop()
	for {
		changed := j.server.fleet.changes.next()
		j.picked = time.Now()
		if u := j.server.pick(j, j.picked, isReturning || !quotas.isAwaited(j.service)); u != nil {
			return u
		}
		if j.unusableRefusal(j.picked) != nil {
			return nil
		}
		_, refilled := j.coldQueueTime(j.picked, limit)
		select {
		case <-changed:
		case <-refilled:
		case <-timer.C:
			return nil
		case <-j.request.Context().Done():
			return nil
		}
	}
}

// wait returns how long a request may wait for quota.
func (q *quotas) wait(service string, isReturning bool) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	d := q.demands[service]
	switch {
	case isReturning:
		return maxReturnWait
	case d == nil || d.isScarce || time.Since(q.granted) > grantTimeout:
		return 0
	default:
		return maxQuotaWait
	}
}

// addReturning counts a returning request that waits, until the returned function is called.
func (q *quotas) addReturning(now time.Time, service string) (remove func()) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	d := q.demand(now, service)
	d.returning++
	return func() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		d.returning--
	}
}

// isAwaited reports whether requests that were refused before wait for quota.
func (q *quotas) isAwaited(service string) bool {
	if !q.isUsed.Load() {
		return false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	d := q.demands[service]
	return d != nil && d.returning > 0
}

// quotaRefusal returns the refusal of a request for lack of quota. It returns nil if an upstream that was not tried has
// neither a limit nor a cold bound that is used up and takes requests, or none is left.
func (j *job) quotaRefusal(now time.Time) *refusal {
	fleet, wait := j.server.fleet, time.Duration(math.MaxInt64)
	cold, reason := fleet.coldView(j.service, now), ""
	for _, u := range j.untried(now) {
		state := u.currentState()
		quotaWait, coldWait := state.QuotaWait(now), cold.wait(u, state, now)
		if !state.RateLimit().IsNamed && coldWait == 0 {
			return nil
		}
		if reason == "" || max(quotaWait, coldWait) < wait {
			wait, reason = max(quotaWait, coldWait), reasonRateLimit
			if coldWait > quotaWait {
				reason = reasonColdLimit
			}
		}
	}
	if reason == "" {
		return nil
	}
	if perSecond := fleet.quotas.grantRate(j.service); perSecond > 0 {
		wait = min(wait, time.Duration(float64(time.Second)/perSecond))
	}
	left := time.Duration(retryAfterShare * float64(j.deadline.Sub(now)))
	wait = max(min(wait, left, maxRetryAfterQuota), minRetryAfterQuota)
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: wait}
}

// untried returns the upstreams that the request may use, that it has not tried and that have neither left nor asked for
// backoff.
func (j *job) untried(now time.Time) []*Upstream {
	var left []*Upstream
	for _, u := range j.usable(now) {
		state := u.currentState()
		if !slices.Contains(j.tried, u) && !state.HasLeft(now, j.server.settings.DrainTime) && !state.IsBackingOff(now) {
			left = append(left, u)
		}
	}
	return left
}

// grantRate returns the requests a second that the leader grants for a service, 0 without recent grants.
func (q *quotas) grantRate(service string) float64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	d := q.demands[service]
	if d == nil {
		return 0
	}
	return d.grantsPerSecond
}
