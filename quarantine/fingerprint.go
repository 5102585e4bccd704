// Package quarantine identifies requests that crash engines and refuses them before they crash more.
//
// Tracker is the state machine in control. It applies crash reports, which carry the fingerprints of the running
// requests, in log order and returns verdicts. View is an entry's copy of the verdicts, against which it checks every
// request before dispatch. A request that was running during a crash is a suspect; it runs alone on an upstream if it
// may be repeated. A request proved deadly is refused.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint identifies a request by organisation, route and body, so that a resent request has the same one.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request, whose body may be in pieces. Each part is hashed with its length. The same
// bytes divided differently, for example with another organisation, therefore have another fingerprint.
func NewFingerprint(organisation, route string, body ...[]byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][][]byte{{[]byte(organisation)}, {[]byte(route)}, body} {
		writeWithLength(h, part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// writeWithLength writes the length of a part and its pieces.
func writeWithLength(w io.Writer, pieces [][]byte) {
	length := 0
	for _, piece := range pieces {
		length += len(piece)
	}
	// A hash accepts every write.
	_, _ = w.Write(binary.LittleEndian.AppendUint64(nil, uint64(length)))
	for _, piece := range pieces {
		_, _ = w.Write(piece)
	}
}

// NewPart returns the fingerprint of a part of prompts that has an ID.
func NewPart(id string) Fingerprint { return NewFingerprint("", "part", []byte(id)) }

// FromBytes decodes the fingerprint of a message. It returns false if the length is wrong.
func FromBytes(b []byte) (Fingerprint, bool) {
	var f Fingerprint
	if len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}

// Bytes returns the fingerprint as encoded in messages.
func (f Fingerprint) Bytes() []byte { return append([]byte(nil), f[:]...) }

// String returns the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// EncodeAll returns fingerprints as encoded in messages.
func EncodeAll(fingerprints []Fingerprint) [][]byte {
	var encoded [][]byte
	for _, f := range fingerprints {
		encoded = append(encoded, f.Bytes())
	}
	return encoded
}

// Key returns a number derived from the fingerprint, from which all entries choose the same upstream for the trial of
// a suspect.
func (f Fingerprint) Key() uint64 { return binary.LittleEndian.Uint64(f[:]) }
