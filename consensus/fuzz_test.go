package consensus_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/wire"
)

// FuzzStep passes arbitrary messages that are well formed on the wire to a leader and its followers.
func FuzzStep(f *testing.F) {
	for kind := range wire.ReplicaKind_name {
		data, err := proto.Marshal(&wire.ReplicaMessage{
			Kind: wire.ReplicaKind(kind), From: "r2", FromIncarnation: 1002, To: "r1", Term: 2, Index: 1,
			IndexTerm: 1, Commit: 9, Hint: 3, Round: 1 << 60,
			Entries: []*wire.LogEntry{{Index: 2, Term: 2, Kind: wire.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: []byte("x")}},
			Chunk:   &wire.SnapshotChunk{Total: 3, Data: []byte("abc")},
		})
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		m := &wire.ReplicaMessage{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		s := newSimulation(5, 3, setup{})
		s.isFaultless = true
		s.runFor(time.Second)
		for _, r := range s.replicas {
			sent := proto.Clone(m).(*wire.ReplicaMessage)
			sent.To, sent.ToIncarnation, sent.Group = r.id, 0, 0
			for _, group := range []uint64{0, r.group()} {
				sent.Group = group
				r.core.Step(s.now, proto.Clone(sent).(*wire.ReplicaMessage))
				r.core.TakeEffects()
			}
			r.core.Tick(s.now.Add(time.Second))
			r.core.TakeEffects()
		}
	})
}

// group returns the ID of the replica's group, as in the messages that it sends.
func (r *simReplica) group() uint64 {
	r.core.TakeEffects()
	r.core.Step(r.now, &wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_HELLO, From: "r9", FromIncarnation: 9, To: r.id,
	})
	for _, m := range r.core.TakeEffects().Messages {
		return m.Group
	}
	return 0
}

// FuzzDecodeSnapshot decodes arbitrary snapshot files. A file that is accepted must keep its content when it is
// encoded and decoded again.
func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(consensus.EncodeSnapshot(consensus.SnapshotInfo{Index: 7, Term: 2, TimeMs: 5}, []byte("state")))
	f.Add([]byte("GUAVASNP"))
	f.Fuzz(func(t *testing.T, data []byte) {
		info, state, err := consensus.DecodeSnapshot("snapshot", data)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(state), len(data))
		again, kept, err := consensus.DecodeSnapshot("snapshot", consensus.EncodeSnapshot(info, state))
		require.NoError(t, err)
		require.Equal(t, info.Index, again.Index)
		require.Equal(t, state, kept)
	})
}

// FuzzOpenStorage opens folders with arbitrary identities and records.
func FuzzOpenStorage(f *testing.F) {
	entry, err := proto.Marshal(&wire.LogEntry{Index: 1, Term: 1, Data: []byte("x")})
	require.NoError(f, err)
	f.Add([]byte(`{"Format":1,"ID":"r1","Incarnation":5}`), uint32(journal.FirstKind+1), entry, entry)
	f.Add([]byte(`{}`), uint32(journal.FirstKind), []byte{1}, []byte{})
	f.Fuzz(func(t *testing.T, identity []byte, kind uint32, first, second []byte) {
		memory := newMemoryDisk()
		disk := memory.disk()
		j, err := journal.Open(disk, journal.Settings{SegmentBytes: simSegmentBytes})
		require.NoError(t, err)
		for _, payload := range [][]byte{first, second} {
			require.NoError(t, j.Append(max(kind, journal.FirstKind), 0, payload))
		}
		require.NoError(t, j.Sync())
		memory.live["identity.json"] = &memoryFile{data: identity}
		s, recovered, err := consensus.OpenStorage(disk, consensus.StorageSettings{
			ID: "r1", Incarnation: func() uint64 { return 1 }, SegmentBytes: simSegmentBytes,
		})
		if err != nil {
			return
		}
		defer s.Close()
		core := consensus.NewCore(time.UnixMilli(1), consensus.CoreSettings{
			ID: "r1", Seed: 1, Heartbeat: time.Second, ElectionTimeout: 3 * time.Second,
		}, recovered)
		core.Tick(time.UnixMilli(1).Add(time.Minute))
		core.TakeEffects()
	})
}
