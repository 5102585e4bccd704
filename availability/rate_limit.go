package availability

import "time"

// maxRateLimit bounds the limits that ParseRateLimit returns, in requests a second.
const maxRateLimit = 1e9

// RateLimit is the number of requests a second that an upstream takes from all entries together. The zero value is no
// limit.
type RateLimit struct {
	IsNamed   bool
	PerSecond float64
}

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

// WithRateLimit returns a copy for an upstream that names a limit, or none any more.
func (s State) WithRateLimit(now time.Time, limit RateLimit) State {
	s.rateLimit, s.rateLimitHeard = limit, now
	return s
}

// RateLimit returns the limit that the upstream named last.
func (s State) RateLimit() RateLimit { return s.rateLimit }
