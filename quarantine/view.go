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
	// Unrestricted means that the request runs like any other.
	Unrestricted Treatment = iota
	// Alone means that the request runs only on an upstream that runs no other request meanwhile.
	Alone
	// TrialDelay is the time between a crash and the trial of a request that was running in it. During this time
	// the verdicts of that crash and of simultaneous ones reach every entry.
	TrialDelay = 300 * time.Millisecond
	// clearInterval is the shortest time between two reports of an entry that speak for the same part.
	clearInterval = time.Second
	// stepQuarantine is the step in refusals of this package.
	stepQuarantine = "quarantine"
)

type (
	// Treatment is how a request may run.
	Treatment int

	// View is an entry's copy of the verdicts. It is safe for concurrent use. The zero value holds no verdicts.
	View struct {
		verdicts atomic.Pointer[map[key]verdict]
		mutex    sync.Mutex
		// refusedLocally maps the requests passed to RefuseLocally to the time at which their refusal expires.
		refusedLocally map[key]time.Time
		// cleared maps the parts that TakeSuspectParts returned to the time at which it did.
		cleared map[key]time.Time
	}

	verdict struct {
		proved  bool
		expires time.Time
	}
)

// SetVerdicts replaces the verdicts with those received from control.
func (v *View) SetVerdicts(verdicts []*wire.Quarantine) {
	next := make(map[key]verdict, len(verdicts))
	for _, q := range verdicts {
		if f, ok := FromBytes(q.GetFingerprint()); ok {
			next[key{q.GetOrganisation(), f, q.GetIsPart()}] = verdict{proved: q.GetProved(), expires: time.UnixMilli(q.GetExpiresMs())}
		}
	}
	v.verdicts.Store(&next)
}

// Check returns how a request may run. It refuses a request proved deadly, and a suspect that may not be repeated,
// since a trial could run it twice. The outcome of a refusal is always NotRun.
func (v *View) Check(now time.Time, organisation string, f Fingerprint, repeatable bool) (Treatment, *outcome.Error) {
	found, ok := v.lookup(now, key{organisation: organisation, fingerprint: f})
	if !ok {
		return Unrestricted, nil
	}
	left := found.expires.Sub(now)
	switch {
	case found.proved:
		return Unrestricted, refusal("deadly", "two upstreams crashed while they ran this request", retryAfterDeadly(left))
	case !repeatable:
		return Unrestricted, refusal(
			"suspect", "an upstream crashed while this request ran; it is not run again until that is settled", left,
		)
	default:
		return Alone, nil
	}
}

// CheckParts refuses a request with a part that is proved deadly. The outcome of the refusal is always NotRun.
func (v *View) CheckParts(now time.Time, parts []Fingerprint) *outcome.Error {
	for _, part := range parts {
		found, ok := v.lookup(now, key{fingerprint: part, isPart: true})
		if ok && found.proved {
			return refusal(
				"deadly", "upstreams crashed while they ran requests with a part of this prompt",
				retryAfterDeadly(found.expires.Sub(now)),
			)
		}
	}
	return nil
}

// TakeSuspectParts returns those of the parts that are suspect, each at most once in clearInterval. The answer to a request
// with them speaks for them.
func (v *View) TakeSuspectParts(now time.Time, parts []Fingerprint) []Fingerprint {
	var suspect []Fingerprint
	for _, part := range parts {
		k := key{fingerprint: part, isPart: true}
		if found, ok := v.lookup(now, k); ok && !found.proved && v.markCleared(now, k) {
			suspect = append(suspect, part)
		}
	}
	return suspect
}

// markCleared records that a part is returned, unless that happened less than clearInterval ago.
func (v *View) markCleared(now time.Time, k key) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if now.Sub(v.cleared[k]) < clearInterval {
		return false
	}
	for k, at := range v.cleared {
		if now.Sub(at) >= clearInterval {
			delete(v.cleared, k)
		}
	}
	if v.cleared == nil {
		v.cleared = map[key]time.Time{}
	}
	v.cleared[k] = now
	return true
}

func (v *View) lookup(now time.Time, k key) (verdict, bool) {
	v.mutex.Lock()
	seen, isSeen := v.refusedLocally[k]
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

// RefuseLocally records that a request crashed two upstreams as seen by this entry, so that a resent copy is refused
// before the verdict of control arrives. The refusal lasts for SuspectFor. While DefaultLimit requests are recorded, a
// further one is not.
func (v *View) RefuseLocally(now time.Time, organisation string, f Fingerprint) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for k, expires := range v.refusedLocally {
		if !now.Before(expires) {
			delete(v.refusedLocally, k)
		}
	}
	if v.refusedLocally == nil {
		v.refusedLocally = map[key]time.Time{}
	}
	if len(v.refusedLocally) < DefaultLimit {
		v.refusedLocally[key{organisation: organisation, fingerprint: f}] = now.Add(SuspectFor)
	}
}

// retryAfterDeadly returns the retry advice for a request proved deadly: the rest of the refusal, or 0 (no advice) if
// that is longer than SuspectFor and a retry is pointless.
func retryAfterDeadly(left time.Duration) time.Duration {
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
