// The store of values by key. New values are collected in memory and sealed into a segment on disk once there
// are enough of them. A segment is dropped as a whole once its newest value is older than the retention. A
// value that is not sealed yet is also in the replicated log or its snapshot, so it survives a crash of the
// process. The replicated log alone decides which values are sealed when, so all replicas write the same
// segments.

package claim

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// Retention is the default minimum time for which a settled key and its answer are kept.
	Retention = 24 * time.Hour
	// DefaultSealKeys is the number of keys at which the values in memory are sealed.
	DefaultSealKeys = 1 << 16
	// DefaultSealBytes is the total size at which the values in memory are sealed.
	DefaultSealBytes = 16 << 20
)

type (
	// Settings configure a Store.
	Settings struct {
		// Directory holds the segments. If it is empty, they stay in memory.
		Directory string
		// Retention is the minimum time for which a value is kept. Zero keeps values for ever.
		Retention time.Duration
		// SealKeys and SealBytes override the defaults if they are set. They must be equal on all replicas.
		SealKeys  int
		SealBytes int
		// Fetch reads a part of a segment from a peer when a snapshot names a segment that this replica lacks.
		// An empty part marks the end of the segment.
		Fetch func(name string, offset int64) ([]byte, error)
	}

	// Store holds values by key. One goroutine calls Put, Snapshot and Restore. Get and Scan may run concurrently
	// with each other, but not during a Put or a Restore.
	Store struct {
		settings Settings
		// retention is that of an empty store.
		retention time.Duration
		files     files
		// sequence is the number of the last sealed segment.
		sequence uint64
		// active holds the values that are not being sealed yet, activeBytes their total size.
		active      map[Key]value
		activeBytes int
		// sealer runs the goroutine that writes segments.
		sealer sync.WaitGroup

		mutex sync.Mutex
		// sealing holds the batches that are not on disk yet, segments those that are. Both begin with the
		// oldest.
		sealing  []*batch
		segments []*segment
		// dropped holds the names of dropped segments whose files still exist: first those dropped since the
		// last snapshot, then those dropped between the last two snapshots.
		dropped  [2][]string
		writeErr error
	}

	// batch is a set of values that is being sealed into a segment.
	batch struct {
		sequence uint64
		newestMs int64
		values   map[Key]value
	}

	value struct {
		data   []byte
		timeMs int64
	}
)

// NewStore returns an empty store. Only Restore uses files that the directory already holds.
func NewStore(settings Settings) (*Store, error) {
	if settings.SealKeys == 0 {
		settings.SealKeys = DefaultSealKeys
	}
	if settings.SealBytes == 0 {
		settings.SealBytes = DefaultSealBytes
	}
	f, err := newFiles(settings.Directory)
	if err != nil {
		return nil, err
	}
	return &Store{settings: settings, retention: settings.Retention, files: f, active: make(map[Key]value)}, nil
}

// Reset empties the store, as NewStore returns it. The files stay, since a Restore may name them.
func (s *Store) Reset() {
	s.sealer.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replace(nil, 0)
	s.settings.Retention = s.retention
}

// replace replaces the segments, and drops everything that is not sealed. The caller holds the mutex.
func (s *Store) replace(segments []*segment, sequence uint64) {
	for _, sealed := range s.segments {
		s.files.close(sealed)
	}
	s.segments, s.sealing, s.writeErr, s.dropped = segments, nil, nil, [2][]string{}
	s.sequence, s.active, s.activeBytes = sequence, make(map[Key]value), 0
}

// NewMemoryStore returns an empty store that keeps its segments in memory.
func NewMemoryStore(retention time.Duration) *Store {
	s, err := NewStore(Settings{Retention: retention})
	if err != nil {
		panic(err)
	}
	return s
}

// SetRetention changes the minimum time for which values are kept.
func (s *Store) SetRetention(retention time.Duration) { s.settings.Retention = retention }

// Put stores a value under the key. nowMs is the log time in milliseconds. The data must not be modified
// afterwards.
func (s *Store) Put(key Key, data []byte, nowMs int64) {
	s.activeBytes += len(data) - len(s.active[key].data)
	s.active[key] = value{data: data, timeMs: nowMs}
	if len(s.active) >= s.settings.SealKeys || s.activeBytes >= s.settings.SealBytes {
		s.seal(nowMs)
	}
}

// seal starts to write the values in memory into a segment. It first waits until the previous write has ended.
func (s *Store) seal(nowMs int64) {
	s.sealer.Wait()
	s.sequence++
	b := &batch{sequence: s.sequence, newestMs: nowMs, values: s.active}
	s.active, s.activeBytes = make(map[Key]value), 0
	s.mutex.Lock()
	s.sealing = append(s.sealing, b)
	s.dropExpired(nowMs)
	s.mutex.Unlock()
	s.sealer.Go(s.writeSealing)
}

// dropExpired removes the segments that are older than the retention. The caller holds the mutex.
func (s *Store) dropExpired(nowMs int64) {
	if s.settings.Retention == 0 {
		return
	}
	for len(s.segments) > 0 && s.isExpired(int64(s.segments[0].footer.newestMs), nowMs) {
		s.dropped[0] = append(s.dropped[0], s.segments[0].name)
		s.files.close(s.segments[0])
		s.segments = slices.Clone(s.segments[1:])
	}
}

func (s *Store) isExpired(timeMs, nowMs int64) bool {
	return s.settings.Retention > 0 && nowMs-timeMs > s.settings.Retention.Milliseconds()
}

// writeSealing writes the pending batches, oldest first. A batch that cannot be written stays in memory and is
// retried when the next one is sealed.
func (s *Store) writeSealing() {
	for {
		s.mutex.Lock()
		if len(s.sealing) == 0 {
			s.mutex.Unlock()
			return
		}
		b := s.sealing[0]
		s.mutex.Unlock()
		written, err := s.files.write(b)
		s.mutex.Lock()
		s.writeErr = err
		if err == nil {
			s.segments = append(slices.Clone(s.segments), written)
			s.sealing = s.sealing[1:]
		}
		s.mutex.Unlock()
		if err != nil {
			return
		}
	}
}

// Err returns the error of the last write of a segment, or nil.
func (s *Store) Err() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writeErr
}

// layers returns the batches that are being sealed and the segments, at this moment.
func (s *Store) layers() ([]*batch, []*segment) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sealing, s.segments
}

// Get returns the value of the key, or nil if there is none within the retention. An error means that the disk
// cannot be read. The replica must then stop.
func (s *Store) Get(key Key, nowMs int64) ([]byte, error) {
	found, ok, err := s.find(key)
	if err != nil || !ok || s.isExpired(found.timeMs, nowMs) {
		return nil, err
	}
	return found.data, nil
}

// find returns the newest value of the key, whatever its age.
func (s *Store) find(key Key) (value, bool, error) {
	if found, ok := s.active[key]; ok {
		return found, true, nil
	}
	sealing, segments := s.layers()
	for _, b := range slices.Backward(sealing) {
		if found, ok := b.values[key]; ok {
			return found, true, nil
		}
	}
	for _, sealed := range slices.Backward(segments) {
		found, ok, err := sealed.get(key)
		if ok || err != nil {
			return found, ok, eris.Wrap(err, "read a key")
		}
	}
	return value{}, false, nil
}

// Scan calls fn with the values from a key on until fn returns false. It is for stores whose keys only grow, so
// that the order in which values were written is the order of their keys.
func (s *Store) Scan(from Key, fn func(Key, []byte) bool) error {
	sealing, segments := s.layers()
	for n, sealed := range segments {
		endsBefore := n+1 < len(segments) && compareKeys(segments[n+1].firstKeys[0], from) <= 0
		if endsBefore {
			continue
		}
		if more, err := sealed.scan(from, fn); err != nil || !more {
			return err
		}
	}
	for _, b := range sealing {
		if !scanValues(b.values, from, fn) {
			return nil
		}
	}
	scanValues(s.active, from, fn)
	return nil
}

func scanValues(values map[Key]value, from Key, fn func(Key, []byte) bool) bool {
	var keys []Key
	for key := range values {
		if compareKeys(key, from) >= 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	for _, key := range keys {
		if !fn(key, values[key].data) {
			return false
		}
	}
	return true
}

// Sync waits until all pending segments are on disk, and returns the error if one could not be written.
func (s *Store) Sync() error {
	s.sealer.Wait()
	return s.Err()
}

// MemoryBytes returns the memory that the sealed segments use.
func (s *Store) MemoryBytes() int {
	total := 0
	_, segments := s.layers()
	for _, sealed := range segments {
		total += sealed.memoryBytes()
	}
	return total
}

// Close waits for pending writes and closes the files.
func (s *Store) Close() error {
	err := s.Sync()
	_, segments := s.layers()
	for _, sealed := range segments {
		s.files.close(sealed)
	}
	return err
}
