// Package dispatch takes a caller's request from the entry's front to upstreams and back: it admits the
// request, chooses an upstream, claims the key of a call that may not be repeated, starts attempts over the
// Sidecar protocol, checks every piece of the answer, and tells the truth about what ran.
package dispatch

import (
	"time"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/quarantine"
)

type (
	// Request is one request of a caller.
	Request struct {
		// ID names the request at every hop.
		ID           string
		Organisation string
		// Service is the model or plain service that is asked.
		Service string
		Method  string
		Path    string
		Headers []admission.Header
		Body    []byte
		// Key is the caller's idempotency key, empty for none.
		Key string
		// Repeatable is true when the request may run more than once.
		Repeatable bool
		// IsModel is true for a request to a model, whose stream can be resumed.
		IsModel bool
		// Stream is true when the caller asked for a stream of events.
		Stream   bool
		Priority int32
		Deadline time.Time
		// Weight is the worth of the answer relative to others.
		Weight float64
		// PromptTokens and OutputTokens are estimates of the request's size.
		PromptTokens int
		OutputTokens int
		// PrefixHashes name the leading blocks of the prompt.
		PrefixHashes []uint64
	}

	// Sink takes the answer of a request. Head is called once before Data; an error of Data means that the
	// caller has gone.
	Sink struct {
		// Head takes status and headers; length is -1 when it is not known yet.
		Head func(head admission.Head, length int64)
		Data func(data []byte) error
	}
)

// fingerprint names the request however it is resent.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.Organisation, r.Method+" "+r.Path, r.Body)
}
