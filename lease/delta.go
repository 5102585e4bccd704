// Deltas between inventories. Operators change a few lines of a long document, so a delta saves sending the
// full document to a thousand processes.

package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavahitch.example/guavahitch/wire"
)

// NewDelta returns the delta from an inventory, whose revision is base, to another. The delta replaces
// everything between the first and the last byte that differ.
func NewDelta(base uint64, from, to []byte) *wire.InventoryDelta {
	prefix := commonPrefix(from, to)
	suffix := commonSuffix(from[prefix:], to[prefix:])
	return &wire.InventoryDelta{
		Base: base, Offset: int64(prefix), Removed: int64(len(from) - prefix - suffix),
		Insert: to[prefix : len(to)-suffix], Checksum: xxhash.Sum64(to),
	}
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// ApplyDelta returns the inventory after the delta. ok is false if the delta does not match the inventory.
func ApplyDelta(from []byte, delta *wire.InventoryDelta) (to []byte, ok bool) {
	length := int64(len(from))
	if delta.Offset < 0 || delta.Removed < 0 || delta.Offset > length || delta.Removed > length-delta.Offset {
		return nil, false
	}
	to = slices.Concat(from[:delta.Offset], delta.Insert, from[delta.Offset+delta.Removed:])
	return to, xxhash.Sum64(to) == delta.Checksum
}
