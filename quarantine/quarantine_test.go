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
		Organisation: organisation, Fingerprint: quarantine.Of(organisation, "/v1", []byte(body)).Bytes(),
		Repeatable: true, Alone: alone,
	}
}

func ExampleTracker() {
	tracker := quarantine.NewTracker(quarantine.Settings{})
	view := &quarantine.View{}
	now := time.Now()
	deadly := quarantine.Of("tuulai", "/v1", []byte("deadly"))
	tracker.Died(now, &wire.DeathReport{CrashId: "1", Running: []*wire.Suspect{suspect("tuulai", "deadly", false), suspect("tuulai", "innocent", false)}})
	view.Use(tracker.Verdicts())
	treatment, _ := view.Check(now, "tuulai", deadly, true)
	fmt.Println(treatment == quarantine.Alone)
	tracker.Died(now, &wire.DeathReport{CrashId: "2", Running: []*wire.Suspect{suspect("tuulai", "deadly", true)}})
	view.Use(tracker.Verdicts())
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
		tracker.Died(start, &wire.DeathReport{CrashId: crash, Running: []*wire.Suspect{suspect("a", "body", true)}})
	}
	view.Use(tracker.Verdicts())
	_, refused := view.Check(start, "a", quarantine.Of("a", "/v1", []byte("body")), true)
	require.Equal(t, "deadly", refused.Reason)
	treatment, refused := view.Check(start, "b", quarantine.Of("b", "/v1", []byte("body")), true)
	require.Nil(t, refused)
	require.Equal(t, quarantine.Free, treatment)
}

func TestARepeatedReportCountsOnce(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.Settings{})
	report := &wire.DeathReport{CrashId: "1", Running: []*wire.Suspect{suspect("a", "x", true)}}
	require.Len(t, tracker.Died(start, report), 1)
	require.Empty(t, tracker.Died(start, report))
	require.False(t, tracker.Verdicts()[0].Proved)
}
