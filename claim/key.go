// Package claim keeps the idempotency keys of non-repeatable calls: who may run a call, what its end was,
// and the whole answer for a resend. Control applies claims and settlements from its replicated log, in
// the same order on every replica, so the package reads no clock and draws no random numbers.
//
// This file holds the hashed form of a key. Everything on disk is found by it.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// KeySize is the length of a hashed key, in bytes.
const KeySize = 16

// Key is the first half of a SHA-256, so that a collision cannot be made on purpose.
type Key [KeySize]byte

// KeyOf returns the hashed form of an organisation's idempotency key.
func KeyOf(organisation, key string) Key {
	return hashParts("claim", organisation, key)
}

// hashParts hashes the parts with their lengths, so that no two lists of parts look alike.
func hashParts(parts ...string) Key {
	digest := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	var key Key
	copy(key[:], digest.Sum(nil))
	return key
}

// KeyOfNumber returns the key of a number; keys are ordered as their numbers.
func KeyOfNumber(number uint64) Key {
	var key Key
	binary.BigEndian.PutUint64(key[:8], number)
	return key
}
