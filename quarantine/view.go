package quarantine

import (
	"net/http"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// Free lets the request run as any other.
	Free Treatment = iota
	// Alone lets the request run only where nothing else runs.
	Alone
	// stepQuarantine is the step that refusals name.
	stepQuarantine = "quarantine"
)

type (
	// Treatment tells how a request may run.
	Treatment int

	// View is an entry's copy of the verdicts. It is safe for concurrent use; the zero value holds none.
	View struct {
		verdicts atomic.Pointer[map[key]verdict]
	}

	verdict struct {
		proved  bool
		expires time.Time
	}
)

// Use replaces the verdicts by those of control.
func (v *View) Use(verdicts []*wire.Quarantine) {
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
	known := v.verdicts.Load()
	if known == nil {
		return Free, nil
	}
	found, ok := (*known)[key{organisation, f}]
	if !ok || !now.Before(found.expires) {
		return Free, nil
	}
	left := found.expires.Sub(now)
	switch {
	case found.proved:
		return Free, refusal("deadly", "this request crashed the upstreams that ran it", 0)
	case !repeatable:
		return Free, refusal("suspect", "an upstream crashed while this request ran; it is not run again until that is settled", left)
	default:
		return Alone, nil
	}
}

func refusal(reason, detail string, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step: stepQuarantine, Outcome: outcome.NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter,
		Status: http.StatusUnprocessableEntity,
	}
}
