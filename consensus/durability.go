package consensus

// Tracks which writes are synced, and which messages wait for a sync. A replica acknowledges a term, a vote or an
// entry only when it would survive a power failure.

import "guavahitch.example/guavahitch/wire"

type (
	durability struct {
		// next is the sequence number of the write that is being collected, synced that of the last synced write.
		next, synced uint64
		// stateWrite and entryWrite are the sequence numbers of the last writes with a state and with an entry.
		stateWrite, entryWrite uint64
		// syncedIndex is the index of the last synced entry.
		syncedIndex uint64
		unsynced    []unsyncedWrite
		held        []heldMessage
	}

	// unsyncedWrite is the sequence number and the last entry of a write that is not synced yet.
	unsyncedWrite struct {
		sequence, index uint64
	}

	// heldMessage is a message that is released once the write afterWrite is synced.
	heldMessage struct {
		afterWrite uint64
		message    *wire.ReplicaMessage
	}
)

func newDurability(index uint64) durability {
	return durability{next: 1, syncedIndex: index}
}

func (d *durability) hold(afterWrite uint64, m *wire.ReplicaMessage) {
	d.held = append(d.held, heldMessage{afterWrite: afterWrite, message: m})
}

// recordAppend records that the next write holds the entries of the log up to last.
func (d *durability) recordAppend(last uint64) {
	d.entryWrite = d.next
	if n := len(d.unsynced); n > 0 && d.unsynced[n-1].sequence == d.next {
		d.unsynced[n-1].index = last
		return
	}
	d.unsynced = append(d.unsynced, unsyncedWrite{sequence: d.next, index: last})
}

// recordTruncate records that the log was truncated after the index: later entries no longer count as synced.
func (d *durability) recordTruncate(index uint64) {
	d.syncedIndex = min(d.syncedIndex, index)
	for i := range d.unsynced {
		d.unsynced[i].index = min(d.unsynced[i].index, index)
	}
}

// advance records that a write is synced, and returns the messages that waited for it, in order.
func (d *durability) advance(sequence uint64) []*wire.ReplicaMessage {
	d.synced = max(d.synced, sequence)
	for len(d.unsynced) > 0 && d.unsynced[0].sequence <= sequence {
		d.syncedIndex = max(d.syncedIndex, d.unsynced[0].index)
		d.unsynced = d.unsynced[1:]
	}
	var released []*wire.ReplicaMessage
	kept := d.held[:0]
	for _, h := range d.held {
		if h.afterWrite <= sequence {
			released = append(released, h.message)
		} else {
			kept = append(kept, h)
		}
	}
	d.held = kept
	return released
}
