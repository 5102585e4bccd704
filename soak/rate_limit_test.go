package soak_test

import "time"

const (
	// limitPercent is the percentage of steps in which upstreams begin to name a rate limit.
	limitPercent = 30
	// limitTime is how long they name it.
	limitTime = 9 * time.Second
	// limitContact is the time from the first answer that names a limit until the limit must hold, limitNotice the time
	// from the first one that an entry got until its requests count.
	limitContact = 3 * time.Second
	limitNotice  = 500 * time.Millisecond
	// limitWindow is the time over which requests are counted. In each window, an upstream may get limitTolerance times what
	// its limit allows and limitSlack requests more.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

type (
	// rateLimit is the limit that an upstream names, and what it got since.
	rateLimit struct {
		// perSecond is 0 while it names none.
		perSecond float64
		named     time.Time
		// heard holds when an entry first got an answer that names the limit.
		heard    map[int]time.Time
		arrivals []arrival
	}

	arrival struct {
		at    time.Time
		entry int
	}
)

// limitUpstreams makes some upstreams name a limit.
func (w *cluster) limitUpstreams() {
	count, n := 1+w.limits.intN(upstreams), w.limits.intN(6)
	perSecond := []float64{0.1, 0.7, 1, 2, 5, 12}[n]
	w.recordStep("limit of %v at %d upstreams", perSecond, count)
	for _, u := range w.upstreams[:count] {
		u.beginLimit(perSecond)
	}
}

// beginLimit makes the upstream name a limit for limitTime, unless it names one already.
func (u *fakeUpstream) beginLimit(perSecond float64) {
	u.notices.set(func() {
		l := &u.notices.rateLimit
		if l.perSecond > 0 {
			return
		}
		*l = rateLimit{perSecond: perSecond, heard: map[int]time.Time{}}
		time.AfterFunc(limitTime, func() {
			u.notices.set(func() { u.notices.rateLimit = rateLimit{heard: map[int]time.Time{}} })
		})
	})
}

// checkRateLimit reports a request beyond what the limit of the upstream allows. Requests of an entry count once it has heard
// the limit, unless it, or its connections to the upstream, were disturbed since then.
func (u *fakeUpstream) checkRateLimit(id string, entry int) {
	n := &u.notices
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l, now := &n.rateLimit, time.Now()
	if l.perSecond == 0 {
		return
	}
	if l.named.IsZero() {
		l.named = now
	}
	if now.Sub(l.named) < limitContact || !u.isBoundByLimit(l.heard[entry], now, entry) {
		return
	}
	l.arrivals = append(l.arrivals, arrival{at: now, entry: entry})
	count := 0
	for _, a := range l.arrivals {
		if now.Sub(a.at) <= limitWindow && u.isBoundByLimit(l.heard[a.entry], a.at, a.entry) {
			count++
		}
	}
	if float64(count) > limitTolerance*l.perSecond*limitWindow.Seconds()+limitSlack {
		u.cluster.reportViolation("request %s is number %d in %v at an upstream that names a limit of %v a second", id, count, limitWindow, l.perSecond)
	}
}

// isBoundByLimit reports whether a request that an entry sent at a time counts.
func (u *fakeUpstream) isBoundByLimit(heard, at time.Time, entry int) bool {
	disturbed := u.cluster.entries[entry].lastDisturbed()
	if proxied := u.proxy.lastDisturbed(); proxied.After(disturbed) {
		disturbed = proxied
	}
	return !heard.IsZero() && heard.After(disturbed) && at.Sub(heard) >= limitNotice
}
