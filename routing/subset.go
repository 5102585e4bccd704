package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the size candidates of the highest rendezvous hash with the key, in the order of that hash.
// Each key keeps its subset when other candidates come and go, and a candidate is in the subset of about the
// same number of keys as any other. All candidates are returned when there are no more than size.
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

func pairHash(key, name string) uint64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key)))
	d := xxhash.New()
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// mix returns a well-spread 64-bit value of x (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// unit maps 64 random bits to a number from 0 to below 1.
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }
