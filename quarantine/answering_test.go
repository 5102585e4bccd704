package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// answering returns the report of a crash that cut off answers that had gone on well.
func answering(id string, cut ...*wire.Suspect) *wire.DeathReport {
	return &wire.DeathReport{CrashId: id, Answering: cut}
}

// Guards against a request that ends its upstreams late in its answer and is never refused. It must be refused after three crashes,
// whatever other requests each of them cut off, at every process that hears of them.
func TestRequestOfThreeLateCrashesIsRefused(t *testing.T) {
	first, second := quarantine.NewMemory(), quarantine.NewMemory()
	for n := range 3 {
		at := start.Add(time.Duration(n) * 2 * time.Second)
		require.False(t, isRefused(first, at, "deadly"), n)
		first.RecordDeath(at, answering(fmt.Sprint(n), ran("deadly", time.Second), ran(fmt.Sprint("beside ", n), time.Second)))
		// The answer goes on well in the next run, too, which shows nothing.
		first.RecordProgress(at.Add(500*time.Millisecond), subject("deadly", "part"))
	}
	now := start.Add(5 * time.Second)
	exchange(now, first, second)
	for _, m := range []*quarantine.Memory{first, second} {
		require.True(t, isRefused(m, now, "deadly"))
		for n := range 3 {
			require.False(t, isRefused(m, now, fmt.Sprint("beside ", n)))
		}
	}
}

// Guards against a request that is refused because its long answers were cut off, although one of its runs has ended whole since.
func TestWholeAnswerClearsLateCrashes(t *testing.T) {
	m := quarantine.NewMemory()
	for n := range 4 {
		m.RecordDeath(start.Add(time.Duration(n)*2*time.Second), answering(fmt.Sprint(n), ran("long", time.Second)))
		if n == 1 {
			m.RecordCompletion(start.Add(3*time.Second), subject("long"))
		}
	}
	require.False(t, isRefused(m, start.Add(7*time.Second), "long"))
}

// Guards against a part that is refused because many requests with it were cut off in the middle of their answers, which happens
// to every part that all requests share.
func TestLateCrashesDoNotSpeakAgainstParts(t *testing.T) {
	m := quarantine.NewMemory()
	for n := range 10 {
		m.RecordDeath(start.Add(time.Duration(n)*2*time.Second), answering(fmt.Sprint(n), ran(fmt.Sprint(n), time.Second, "shared")))
	}
	require.False(t, refusesPart(m, start.Add(20*time.Second), "shared"))
}

// Guards against a sound request that began shortly before each of two crashes and is refused in place of the one that caused them,
// whose answer had gone on well. The next crash tells which one it is.
func TestAnEarlyCrashDoesNotAccuseBesideALateOne(t *testing.T) {
	m := quarantine.NewMemory()
	for n := range 2 {
		m.RecordDeath(start.Add(time.Duration(n)*2*time.Second), &wire.DeathReport{
			CrashId: fmt.Sprint(n), Running: []*wire.Suspect{ran("sound", 100*time.Millisecond)}, Answering: []*wire.Suspect{ran("deadly", time.Second)},
		})
	}
	now := start.Add(3 * time.Second)
	require.False(t, isRefused(m, now, "sound"))
	require.False(t, isRefused(m, now, "deadly"))
	m.RecordDeath(start.Add(4*time.Second), answering("2", ran("deadly", time.Second)))
	now = start.Add(5 * time.Second)
	require.False(t, isRefused(m, now, "sound"))
	require.True(t, isRefused(m, now, "deadly"))
}

// Guards against requests of the same three crashes that are all refused for minutes after a further crash has told which one is deadly.
func TestRequestsBesideADeadlyOneAreReleased(t *testing.T) {
	m := quarantine.NewMemory()
	for n := range 3 {
		m.RecordDeath(start.Add(time.Duration(n)*2*time.Second), crashReport(fmt.Sprint(n), ran("deadly", 100*time.Millisecond), ran("sound", 100*time.Millisecond)))
	}
	now := start.Add(5 * time.Second)
	require.True(t, isRefused(m, now, "sound"))
	m.RecordDeath(start.Add(6*time.Second), crashReport("3", ran("deadly", 100*time.Millisecond)))
	now = start.Add(7 * time.Second)
	require.False(t, isRefused(m, now, "sound"))
	require.True(t, isRefused(m, now, "deadly"))
}

// Guards against verdicts that depend on which entry reports first that a request ran in a crash, with two runs of it there.
func TestEarlierRunOfARequestIsKept(t *testing.T) {
	early := func(id string) *wire.DeathReport { return crashReport(id, ran("x", 100*time.Millisecond, "part")) }
	late := func(id string) *wire.DeathReport { return answering(id, ran("x", time.Second, "part")) }
	for _, isEarlyFirst := range []bool{true, false} {
		m := quarantine.NewMemory()
		for n := range 2 {
			id, at := fmt.Sprint(n), start.Add(time.Duration(n)*2*time.Second)
			reports := []*wire.DeathReport{early(id), late(id)}
			if !isEarlyFirst {
				reports = []*wire.DeathReport{late(id), early(id)}
			}
			for _, r := range reports {
				m.RecordDeath(at, r)
			}
		}
		require.True(t, isRefused(m, start.Add(3*time.Second), "x"))
	}
}
