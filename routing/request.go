package routing

import (
	"slices"
	"time"
)

type (
	// Request is what the picker must know of one request.
	Request struct {
		// Service is the service or model asked for.
		Service string
		// Organisation is the organisation that asks.
		Organisation string
		// PromptTokens is the length of the prompt.
		PromptTokens int
		// OutputTokens is the expected length of the answer.
		OutputTokens int
		// PrefixHashes are the hashes of the prompt's leading blocks, each over all tokens up to its end.
		PrefixHashes []uint64
		// Deadline is the caller's deadline; the zero time never comes.
		Deadline time.Time
		// Exclude names upstreams that must not be chosen, such as those of earlier attempts.
		Exclude []string
		// Alone is true when the request must share its batch with no other.
		Alone bool
		// AloneKey selects the upstream of a request that is to run alone: every entry sends those of one key to
		// the same upstream, which runs them one after the other. Zero takes a key from the request's other fields.
		AloneKey uint64
		// Admitted is true for a later attempt of a request that holds its admission: it is not refused for want of room.
		Admitted bool
	}

	// Choice is the upstream and rank chosen for one attempt.
	Choice struct {
		// Upstream is the chosen upstream.
		Upstream Upstream
		// Rank is the rank that should hold the request; -1 leaves it to the engine.
		Rank int
		// Wait is the predicted time to the first token.
		Wait time.Duration
		// Total is the predicted time to the end of the answer.
		Total time.Duration
		// CachedTokens is the part of the prompt that the upstream is believed to have cached.
		CachedTokens int
		// Attempt takes the reports on the attempt. It counts from now on; Ended or Failed must be called.
		Attempt *Attempt
	}
)

func (r Request) isExcluded(name string) bool { return slices.Contains(r.Exclude, name) }

// aloneKey returns the key by which the upstream of a request that is to run alone is selected.
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
