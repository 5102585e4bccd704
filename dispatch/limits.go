package dispatch

import (
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/outcome"
)

// limits.go enforces the rate limits of organisations. Each entry applies an equal part of the limit in the
// inventory: the limit divided by the number of entries.

const (
	// burstWindow sets the burst of a rate limit: what the rate allows in this time may be used at once.
	burstWindow = time.Second
	// pruneThreshold is the number of organisations above which unused rate limiters are removed.
	pruneThreshold = 4096
)

type (
	// rateLimits holds the rate limiters of the organisations that have sent requests.
	rateLimits struct {
		mutex sync.Mutex
		known map[string]*organisationRate
	}

	// organisationRate holds one organisation's token buckets for requests and for tokens per second.
	organisationRate struct {
		requests *rate.Limiter
		tokens   *rate.Limiter
		used     time.Time
	}
)

// check takes one request and its tokens from the organisation's token buckets, or returns a refusal with retry
// advice.
func (r *rateLimits) check(now time.Time, request *Request, limits inventory.Limits, entries int) *outcome.Error {
	if limits.RequestsPerSecond == 0 && limits.TokensPerSecond == 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.limiterOf(now, request.Organisation)
	share := 1 / float64(max(entries, 1))
	tokens := request.PromptTokens + request.OutputTokens
	if wait := takeTokens(now, &known.requests, limits.RequestsPerSecond*share, 1); wait > 0 {
		return rateRefusal("requests a second", wait)
	}
	if wait := takeTokens(now, &known.tokens, limits.TokensPerSecond*share, tokens); wait > 0 {
		return rateRefusal("tokens a second", wait)
	}
	return nil
}

// limiterOf returns the rate limiters of an organisation and creates them on first use. The caller holds the mutex.
func (r *rateLimits) limiterOf(now time.Time, organisation string) *organisationRate {
	if r.known == nil {
		r.known = map[string]*organisationRate{}
	}
	if len(r.known) > pruneThreshold {
		for name, known := range r.known {
			if now.Sub(known.used) > burstWindow {
				delete(r.known, name)
			}
		}
	}
	known := r.known[organisation]
	if known == nil {
		known = &organisationRate{}
		r.known[organisation] = known
	}
	known.used = now
	return known
}

// takeTokens takes an amount from a token bucket. When too little is left, it takes nothing and returns how long to
// wait. A limit of 0 means no limit. An amount above the burst needs a full bucket and empties it.
func takeTokens(now time.Time, limiter **rate.Limiter, limit float64, amount int) time.Duration {
	if limit == 0 {
		return 0
	}
	burst := int(math.Ceil(limit * burstWindow.Seconds()))
	if *limiter == nil || (*limiter).Limit() != rate.Limit(limit) {
		*limiter = rate.NewLimiter(rate.Limit(limit), burst)
	}
	amount = min(amount, burst)
	if (*limiter).AllowN(now, amount) {
		return 0
	}
	missing := float64(amount) - (*limiter).TokensAt(now)
	return time.Duration(missing / limit * float64(time.Second))
}

func rateRefusal(rateName string, wait time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: "admit", Outcome: outcome.NotRun, Reason: "limit", Detail: "the organisation is at its limit of " + rateName,
		RetryAfter: max(wait, time.Millisecond), Status: http.StatusTooManyRequests,
	}
}
