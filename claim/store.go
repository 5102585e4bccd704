// The store of values by hashed key.

package claim

import "time"

// Retention is how long a settled key and its answer are kept at least.
const Retention = 26 * time.Hour

type (
	// Store keeps values by key for a retention time. It is used by one goroutine at a time.
	Store struct {
		retentionMs int64
		active      map[Key]value
	}

	value struct {
		data   []byte
		timeMs int64
	}
)

// NewStore returns an empty store in memory; values are kept for at least retentionMs, or for ever when
// it is zero.
func NewStore(retentionMs int64) *Store {
	return &Store{retentionMs: retentionMs, active: make(map[Key]value)}
}

// Put stores a value under the key; nowMs is the log's time.
func (s *Store) Put(key Key, data []byte, nowMs int64) error {
	s.active[key] = value{data: data, timeMs: nowMs}
	return nil
}

// Get returns the value of the key, or nil when there is none within the retention.
func (s *Store) Get(key Key, nowMs int64) ([]byte, error) {
	found, ok := s.active[key]
	if !ok || (s.retentionMs > 0 && nowMs-found.timeMs > s.retentionMs) {
		return nil, nil
	}
	return found.data, nil
}
