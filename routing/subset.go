package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the size candidates with the highest rendezvous hash for the key, in the order of that hash. A
// change of the candidates changes the subset of a key only by the ones that come or go, and each candidate is in the
// subsets of about the same number of keys. All candidates are returned when there are at most size of them.
func Subset(key string, candidates []string, size int) []string {
	type scored struct {
		name string
		hash uint64
	}
	all := make([]scored, len(candidates))
	for n, name := range candidates {
		all[n] = scored{name: name, hash: pairHash(key, name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, min(size, len(all)))
	for _, s := range all[:min(size, len(all))] {
		names = append(names, s.name)
	}
	return names
}

// pairHash hashes a key and a name. The length of the key is hashed too, so that pairs with the same concatenation
// differ.
func pairHash(key, name string) uint64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key)))
	d := xxhash.New()
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// mix scrambles the bits of x with the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// unitInterval maps 64 random bits to a number in [0, 1).
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }
