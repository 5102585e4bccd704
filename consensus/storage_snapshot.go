package consensus

// The snapshots in a replica's folder: the newest one, the one that is being received, and how one replaces another.

import (
	"errors"

	"github.com/rotisserie/eris"
)

// errBadSnapshot is returned when a received snapshot does not pass its check.
var errBadSnapshot = errors.New("received snapshot is damaged")

// loadSnapshot finds and checks the newest snapshot, and removes older ones, which a crash may have left.
func (s *Storage) loadSnapshot() error {
	names, err := s.disk.List()
	if err != nil {
		return eris.Wrap(err, "list folder")
	}
	newest := ""
	for _, n := range names {
		if isSnapshotName(n) {
			newest = n
		}
	}
	if newest == "" {
		return nil
	}
	data, _, err := readFile(s.disk, newest)
	if err != nil {
		return err
	}
	info, _, err := DecodeSnapshot(newest, data)
	if err != nil {
		return err
	}
	s.snapshot = info
	return s.dropSnapshots(newest)
}

// dropSnapshots removes all snapshots that are older than the named one.
func (s *Storage) dropSnapshots(kept string) error {
	names, err := s.disk.List()
	if err != nil {
		return eris.Wrap(err, "list folder")
	}
	for _, n := range names {
		if isSnapshotName(n) && n < kept {
			if err := s.disk.Remove(n); err != nil {
				return eris.Wrapf(err, "remove %s", n)
			}
		}
	}
	return nil
}

// State returns the state in the newest snapshot, nil when there is none.
func (s *Storage) State() ([]byte, error) {
	info := s.info()
	if info.Index == 0 {
		return nil, nil
	}
	name := snapshotName(info.Index, info.Term)
	data, _, err := readFile(s.disk, name)
	if err != nil {
		return nil, err
	}
	_, state, err := DecodeSnapshot(name, data)
	return state, err
}

func (s *Storage) info() SnapshotInfo {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshot
}

// SaveSnapshot stores a snapshot, which replaces the previous one, and returns the length of its file in bytes.
func (s *Storage) SaveSnapshot(info SnapshotInfo, state []byte) (uint64, error) {
	data := EncodeSnapshot(info, state)
	info.Bytes = uint64(len(data))
	if err := writeFile(s.disk, snapshotDraft, snapshotName(info.Index, info.Term), data); err != nil {
		return 0, err
	}
	return info.Bytes, s.adopt(info)
}

// adopt makes a stored snapshot the newest one and removes the older ones.
func (s *Storage) adopt(info SnapshotInfo) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if info.Index <= s.snapshot.Index {
		return nil
	}
	s.snapshot = info
	return s.dropSnapshots(snapshotName(info.Index, info.Term))
}

// ReadChunk returns the chunk at the offset of the snapshot with the index and term. It returns false when that
// snapshot is no longer the newest one.
func (s *Storage) ReadChunk(index, term, offset uint64) ([]byte, bool, error) {
	info := s.info()
	if info.Index != index || info.Term != term || offset >= info.Bytes {
		return nil, false, nil
	}
	f, err := s.disk.Open(snapshotName(index, term))
	if err != nil {
		return nil, false, eris.Wrap(err, "open snapshot")
	}
	defer f.Close()
	data := make([]byte, min(ChunkBytes, info.Bytes-offset))
	if _, err := f.ReadAt(data, int64(offset)); err != nil {
		return nil, false, eris.Wrap(err, "read snapshot")
	}
	return data, true, nil
}

func (s *Storage) writeChunk(chunk ChunkWrite) error {
	if s.received == nil {
		f, err := s.disk.Open(snapshotReceived)
		if err != nil {
			return eris.Wrap(err, "create received snapshot")
		}
		s.received = f
	}
	if chunk.Offset == 0 {
		if err := s.received.Truncate(0); err != nil {
			return eris.Wrap(err, "truncate received snapshot")
		}
	}
	if _, err := s.received.WriteAt(chunk.Data, int64(chunk.Offset)); err != nil {
		return eris.Wrap(err, "write received snapshot")
	}
	if !chunk.IsLast {
		return nil
	}
	return s.install(chunk)
}

// install checks the received snapshot, and replaces the previous snapshot and all entries in the journal with it.
func (s *Storage) install(chunk ChunkWrite) error {
	data, _, err := readFile(s.disk, snapshotReceived)
	if err != nil {
		return err
	}
	info, _, err := DecodeSnapshot(snapshotReceived, data)
	if err != nil || info.Index != chunk.Index || info.Term != chunk.Term {
		return errBadSnapshot
	}
	if err := s.received.Sync(); err != nil {
		return eris.Wrap(err, "sync received snapshot")
	}
	_ = s.received.Close()
	s.received = nil
	if err := renameSynced(s.disk, snapshotReceived, snapshotName(info.Index, info.Term)); err != nil {
		return err
	}
	if err := s.adopt(info); err != nil {
		return err
	}
	return s.appendReset(info)
}

// IsBadSnapshot reports whether a write failed only because a received snapshot is damaged.
func IsBadSnapshot(err error) bool { return errors.Is(err, errBadSnapshot) }
