package forward

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// This file buffers the events of streams whose callers read slowly, so that upstreams are read on. The buffer of each stream and
// all buffers together are bounded.

const (
	// DefaultStallTimeout is the time in which a caller must take something that is written to it.
	DefaultStallTimeout = 4 * time.Second
	// DefaultStreamBytes is the usual size of the buffer of a stream.
	DefaultStreamBytes = 256 << 10
	// slowTime is how long a caller must have taken nothing before its stream may be aborted in favour of others.
	slowTime = time.Second
	// pieceBytes is the size of one write to a caller. The end of a write shows that the caller reads.
	pieceBytes = 4 << 10
	// smallBytes is the size up to which a buffer may use the last part of the memory, one in smallPart.
	smallBytes = 8 << 10
	smallPart  = 4
	// spaceInterval is the time between two attempts to find space in the buffers.
	spaceInterval = 20 * time.Millisecond
)

// errSlowCaller means that the stream was aborted because its caller has read nothing for longest, or for too long.
var errSlowCaller = eris.New("caller reads too slowly")

type (
	// SlowReaders bounds what an entry buffers for callers that read slowly. The zero value makes it buffer nothing: an upstream
	// is read as fast as the caller reads.
	SlowReaders struct {
		// TotalBytes bounds all buffers together, StreamBytes that of one stream.
		TotalBytes, StreamBytes int64
		// StallTimeout is the time after which a caller that takes nothing is disconnected.
		StallTimeout time.Duration
	}

	// readerMemory is what the buffers of all streams hold.
	readerMemory struct {
		settings SlowReaders
		used     atomic.Int64
		mutex    sync.Mutex
		buffers  map[*callerBuffer]struct{}
	}

	// callerBuffer holds the events of a stream that the caller has not taken. One goroutine adds events, another one writes
	// them.
	callerBuffer struct {
		memory   *readerMemory
		writer   http.ResponseWriter
		control  *http.ResponseController
		deadline time.Time

		mutex sync.Mutex
		// pending are the events that no write has begun with. unwritten counts their bytes and those of the write under way.
		pending   []byte
		unwritten int
		// progress is when the caller last took something or, if that is later, when the buffer was last empty.
		progress time.Time
		// err is why no more is written, nil while the stream goes on. isClosed is set once no more is added.
		err      error
		isClosed bool
		// hasLeft is set once the goroutine that writes has ended. The connection may then carry another request.
		hasLeft bool
		// added, taken and done signal that there is something to write, that there is space, and that the last write has
		// ended.
		added, taken chan struct{}
		done         chan struct{}
	}
)

func newReaderMemory(settings SlowReaders) *readerMemory {
	settings.StreamBytes = cmp.Or(settings.StreamBytes, DefaultStreamBytes)
	settings.StallTimeout = cmp.Or(settings.StallTimeout, DefaultStallTimeout)
	return &readerMemory{settings: settings, buffers: map[*callerBuffer]struct{}{}}
}

// isEnabled reports whether events are buffered.
func (m *readerMemory) isEnabled() bool { return m.settings.TotalBytes > 0 }

// open returns an empty buffer and starts to write what is added to it. The end of the context ends the writing.
func (m *readerMemory) open(ctx context.Context, w http.ResponseWriter, deadline time.Time) *callerBuffer {
	b := &callerBuffer{
		memory: m, writer: w, control: http.NewResponseController(w), deadline: deadline, progress: time.Now(),
		added: make(chan struct{}, 1), taken: make(chan struct{}, 1), done: make(chan struct{}),
	}
	m.mutex.Lock()
	m.buffers[b] = struct{}{}
	m.mutex.Unlock()
	stop := context.AfterFunc(ctx, func() { b.abort(errCallerGone) })
	go b.write(stop)
	return b
}

// take reserves bytes for a stream that then holds the given number, and reports whether there were enough. Streams that hold more
// than smallBytes leave a part of the memory to those that hold less, whose callers are likely to read.
func (m *readerMemory) take(bytes, held int) bool {
	limit := m.settings.TotalBytes
	if held > smallBytes {
		limit -= limit / smallPart
	}
	if m.used.Add(int64(bytes)) <= limit {
		return true
	}
	m.used.Add(-int64(bytes))
	return false
}

// abortSlowest aborts the stream whose caller has taken nothing for longest, if that is slowTime or longer.
func (m *readerMemory) abortSlowest(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var slowest *callerBuffer
	longest := slowTime
	for b := range m.buffers {
		if slow := b.slowFor(now); slow >= longest {
			slowest, longest = b, slow
		}
	}
	if slowest != nil {
		slowest.abort(errSlowCaller)
	}
}

