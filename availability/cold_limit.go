package availability

import (
	"slices"
	"time"
)

const (
	// ColdWindow is the time over which the requests of this process to one upstream are counted for the cold limit, which
	// is one on each second. The rest is for ChargeTime and for delays on the way that bring requests closer together.
	ColdWindow = time.Second + ChargeTime + 100*time.Millisecond
	// ChargeTime is how long after WithColdRequest a request may be sent.
	ChargeTime = 100 * time.Millisecond
)

// coldUse is what a process has sent, and may send, to an upstream that may be cold. It is immutable.
type coldUse struct {
	// own counts the requests that were sent by the process's own share.
	own Window
	// grants are what it may send besides.
	grants []grant
}

// ColdWait returns the time until the process may send a request under the cold limit, 0 if it may send one now. The share
// is the number of requests that it may send in each ColdWindow by itself.
func (s State) ColdWait(now time.Time, share int) time.Duration {
	if s.cold == nil {
		return Window{}.Wait(now, ColdWindow, share)
	}
	if requestsOf(s.cold.grants, now) > 0 {
		return 0
	}
	return s.cold.own.Wait(now, ColdWindow, share)
}

// ColdLeft returns the number of requests that the process may send now under the cold limit.
func (s State) ColdLeft(now time.Time, share int) int {
	if s.cold == nil {
		return max(share, 0)
	}
	return max(share-s.cold.own.Count(now, ColdWindow), 0) + requestsOf(s.cold.grants, now)
}

// WithColdRequest returns a copy that has one request less to send under the cold limit. The request must be sent within
// ChargeTime.
func (s State) WithColdRequest(now time.Time) State {
	next := &coldUse{}
	if s.cold != nil {
		*next = coldUse{own: s.cold.own, grants: validGrants(s.cold.grants, now)}
	}
	if len(next.grants) > 0 {
		next.grants[0].requests--
	} else {
		next.own = next.own.With(now, 1)
	}
	s.cold = next
	return s
}

// WithColdGrant returns a copy that may send further requests under the cold limit until a given time.
func (s State) WithColdGrant(now time.Time, requests int, until time.Time) State {
	next := &coldUse{}
	if s.cold != nil {
		*next = coldUse{own: s.cold.own, grants: validGrants(s.cold.grants, now)}
	}
	next.grants = append(next.grants, grant{requests: requests, until: until})
	s.cold = next
	return s
}

// validGrants returns a copy of the grants that are not used up or over.
func validGrants(grants []grant, now time.Time) []grant {
	return slices.DeleteFunc(slices.Clone(grants), func(g grant) bool { return g.requests <= 0 || !now.Before(g.until) })
}

// requestsOf returns how many requests may be sent by grants.
func requestsOf(grants []grant, now time.Time) int {
	requests := 0
	for _, g := range grants {
		if now.Before(g.until) {
			requests += g.requests
		}
	}
	return requests
}
