package consensus

// Which writes are synced, and which messages wait for one. A replica vouches for a term, a vote or an entry
// only when a loss of power could no longer take it away.

import "guavahitch.example/guavahitch/wire"

type (
	durability struct {
		// next is the sequence of the write in the making, synced that of the last synced one.
		next, synced uint64
		// stateGate and entryGate are the last writes that hold a state or an entry.
		stateGate, entryGate uint64
		// index is the last synced entry.
		index uint64
		marks []writeMark
		held  []heldMessage
	}

	// writeMark tells the last entry of a write that is not synced yet.
	writeMark struct {
		sequence, index uint64
	}

	heldMessage struct {
		gate    uint64
		message *wire.ReplicaMessage
	}
)

func newDurability(index uint64) durability {
	return durability{next: 1, index: index}
}

func (d *durability) hold(gate uint64, m *wire.ReplicaMessage) {
	d.held = append(d.held, heldMessage{gate: gate, message: m})
}

func (d *durability) appended(last uint64) {
	d.entryGate = d.next
	if n := len(d.marks); n > 0 && d.marks[n-1].sequence == d.next {
		d.marks[n-1].index = last
		return
	}
	d.marks = append(d.marks, writeMark{sequence: d.next, index: last})
}

// truncated takes back what the entries behind the index vouched for.
func (d *durability) truncated(index uint64) {
	d.index = min(d.index, index)
	for i := range d.marks {
		d.marks[i].index = min(d.marks[i].index, index)
	}
}

// advance notes that a write is synced and returns the messages that waited for it, in order.
func (d *durability) advance(sequence uint64) []*wire.ReplicaMessage {
	d.synced = max(d.synced, sequence)
	for len(d.marks) > 0 && d.marks[0].sequence <= sequence {
		d.index = max(d.index, d.marks[0].index)
		d.marks = d.marks[1:]
	}
	var released []*wire.ReplicaMessage
	kept := d.held[:0]
	for _, h := range d.held {
		if h.gate <= sequence {
			released = append(released, h.message)
		} else {
			kept = append(kept, h)
		}
	}
	d.held = kept
	return released
}
