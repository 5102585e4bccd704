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

// limits.go holds the rates of organisations. An entry gives each one its part of the inventory's limit: the limit
// over the number of entries.

const (
	// burstTime is the time whose share of a rate may be used at once.
	burstTime = time.Second
	// idleRates is the number of organisations beyond which unused rates are dropped.
	idleRates = 4096
)

type (
	// rates are the rates of all organisations that have sent requests.
	rates struct {
		mutex sync.Mutex
		known map[string]*organisationRate
	}

	organisationRate struct {
		requests *rate.Limiter
		tokens   *rate.Limiter
		used     time.Time
	}
)

// check takes one request and its tokens from the rates of its organisation, or returns the refusal with the time
// to come back.
func (r *rates) check(now time.Time, request *Request, limits inventory.Limits, entries int) *outcome.Error {
	if limits.RequestsPerSecond == 0 && limits.TokensPerSecond == 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.of(now, request.Organisation)
	part := 1 / float64(max(entries, 1))
	tokens := request.PromptTokens + request.OutputTokens
	if wait := take(now, &known.requests, limits.RequestsPerSecond*part, 1); wait > 0 {
		return rateRefusal("requests a second", wait)
	}
	if wait := take(now, &known.tokens, limits.TokensPerSecond*part, tokens); wait > 0 {
		return rateRefusal("tokens a second", wait)
	}
	return nil
}

func (r *rates) of(now time.Time, organisation string) *organisationRate {
	if r.known == nil {
		r.known = map[string]*organisationRate{}
	}
	if len(r.known) > idleRates {
		for name, known := range r.known {
			if now.Sub(known.used) > burstTime {
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

// take takes an amount from a rate, and returns how long to wait when it is used up. A limit of 0 is none. An
// amount above the burst is taken when the whole burst is there.
func take(now time.Time, limiter **rate.Limiter, limit float64, amount int) time.Duration {
	if limit == 0 {
		return 0
	}
	burst := int(math.Ceil(limit * burstTime.Seconds()))
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

func rateRefusal(what string, wait time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: "admit", Outcome: outcome.NotRun, Reason: "limit", Detail: "the organisation is at its limit of " + what,
		RetryAfter: max(wait, time.Millisecond), Status: http.StatusTooManyRequests,
	}
}
