package consensus

// The folder of a replica: its identity, the journal of states and entries, and the newest snapshot. Write, Sync and
// MarkSynced are called from one goroutine; SaveSnapshot, ReadChunk and State may run concurrently with them.

import (
	"encoding/binary"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/wire"
)

const (
	recordState = journal.FirstKind + iota
	recordEntry
	// recordReset states that a received snapshot replaces all entries before this record.
	recordReset
)

type (
	// StorageSettings configure OpenStorage.
	StorageSettings struct {
		ID string
		// Incarnation returns the incarnation of a new folder, as Settings.Incarnation does.
		Incarnation func() uint64
		// SegmentBytes is the size of a journal segment; 0 selects the journal's default.
		SegmentBytes int
	}

	// Storage is a replica's open folder.
	Storage struct {
		disk     *journal.Disk
		journal  *journal.Journal
		state    *wire.ReplicaState
		received *journal.File

		mutex    sync.Mutex
		snapshot SnapshotInfo
	}
)

// OpenStorage opens a replica's folder, initialises it when it is empty, and returns the state recovered from it.
// It returns a *FolderError when the folder belongs to another replica, has an unknown format, lacks its identity or
// its journal, or holds an identity, a snapshot or an entry that cannot be read.
func OpenStorage(disk *journal.Disk, settings StorageSettings) (*Storage, Recovered, error) {
	stored, isThere, err := readIdentity(disk)
	if err != nil {
		return nil, Recovered{}, err
	}
	if isThere && stored.ID != settings.ID {
		return nil, Recovered{}, &FolderError{File: identityName, Detail: "belongs to replica " + stored.ID + ", not " + settings.ID}
	}
	s := &Storage{disk: disk, state: &wire.ReplicaState{}}
	if err := s.loadSnapshot(); err != nil {
		return nil, Recovered{}, err
	}
	entries, err := s.openJournal(isThere, settings.SegmentBytes)
	if err != nil {
		return nil, Recovered{}, err
	}
	if !isThere {
		if len(entries) > 0 || s.snapshot.Index > 0 {
			s.Close()
			return nil, Recovered{}, &FolderError{File: identityName, Detail: "is missing from a folder that was in use"}
		}
		stored = identityFile{Format: FolderFormat, ID: settings.ID, Incarnation: settings.Incarnation()}
		if err := writeIdentity(disk, stored); err != nil {
			s.Close()
			return nil, Recovered{}, err
		}
	}
	return s, Recovered{
		Incarnation: stored.Incarnation, State: s.state, Snapshot: s.snapshot, Entries: entries,
	}, nil
}

func (s *Storage) openJournal(isUsed bool, segmentBytes int) ([]*wire.LogEntry, error) {
	if isUsed {
		names, err := s.disk.List()
		if err != nil {
			return nil, eris.Wrap(err, "list folder")
		}
		if !hasSegment(names) {
			return nil, &FolderError{File: identityName, Detail: "has no journal beside it"}
		}
	}
	r := &replay{storage: s, base: s.snapshot.Index, baseTerm: s.snapshot.Term}
	opened, err := journal.Open(s.disk, journal.Settings{SegmentBytes: segmentBytes, Replay: r.handleRecord})
	if err != nil {
		return nil, err
	}
	s.journal = opened
	entries, isReplaced, err := r.finish()
	if err == nil && isReplaced {
		err = s.appendReset(s.snapshot)
	}
	if err != nil {
		s.Close()
	}
	return entries, err
}

// appendReset records that the snapshot replaces all entries before this record.
func (s *Storage) appendReset(info SnapshotInfo) error {
	payload := binary.LittleEndian.AppendUint64(nil, info.Index)
	payload = binary.LittleEndian.AppendUint64(payload, info.Term)
	return s.journal.Append(recordReset, info.Index, payload)
}

func hasSegment(names []string) bool {
	for _, n := range names {
		if journal.IsSegment(n) {
			return true
		}
	}
	return false
}

// Write appends a write to the journal. It survives a power failure after the next Sync. For a received snapshot
// that fails its check, the error satisfies IsBadSnapshot, and the rest of the write is stored.
func (s *Storage) Write(w *Write) error {
	if w.State != nil {
		s.state = w.State
		if err := s.append(recordState, 0, w.State); err != nil {
			return err
		}
	}
	for _, e := range w.Entries {
		if err := s.append(recordEntry, e.Index, e); err != nil {
			return err
		}
	}
	if w.Compact > 0 {
		if err := s.journal.Drop(w.Compact); err != nil {
			return err
		}
	}
	for _, chunk := range w.Chunks {
		if err := s.writeChunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (s *Storage) append(kind uint32, mark uint64, message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	return s.journal.Append(kind, mark, payload)
}

// Sync returns when all writes would survive a power failure. It also starts a new journal segment when the current
// one is full.
func (s *Storage) Sync() error {
	if err := s.journal.Sync(); err != nil {
		return err
	}
	if !s.journal.IsFull() {
		return nil
	}
	if err := s.journal.Rotate(); err != nil {
		return err
	}
	// Each segment starts with the state, so that older segments can be dropped.
	if err := s.append(recordState, 0, s.state); err != nil {
		return err
	}
	return s.journal.Sync()
}

// MarkSynced appends a mark to the journal that everything before it is synced. It is called when no writes wait.
func (s *Storage) MarkSynced() error { return s.journal.WriteSyncMarker() }

// Close closes the files without a sync.
func (s *Storage) Close() {
	if s.received != nil {
		_ = s.received.Close()
	}
	if s.journal != nil {
		s.journal.Close()
	}
}
