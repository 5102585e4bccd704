package consensus

// The effects that the core returns for its driver to carry out. Messages may be sent at once. A Write has to be
// synced before the driver reports it with Core.Synced, which releases the messages that depend on it.

import "guavahitch.example/guavahitch/wire"

type (
	// Effects are the results of the inputs since the last Core.TakeEffects.
	Effects struct {
		// Messages are to be sent to the replicas in their To fields.
		Messages []*wire.ReplicaMessage
		// Write is to be stored and synced; nil when there is nothing to store.
		Write *Write
		// Restore asks the driver to load the stored snapshot into the state machine before Committed is applied.
		Restore bool
		// Committed entries are to be applied in this order.
		Committed []*wire.LogEntry
		// Reads are the results of Core.Read.
		Reads []ReadResult
		// Chunks are snapshot messages. The driver reads the chunk from the stored snapshot, puts it into the
		// message and sends it.
		Chunks []ChunkRequest
		// IsLeadershipLost is set when the replica has stopped leading: whether proposals without a result
		// will be committed by another leader is unknown.
		IsLeadershipLost bool
	}

	// Write holds data to be synced to disk before Core.Synced is called with its sequence number.
	Write struct {
		Sequence uint64
		// State replaces the stored state; nil for no change.
		State *wire.ReplicaState
		// Entries follow the stored entries. When an index is stored already, the stored log is truncated there.
		Entries []*wire.LogEntry
		// Chunks are parts of a snapshot that the leader sends to this replica.
		Chunks []ChunkWrite
		// Compact is the index up to which stored entries may be dropped, 0 for none.
		Compact uint64
	}

	// ChunkWrite is a part of a received snapshot file to be stored. Offset is in bytes.
	ChunkWrite struct {
		Index, Term uint64
		Offset      uint64
		Data        []byte
		// IsLast asks the storage to check the whole file and to replace the log and the snapshot with it.
		IsLast bool
	}

	// ChunkRequest asks the driver to send a chunk of the stored snapshot.
	ChunkRequest struct {
		Message *wire.ReplicaMessage
		// Offset is the start of the chunk in the snapshot file, in bytes.
		Offset uint64
	}

	// ReadResult is the result of one read request of Core.Read.
	ReadResult struct {
		ID uint64
		// Index is the entry that has to be applied before the state machine is read.
		Index uint64
		// IsLost is set when the replica does not lead, so the read has to be refused.
		IsLost bool
	}

	// SnapshotInfo describes the stored snapshot.
	SnapshotInfo struct {
		Index, Term uint64
		TimeMs      int64
		// Bytes is the length of the snapshot file.
		Bytes   uint64
		members membership
	}

	// Recovered is the persisted state that OpenStorage reads from a replica's folder.
	Recovered struct {
		Incarnation uint64
		State       *wire.ReplicaState
		Snapshot    SnapshotInfo
		Entries     []*wire.LogEntry
	}
)

func (w *Write) isEmpty() bool {
	return w.State == nil && len(w.Entries) == 0 && len(w.Chunks) == 0 && w.Compact == 0
}
