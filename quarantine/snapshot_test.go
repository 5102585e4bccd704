package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

func TestRestoredTrackerContinuesLikeTheOriginal(t *testing.T) {
	deadly := quarantine.NewFingerprint("north", "POST /v1/chat/completions", []byte("deadly"))
	report := func(crash string) *wire.DeathReport {
		return &wire.DeathReport{CrashId: crash, Running: []*wire.Suspect{{Fingerprint: deadly.Bytes(), Organisation: "north"}}}
	}
	now := time.UnixMilli(1_000_000)
	first := quarantine.NewTracker(quarantine.Settings{})
	first.RecordDeath(now, report("crash-1"))

	second := quarantine.NewTracker(quarantine.Settings{})
	second.Restore(first.Snapshot())
	require.True(t, proto.Equal(first.Snapshot(), second.Snapshot()))
	require.Empty(t, second.RecordDeath(now, report("crash-1")), "a repeated report counts once, also after a restore")
	verdicts := second.RecordDeath(now, report("crash-2"))
	require.Len(t, verdicts, 1)
	require.True(t, verdicts[0].Proved)
}
