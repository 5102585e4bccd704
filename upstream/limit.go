package upstream

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// This file bounds what an upstream can make the process hold: the bytes of a head, and the bodies and events that are
// held in memory.

const (
	// unlimited is the value of limitedReader.left that stands for no limit.
	unlimited = -1
	// uncountedBytes is the size up to which a body or an event is not counted by Memory.
	uncountedBytes = 64 << 10
	// DefaultMemory is the usual number of bytes of a Memory.
	DefaultMemory = 32 << 20
)

var (
	// ErrTooLong is the error of a head, a body or an event that is longer than allowed.
	ErrTooLong = eris.New("response is too long")
	// ErrNoMemory is the error of a body or an event that takes more than its part of a Memory.
	ErrNoMemory = eris.New("response takes too much of the memory for responses")
)

type (
	// limitedReader reads at most left bytes. While it reads a head, it looks for folded lines.
	limitedReader struct {
		source io.Reader
		left   int64
		head   foldScanner
	}

	// Memory bounds the bytes of large bodies and events that a process holds together. Each may take as much as remains
	// free, so that many that grow without end leave room for others. It is safe for concurrent use.
	Memory struct {
		free atomic.Int64
	}

	// reservation is the part of a Memory that one body or event has taken.
	reservation struct {
		memory *Memory
		taken  int64
	}
)

// Read returns ErrTooLong once the limit is used up.
func (r *limitedReader) Read(data []byte) (int, error) {
	if r.left == unlimited {
		return r.source.Read(data)
	}
	if r.left == 0 {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(data[:min(int64(len(data)), r.left)])
	r.left -= int64(n)
	r.head.scan(data[:n])
	return n, err
}

// beginHead limits the bytes until endHead. The head begins with bytes that were read before.
func (r *limitedReader) beginHead(buffered []byte) {
	r.left = maxHeadBytes
	r.head = foldScanner{}
	r.head.scan(buffered)
}

// endHead lifts the limit and reports whether the head has a folded line.
func (r *limitedReader) endHead() bool {
	r.left = unlimited
	return r.head.hasFold
}

// NewMemory returns a Memory of the given number of bytes.
func NewMemory(size int64) *Memory {
	m := &Memory{}
	m.free.Store(size)
	return m
}

// Free returns the bytes that are not taken.
func (m *Memory) Free() int64 { return m.free.Load() }

// grow takes what a body or an event of this size needs beyond what it has, and reports whether there was enough.
func (r *reservation) grow(size int64) bool {
	if size <= uncountedBytes || size <= r.taken {
		return true
	}
	more := size - r.taken
	if r.memory.free.Add(-more) < size {
		r.memory.free.Add(more)
		return false
	}
	r.taken = size
	return true
}

// release returns what was taken.
func (r *reservation) release() {
	r.memory.free.Add(r.taken)
	r.taken = 0
}

// ReadBody reads the whole body of a response, of at most limit bytes, into memory. The caller calls release once it no
// longer holds the body, also after an error.
func ReadBody(response *http.Response, limit int64, memory *Memory) (data []byte, release func(), err error) {
	held := &reservation{memory: memory}
	if response.ContentLength > limit {
		return nil, held.release, ErrTooLong
	}
	// The byte beyond the length lets the last read find the end.
	size := max(response.ContentLength+1, readBuffer)
	for {
		if !held.grow(size) {
			return nil, held.release, ErrNoMemory
		}
		data = append(make([]byte, 0, size), data...)
		data, err = fill(response.Body, data)
		switch {
		case int64(len(data)) > limit:
			return nil, held.release, ErrTooLong
		case err == io.EOF:
			return data, held.release, nil
		case err != nil:
			return nil, held.release, err
		}
		size = min(2*size, limit+1)
	}
}

// fill reads until the slice is as long as its capacity or an error occurs.
func fill(source io.Reader, data []byte) ([]byte, error) {
	for len(data) < cap(data) {
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
	}
	return data, nil
}
