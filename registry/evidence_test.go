package registry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// evidenceTime is the time in which evidence must reach every entry that is connected to a replica.
const evidenceTime = 3 * time.Second

var deadly = quarantine.NewFingerprint("levis", "/match/x", []byte("deadly"))

// follow starts an entry's follower of the replicas at the addresses, which sends its evidence if isSending is set.
func follow(t *testing.T, isSending bool, addresses ...string) (memory *quarantine.Memory, stop func()) {
	t.Helper()
	memory = quarantine.NewMemory()
	return memory, followWith(t, memory, isSending, addresses...)
}

// followWith starts an entry's follower with a memory.
func followWith(t *testing.T, memory *quarantine.Memory, isSending bool, addresses ...string) (stop func()) {
	t.Helper()
	follower := registry.NewFollower(registry.FollowerSettings{
		Seeds: func() []string { return append([]string(nil), addresses...) }, IsEntry: isSending, Memory: memory,
		OnUpstreams: func([]roster.Entry, []roster.Entry) {}, Log: quietLog(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- follower.Run(ctx) }()
	stop = func() {
		cancel()
		<-done
	}
	require.Eventually(t, follower.IsConnected, 10*time.Second, 5*time.Millisecond)
	return stop
}

// recordCrash records that an upstream ended while it ran the deadly request.
func recordCrash(m *quarantine.Memory, number int, ago time.Duration) {
	m.RecordDeath(time.Now(), &wire.DeathReport{
		CrashId: fmt.Sprintf("u%d/1", number), AgeMs: ago.Milliseconds(),
		Running: []*wire.Suspect{{Organisation: "levis", Fingerprint: deadly.Bytes(), RanMs: 60}},
	})
}

func refuses(m *quarantine.Memory) func() bool {
	return func() bool {
		return m.Check(time.Now(), quarantine.Subject{Organisation: "levis", Request: deadly}) != nil
	}
}

// Guards against verdicts that wait for a leader. One replica of three runs, so there is none; what two entries saw must
// reach both and a third that connects later. An entry that does not send shows that it is the sending that does it.
func TestEvidenceReachesEntriesWithoutALeader(t *testing.T) {
	for _, isSending := range []bool{true, false} {
		t.Run(fmt.Sprint("sending ", isSending), func(t *testing.T) {
			g := newGroup(t, 3, 1)
			for _, id := range g.seeds[1:] {
				g.stop(id)
			}
			replica := g.running[g.seeds[0]]
			require.Eventually(t, func() bool { _, leads := replica.Leading(); return !leads }, 10*time.Second, 10*time.Millisecond)
			first, stopFirst := follow(t, true, g.seeds[0])
			defer stopFirst()
			second, stopSecond := follow(t, isSending, g.seeds[0])
			defer stopSecond()
			recordCrash(first, 1, 2*time.Second)
			recordCrash(second, 2, time.Second)
			third, stopThird := follow(t, true, g.seeds[0])
			defer stopThird()
			if !isSending {
				require.Never(t, refuses(third), 500*time.Millisecond, 50*time.Millisecond)
				return
			}
			for _, m := range []*quarantine.Memory{first, second, third} {
				require.Eventually(t, refuses(m), evidenceTime, 5*time.Millisecond)
			}
		})
	}
}

// An entry that was cut off while it saw crashes must pass them on once it reaches a replica, and replicas pass them on to
// each other: the entries follow different ones.
func TestEvidenceOfAnEntryThatWasCutOff(t *testing.T) {
	g := newGroup(t, 3, 1)
	other, stopOther := follow(t, true, g.seeds[1])
	defer stopOther()
	memory := quarantine.NewMemory()
	recordCrash(memory, 1, 2*time.Second)
	recordCrash(memory, 2, time.Second)
	require.True(t, refuses(memory)())
	require.False(t, refuses(other)())
	defer followWith(t, memory, true, g.seeds[0])()
	require.Eventually(t, refuses(other), evidenceTime, 5*time.Millisecond)
}

// After all replicas and an entry have restarted, the entries that remain must tell them what they know.
func TestEvidenceOutlivesReplicas(t *testing.T) {
	g := newGroup(t, 3, 1)
	first, stopFirst := follow(t, true, g.seeds...)
	defer stopFirst()
	recordCrash(first, 1, 2*time.Second)
	recordCrash(first, 2, time.Second)
	folders := map[string]string{}
	for _, id := range g.seeds {
		folders[id] = g.stop(id)
	}
	for id, folder := range folders {
		g.restart(id, folder)
	}
	second, stopSecond := follow(t, true, g.seeds...)
	defer stopSecond()
	require.Eventually(t, refuses(second), evidenceTime, 5*time.Millisecond)
}
