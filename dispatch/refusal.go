package dispatch

import "guavahitch.example/guavahitch/outcome"

type (
	// Refusal is the JSON body of every error response to a caller.
	Refusal struct {
		Error RefusalError `json:"error"`
	}

	// RefusalError tells which step failed, at which peer, and whether the request ran.
	RefusalError struct {
		Step string `json:"step"`
		Peer string `json:"peer,omitempty"`
		// Outcome is "NotRun", "Ran" or "Unknown".
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
		Detail  string `json:"detail,omitempty"`
		// RetryAfterMs is the delay before a retry, in milliseconds; 0 means that a retry is of no use.
		RetryAfterMs int64 `json:"retry_after_ms"`
	}
)

// NewRefusal returns the response body for an error.
func NewRefusal(failure *outcome.Error) Refusal {
	return Refusal{Error: RefusalError{
		Step: failure.Step, Peer: failure.Peer, Outcome: failure.Outcome.String(), Reason: failure.Reason,
		Detail: failure.Detail, RetryAfterMs: failure.RetryAfter.Milliseconds(),
	}}
}
