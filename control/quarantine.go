// Engine deaths and the quarantine of the requests that may have caused them. Package quarantine derives
// suspects from the reported deaths. This file applies its results in log order, records them and makes them
// available to every process.

package control

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"time"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// maxQuarantined limits the fingerprints in quarantine. Beyond it, the fingerprint that expires first is
// removed.
const maxQuarantined = 4096

// death records an engine death and quarantines the fingerprints that it makes suspect.
func (s *State) death(replica string, report *wire.DeathReport) *wire.Result {
	s.record(replica, &wire.Record{
		Kind: "death", Subject: report.Upstream, Decision: "noted",
		Cause: fmt.Sprintf("crash %s with %d requests running", report.CrashId, len(report.Running)),
		Rule:  "suspicion is the intersection over distinct crashes",
	})
	for _, verdict := range s.tracker.RecordDeath(time.UnixMilli(s.nowMs), report) {
		cause := fmt.Sprintf("it was running when %s died in crash %s", report.Upstream, report.CrashId)
		s.quarantine(replica, &wire.QuarantineUpdate{Quarantine: verdict, Cause: cause})
	}
	return &wire.Result{Applied: true}
}

// clear releases a suspected fingerprint: that of a request that ran alone to completion, or of a part of a prompt that was
// answered.
func (s *State) clear(replica string, request *wire.ClearRequest) *wire.Result {
	fingerprint, ok := quarantine.FromBytes(request.Fingerprint)
	cause := "it ran alone to its end"
	switch {
	case !ok:
		return &wire.Result{Applied: true}
	case request.IsPart:
		ok, cause = s.tracker.ClearPart(time.UnixMilli(s.nowMs), fingerprint), "a request with it was answered"
	default:
		ok = s.tracker.Clear(request.Organisation, fingerprint)
	}
	if !ok {
		return &wire.Result{Applied: true}
	}
	return s.quarantine(replica, &wire.QuarantineUpdate{
		Quarantine: &wire.Quarantine{
			Fingerprint: request.Fingerprint, Organisation: request.Organisation, IsPart: request.IsPart,
		},
		Remove: true, Cause: cause,
	})
}

// quarantine adds a fingerprint to the quarantine or removes it.
func (s *State) quarantine(replica string, update *wire.QuarantineUpdate) *wire.Result {
	q := update.Quarantine
	name := string(q.GetFingerprint())
	decision := "suspected"
	switch {
	case update.Remove:
		decision = "released"
		delete(s.quarantined, name)
	default:
		if q.Proved {
			decision = "proved deadly"
		}
		s.quarantined[name] = q
		s.evictFirstToExpire()
	}
	s.record(replica, &wire.Record{
		Kind: "quarantine", Subject: hex.EncodeToString(q.GetFingerprint()), Decision: decision, Cause: update.Cause,
		Rule: "a fingerprint of one organisation never blocks another",
	})
	s.quarantineVersion = s.index
	s.signal()
	return &wire.Result{Applied: true}
}

// evictFirstToExpire removes the fingerprint with the smallest expiry time if the quarantine exceeds its limit. A
// time of 0 comes first, although such a fingerprint does not expire.
func (s *State) evictFirstToExpire() {
	if len(s.quarantined) <= maxQuarantined {
		return
	}
	var first *wire.Quarantine
	for _, q := range s.quarantined {
		if first == nil || expiresBefore(q, first) {
			first = q
		}
	}
	delete(s.quarantined, string(first.Fingerprint))
}

func expiresBefore(a, b *wire.Quarantine) bool {
	if a.ExpiresMs != b.ExpiresMs {
		return a.ExpiresMs < b.ExpiresMs
	}
	return bytes.Compare(a.Fingerprint, b.Fingerprint) < 0
}
