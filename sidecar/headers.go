package sidecar

import (
	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/wire"
)

// HeadersToWire returns the messages that carry header fields.
func HeadersToWire(headers []admission.Header) []*wire.Header {
	messages := make([]*wire.Header, 0, len(headers))
	for _, h := range headers {
		messages = append(messages, &wire.Header{Name: h.Name, Value: h.Value})
	}
	return messages
}

// HeadersFromWire returns the header fields that messages carry.
func HeadersFromWire(messages []*wire.Header) []admission.Header {
	headers := make([]admission.Header, 0, len(messages))
	for _, m := range messages {
		headers = append(headers, admission.Header{Name: m.Name, Value: m.Value})
	}
	return headers
}
