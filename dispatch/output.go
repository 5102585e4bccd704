package dispatch

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/admission"
)

// output.go tracks how much of an answer the caller has received. An event stream is delivered in whole events, so
// that a further attempt can continue after the last one. Any other answer is buffered until it is complete or
// exceeds bufferLimit.

const (
	// bufferLimit is the size up to which an answer is buffered until it is complete, in bytes.
	bufferLimit = 1 << 20
	// resumeLimit is the maximum size of a delivered stream that another attempt can continue, in bytes.
	resumeLimit = 1 << 20
)

type (
	output struct {
		request  *Request
		sink     Sink
		head     admission.Head
		hasHead  bool
		isStream bool
		// buffered is received but not yet delivered: a partial event or an incomplete answer.
		buffered []byte
		// delivered holds the events that the caller has received. A further attempt resumes after their text.
		delivered    []byte
		hasDelivered bool
		isTooLong    bool
		// isContinuing is set while an attempt continues what the caller has received, and hasContinued once that has
		// brought an event.
		isContinuing, hasContinued bool
	}

	chatEvent struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
)

// errNotContinued reports that the answer of an attempt does not continue the stream of which the caller has a part.
var errNotContinued = eris.New("the answer does not continue the stream")

func newOutput(request *Request, sink Sink) *output {
	return &output{request: request, sink: sink}
}

// canContinue reports whether a further attempt can deliver the rest of the answer. It discards the undelivered data
// of the last attempt.
func (o *output) canContinue() bool {
	if !o.hasDelivered {
		o.buffered, o.hasHead = nil, false
		return true
	}
	o.buffered, o.isContinuing, o.hasContinued = nil, true, false
	return o.isStream && o.request.IsModel && !o.isTooLong
}

// add receives the next data of the current attempt and delivers what is complete. It returns errNotContinued, and delivers
// nothing, if the attempt was to continue a stream and does not.
func (o *output) add(head admission.Head, data []byte, end bool) error {
	if o.isContinuing && head.Status != 0 && !isStreamHead(head) {
		return errNotContinued
	}
	if !o.hasHead && head.Status != 0 {
		o.head, o.hasHead = head, true
		o.isStream = isStreamHead(head)
	}
	o.buffered = append(o.buffered, data...)
	switch {
	case o.isStream:
		return o.deliverEvents(end)
	case end && !o.hasDelivered:
		return o.deliver(o.buffered, int64(len(o.buffered)))
	case end || o.hasDelivered || len(o.buffered) > bufferLimit:
		return o.deliver(o.buffered, -1)
	default:
		return nil
	}
}

// isStreamHead reports whether the head is that of a successful stream of events.
func isStreamHead(head admission.Head) bool {
	if head.Status != http.StatusOK {
		return false
	}
	for _, h := range head.Headers {
		if h.Name == "Content-Type" {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

// deliverEvents delivers the whole events in the buffer, or all of it at the end of the stream. A continued stream must have
// whole events only.
func (o *output) deliverEvents(end bool) error {
	whole := bytes.LastIndex(o.buffered, []byte("\n\n")) + len("\n\n")
	o.hasContinued = o.hasContinued || whole >= len("\n\n")
	if end && o.isContinuing && (!o.hasContinued || whole < len(o.buffered)) {
		return errNotContinued
	}
	if end {
		whole = len(o.buffered)
	}
	if whole < len("\n\n") {
		return nil
	}
	events := o.buffered[:whole]
	if o.request.IsModel && len(o.delivered)+len(events) <= resumeLimit {
		o.delivered = append(o.delivered, events...)
	} else {
		o.isTooLong = true
	}
	return o.deliver(events, -1)
}

func (o *output) deliver(data []byte, length int64) error {
	if !o.hasDelivered {
		o.sink.Head(o.head, length)
		o.hasDelivered = true
	}
	err := o.sink.Data(data)
	o.buffered = append(o.buffered[:0], o.buffered[len(data):]...)
	return err
}

// resumeText returns the text of the answer that the caller has already received.
func (o *output) resumeText() string {
	if !o.hasDelivered || !o.isStream {
		return ""
	}
	var text strings.Builder
	for block := range bytes.SplitSeq(o.delivered, []byte("\n\n")) {
		data, found := bytes.CutPrefix(block, []byte("data: "))
		if !found {
			continue
		}
		var e chatEvent
		if json.Unmarshal(data, &e) == nil && len(e.Choices) > 0 {
			text.WriteString(e.Choices[0].Delta.Content)
		}
	}
	return text.String()
}
