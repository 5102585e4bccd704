package quarantine

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// Unrestricted lets the request run as any other.
	Unrestricted Treatment = iota
	// Alone lets the request run only where nothing else runs.
	Alone
	// TrialDelay is the time between a crash and the trial of a request that ran in it. Within it the verdict of
	// that crash, and of others at the same time, reaches every entry.
	TrialDelay = 300 * time.Millisecond
	// stepQuarantine is the step that refusals name.
	stepQuarantine = "quarantine"
)

type (
	// Treatment tells how a request may run.
	Treatment int

	// View is an entry's copy of the verdicts. It is safe for concurrent use; the zero value holds none.
	View struct {
		verdicts atomic.Pointer[map[key]verdict]
		mutex    sync.Mutex
		// seen are the requests that this entry saw crash two upstreams.
		seen map[key]time.Time
	}

	verdict struct {
		proved  bool
		expires time.Time
	}
)

// SetVerdicts replaces the verdicts by those of control.
func (v *View) SetVerdicts(verdicts []*wire.Quarantine) {
	next := make(map[key]verdict, len(verdicts))
	for _, q := range verdicts {
		if f, ok := FromBytes(q.GetFingerprint()); ok {
			next[key{q.GetOrganisation(), f}] = verdict{proved: q.GetProved(), expires: time.UnixMilli(q.GetExpiresMs())}
		}
	}
	v.verdicts.Store(&next)
}

// Check tells how a request may run. The error, always NotRun, refuses one that is proved deadly, and a suspect
// that may not be repeated, which cannot be tried.
func (v *View) Check(now time.Time, organisation string, f Fingerprint, repeatable bool) (Treatment, *outcome.Error) {
	found, ok := v.find(now, key{organisation, f})
	if !ok {
		return Unrestricted, nil
	}
	left := found.expires.Sub(now)
	switch {
	case found.proved:
		return Unrestricted, refusal("deadly", "two upstreams crashed while they ran this request", deadlyRetry(left))
	case !repeatable:
		return Unrestricted, refusal("suspect", "an upstream crashed while this request ran; it is not run again until that is settled", left)
	default:
		return Alone, nil
	}
}

func (v *View) find(now time.Time, k key) (verdict, bool) {
	v.mutex.Lock()
	seen, isSeen := v.seen[k]
	v.mutex.Unlock()
	if isSeen && now.Before(seen) {
		return verdict{proved: true, expires: seen}, true
	}
	known := v.verdicts.Load()
	if known == nil {
		return verdict{}, false
	}
	found, ok := (*known)[k]
	return found, ok && now.Before(found.expires)
}

// RefuseLocally notes that this entry saw a request crash two upstreams, so that it refuses a resend before control's
// verdict arrives.
func (v *View) RefuseLocally(now time.Time, organisation string, f Fingerprint) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for k, expires := range v.seen {
		if !now.Before(expires) {
			delete(v.seen, k)
		}
	}
	if v.seen == nil {
		v.seen = map[key]time.Time{}
	}
	if len(v.seen) < DefaultLimit {
		v.seen[key{organisation, f}] = now.Add(SuspectFor)
	}
}

// deadlyRetry returns the retry advice for a refused request: none while it is of no use.
func deadlyRetry(left time.Duration) time.Duration {
	if left > SuspectFor {
		return 0
	}
	return left
}

func refusal(reason, detail string, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: stepQuarantine, Outcome: outcome.NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter,
		Status: http.StatusUnprocessableEntity,
	}
}
