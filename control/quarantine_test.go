package control_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// applyDeath applies the report of a death under which requests with the given parts were running.
func applyDeath(s *control.State, crash string, parts ...[]string) {
	report := &wire.DeathReport{CrashId: crash, Upstream: "up-1"}
	for n, ids := range parts {
		subject := quarantine.Subject{Organisation: "north", Request: quarantine.NewFingerprint("north", "/", []byte(fmt.Sprint(crash, n)))}
		for _, id := range ids {
			subject.Parts = append(subject.Parts, quarantine.NewPart(id))
		}
		report.Running = append(report.Running, subject.Suspect())
	}
	apply(s, &wire.Command{Body: &wire.Command_Death{Death: report}})
}

func countRecords(s *control.State) int {
	count := 0
	for reply := s.Records(&wire.RecordsRequest{}); ; reply = s.Records(&wire.RecordsRequest{After: reply.After}) {
		count += len(reply.Records)
		if !reply.More {
			return count
		}
	}
}

// Each death makes the parts of all requests that were running suspect. They must neither push out the verdict on a deadly
// part nor leave a durable record each.
func TestSuspectPartsDoNotFillTheQuarantine(t *testing.T) {
	s, err := control.OpenState(control.StateSettings{Directory: t.TempDir()})
	require.NoError(t, err)
	for n := range 2 {
		applyDeath(s, fmt.Sprint("deadly ", n), []string{"deadly"})
	}
	records := countRecords(s)
	for crash := range 120 {
		var parts [][]string
		for n := range 6 {
			ids := []string{}
			for k := range 8 {
				ids = append(ids, fmt.Sprint(crash, n, k))
			}
			parts = append(parts, ids)
		}
		applyDeath(s, fmt.Sprint(crash), parts...)
	}
	require.LessOrEqual(t, len(s.Quarantined()), 4096)
	refused := false
	for _, q := range s.Quarantined() {
		refused = refused || q.IsPart && q.Proved
	}
	require.True(t, refused, "the verdict on the deadly part was pushed out")
	require.LessOrEqual(t, countRecords(s)-records, 120*(1+6), "one for the death and one for each request")
}
