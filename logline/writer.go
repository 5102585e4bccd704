// Package logline writes log lines without holding up those who log: lines wait in a bounded buffer for one
// goroutine, and those that find it full are counted and dropped.
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBufferBytes is the most bytes of lines that wait.
const DefaultBufferBytes = 256 << 10

// Writer passes lines on to another writer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	limit   int
	mutex   sync.Mutex
	waiting []byte
	signal  chan struct{}
	closed  chan struct{}
	done    sync.WaitGroup
	dropped atomic.Int64
	// reported is the number of dropped lines that a line has told of.
	reported int64
}

// NewWriter returns a writer in front of out that lets at most limit bytes wait.
func NewWriter(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit, signal: make(chan struct{}, 1), closed: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	isFull := len(w.waiting)+len(line) > w.limit
	if !isFull {
		w.waiting = append(w.waiting, line...)
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

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and stops the writer.
func (w *Writer) Close() {
	close(w.closed)
	w.done.Wait()
}

func (w *Writer) run() {
	for {
		select {
		case <-w.signal:
			w.flush()
		case <-w.closed:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mutex.Lock()
	lines := w.waiting
	w.waiting = nil
	w.mutex.Unlock()
	if dropped := w.dropped.Load(); dropped > w.reported {
		lines = fmt.Appendf(lines, `{"level":"warning","msg":"log lines dropped","dropped":%d}`+"\n", dropped-w.reported)
		w.reported = dropped
	}
	// There is nowhere left to report that the log itself cannot be written.
	_, _ = w.out.Write(lines)
}
