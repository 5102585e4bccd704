package consensus

// The goroutine that writes to the disk and syncs. All writes that arrive during one sync share the next sync.

import (
	"sync/atomic"
	"time"
)

type (
	diskWriter struct {
		storage *Storage
		writes  *queue[*Write]
		done    chan diskDone
		// busySince is the start of the write in progress, in nanoseconds since 1970, or 0 for none.
		busySince atomic.Int64
	}

	// diskDone reports that all writes up to the sequence number are synced, or the error.
	diskDone struct {
		sequence uint64
		// isBadSnapshot is set when a received snapshot did not pass its check.
		isBadSnapshot bool
		err           error
	}
)

func newDiskWriter(storage *Storage) *diskWriter {
	return &diskWriter{storage: storage, writes: newQueue[*Write](), done: make(chan diskDone, 1)}
}

// run handles writes until stop is closed or a write fails: after an error, the content of the disk is unknown.
func (d *diskWriter) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-d.writes.signal:
		}
		writes := d.writes.takeAll()
		if len(writes) == 0 {
			continue
		}
		d.busySince.Store(time.Now().UnixNano())
		result := d.store(writes)
		d.busySince.Store(0)
		select {
		case <-stop:
			return
		case d.done <- result:
		}
		if result.err != nil {
			return
		}
	}
}

// store writes and syncs a batch of writes, and marks the journal as synced when no writes wait.
func (d *diskWriter) store(writes []*Write) diskDone {
	result := diskDone{sequence: writes[len(writes)-1].Sequence}
	for _, w := range writes {
		err := d.storage.Write(w)
		if IsBadSnapshot(err) {
			result.isBadSnapshot = true
			continue
		}
		if err != nil {
			result.err = err
			return result
		}
	}
	if result.err = d.storage.Sync(); result.err != nil || !d.writes.isEmpty() {
		return result
	}
	result.err = d.storage.MarkSynced()
	return result
}

// isSlow reports whether the write in progress has taken longer than the limit.
func (d *diskWriter) isSlow(now time.Time, limit time.Duration) bool {
	since := d.busySince.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) > limit
}
