package control_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/wire"
)

// TestReplicaStopsWhenItsDiskCannotBeRead damages the sealed segments. A replica that continued could grant a
// key that is already held, so it must stop.
func TestReplicaStopsWhenItsDiskCannotBeRead(t *testing.T) {
	folder := t.TempDir()
	s, err := control.OpenState(control.StateSettings{Directory: folder, SealKeys: 4})
	require.NoError(t, err)
	for n := range 8 {
		claimAndSettle(s, n)
	}
	s.Snapshot()
	files, err := filepath.Glob(filepath.Join(folder, "claims", "*.segment"))
	require.NoError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		for n := range len(data) / 2 {
			data[n] ^= 1
		}
		require.NoError(t, os.WriteFile(file, data, 0o600))
	}
	require.Panics(t, func() { claimAndSettle(s, 1) })
	require.Error(t, s.Err())
	require.Panics(t, func() { claimAndSettle(s, 100) })
	require.Panics(t, func() { s.Snapshot() })
}

// FuzzApply checks that no command makes Apply panic or leaves a state whose snapshot cannot be restored.
func FuzzApply(f *testing.F) {
	for _, command := range []*wire.Command{
		{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{
			Member: &wire.Member{Name: "a", Epoch: 3}, Leaving: true,
		}}},
		{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{ChangeId: "a", Inventory: []byte("{}")}}},
		{Body: &wire.Command_InForce{InForce: &wire.InForce{Revision: 1}}},
		{Body: &wire.Command_Claim{Claim: &wire.ClaimRequest{
			Organisation: "a", Key: "k", Id: &wire.AttemptID{Request: "r"},
		}}},
		{Body: &wire.Command_Settle{Settle: &wire.SettleRequest{
			Organisation: "a", Key: "k", Id: &wire.AttemptID{Request: "r"},
		}}},
		{Body: &wire.Command_Death{Death: &wire.DeathReport{
			CrashId: "c", Running: []*wire.Suspect{{Fingerprint: []byte("f")}},
		}}},
		{Body: &wire.Command_Quarantine{Quarantine: &wire.QuarantineUpdate{Quarantine: &wire.Quarantine{}}}},
		{Body: &wire.Command_Order{Order: &wire.OrderCommand{Upstream: "u", OrderId: "o", Order: &wire.OrderRequest{}}}},
		{Body: &wire.Command_OrderSettled{OrderSettled: &wire.OrderSettled{Upstream: "u", FencingToken: 1}}},
		{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{}}},
		{Body: &wire.Command_Order{Order: &wire.OrderCommand{}}},
		{Body: &wire.Command_Quarantine{Quarantine: &wire.QuarantineUpdate{}}},
		{},
	} {
		encoded, err := proto.Marshal(command)
		require.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, command []byte) {
		s := control.NewState()
		for n := range uint64(2) {
			s.Apply(control.Entry{Index: n + 1, Term: 1, TimeMs: 1, Command: command})
		}
		require.NoError(t, control.NewState().Restore(s.Snapshot()))
		s.Reset()
		require.Equal(t, control.NewState().Snapshot(), s.Snapshot())
	})
}

// Guards against a log that is applied again on top of the state that it led to before: after a Reset, it leads to the same state.
func TestLogIsAppliedAgainAfterAReset(t *testing.T) {
	s, err := control.OpenState(control.StateSettings{Directory: t.TempDir(), SealKeys: 4})
	require.NoError(t, err)
	empty := s.Snapshot()
	applyAll := func() []byte {
		apply(s, &wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{ChangeId: "a", Inventory: []byte("{}")}}})
		apply(s, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{Member: &wire.Member{Name: "m", Epoch: 3}}}})
		applyDeath(s, "crash", []string{"part"})
		for n := range 10 {
			claimAndSettle(s, n)
		}
		return s.Snapshot()
	}
	first := applyAll()
	s.Reset()
	require.Equal(t, empty, s.Snapshot())
	require.Equal(t, first, applyAll())
	require.NoError(t, s.Restore(first))
	require.Equal(t, first, s.Snapshot())
}

// FuzzRestore checks that no snapshot makes Restore panic.
func FuzzRestore(f *testing.F) {
	s := control.NewState()
	claimAndSettle(s, 1)
	f.Add(s.Snapshot())
	f.Fuzz(func(_ *testing.T, snapshot []byte) {
		restored := control.NewState()
		if restored.Restore(snapshot) == nil {
			restored.Snapshot()
		}
	})
}
