// The store of values by key. New values gather in memory; when they are many, they are sealed into a
// segment on disk, and a segment is dropped whole once its newest value is older than the retention.
// A value that is not sealed yet is in the replicated log and in its snapshot, so nothing is lost with the
// process. What is sealed when depends on the log alone: replicas write the same segments.

package claim

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// Retention is how long a settled key and its answer are kept at least.
	Retention = 24 * time.Hour
	// DefaultSealKeys is the number of keys at which the values in memory are sealed.
	DefaultSealKeys = 1 << 16
	// DefaultSealBytes is the size of all values at which the values in memory are sealed.
	DefaultSealBytes = 16 << 20
)

type (
	// Settings tell a Store what to keep and where.
	Settings struct {
		// Directory holds the segments; empty keeps them in memory.
		Directory string
		// Retention is how long a value is kept at least; zero keeps it for ever.
		Retention time.Duration
		// SealKeys and SealBytes replace their defaults, when set. All replicas must agree on them.
		SealKeys  int
		SealBytes int
		// Fetch returns a part of a segment that a snapshot names and this replica lacks, from a peer.
		// An empty part is the end.
		Fetch func(name string, offset int64) ([]byte, error)
	}

	// Store keeps values by key. Put and Restore are called by one goroutine; Get and Scan by any, but not
	// during a Put.
	Store struct {
		settings Settings
		files    files
		// sequence numbers the segments.
		sequence    uint64
		active      map[Key]value
		activeBytes int
		sealed      sync.WaitGroup

		mutex    sync.Mutex
		sealing  []*batch
		segments []*segment
		// garbage holds the names of dropped segments, by the snapshots taken since.
		garbage [2][]string
		failed  error
	}

	// batch is a set of values on its way into a segment.
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

// NewStore returns an empty store. What the directory holds from before is used by Restore only.
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
	return &Store{settings: settings, files: f, active: make(map[Key]value)}, nil
}

// NewMemoryStore returns an empty store without a directory.
func NewMemoryStore(retention time.Duration) *Store {
	s, err := NewStore(Settings{Retention: retention})
	if err != nil {
		panic(err)
	}
	return s
}

// SetRetention changes how long values are kept.
func (s *Store) SetRetention(retention time.Duration) { s.settings.Retention = retention }

// Put stores a value under the key; nowMs is the log's time. The data must not be changed afterwards.
func (s *Store) Put(key Key, data []byte, nowMs int64) {
	s.activeBytes += len(data) - len(s.active[key].data)
	s.active[key] = value{data: data, timeMs: nowMs}
	if len(s.active) >= s.settings.SealKeys || s.activeBytes >= s.settings.SealBytes {
		s.seal(nowMs)
	}
}

// seal starts to write the values in memory into a segment, after the one before is written.
func (s *Store) seal(nowMs int64) {
	s.sealed.Wait()
	s.sequence++
	b := &batch{sequence: s.sequence, newestMs: nowMs, values: s.active}
	s.active, s.activeBytes = make(map[Key]value), 0
	s.mutex.Lock()
	s.sealing = append(s.sealing, b)
	s.drop(nowMs)
	s.mutex.Unlock()
	s.sealed.Go(s.writeSealing)
}

// drop removes segments that are older than the retention. The caller holds the mutex.
func (s *Store) drop(nowMs int64) {
	if s.settings.Retention == 0 {
		return
	}
	for len(s.segments) > 0 && s.isOld(int64(s.segments[0].footer.newestMs), nowMs) {
		s.garbage[0] = append(s.garbage[0], s.segments[0].name)
		s.files.close(s.segments[0])
		s.segments = slices.Clone(s.segments[1:])
	}
}

func (s *Store) isOld(timeMs, nowMs int64) bool {
	return s.settings.Retention > 0 && nowMs-timeMs > s.settings.Retention.Milliseconds()
}

// writeSealing writes the batches that wait, oldest first. One that cannot be written stays in memory and
// is tried again with the next.
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
		s.failed = err
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

// Err returns why the last segment could not be written, or nil.
func (s *Store) Err() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failed
}

// layers returns what lies under the values in memory, as it stands.
func (s *Store) layers() ([]*batch, []*segment) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sealing, s.segments
}

// Get returns the value of the key, or nil when there is none within the retention. An error means that
// the disk cannot be read; the replica must not go on.
func (s *Store) Get(key Key, nowMs int64) ([]byte, error) {
	found, ok, err := s.find(key)
	if err != nil || !ok || s.isOld(found.timeMs, nowMs) {
		return nil, err
	}
	return found.data, nil
}

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

// Scan calls fn with the values from a key on until fn returns false. It is for stores whose keys grow, so
// that the order of writing is the order of the keys.
func (s *Store) Scan(from Key, fn func(Key, []byte) bool) error {
	sealing, segments := s.layers()
	for n, sealed := range segments {
		isPast := n+1 < len(segments) && compareKeys(segments[n+1].firsts[0], from) <= 0
		if isPast {
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

// Sync waits until all that was to be sealed is on disk, and returns why it is not.
func (s *Store) Sync() error {
	s.sealed.Wait()
	return s.Err()
}

// MemoryBytes returns the memory that the sealed segments hold.
func (s *Store) MemoryBytes() int {
	total := 0
	_, segments := s.layers()
	for _, sealed := range segments {
		total += sealed.memoryBytes()
	}
	return total
}

// Close closes the files.
func (s *Store) Close() error {
	err := s.Sync()
	_, segments := s.layers()
	for _, sealed := range segments {
		s.files.close(sealed)
	}
	return err
}
