// Deaths of engines and the verdicts on the requests that they ran. The verdict itself is made outside,
// from the reported deaths; this file stores it and hands it to every process.

package control

import (
	"bytes"
	"encoding/hex"
	"fmt"

	"guavahitch.example/guavahitch/wire"
)

// quarantineLimit is the most fingerprints in quarantine; the one that expires first makes room.
const quarantineLimit = 4096

func (s *State) death(replica string, report *wire.DeathReport) *wire.Result {
	s.record(replica, &wire.Record{
		Kind: "death", Subject: report.Upstream, Decision: "noted",
		Cause: fmt.Sprintf("crash %s with %d requests running", report.CrashId, len(report.Running)),
		Rule:  "suspicion is the intersection over distinct crashes",
	})
	return &wire.Result{Applied: true}
}

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
		s.dropQuarantine()
	}
	s.record(replica, &wire.Record{
		Kind: "quarantine", Subject: hex.EncodeToString(q.GetFingerprint()), Decision: decision, Cause: update.Cause,
		Rule: "a fingerprint of one organisation never blocks another",
	})
	s.signal()
	return &wire.Result{Applied: true}
}

func (s *State) dropQuarantine() {
	if len(s.quarantined) <= quarantineLimit {
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
