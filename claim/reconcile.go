// Reconciliation of claims that nobody settles: their entry died between claim and dispatch or while it
// waited, or could not tell what became of the call. The sidecar is asked first, and bars the attempt if it
// has not started; a sidecar that does not know the attempt asks its upstream by reference.

package claim

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// patience is how long a running claim of a live entry is left alone.
	patience = time.Minute
	// firstPause and longestPause bound the time between two questions about one claim.
	firstPause   = time.Second
	longestPause = time.Minute
)

type (
	// Reconciliation is what is known of one open claim's fate. It is an immutable value.
	Reconciliation struct {
		claim *wire.StoredClaim
		asked int
		next  time.Time
	}

	// Finding is what a sidecar says of an attempt.
	Finding struct {
		// Outcome is NOT_RUN when the attempt is barred for good, RAN when it ended.
		Outcome wire.Outcome
		// Answer is the whole answer of an attempt that ran, or nil.
		Answer *wire.Answer
		// Epoch is the sidecar's admission epoch; 0 when it could not be reached.
		Epoch uint64
	}
)

// NewReconciliation returns the reconciliation of a claim that was first seen open at now. A claim whose
// entry is gone, or that is known to be unknown, is asked after at once.
func NewReconciliation(stored *wire.StoredClaim, isEntryGone bool, now time.Time) Reconciliation {
	r := Reconciliation{claim: stored, next: now}
	if stored.State == StateRunning && !isEntryGone {
		r.next = now.Add(patience)
	}
	return r
}

// IsOf reports whether the reconciliation is of the claim as it stands now.
func (r Reconciliation) IsOf(stored *wire.StoredClaim) bool { return r.claim == stored }

// IsDue reports whether the sidecar is to be asked at now.
func (r Reconciliation) IsDue(now time.Time) bool { return !now.Before(r.next) }

// WithEntryGone returns the reconciliation after its entry has left: there is no reason to wait.
func (r Reconciliation) WithEntryGone(now time.Time) Reconciliation {
	if r.asked == 0 {
		r.next = now
	}
	return r
}

// With returns the reconciliation after a finding, and the settlement that follows from it, or nil. What
// the sidecar cannot tell stays open and is asked again, ever more rarely.
func (r Reconciliation) With(f Finding, now time.Time) (Reconciliation, *wire.SettleRequest) {
	r.next = now.Add(min(firstPause<<min(r.asked, 10), longestPause))
	r.asked++
	settlement := &wire.SettleRequest{Organisation: r.claim.Organisation, Key: r.claim.Key, Id: r.claim.Id, Outcome: f.Outcome}
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
