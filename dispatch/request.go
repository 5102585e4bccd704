// Package dispatch runs the requests that an entry receives from callers. A Dispatcher admits a request through the
// fair queue of its service, chooses an upstream, and starts attempts over the Sidecar protocol. A job retries and
// hedges attempts, checks every piece of the answer, and delivers it to a Sink. For a call that may not be repeated,
// it claims the idempotency key first. Every error tells whether the request ran, did not run, or may have run.
package dispatch

import (
	"time"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/quarantine"
)

type (
	// Request is one request of a caller.
	Request struct {
		// ID identifies the request at every hop.
		ID           string
		Organisation string
		// Service is the model or plain service that is requested.
		Service string
		Method  string
		Path    string
		Headers []admission.Header
		Body    []byte
		// Key is the caller's idempotency key; empty when there is none.
		Key string
		// Repeatable is true when the request may run more than once.
		Repeatable bool
		// IsModel is true for a request to a model. Another attempt can resume its stream.
		IsModel bool
		// Stream is true when the caller requested an event stream.
		Stream   bool
		Priority int32
		Deadline time.Time
		// Weight is the value of the answer relative to other requests of the organisation; requests of low weight
		// are shed first.
		Weight float64
		// PromptTokens and OutputTokens are estimates of the request's size, in tokens.
		PromptTokens int
		OutputTokens int
		// PrefixHashes are the hashes of the leading blocks of the prompt.
		PrefixHashes []uint64
		// Parts are the parts of the prompt that other requests may share.
		Parts []quarantine.Fingerprint
	}

	// Sink receives the answer of a request. Head is called once before Data. An error from Data means that the
	// caller has disconnected.
	Sink struct {
		// Head receives status and headers; length is -1 when it is not known yet.
		Head func(head admission.Head, length int64)
		Data func(data []byte) error
	}
)

// fingerprint identifies the request across resends.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.Organisation, r.Method+" "+r.Path, r.Body)
}
