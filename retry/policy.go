package retry

import (
	"time"

	"guavahitch.example/guavahitch/outcome"
)

const (
	// MostAttempts bounds the attempts of one request.
	MostAttempts = 4
	// firstBackoff is the wait before the second attempt on the same peer's advice or none; it doubles.
	firstBackoff = 10 * time.Millisecond
)

type (
	// Attempt describes a failed attempt.
	Attempt struct {
		// Number counts from 1.
		Number int
		// Repeatable is true when the request may run more than once.
		Repeatable bool
		// Deadline is the caller's deadline; the zero time never comes.
		Deadline time.Time
		// Expected is the time that a further attempt is expected to take.
		Expected time.Duration
		// Failure is how it failed.
		Failure *outcome.Error
	}

	// Decision tells what to do after a failed attempt.
	Decision struct {
		// Again is true when the request is to be tried again, after Wait.
		Again bool
		// Wait is the time to wait before it.
		Wait time.Duration
		// Final is the error to answer with at once when Again is false.
		Final *outcome.Error
	}
)

// Decide tells whether to try again. A request that may not be repeated is tried again only when the failure
// proves that it did not run. A final error is to be sent at once; it carries retry advice where a later
// request could succeed.
func Decide(now time.Time, a Attempt, b *Budget) Decision {
	if a.Failure.Outcome != outcome.NotRun && !a.Repeatable {
		return Decision{Final: a.Failure}
	}
	if a.Number >= MostAttempts {
		return Decision{Final: advised(a.Failure)}
	}
	wait := firstBackoff << (a.Number - 1)
	if !Fits(now, a.Deadline, wait+a.Expected) || !b.Spend(now) {
		return Decision{Final: advised(a.Failure)}
	}
	return Decision{Again: true, Wait: wait}
}

// advised returns the failure with retry advice when it has none and the request may be sent again.
func advised(failure *outcome.Error) *outcome.Error {
	if failure.RetryAfter > 0 {
		return failure
	}
	e := *failure
	e.RetryAfter = time.Second
	return &e
}
