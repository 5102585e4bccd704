package retry

import (
	"time"

	"guavahitch.example/guavahitch/outcome"
)

const (
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts = 4
	// firstBackoff is the backoff before the second attempt; it doubles with each further attempt. The retry advice
	// in a failure does not change it.
	firstBackoff = 10 * time.Millisecond
)

type (
	// Attempt describes a failed attempt.
	Attempt struct {
		// Number is the number of this attempt, from 1.
		Number int
		// Repeatable is true when the request may run more than once.
		Repeatable bool
		// Deadline is the caller's deadline; the zero time means none.
		Deadline time.Time
		// Expected is the expected duration of a further attempt.
		Expected time.Duration
		// Failure is the error of the attempt.
		Failure *outcome.Error
	}

	// Decision is the result of Decide.
	Decision struct {
		// Retry is true when the request is to be attempted again, after Wait.
		Retry bool
		// Wait is the backoff before the next attempt.
		Wait time.Duration
		// Final is the error to return to the caller at once when Retry is false.
		Final *outcome.Error
	}
)

// Decide decides whether to attempt a failed request again, and spends from the budget if so. A request that may not
// be repeated is retried only when the failure proves that it did not run. A final error carries retry advice when a
// later request could succeed.
func Decide(now time.Time, a Attempt, b *Budget) Decision {
	if a.Failure.Outcome != outcome.NotRun && !a.Repeatable {
		return Decision{Final: a.Failure}
	}
	if a.Number >= MaxAttempts {
		return Decision{Final: withRetryAdvice(a.Failure)}
	}
	wait := firstBackoff << (a.Number - 1)
	if !Fits(now, a.Deadline, wait+a.Expected) || !b.Spend(now) {
		return Decision{Final: withRetryAdvice(a.Failure)}
	}
	return Decision{Retry: true, Wait: wait}
}

// withRetryAdvice returns the failure, with a retry advice of one second when it has none.
func withRetryAdvice(failure *outcome.Error) *outcome.Error {
	if failure.RetryAfter > 0 {
		return failure
	}
	e := *failure
	e.RetryAfter = time.Second
	return &e
}
