// Package outcome describes whether a request ran, and defines the error type that carries this. Every refusal and
// failure in guavahitch is an Error, which names the step and the peer at which it occurred. Entries turn it into a
// JSON answer; sidecars and control turn it into a Failure on the wire.
package outcome

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wire"
)

const (
	// Unspecified is the zero Outcome. No peer sends it on purpose.
	Unspecified Outcome = iota
	// NotRun means that the request has provably not run.
	NotRun
	// Ran means that the request has run.
	Ran
	// Unknown means that the request may or may not have run.
	Unknown
)

type (
	// Outcome says whether a request ran, as far as is known.
	Outcome int

	// Error is a refusal or failure of a request, with the step and the peer at which it occurred.
	Error struct {
		// Step is the stage of request processing that failed, such as "admit" or "claim".
		Step string
		// Peer is the process that was called, or empty when the error is the process's own.
		Peer string
		// Outcome says whether the request ran.
		Outcome Outcome
		// Reason is a short, stable identifier, such as "overloaded".
		Reason string
		// Detail is an explanation for people.
		Detail string
		// RetryAfter is how long the caller should wait before a retry; zero means that a retry is of no use.
		RetryAfter time.Duration
		// Status is the HTTP status for the caller; zero leaves the choice to the entry.
		Status int

		cause error
	}
)

// String returns the outcome's name in answers to callers. Unspecified appears as "Unknown".
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

// Error returns the step, peer, reason, outcome, detail and cause in one line.
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

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// WithCause returns a copy of the error that wraps the cause with a stack trace.
func (e Error) WithCause(cause error) *Error {
	e.cause = eris.Wrap(cause, e.Step)
	return &e
}

// WithOutcome returns a copy of the error with the given outcome.
func (e Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return &e
}

// WithPeer returns a copy of the error with the given peer.
func (e Error) WithPeer(peer string) *Error {
	e.Peer = peer
	return &e
}

// FromError returns the first Error in the chain of err. An err without one is wrapped in an Error with the given step
// and peer and the outcome Unknown.
func FromError(err error, step, peer string) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return Error{Step: step, Peer: peer, Outcome: Unknown, Reason: "failed"}.WithCause(err)
}

// Failure converts the error to its wire message. The cause becomes part of the detail, in which bytes that are not UTF-8 are
// replaced: they may come from an upstream.
func (e *Error) Failure() *wire.Failure {
	detail := e.Detail
	if e.cause != nil {
		detail += ": " + e.cause.Error()
	}
	return &wire.Failure{
		Step: e.Step, Peer: e.Peer, Outcome: wire.Outcome(e.Outcome), Reason: e.Reason, Detail: strings.ToValidUTF8(detail, "\ufffd"),
		RetryAfterMs: e.RetryAfter.Milliseconds(), Status: int32(e.Status),
	}
}

// FromWire converts a wire message to an Error, and nil to nil.
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
