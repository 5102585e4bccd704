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
		if verdict.IsPart && !verdict.Proved {
			// The parts of all requests that were running are suspect at each death. They are not decisions to record.
			s.setQuarantined(verdict)
			s.quarantineChanged()
			continue
		}
		cause := fmt.Sprintf("it was running when %s died in crash %s", report.Upstream, report.CrashId)
		s.quarantine(replica, &wire.QuarantineUpdate{Quarantine: verdict, Cause: cause})
	}
	return &wire.Result{Applied: true}
}

// clear releases a suspected fingerprint: that of a request that ran alone to completion, or of a part of a prompt that was
// answered.
func (s *State) clear(replica string, request *wire.ClearRequest) *wire.Result {
	fingerprint, ok := quarantine.FromBytes(request.Fingerprint)
	switch {
	case !ok:
	case request.IsPart:
		s.clearPart(fingerprint)
	case s.tracker.Clear(request.Organisation, fingerprint):
		return s.quarantine(replica, &wire.QuarantineUpdate{
			Quarantine: &wire.Quarantine{Fingerprint: request.Fingerprint, Organisation: request.Organisation},
			Remove:     true, Cause: "it ran alone to its end",
		})
	}
	return &wire.Result{Applied: true}
}

// clearPart releases a suspected part.
func (s *State) clearPart(part quarantine.Fingerprint) {
	if !s.tracker.ClearPart(time.UnixMilli(s.nowMs), part) {
		return
	}
	delete(s.quarantined, string(part.Bytes()))
	s.quarantineChanged()
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
		s.setQuarantined(q)
	}
	s.quarantineChanged()
	s.record(replica, &wire.Record{
		Kind: "quarantine", Subject: hex.EncodeToString(q.GetFingerprint()), Decision: decision, Cause: update.Cause,
		Rule: "a fingerprint of one organisation never blocks another",
	})
	return &wire.Result{Applied: true}
}

// setQuarantined stores a verdict.
func (s *State) setQuarantined(q *wire.Quarantine) {
	s.quarantined[string(q.GetFingerprint())] = q
	s.evictFirstToExpire()
}

// quarantineChanged makes the verdicts reach every process.
func (s *State) quarantineChanged() {
	s.quarantineVersion = s.index
	s.signal()
}

// evictFirstToExpire removes a suspect, or if there is none a fingerprint proved deadly, if the quarantine exceeds its
// limit: the one with the smallest expiry time. A time of 0 comes first, although such a fingerprint does not expire.
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
	if a.Proved != b.Proved {
		return b.Proved
	}
	if a.ExpiresMs != b.ExpiresMs {
		return a.ExpiresMs < b.ExpiresMs
	}
	return bytes.Compare(a.Fingerprint, b.Fingerprint) < 0
}
