package outcome_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/outcome"
)

func ExampleError() {
	refusal := &outcome.Error{
		Step: "admit", Peer: "levis-3", Outcome: outcome.NotRun, Reason: "draining", RetryAfter: time.Second,
	}
	fmt.Println(refusal)
	// Output: admit at levis-3: draining (NotRun)
}

func TestErrorRoundTripsThroughTheWire(t *testing.T) {
	sent := &outcome.Error{
		Step: "claim", Peer: "control-1", Outcome: outcome.Unknown, Reason: "timeout", Detail: "no answer",
		RetryAfter: 250 * time.Millisecond, Status: 503,
	}
	require.Equal(t, sent, outcome.FromWire(sent.Failure()))
	require.Nil(t, outcome.FromWire(nil))
}

// Guards against a refusal that cannot be sent because its detail quotes bytes of an upstream that are not UTF-8.
func TestFailureHoldsUTF8(t *testing.T) {
	failed := outcome.Error{Detail: "answer \xff", Reason: "malformed"}.WithCause(errors.New("field \xfe"))
	require.Equal(t, "answer \ufffd: field \ufffd", failed.Failure().Detail)
}

func TestFromErrorKeepsErrorsAndMarksOthersUnknown(t *testing.T) {
	known := &outcome.Error{Step: "admit", Outcome: outcome.NotRun, Reason: "draining"}
	require.Same(t, known, outcome.FromError(fmt.Errorf("wrapped: %w", known), "dispatch", "ub-a-1"))
	require.Equal(t, outcome.Unknown, outcome.FromError(errors.New("reset"), "dispatch", "ub-a-1").Outcome)
}
