package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/quarantine"
)

// Guards against a sound request that is sent along with a deadly one again and again, until both are refused. Those that ran in the
// same two crashes get different places, at every process that holds the evidence.
func TestRequestsOfTheSameCrashesAreRivals(t *testing.T) {
	first, second := quarantine.NewMemory(), quarantine.NewMemory()
	first.RecordDeath(start, answering("0", ran("x", time.Second), ran("y", time.Second), ran("z", time.Second)))
	require.Zero(t, first.Rivals(start, subject("x")))
	now := start.Add(2 * time.Second)
	second.RecordDeath(now, answering("1", ran("y", time.Second), ran("x", time.Second)))
	exchange(now, first, second)
	for _, body := range []string{"x", "y"} {
		rivals := first.Rivals(now, subject(body))
		require.Equal(t, 2, rivals.Count)
		require.Equal(t, rivals, second.Rivals(now, subject(body)))
	}
	require.NotEqual(t, first.Rivals(now, subject("x")).Index, first.Rivals(now, subject("y")).Index)
	require.Zero(t, first.Rivals(now, subject("z")))
	require.Zero(t, first.Rivals(now, subject("unknown")))
}

// Guards against a request that is held back although it is known by now which one is deadly, or one of its runs ended whole.
func TestRivalsEndWithTheirSuspicion(t *testing.T) {
	for _, isProved := range []bool{true, false} {
		m := quarantine.NewMemory()
		for n := range 2 {
			m.RecordDeath(start.Add(time.Duration(n)*2*time.Second), answering(fmt.Sprint(n), ran("x", time.Second), ran("y", time.Second)))
		}
		now := start.Add(4 * time.Second)
		require.Equal(t, 2, m.Rivals(now, subject("y")).Count)
		changed := m.Changes()
		if isProved {
			m.RecordDeath(now, answering("2", ran("x", time.Second)))
		} else {
			progressOf(m, now, "x")
		}
		require.NotNil(t, changed)
		<-changed
		require.Zero(t, m.Rivals(now, subject("y")))
	}
}

// BenchmarkRivals asks for the rivals of a request while it and 511 others ran in the same two crashes.
func BenchmarkRivals(b *testing.B) {
	m := quarantine.NewMemory()
	for n := range 2 {
		report := answering(fmt.Sprint(n))
		for k := range 512 {
			report.Answering = append(report.Answering, ran(fmt.Sprint(k), time.Second))
		}
		m.RecordDeath(start.Add(time.Duration(n)*2*time.Second), report)
	}
	asked := subject("0")
	for b.Loop() {
		if m.Rivals(start.Add(2*time.Second), asked).Count != 512 {
			b.Fatal("rivals are missing")
		}
	}
}
