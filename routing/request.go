package routing

import (
	"slices"
	"time"
)

type (
	// Request describes one request to the picker.
	Request struct {
		// Service is the service or model that is requested.
		Service string
		// Organisation is the organisation that sends the request.
		Organisation string
		// PromptTokens is the length of the prompt, in tokens.
		PromptTokens int
		// OutputTokens is the expected length of the answer, in tokens; zero when unknown.
		OutputTokens int
		// PrefixHashes are the hashes of the prompt's leading blocks of BlockTokens tokens. Each covers all tokens
		// from the start of the prompt to the end of its block.
		PrefixHashes []uint64
		// Deadline is the caller's deadline; the zero time means none.
		Deadline time.Time
		// Exclude names upstreams that must not be chosen, such as those of earlier attempts.
		Exclude []string
		// Alone is true when the request must not share a batch with any other request.
		Alone bool
		// AloneKey selects the upstream of a request with Alone set. Every entry sends requests with the same key to
		// the same upstream, which runs them one at a time. When it is zero, a key is derived from the other fields.
		AloneKey uint64
		// Admitted is true for a later attempt of a request that the fair queue has admitted. It is not refused
		// because upstreams are full.
		Admitted bool
	}

	// Choice is the upstream and rank chosen for one attempt.
	Choice struct {
		// Upstream is the chosen upstream.
		Upstream Upstream
		// Rank is the rank that should run the request; -1 leaves the choice to the engine.
		Rank int
		// Wait is the predicted time to the first token.
		Wait time.Duration
		// Total is the predicted time to the end of the answer.
		Total time.Duration
		// CachedTokens is the number of prompt tokens that the upstream has probably cached.
		CachedTokens int
		// Attempt records the progress of the attempt. The attempt counts as running from the return of Pick; the
		// caller must call Ended, Refused, Draining or Failed at its end.
		Attempt *Attempt
	}
)

func (r Request) isExcluded(name string) bool { return slices.Contains(r.Exclude, name) }

// aloneKey returns the key that selects the upstream of a request with Alone set.
func (r Request) aloneKey() uint64 {
	if r.AloneKey != 0 {
		return r.AloneKey
	}
	key := pairHash(r.Service, r.Organisation)
	key = mix(key ^ uint64(r.PromptTokens))
	for _, hash := range r.PrefixHashes {
		key = mix(key ^ hash)
	}
	return key
}
