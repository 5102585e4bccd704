package routing

import (
	"sync/atomic"
)

const (
	// BlockTokens is the number of prompt tokens that one prefix hash adds.
	BlockTokens = 64
	// prefixSlots bounds the hashes remembered for one upstream.
	prefixSlots = 4096
	// gapTrust is the part of the trust in a view that remains after a gap in its events.
	gapTrust = 0.5
	// trustGain is the part of the lost trust that one event without a gap wins back.
	trustGain = 0.02
	// trustUnit is the fixed-point unit of trust.
	trustUnit = 1 << 20
)

type (
	// PrefixEvent is one report of an engine on its prefix cache.
	PrefixEvent struct {
		// Upstream and Epoch name the engine.
		Upstream string
		Epoch    uint64
		// Sequence grows by one with each event of one epoch.
		Sequence uint64
		// Stored and Removed are the hashes of blocks that entered and left the cache.
		Stored, Removed []uint64
		// Cleared is true when the cache lost everything before Stored.
		Cleared bool
	}

	// prefixCache is the view of one upstream's prefix cache: a lossy set of hashes of fixed size, and the trust
	// in it. A gap in the events lowers the trust; it does not empty the view.
	prefixCache struct {
		slots    atomic.Pointer[prefixSet] // nil until the first hash comes
		trust    atomic.Int64
		sequence atomic.Uint64
	}
)

type prefixSet [prefixSlots]atomic.Uint64

func newPrefixCache() *prefixCache {
	c := &prefixCache{}
	c.trust.Store(trustUnit)
	return c
}

// set returns the hashes, which it makes room for when there is none yet.
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

// apply takes an event. A late one still removes what it names, for a block that is wrongly believed cached
// costs more than one wrongly believed absent.
func (c *prefixCache) apply(e PrefixEvent) {
	last := c.sequence.Load()
	if e.Sequence <= last && last != 0 {
		c.remove(e.Removed)
		return
	}
	trust := c.trust.Load()
	if last != 0 && e.Sequence != last+1 {
		c.trust.Store(int64(float64(trust) * gapTrust))
	} else {
		c.trust.Store(trust + int64(float64(trustUnit-trust)*trustGain))
	}
	c.sequence.Store(e.Sequence)
	if e.Cleared {
		c.slots.Store(nil)
		c.trust.Store(trustUnit)
	}
	c.remove(e.Removed)
	c.store(e.Stored)
}

// cachedTokens returns how much of the prompt is believed to be cached, discounted by the trust in the view.
func (c *prefixCache) cachedTokens(hashes []uint64) int {
	s := c.slots.Load()
	if s == nil {
		return 0
	}
	blocks := 0
	for blocks < len(hashes) && s[hashes[blocks]%prefixSlots].Load() == hashes[blocks] {
		blocks++
	}
	return int(int64(blocks*BlockTokens) * c.trust.Load() / trustUnit)
}
