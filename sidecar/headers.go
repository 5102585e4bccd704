package sidecar

import (
	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/wire"
)

// HeadersToWire converts header fields to wire messages.
func HeadersToWire(headers []admission.Header) []*wire.Header {
	messages := make([]*wire.Header, 0, len(headers))
	for _, h := range headers {
		messages = append(messages, &wire.Header{Name: h.Name, Value: []byte(h.Value)})
	}
	return messages
}

// HeadersFromWire converts wire messages to header fields.
func HeadersFromWire(messages []*wire.Header) []admission.Header {
	headers := make([]admission.Header, 0, len(messages))
	for _, m := range messages {
		headers = append(headers, admission.Header{Name: m.Name, Value: string(m.Value)})
	}
	return headers
}
