package availability

import "time"

const (
	// maxRateLimit bounds the limits that ParseRateLimit returns, in requests a second.
	maxRateLimit = 1e9
	// minRate is the rate in requests a second at which an upstream with a lower limit is still tried: only its answers show
	// that the limit is over.
	minRate = 0.25
)

type (
	// RateLimit is the number of requests a second that an upstream takes from all entries together. The zero value is no
	// limit.
	RateLimit struct {
		IsNamed   bool
		PerSecond float64
	}

	// grant is a number of requests that may be sent until a given time.
	grant struct {
		requests int
		until    time.Time
	}
)

// ParseRateLimit parses the values of a header field that names a limit: decimal numbers, with a fraction or without. The
// lowest one counts, and malformed ones are ignored.
func ParseRateLimit(values []string) RateLimit {
	limit := RateLimit{}
	for _, value := range values {
		perSecond, isNumber := parseDecimal(value, maxRateLimit)
		if isNumber && (!limit.IsNamed || perSecond < limit.PerSecond) {
			limit = RateLimit{IsNamed: true, PerSecond: perSecond}
		}
	}
	return limit
}

// Rate returns the requests a second to send under the limit.
func (l RateLimit) Rate() float64 { return max(l.PerSecond, minRate) }

// WithRateLimit returns a copy for an upstream that names a limit, or none any more, and has said so at the given time.
func (s State) WithRateLimit(now, heard time.Time, limit RateLimit) State {
	s = s.withRefill(now)
	s.rateLimit, s.rateLimitHeard = limit, heard
	if !limit.IsNamed {
		s.grants = nil
	}
	return s
}

// RateLimit returns the limit that the upstream named last.
func (s State) RateLimit() RateLimit { return s.rateLimit }

// RateLimitHeard returns when the upstream last named a limit or stopped to, zero if it never has.
func (s State) RateLimitHeard() time.Time { return s.rateLimitHeard }

// WithShare returns a copy for a process that may use a share of the limit by itself: 1 if all requests pass through it, 0
// if it sends only what it is granted. The phase in [0, 1) is the part of the time to its first request that has passed.
func (s State) WithShare(now time.Time, share, phase float64) State {
	if share == s.share {
		return s
	}
	s = s.withRefill(now)
	if s.share == 0 {
		s.bucket = NewBucket(now, phase)
	}
	s.share = share
	return s
}

// withRefill returns a copy whose bucket is that of the given time.
func (s State) withRefill(now time.Time) State {
	switch rate := s.rateLimit.Rate() * s.share; {
	case !s.rateLimit.IsNamed || s.share == 0:
		s.bucket = s.bucket.WithRate(now, 0)
	case s.share < 1:
		s.bucket = s.bucket.WithPhase(now, rate)
	default:
		s.bucket = s.bucket.WithRate(now, rate)
	}
	return s
}

// WithGrant returns a copy that may send further requests until a given time.
func (s State) WithGrant(now time.Time, requests int, until time.Time) State {
	s.grants = append(validGrants(s.grants, now), grant{requests: requests, until: until})
	return s
}

// Granted returns how many requests may be sent by grants.
func (s State) Granted(now time.Time) int { return requestsOf(s.grants, now) }

// HasQuota reports whether the limit allows a further request now.
func (s State) HasQuota(now time.Time) bool { return s.QuotaWait(now) == 0 }

// QuotaWait returns the time until the process may send a request by its own share, 0 if it may send one now.
func (s State) QuotaWait(now time.Time) time.Duration {
	if !s.rateLimit.IsNamed || s.Granted(now) > 0 {
		return 0
	}
	if s.share == 0 {
		return maxBackoff
	}
	return s.withRefill(now).bucket.Wait(s.rateLimit.Rate() * s.share)
}

// Wait returns the time until the upstream takes a request of this process: the end of a backoff and the next quota.
func (s State) Wait(now time.Time) time.Duration {
	return max(s.backoffUntil.Sub(now), s.QuotaWait(now))
}

// WithRequest returns a copy that has one request less to send.
func (s State) WithRequest(now time.Time) State {
	if !s.rateLimit.IsNamed {
		return s
	}
	s = s.withRefill(now)
	s.grants = validGrants(s.grants, now)
	if len(s.grants) > 0 {
		s.grants[0].requests--
		return s
	}
	s.bucket = s.bucket.Without(1)
	return s
}
