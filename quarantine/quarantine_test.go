package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func suspect(organisation, body string, alone bool) *wire.Suspect {
	return &wire.Suspect{
		Organisation: organisation, Fingerprint: quarantine.NewFingerprint(organisation, "/v1", []byte(body)).Bytes(),
		Repeatable: true, Alone: alone,
	}
}

func ExampleTracker() {
	tracker := quarantine.NewTracker(quarantine.Settings{})
	view := &quarantine.View{}
	now := time.Now()
	deadly := quarantine.NewFingerprint("tuulai", "/v1", []byte("deadly"))
	tracker.RecordDeath(now, &wire.DeathReport{CrashId: "1", Running: []*wire.Suspect{suspect("tuulai", "deadly", false), suspect("tuulai", "innocent", false)}})
	view.SetVerdicts(tracker.Verdicts())
	treatment, _ := view.Check(now, "tuulai", deadly, true)
	fmt.Println(treatment == quarantine.Alone)
	tracker.RecordDeath(now, &wire.DeathReport{CrashId: "2", Running: []*wire.Suspect{suspect("tuulai", "deadly", true)}})
	view.SetVerdicts(tracker.Verdicts())
	_, refused := view.Check(now, "tuulai", deadly, true)
	fmt.Println(refused.Reason, refused.Outcome)
	// Output:
	// true
	// deadly NotRun
}

func TestAnotherOrganisationIsNotBlocked(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.Settings{})
	view := &quarantine.View{}
	for _, crash := range []string{"1", "2"} {
		tracker.RecordDeath(start, &wire.DeathReport{CrashId: crash, Running: []*wire.Suspect{suspect("a", "body", true)}})
	}
	view.SetVerdicts(tracker.Verdicts())
	_, refused := view.Check(start, "a", quarantine.NewFingerprint("a", "/v1", []byte("body")), true)
	require.Equal(t, "deadly", refused.Reason)
	treatment, refused := view.Check(start, "b", quarantine.NewFingerprint("b", "/v1", []byte("body")), true)
	require.Nil(t, refused)
	require.Equal(t, quarantine.Unrestricted, treatment)
}

func TestARepeatedReportCountsOnce(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.Settings{})
	report := &wire.DeathReport{CrashId: "1", Running: []*wire.Suspect{suspect("a", "x", true)}}
	require.Len(t, tracker.RecordDeath(start, report), 1)
	require.Empty(t, tracker.RecordDeath(start, report))
	require.False(t, tracker.Verdicts()[0].Proved)
}
