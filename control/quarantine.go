// Deaths of engines and the verdicts on the requests that they ran. Package quarantine makes the verdict from
// the reported deaths; this file applies it from the log, records it and hands it to every process.

package control

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"time"

	"guavahitch.example/guavahitch/quarantine"
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
	for _, verdict := range s.tracker.RecordDeath(time.UnixMilli(s.nowMs), report) {
		cause := fmt.Sprintf("it was running when %s died in crash %s", report.Upstream, report.CrashId)
		s.quarantine(replica, &wire.QuarantineUpdate{Quarantine: verdict, Cause: cause})
	}
	return &wire.Result{Applied: true}
}

// clear frees a suspect that ran alone to its end.
func (s *State) clear(replica string, request *wire.ClearRequest) *wire.Result {
	fingerprint, ok := quarantine.FromBytes(request.Fingerprint)
	if !ok || !s.tracker.Clear(request.Organisation, fingerprint) {
		return &wire.Result{Applied: true}
	}
	return s.quarantine(replica, &wire.QuarantineUpdate{
		Quarantine: &wire.Quarantine{Fingerprint: request.Fingerprint, Organisation: request.Organisation},
		Remove:     true, Cause: "it ran alone to its end",
	})
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
	s.verdicts = s.index
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