// add appends an event. It waits while there is no space, and returns an error once the caller gets nothing more.
func (b *callerBuffer) add(event []byte) error {
	for {
		isAdded, err := b.tryAdd(event)
		if isAdded || err != nil {
			return err
		}
		timer := time.NewTimer(spaceInterval)
		select {
		case <-b.taken:
		case <-b.done:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryAdd appends an event if there is space. If all buffers together lack it, the slowest stream is aborted.
func (b *callerBuffer) tryAdd(event []byte) (isAdded bool, err error) {
	isLacking := false
	defer func() {
		if isLacking {
			b.memory.abortSlowest(time.Now())
		}
	}()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.err != nil {
		return false, b.err
	}
	if b.unwritten > 0 && int64(b.unwritten+len(event)) > b.memory.settings.StreamBytes {
		return false, nil
	}
	if !b.memory.take(len(event), b.unwritten+len(event)) {
		isLacking = true
		return false, nil
	}
	if b.unwritten == 0 {
		b.progress = time.Now()
	}
	b.pending = append(b.pending, event...)
	b.unwritten += len(event)
	notifyOne(b.added)
	return true, nil
}

// write writes what is added until the buffer is closed and empty, or the caller gets nothing more.
func (b *callerBuffer) write(stop func() bool) {
	defer close(b.done)
	defer b.leave()
	defer stop()
	var spare []byte
	for {
		batch, isLast := b.next(spare)
		if len(batch) == 0 {
			if isLast {
				return
			}
			<-b.added
			spare = batch
			continue
		}
		for rest := batch; len(rest) > 0; {
			piece := rest[:min(len(rest), pieceBytes)]
			if !b.writePiece(piece) {
				return
			}
			rest = rest[len(piece):]
		}
		spare = batch
	}
}

// next takes all that is pending and leaves an empty slice in its place. isLast is set if nothing more comes.
func (b *callerBuffer) next(spare []byte) (batch []byte, isLast bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	batch, b.pending = b.pending, spare[:0]
	return batch, b.isClosed || b.err != nil
}

// writePiece writes some bytes to the caller, and reports whether the stream goes on.
func (b *callerBuffer) writePiece(piece []byte) bool {
	until := earlier(time.Now().Add(b.memory.settings.StallTimeout), b.deadline)
	b.mutex.Lock()
	if b.err != nil {
		b.mutex.Unlock()
		return false
	}
	// Under the mutex, so that the past deadline that abort sets is not replaced.
	_ = b.control.SetWriteDeadline(until)
	b.mutex.Unlock()
	_, err := b.writer.Write(piece)
	if err == nil {
		err = b.control.Flush()
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch {
	case err != nil && !time.Now().Before(until):
		// A write that times out also ends the context of the request, which looks like a caller that disconnects.
		b.err = errSlowCaller
	case b.err == nil:
		b.err = err
	}
	if b.err != nil {
		return false
	}
	b.unwritten -= len(piece)
	b.memory.used.Add(-int64(len(piece)))
	b.progress = time.Now()
	notifyOne(b.taken)
	return true
}

// leave returns what the buffer has taken from the memory.
func (b *callerBuffer) leave() {
	b.memory.mutex.Lock()
	delete(b.memory.buffers, b)
	b.memory.mutex.Unlock()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.memory.used.Add(-int64(b.unwritten))
	b.unwritten, b.pending, b.hasLeft = 0, nil, true
	if b.err == nil {
		_ = b.control.SetWriteDeadline(b.deadline)
	}
}

// slowFor returns how long the caller has taken nothing of what is to be written, 0 if nothing is.
func (b *callerBuffer) slowFor(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.unwritten == 0 || b.err != nil {
		return 0
	}
	return now.Sub(b.progress)
}

// abort ends the stream with an error. A write under way fails.
func (b *callerBuffer) abort(reason error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.hasLeft {
		return
	}
	if b.err == nil {
		b.err = reason
	}
	_ = b.control.SetWriteDeadline(time.Unix(1, 0))
	notifyOne(b.added)
}

// close waits until all that was added is written, or the caller gets nothing more, and returns the error for the latter.
func (b *callerBuffer) close() error {
	b.mutex.Lock()
	b.isClosed = true
	notifyOne(b.added)
	b.mutex.Unlock()
	<-b.done
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.err
}

// notifyOne signals over a channel of capacity 1.
func notifyOne(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// writeBuffered adds an event to the buffer of the caller, which it opens first if needed.
func (j *job) writeBuffered(event []byte) error {
	if j.output == nil {
		j.output = j.server.readers.open(j.request.Context(), j.writer, j.deadline.Add(writeGrace))
	}
	return j.output.add(event)
}

// finishOutput waits until the caller has got all that was buffered, and logs how the request ended. A stream that was aborted
// must not look complete.
func (j *job) finishOutput() {
	if j.output == nil {
		return
	}
	err := j.output.close()
	j.output = nil
	switch {
	case err == nil:
		j.logDecision("answered", http.StatusOK)
		return
	case eris.Is(err, errSlowCaller):
		j.logDecision("slow caller", http.StatusOK)
	default:
		j.logDecision("caller gone", http.StatusOK)
	}
	panic(http.ErrAbortHandler)
}

// drainOutput waits until the caller has got what was buffered of a stream that is not complete, or takes nothing more.
func (j *job) drainOutput() {
	if j.output != nil {
		_ = j.output.close()
		j.output = nil
	}
}

// stopOutput ends the writing of a request that ends without waiting for its caller.
func (j *job) stopOutput() {
	if j.output != nil {
		j.output.abort(errCallerGone)
		j.drainOutput()
	}
}
