// The refusals of control, as they go over the wire.

package control

import (
	"time"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// Reasons of refusals that callers act on.
const (
	// ReasonNotLeader means that another replica must be asked; the reply names it when it is known.
	ReasonNotLeader = "not-leader"
	// ReasonInvalid means that the message cannot be accepted as it is.
	ReasonInvalid = "invalid"
	// ReasonOversized means that the message is too long.
	ReasonOversized = "oversized"
	// ReasonStaleEpoch means that a newer epoch of the process has announced itself.
	ReasonStaleEpoch = "stale-epoch"
	// ReasonStorage means that the replica cannot read its disk.
	ReasonStorage = "storage"
	// ReasonUnsettled means that the proposal may or may not take effect: ask for its status.
	ReasonUnsettled = "unsettled"
)

// leaderRetry tells when to ask again while no leader is known.
const leaderRetry = 200 * time.Millisecond

// refusal returns the failure of a message that had no effect.
func refusal(step, reason, detail string) *wire.Failure {
	e := outcome.Error{Step: step, Peer: "control", Outcome: outcome.NotRun, Reason: reason, Detail: detail}
	return e.Failure()
}

// storageFailure returns the failure of a replica that cannot read its disk.
func storageFailure(step string, err error) *wire.Failure {
	e := outcome.Error{Step: step, Peer: "control", Outcome: outcome.Unknown, Reason: ReasonStorage, RetryAfter: leaderRetry}
	return e.WithCause(err).Failure()
}

// notLeader returns the refusal of a replica that cannot answer.
func notLeader(step string) *wire.Failure {
	failure := refusal(step, ReasonNotLeader, "ask the leader")
	failure.RetryAfterMs = leaderRetry.Milliseconds()
	return failure
}

// unsettled returns the failure of a proposal whose fate is not known.
func unsettled(step string, err error) *wire.Failure {
	e := outcome.Error{
		Step: step, Peer: "control", Outcome: outcome.Unknown, Reason: ReasonUnsettled, RetryAfter: leaderRetry,
	}
	return e.WithCause(err).Failure()
}
