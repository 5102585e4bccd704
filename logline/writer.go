// Package logline writes log lines without blocking the goroutines that log. Lines go through a bounded buffer to one
// goroutine that writes them. Lines that do not fit into the buffer are dropped and counted.
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBufferBytes is the default buffer size.
const DefaultBufferBytes = 256 << 10

// Writer is an io.Writer that buffers lines and writes them to another writer in the background. It is safe for
// concurrent use.
type Writer struct {
	out     io.Writer
	limit   int
	mutex   sync.Mutex
	pending []byte
	signal  chan struct{}
	closing chan struct{}
	done    sync.WaitGroup
	dropped atomic.Int64
	// reportedDrops is the number of dropped lines that have been reported in the log.
	reportedDrops int64
}

// NewWriter returns a writer that buffers up to limit bytes for out. Close stops it.
func NewWriter(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit, signal: make(chan struct{}, 1), closing: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Write buffers one line, or drops it when it does not fit. It never blocks on the other writer and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	isFull := len(w.pending)+len(line) > w.limit
	if !isFull {
		w.pending = append(w.pending, line...)
	}
	w.mutex.Unlock()
	if isFull {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.signal <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the writer. It must be called once.
func (w *Writer) Close() {
	close(w.closing)
	w.done.Wait()
}

func (w *Writer) run() {
	for {
		select {
		case <-w.signal:
			w.flush()
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mutex.Lock()
	lines := w.pending
	w.pending = nil
	w.mutex.Unlock()
	if dropped := w.dropped.Load(); dropped > w.reportedDrops {
		lines = fmt.Appendf(lines, `{"level":"warning","msg":"log lines dropped","dropped":%d}`+"\n", dropped-w.reportedDrops)
		w.reportedDrops = dropped
	}
	// An error is ignored, because it could only be reported to the same log.
	_, _ = w.out.Write(lines)
}
