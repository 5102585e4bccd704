// Package outcome holds what is known about the run of a request and the error that carries it.
// Every refusal and failure of guavahitch is an Error: it names the step and the peer at which it arose
// and whether the request ran. Entries turn it into a JSON answer, sidecars and control into a Failure
// on the wire.
package outcome

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wire"
)

const (
	// Unspecified is the zero Outcome; no peer may send it on purpose.
	Unspecified Outcome = iota
	// NotRun means that the request is proved not to have run.
	NotRun
	// Ran means that the request ran.
	Ran
	// Unknown means that whether the request ran is not known.
	Unknown
)

type (
	// Outcome tells what is known about the run of a request.
	Outcome int

	// Error is a refusal or failure with the step and the peer at which it arose.
	Error struct {
		// Step is the part of the request's way at which it failed, such as "admit" or "claim".
		Step string
		// Peer is the process that was spoken to, empty for the process itself.
		Peer string
		// Outcome tells whether the request ran.
		Outcome Outcome
		// Reason is a short stable word, such as "overloaded".
		Reason string
		// Detail explains the reason to a person.
		Detail string
		// RetryAfter tells when to come back; zero means that a retry is of no use.
		RetryAfter time.Duration
		// Status is the HTTP status towards the caller; zero lets the entry choose.
		Status int

		cause error
	}
)

// String returns the name of the outcome as callers see it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	default:
		return "Unknown"
	}
}

// Error returns step, peer, outcome, reason and detail in one line.
func (e *Error) Error() string {
	text := e.Step
	if e.Peer != "" {
		text += " at " + e.Peer
	}
	text += fmt.Sprintf(": %s (%s)", e.Reason, e.Outcome)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// WithCause returns a copy that wraps the cause with its stack.
func (e Error) WithCause(cause error) *Error {
	e.cause = eris.Wrap(cause, e.Step)
	return &e
}

// WithOutcome returns a copy with another outcome.
func (e Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return &e
}

// WithPeer returns a copy that names another peer.
func (e Error) WithPeer(peer string) *Error {
	e.Peer = peer
	return &e
}

// FromError returns the Error in the chain of err. An error of another kind becomes an Error of the given step
// and peer whose outcome is Unknown.
func FromError(err error, step, peer string) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return Error{Step: step, Peer: peer, Outcome: Unknown, Reason: "failed"}.WithCause(err)
}

// Failure returns the message that carries the error on the wire.
func (e *Error) Failure() *wire.Failure {
	detail := e.Detail
	if e.cause != nil {
		detail += ": " + e.cause.Error()
	}
	return &wire.Failure{
		Step: e.Step, Peer: e.Peer, Outcome: wire.Outcome(e.Outcome), Reason: e.Reason, Detail: detail,
		RetryAfterMs: e.RetryAfter.Milliseconds(), Status: int32(e.Status),
	}
}

// FromWire returns the error that a Failure carries, or nil for nil.
func FromWire(failure *wire.Failure) *Error {
	if failure == nil {
		return nil
	}
	return &Error{
		Step: failure.Step, Peer: failure.Peer, Outcome: Outcome(failure.Outcome), Reason: failure.Reason,
		Detail: failure.Detail, RetryAfter: time.Duration(failure.RetryAfterMs) * time.Millisecond,
		Status: int(failure.Status),
	}
}
