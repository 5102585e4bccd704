// A Bloom filter over hashed keys. Keys are uniform already, so their own bits are the hash.

package claim

import "encoding/binary"

const (
	// filterBitsPerKey and filterProbes give one false answer in about 2,000.
	filterBitsPerKey = 16
	filterProbes     = 8
	wordBits         = 64
)

// filter tells whether a key may be in a segment.
type filter []uint64

func newFilter(count int) filter {
	return make(filter, count*filterBitsPerKey/wordBits+1)
}

// probes calls fn with the word and the bit of each probe until it returns false.
func (f filter) probes(key Key, fn func(word int, bit uint64) bool) bool {
	first, step := mixedHalves(key)
	bits := uint64(len(f)) * wordBits
	for range filterProbes {
		place := first % bits
		if !fn(int(place/wordBits), 1<<(place%wordBits)) {
			return false
		}
		first += step
	}
	return true
}

// mixedHalves spreads the key's halves, which for numbered keys are not uniform.
func mixedHalves(key Key) (uint64, uint64) {
	const odd = 0x9e3779b97f4a7c15
	first := binary.BigEndian.Uint64(key[:8]) * odd
	second := (binary.BigEndian.Uint64(key[8:]) + first) * odd
	return first ^ first>>32, second | 1
}

func (f filter) add(key Key) {
	f.probes(key, func(word int, bit uint64) bool {
		f[word] |= bit
		return true
	})
}

func (f filter) has(key Key) bool {
	return f.probes(key, func(word int, bit uint64) bool { return f[word]&bit != 0 })
}
