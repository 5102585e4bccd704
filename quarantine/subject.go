package quarantine

import "guavahitch.example/guavahitch/wire"

// Subject is a request together with the parts of its prompt that other requests may share. Either may crash upstreams.
type Subject struct {
	Organisation string
	Request      Fingerprint
	Parts        []Fingerprint
}

// keys returns the keys of the request and of its parts.
func (s Subject) keys() []key {
	return append([]key{s.requestKey()}, s.partKeys()...)
}

// requestKey returns the key of the request.
func (s Subject) requestKey() key { return key{organisation: s.Organisation, fingerprint: s.Request} }

// partKeys returns the keys of the parts.
func (s Subject) partKeys() []key {
	keys := make([]key, 0, len(s.Parts))
	for _, part := range s.Parts {
		keys = append(keys, key{fingerprint: part, isPart: true})
	}
	return keys
}

// Suspect returns the message that reports the request as running in a crash.
func (s Subject) Suspect() *wire.Suspect {
	return &wire.Suspect{Fingerprint: s.Request.Bytes(), Organisation: s.Organisation, Parts: EncodeAll(s.Parts)}
}
