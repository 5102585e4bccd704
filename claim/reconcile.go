// Reconciliation of claims that were not settled, because their entry died between claim and dispatch or while
// it waited, or could not learn the outcome of the call. The sidecar is queried first and bars the attempt if
// it has not started. A sidecar that does not know the attempt queries its upstream by reference.

package claim

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// runningGracePeriod is the time before the first query about a running claim of a live entry.
	runningGracePeriod = time.Minute
	// initialBackoff and maxBackoff bound the time between two queries about one claim.
	initialBackoff = time.Second
	maxBackoff     = time.Minute
)

type (
	// Reconciliation tracks the queries about the outcome of one open claim. It is an immutable value.
	Reconciliation struct {
		claim     *wire.StoredClaim
		queries   int
		nextQuery time.Time
	}

	// Finding is the reply of a sidecar to a query about an attempt.
	Finding struct {
		// Outcome is NOT_RUN if the attempt is barred for good, RAN if it ended.
		Outcome wire.Outcome
		// Answer is the full answer of an attempt that ran, or nil if it is not available.
		Answer *wire.Answer
		// Epoch is the sidecar's admission epoch, or 0 if the sidecar could not be reached.
		Epoch uint64
	}
)

// NewReconciliation returns the reconciliation of a claim that was first seen open at now. The first query is
// due at once if the entry is gone or the outcome of the claim is unknown.
func NewReconciliation(stored *wire.StoredClaim, isEntryGone bool, now time.Time) Reconciliation {
	r := Reconciliation{claim: stored, nextQuery: now}
	if stored.State == StateRunning && !isEntryGone {
		r.nextQuery = now.Add(runningGracePeriod)
	}
	return r
}

// IsOf reports whether the reconciliation belongs to this version of the claim.
func (r Reconciliation) IsOf(stored *wire.StoredClaim) bool { return r.claim == stored }

// IsDue reports whether the next query to the sidecar is due at now.
func (r Reconciliation) IsDue(now time.Time) bool { return !now.Before(r.nextQuery) }

// WithEntryGone returns the reconciliation after the entry of the claim has left. Its first query becomes due
// at once.
func (r Reconciliation) WithEntryGone(now time.Time) Reconciliation {
	if r.queries == 0 {
		r.nextQuery = now
	}
	return r
}

// WithFinding returns the reconciliation after a finding, and the settlement that follows from the finding, or
// nil. A claim whose outcome the sidecar cannot tell stays open and is queried again with exponential backoff.
func (r Reconciliation) WithFinding(f Finding, now time.Time) (Reconciliation, *wire.SettleRequest) {
	r.nextQuery = now.Add(min(initialBackoff<<min(r.queries, 10), maxBackoff))
	r.queries++
	settlement := &wire.SettleRequest{
		Organisation: r.claim.Organisation, Key: r.claim.Key, Id: r.claim.Id, Outcome: f.Outcome,
	}
	switch {
	case f.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
		return r, settlement
	case f.Outcome == wire.Outcome_OUTCOME_RAN && f.Answer != nil:
		settlement.Answer = f.Answer
		return r, settlement
	case r.claim.State == StateRunning && f.Epoch != 0 && f.Epoch != r.claim.Epoch:
		settlement.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		return r, settlement
	default:
		return r, nil
	}
}
