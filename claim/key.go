// Package claim stores the idempotency keys of non-repeatable calls: which attempt may run a call, how the call
// ended, and the full answer for resends. Keys is the state machine, Store keeps its values in memory and in
// segments on disk, and Reconciliation settles claims that were left open. Control applies claims and
// settlements from its replicated log in the same order on every replica, so the state machine reads no clock
// and draws no random numbers.
//
// This file defines the hashed form of a key, under which every value on disk is found.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// KeySize is the length of a hashed key, in bytes.
const KeySize = 16

// Key is a hashed key: the first half of a SHA-256 digest, so that nobody can construct a collision.
type Key [KeySize]byte

// KeyOf returns the hashed form of an organisation's idempotency key.
func KeyOf(organisation, key string) Key {
	return hashParts("claim", organisation, key)
}

// hashParts hashes the parts together with their lengths, so that different lists of parts have different
// inputs to the hash.
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

// KeyOfNumber returns the key of a number. Keys have the same order as their numbers.
func KeyOfNumber(number uint64) Key {
	var key Key
	binary.BigEndian.PutUint64(key[:8], number)
	return key
}
