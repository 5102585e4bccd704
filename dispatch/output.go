package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"

	"guavahitch.example/guavahitch/admission"
)

// output.go is what a caller has been given of an answer so far. A stream of events is passed on event by
// event, so that a further attempt can continue after the last whole one; any other answer is held back until
// it is whole, up to heldLimit bytes.

const (
	// heldLimit is the size up to which an answer is held until it is whole, in bytes.
	heldLimit = 1 << 20
	// resumeLimit is the size of a stream up to which it can be continued by another attempt, in bytes.
	resumeLimit = 1 << 20
)

type (
	output struct {
		request  *Request
		sink     Sink
		head     admission.Head
		hasHead  bool
		isStream bool
		// held is what is not passed on yet: a partial event, or an answer that is not whole.
		held []byte
		// passed are the events passed on, from which the text to resume after is read.
		passed    []byte
		isPassing bool
		isTooLong bool
	}

	chatEvent struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
)

func newOutput(request *Request, sink Sink) *output {
	return &output{request: request, sink: sink}
}

// canContinue reports whether a further attempt can bring the rest of the answer.
func (o *output) canContinue() bool {
	if !o.isPassing {
		o.held, o.hasHead = nil, false
		return true
	}
	o.held = nil
	return o.isStream && o.request.IsModel && !o.isTooLong
}

// add takes the next data of the attempt that runs.
func (o *output) add(head admission.Head, data []byte, end bool) error {
	if !o.hasHead && head.Status != 0 {
		o.head, o.hasHead = head, true
		o.isStream = head.Status == 200 && isEventStream(head)
	}
	o.held = append(o.held, data...)
	switch {
	case o.isStream:
		return o.passEvents(end)
	case end && !o.isPassing:
		return o.pass(o.held, int64(len(o.held)))
	case end || o.isPassing || len(o.held) > heldLimit:
		return o.pass(o.held, -1)
	default:
		return nil
	}
}

func isEventStream(head admission.Head) bool {
	for _, h := range head.Headers {
		if h.Name == "Content-Type" {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

func (o *output) passEvents(end bool) error {
	whole := bytes.LastIndex(o.held, []byte("\n\n")) + len("\n\n")
	if end {
		whole = len(o.held)
	}
	if whole < len("\n\n") {
		return nil
	}
	events := o.held[:whole]
	if o.request.IsModel && len(o.passed)+len(events) <= resumeLimit {
		o.passed = append(o.passed, events...)
	} else {
		o.isTooLong = true
	}
	return o.pass(events, -1)
}

func (o *output) pass(data []byte, length int64) error {
	if !o.isPassing {
		o.sink.Head(o.head, length)
		o.isPassing = true
	}
	err := o.sink.Data(data)
	o.held = append(o.held[:0], o.held[len(data):]...)
	return err
}

// resumeText returns the text that the caller holds already.
func (o *output) resumeText() string {
	if !o.isPassing || !o.isStream {
		return ""
	}
	var text strings.Builder
	for block := range bytes.SplitSeq(o.passed, []byte("\n\n")) {
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
