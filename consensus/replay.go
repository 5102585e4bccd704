package consensus

// Rebuilds the log from the journal when a replica opens.

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/wire"
)

// resetPayloadBytes is the size of a reset record's payload: index and term of the snapshot.
const resetPayloadBytes = 16

// replay collects the entries from the journal's records. An entry whose index is held already replaces the entry
// at that index and removes all later ones.
type replay struct {
	storage        *Storage
	base, baseTerm uint64
	entries        []*wire.LogEntry
}

func (r *replay) handleRecord(record journal.Record) (uint64, error) {
	switch record.Kind {
	case recordState:
		state := &wire.ReplicaState{}
		if err := proto.Unmarshal(record.Payload, state); err != nil {
			return 0, &FolderError{File: "journal", Detail: "state cannot be read: " + err.Error()}
		}
		r.storage.state = state
		return 0, nil
	case recordEntry:
		e := &wire.LogEntry{}
		if err := proto.Unmarshal(record.Payload, e); err != nil {
			return 0, &FolderError{File: "journal", Detail: "entry cannot be read: " + err.Error()}
		}
		return e.Index, r.add(e)
	case recordReset:
		if len(record.Payload) != resetPayloadBytes {
			return 0, &FolderError{File: "journal", Detail: "reset record has a wrong length"}
		}
		r.entries = nil
		return binary.LittleEndian.Uint64(record.Payload), nil
	default:
		return 0, &FolderError{File: "journal", Detail: fmt.Sprintf("unknown kind %d of record", record.Kind)}
	}
}

func (r *replay) add(e *wire.LogEntry) error {
	if n := len(r.entries); n > 0 {
		first := r.entries[0].Index
		switch {
		case e.Index > first+uint64(n):
			return &FolderError{File: "journal", Detail: fmt.Sprintf(
				"entry %d is followed by entry %d", first+uint64(n)-1, e.Index)}
		case e.Index <= first:
			r.entries = nil
		default:
			r.entries = r.entries[:e.Index-first]
		}
	}
	r.entries = append(r.entries, e)
	return nil
}

// finish returns the entries after the snapshot. It returns none and true when the snapshot has replaced the entries
// in the journal.
func (r *replay) finish() (entries []*wire.LogEntry, isReplaced bool, err error) {
	if len(r.entries) == 0 {
		return nil, false, nil
	}
	first := r.entries[0].Index
	last := first + uint64(len(r.entries)) - 1
	switch {
	case first > r.base+1:
		return nil, false, &FolderError{File: "journal", Detail: fmt.Sprintf(
			"starts at entry %d behind a snapshot of entry %d", first, r.base)}
	case first == r.base+1:
		return r.entries, false, nil
	case last < r.base || r.entries[r.base-first].Term != r.baseTerm:
		return nil, true, nil
	}
	return append([]*wire.LogEntry(nil), r.entries[r.base-first+1:]...), false, nil
}
