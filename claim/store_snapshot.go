// Snapshots of a store. A snapshot names the sealed segments and contains only the values that are not sealed
// yet, so its size does not grow with the number of stored keys. A replica that lacks a segment fetches it from
// a peer.

package claim

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wire"
)

// Snapshot waits until the segments are on disk and returns the state of the store.
func (s *Store) Snapshot() (*wire.StoreSnapshot, error) {
	if err := s.Sync(); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeDropped()
	snapshot := &wire.StoreSnapshot{Sequence: s.sequence, RetentionMs: s.settings.Retention.Milliseconds()}
	for _, sealed := range s.segments {
		snapshot.Segments = append(snapshot.Segments, sealed.name)
	}
	scanValues(s.active, Key{}, func(key Key, data []byte) bool {
		stored := &wire.StoredValue{Key: slices.Clone(key[:]), Data: data, TimeMs: s.active[key].timeMs}
		snapshot.Active = append(snapshot.Active, stored)
		return true
	})
	return snapshot, nil
}

// removeDropped removes the files of segments that were dropped before the previous snapshot. Files dropped
// since then are kept, because a restart may begin at the previous snapshot. The caller holds the mutex.
func (s *Store) removeDropped() {
	for _, name := range s.dropped[1] {
		s.files.remove(name)
	}
	s.dropped[1], s.dropped[0] = s.dropped[0], nil
}

// Restore replaces the state of the store by the state in a snapshot and fetches missing segments.
func (s *Store) Restore(snapshot *wire.StoreSnapshot) error {
	s.sealer.Wait()
	names := make(map[string]bool)
	var segments []*segment
	for _, name := range snapshot.Segments {
		names[name] = true
		sealed, err := s.openOrFetch(name)
		if err != nil {
			return err
		}
		segments = append(segments, sealed)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replace(segments, snapshot.Sequence)
	s.settings.Retention = time.Duration(snapshot.RetentionMs) * time.Millisecond
	for _, stored := range snapshot.Active {
		if len(stored.Key) != KeySize {
			return eris.New("restore: a key in the snapshot has the wrong length")
		}
		s.active[Key(stored.Key)] = value{data: stored.Data, timeMs: stored.TimeMs}
		s.activeBytes += len(stored.Data)
	}
	return s.files.removeAllExcept(names)
}

func (s *Store) openOrFetch(name string) (*segment, error) {
	sealed, err := s.files.open(name)
	if err == nil {
		return sealed, nil
	}
	if s.settings.Fetch == nil {
		return nil, eris.Wrap(err, "restore")
	}
	encoded, err := s.fetch(name)
	if err != nil {
		return nil, eris.Wrapf(err, "fetch %s", name)
	}
	if err := s.files.save(name, encoded); err != nil {
		return nil, err
	}
	return s.files.open(name)
}

func (s *Store) fetch(name string) ([]byte, error) {
	var encoded []byte
	for {
		part, err := s.settings.Fetch(name, int64(len(encoded)))
		if err != nil {
			return nil, err
		}
		if len(part) == 0 {
			break
		}
		encoded = append(encoded, part...)
	}
	return encoded, VerifySegment(name, encoded)
}

// Part returns a part of a segment for a peer that lacks it. The part is empty at the end of the segment.
func (s *Store) Part(name string, offset int64) ([]byte, error) {
	return s.files.part(name, offset)
}
