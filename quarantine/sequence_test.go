package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// Guards against a deadly request whose crashes are not counted where reports of them took different times: it ended a second
// upstream at once after the first one, and the second crash seems to be the earlier one.
func TestRoundingDoesNotHideACrash(t *testing.T) {
	for _, late := range []time.Duration{-2 * time.Millisecond, 0, 2 * time.Millisecond} {
		m := quarantine.NewMemory()
		first, second := start.Add(late), start
		m.RecordDeath(first, crashReport("first", ran("deadly", 200*time.Millisecond)))
		m.RecordDeath(second, crashReport("second", ran("deadly", time.Millisecond)))
		require.True(t, isRefused(m, start.Add(time.Second), "deadly"), late)
	}
}

// Guards against crashes that are not counted because of a copy of the request that a caller sent meanwhile: of overlapping runs,
// those count that came one after the other.
func TestOverlappingCopyDoesNotHideACrash(t *testing.T) {
	m := quarantine.NewMemory()
	m.RecordDeath(start.Add(50*time.Millisecond), crashReport("first", ran("deadly", 40*time.Millisecond)))
	m.RecordDeath(start.Add(90*time.Millisecond), crashReport("second", ran("deadly", 30*time.Millisecond)))
	m.RecordDeath(start.Add(100*time.Millisecond), crashReport("copy", ran("deadly", 100*time.Millisecond)))
	require.True(t, isRefused(m, start.Add(time.Second), "deadly"))
}

// Guards against a crash that is not counted because the first report of it was late by the time on its way: it then seems to have
// happened after the request was sent again.
func TestLateReportDoesNotHideACrash(t *testing.T) {
	first := func(ageMs int64) *wire.DeathReport {
		report := crashReport("first", ran("deadly", 200*time.Millisecond))
		report.AgeMs = ageMs
		return report
	}
	m := quarantine.NewMemory()
	m.RecordDeath(start.Add(30*time.Millisecond), first(10))
	m.RecordDeath(start.Add(35*time.Millisecond), &wire.DeathReport{CrashId: "second", Running: []*wire.Suspect{ran("deadly", time.Millisecond)}, AgeMs: 34})
	require.False(t, isRefused(m, start.Add(time.Second), "deadly"))
	report := first(40)
	report.Running = append(report.Running, ran("beside", 100*time.Millisecond))
	m.RecordDeath(start.Add(40*time.Millisecond), report)
	require.True(t, isRefused(m, start.Add(time.Second), "deadly"))
}

// Guards against a crash that is not counted at a process that hears of it late, although the entry that sent the request again
// knows the order.
func TestSecondAttemptIsSentAfterTheFirstCrash(t *testing.T) {
	for _, c := range []struct {
		after     string
		isRefused bool
	}{{"first", true}, {"other", false}, {"", false}} {
		m := quarantine.NewMemory()
		m.RecordDeath(start.Add(50*time.Millisecond), crashReport("first", ran("deadly", 200*time.Millisecond)))
		again := ran("deadly", time.Millisecond)
		again.AfterCrash = c.after
		m.RecordDeath(start, crashReport("second", again))
		require.Equal(t, c.isRefused, isRefused(m, start.Add(time.Second), "deadly"), c.after)
	}
}

// Guards against a deadly request that is not refused because an entry that had lost the upstream long before reports the crash, too.
func TestEarlierLossDoesNotHideACrash(t *testing.T) {
	m := quarantine.NewMemory()
	m.RecordDeath(start.Add(-time.Minute), crashReport("0", ran("elsewhere", time.Second)))
	m.RecordDeath(start, crashReport("1", ran("deadly", time.Second)))
	progressOf(m, start.Add(5*time.Second), "deadly")
	m.RecordDeath(start.Add(10*time.Second), crashReport("2", ran("deadly", time.Second)))
	lost := crashReport("2", ran("beside", time.Second))
	lost.AgeMs = 8_000
	m.RecordDeath(start.Add(11*time.Second), lost)
	m.RecordDeath(start.Add(20*time.Second), crashReport("3", ran("deadly", time.Second)))
	require.True(t, isRefused(m, start.Add(21*time.Second), "deadly"))
}

// Guards against attempts that seem to follow a crash that was reported without an ID.
func TestCrashWithoutAnIDPrecedesNone(t *testing.T) {
	m := quarantine.NewMemory()
	m.RecordDeath(start.Add(50*time.Millisecond), crashReport("", ran("sound", 200*time.Millisecond)))
	m.RecordDeath(start, crashReport("second", ran("sound", 100*time.Millisecond)))
	require.False(t, isRefused(m, start.Add(time.Second), "sound"))
}
