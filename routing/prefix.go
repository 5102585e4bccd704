package routing

import (
	"sync/atomic"
)

const (
	// BlockTokens is the number of prompt tokens that one prefix hash adds.
	BlockTokens = 64
	// prefixSlots is the size of the hash set that is kept for one upstream.
	prefixSlots = 4096
	// gapConfidence is the factor on the confidence in a view after a gap in its events.
	gapConfidence = 0.5
	// confidenceGain is the share of the lost confidence that one event without a gap restores.
	confidenceGain = 0.02
	// confidenceUnit is the fixed-point value of full confidence.
	confidenceUnit = 1 << 20
)

type (
	// PrefixEvent is an engine's report of one change of its prefix cache.
	PrefixEvent struct {
		// Upstream and Epoch identify the engine.
		Upstream string
		Epoch    uint64
		// Sequence grows by one with each event of an epoch.
		Sequence uint64
		// Stored and Removed are the hashes of the blocks that entered and left the cache.
		Stored, Removed []uint64
		// Cleared is true when the cache dropped all blocks before it stored those in Stored.
		Cleared bool
	}

	// prefixCache is the entry's view of one upstream's prefix cache: a lossy hash set of fixed size, and the
	// confidence in it. A gap in the events lowers the confidence but does not empty the view.
	prefixCache struct {
		slots      atomic.Pointer[prefixSet] // nil until the first hash is stored
		confidence atomic.Int64
		sequence   atomic.Uint64
	}
)

type prefixSet [prefixSlots]atomic.Uint64

func newPrefixCache() *prefixCache {
	c := &prefixCache{}
	c.confidence.Store(confidenceUnit)
	return c
}

// set returns the hash set and allocates it on first use.
func (c *prefixCache) set() *prefixSet {
	if s := c.slots.Load(); s != nil {
		return s
	}
	c.slots.CompareAndSwap(nil, &prefixSet{})
	return c.slots.Load()
}

func (c *prefixCache) store(hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	s := c.set()
	for _, hash := range hashes {
		s[hash%prefixSlots].Store(hash)
	}
}

func (c *prefixCache) remove(hashes []uint64) {
	s := c.slots.Load()
	if s == nil {
		return
	}
	for _, hash := range hashes {
		s[hash%prefixSlots].CompareAndSwap(hash, 0)
	}
}

// apply applies an event. A late event still removes the blocks that it names, because a block that is wrongly
// assumed cached costs more than one that is wrongly assumed absent.
func (c *prefixCache) apply(e PrefixEvent) {
	last := c.sequence.Load()
	if e.Sequence <= last && last != 0 {
		c.remove(e.Removed)
		return
	}
	confidence := c.confidence.Load()
	if last != 0 && e.Sequence != last+1 {
		c.confidence.Store(int64(float64(confidence) * gapConfidence))
	} else {
		c.confidence.Store(confidence + int64(float64(confidenceUnit-confidence)*confidenceGain))
	}
	c.sequence.Store(e.Sequence)
	if e.Cleared {
		c.slots.Store(nil)
		c.confidence.Store(confidenceUnit)
	}
	c.remove(e.Removed)
	c.store(e.Stored)
}

// cachedTokens returns the number of prompt tokens that are probably cached, scaled by the confidence in the view.
func (c *prefixCache) cachedTokens(hashes []uint64) int {
	s := c.slots.Load()
	if s == nil {
		return 0
	}
	blocks := 0
	for blocks < len(hashes) && s[hashes[blocks]%prefixSlots].Load() == hashes[blocks] {
		blocks++
	}
	return int(int64(blocks*BlockTokens) * c.confidence.Load() / confidenceUnit)
}
