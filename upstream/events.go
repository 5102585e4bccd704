package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes is the largest event that EventReader accepts.
const maxEventBytes = 1 << 20

// EventReader splits a stream of server-sent events into whole events.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
	held   reservation
}

// NewEventReader returns a reader of the events in a response body. Large events take from the memory until Close is
// called.
func NewEventReader(body io.Reader, memory *Memory) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBuffer), held: reservation{memory: memory}}
}

// Close returns what the events have taken from the memory.
func (r *EventReader) Close() { r.held.release() }

// Next returns the bytes of the next whole event and its ID; hasID is false for an event without an ID. The bytes are
// valid until the next call. The error is io.EOF when the stream ends between events, and io.ErrUnexpectedEOF when it
// ends within one.
func (r *EventReader) Next() (event []byte, id int64, hasID bool, err error) {
	r.event = r.event[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		if len(r.event)+len(line) > maxEventBytes {
			return nil, 0, false, eris.Wrap(ErrTooLong, "event")
		}
		r.event = append(r.event, line...)
		if !r.held.grow(int64(cap(r.event))) {
			return nil, 0, false, eris.Wrap(ErrNoMemory, "event")
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, 0, false, r.endError(err)
		}
		if IsBlank(line) && len(r.event) > len(line) {
			return r.event, id, hasID, nil
		}
		if value, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			id, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return nil, 0, false, eris.Wrap(err, "parse event ID")
			}
			hasID = true
		}
	}
}

// Buffered reports whether the read buffer holds bytes of a further event.
func (r *EventReader) Buffered() bool { return r.reader.Buffered() > 0 }

func (r *EventReader) endError(err error) error {
	if err == io.EOF && len(bytes.TrimSpace(r.event)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// IsBlank reports whether a line has no bytes besides its end.
func IsBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }
