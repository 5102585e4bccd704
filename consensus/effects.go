package consensus

// What the core asks of its driver. Messages may go out at once; a Write has to be synced before the driver
// reports it by Core.Synced, which releases the messages that had to wait for it.

import "guavahitch.example/guavahitch/wire"

type (
	// Effects are the results of the inputs since the last Take.
	Effects struct {
		// Messages are to be sent to the replicas that they name.
		Messages []*wire.ReplicaMessage
		// Write is to be stored, nil for nothing.
		Write *Write
		// Restore tells to load the stored snapshot into the state machine before Committed is applied.
		Restore bool
		// Committed entries are to be applied in this order.
		Committed []*wire.LogEntry
		// Reads are answers to Core.Read.
		Reads []ReadResult
		// Chunks are messages whose piece of the stored snapshot the driver has to fill in and send.
		Chunks []ChunkRequest
		// IsLeadershipLost tells that proposals without a result may be committed by another leader or not.
		IsLeadershipLost bool
	}

	// Write is what has to be on the disk before Core.Synced is called with its sequence.
	Write struct {
		Sequence uint64
		// State replaces the stored one, nil for no change.
		State *wire.ReplicaState
		// Entries follow the stored ones; an index that is stored already cuts the log there.
		Entries []*wire.LogEntry
		// Chunks are pieces of a snapshot that the leader sends.
		Chunks []ChunkWrite
		// Compact is the index up to which stored entries may be dropped.
		Compact uint64
	}

	// ChunkWrite is a piece of a snapshot file to be stored.
	ChunkWrite struct {
		Index, Term uint64
		Offset      uint64
		Data        []byte
		// IsLast tells to check the whole file and to put it in the place of log and snapshot.
		IsLast bool
	}

	// ChunkRequest asks for a piece of the stored snapshot to be sent.
	ChunkRequest struct {
		Message *wire.ReplicaMessage
		// Offset is where the piece starts, in bytes.
		Offset uint64
	}

	// ReadResult answers Core.Read.
	ReadResult struct {
		ID uint64
		// Index has to be applied before the read.
		Index uint64
		// IsLost tells that the replica does not lead, so the read has no answer.
		IsLost bool
	}

	// SnapshotInfo describes the stored snapshot.
	SnapshotInfo struct {
		Index, Term uint64
		TimeMs      int64
		// Bytes is the length of the file.
		Bytes   uint64
		members membership
	}

	// Recovered is what a replica finds in its folder.
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
