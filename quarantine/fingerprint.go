// Package quarantine finds the requests that kill engines and keeps them from killing more.
//
// Tracker is the state machine of control: it takes reports of deaths with the fingerprints of the requests that
// ran, in the order of the log, and returns verdicts. View is an entry's copy of the verdicts: every request is
// checked there before it is dispatched. A suspect, which was running when an engine died, is tried alone when it
// is repeatable; a request that is proved deadly is refused.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies a request by organisation, route and body, however it is resent.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. Each part is hashed with its length, so that no other split of the
// same bytes, and so no other organisation, has the same fingerprint.
func NewFingerprint(organisation, route string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(organisation), []byte(route), body} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// FromBytes returns the fingerprint that a message carries and whether it is one.
func FromBytes(b []byte) (Fingerprint, bool) {
	var f Fingerprint
	if len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}

// Bytes returns the fingerprint as a message carries it.
func (f Fingerprint) Bytes() []byte { return append([]byte(nil), f[:]...) }

// Key returns a number by which all entries agree on the upstream that tries the request alone.
func (f Fingerprint) Key() uint64 { return binary.LittleEndian.Uint64(f[:]) }
