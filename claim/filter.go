// A Bloom filter over hashed keys. A key is a hash already, so the filter derives its probes from the bits of
// the key.

package claim

import "encoding/binary"

const (
	// filterBitsPerKey and filterProbes give about one false positive in 2,000 lookups.
	filterBitsPerKey = 16
	filterProbes     = 8
	wordBits         = 64
)

// filter is a Bloom filter that reports whether a segment may contain a key.
type filter []uint64

func newFilter(count int) filter {
	return make(filter, count*filterBitsPerKey/wordBits+1)
}

// forEachProbe calls fn with the word and the bit of each probe until fn returns false. It reports whether fn
// returned true for all of them.
func (f filter) forEachProbe(key Key, fn func(word int, bit uint64) bool) bool {
	first, step := mixedHalves(key)
	bits := uint64(len(f)) * wordBits
	for range filterProbes {
		position := first % bits
		if !fn(int(position/wordBits), 1<<(position%wordBits)) {
			return false
		}
		first += step
	}
	return true
}

// mixedHalves derives two hashes from the halves of a key. It mixes them because the halves of a numbered key
// are not uniform.
func mixedHalves(key Key) (uint64, uint64) {
	const goldenRatio = 0x9e3779b97f4a7c15
	first := binary.BigEndian.Uint64(key[:8]) * goldenRatio
	second := (binary.BigEndian.Uint64(key[8:]) + first) * goldenRatio
	return first ^ first>>32, second | 1
}

func (f filter) add(key Key) {
	f.forEachProbe(key, func(word int, bit uint64) bool {
		f[word] |= bit
		return true
	})
}

func (f filter) has(key Key) bool {
	return f.forEachProbe(key, func(word int, bit uint64) bool { return f[word]&bit != 0 })
}
