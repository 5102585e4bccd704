// Failures that control returns to its callers.

package control

import (
	"time"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// Reasons of failures that callers act on.
const (
	// ReasonNotLeader means that this replica does not lead. The reply names the leader if it is known.
	ReasonNotLeader = "not-leader"
	// ReasonInvalid means that the request is malformed or incomplete, or that its content fails a check.
	ReasonInvalid = "invalid"
	// ReasonOversized means that the request exceeds a size limit.
	ReasonOversized = "oversized"
	// ReasonStaleEpoch means that a newer epoch of the process has announced itself, or that its epoch has
	// left.
	ReasonStaleEpoch = "stale-epoch"
	// ReasonStorage means that the replica cannot read its disk.
	ReasonStorage = "storage"
	// ReasonUnsettled means that the proposal may or may not take effect. The caller must query its status.
	ReasonUnsettled = "unsettled"
)

// leaderRetryDelay is the time after which failures tell the caller to try again, for example while no leader is
// known.
const leaderRetryDelay = 200 * time.Millisecond

// refusal returns the failure of a request that had no effect.
func refusal(step, reason, detail string) *wire.Failure {
	e := outcome.Error{Step: step, Peer: "control", Outcome: outcome.NotRun, Reason: reason, Detail: detail}
	return e.Failure()
}

// storageFailure returns the failure of a replica that cannot read its disk.
func storageFailure(step string, err error) *wire.Failure {
	e := outcome.Error{
		Step: step, Peer: "control", Outcome: outcome.Unknown, Reason: ReasonStorage, RetryAfter: leaderRetryDelay,
	}
	return e.WithCause(err).Failure()
}

// notLeader returns the refusal of a replica that does not lead.
func notLeader(step string) *wire.Failure {
	failure := refusal(step, ReasonNotLeader, "ask the leader")
	failure.RetryAfterMs = leaderRetryDelay.Milliseconds()
	return failure
}

// unsettled returns the failure of a proposal whose outcome is unknown.
func unsettled(step string, err error) *wire.Failure {
	e := outcome.Error{
		Step: step, Peer: "control", Outcome: outcome.Unknown, Reason: ReasonUnsettled, RetryAfter: leaderRetryDelay,
	}
	return e.WithCause(err).Failure()
}
