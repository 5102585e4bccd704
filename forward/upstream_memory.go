package forward

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/route"
)

// This file estimates what the requests at an upstream take of its memory, and keeps further requests from one whose memory may
// not hold them. An entry knows the sizes of its own requests. Those of other entries are counted in load reports, and taken to
// be like its own.

const (
	// memoryDeviations is the number of standard deviations of the estimate that is kept free.
	memoryDeviations = 3
	// retryAfterMemory is the Retry-After of a request for which no upstream has memory.
	retryAfterMemory = 600 * time.Millisecond
	// reasonTooLarge and reasonMemory are the reasons of refusals.
	reasonTooLarge = "larger than the memory of an upstream"
	reasonMemory   = "upstream memory"
)

type (
	// memoryLimits holds the memory of the upstreams of each service, in tokens. Requests read it without a lock.
	memoryLimits struct {
		services atomic.Pointer[map[string]*memoryLimit]
	}

	// memoryLimit is the memory of each upstream of a service.
	memoryLimit struct {
		tokens float64
		mutex  sync.Mutex
		// mean and variance are moving averages of the sizes of requests, zero before the first one.
		mean, variance float64
	}

	// memoryUse is an estimate of tokens with the variance of its error.
	memoryUse struct{ tokens, variance float64 }

	// heldMemory is what the requests of this entry at an upstream take.
	heldMemory struct {
		mutex sync.Mutex
		use   memoryUse
	}
)

// use returns the estimate for a request that names its size. Its answer is taken to have the expected length, half of the
// longest one if none is expected, and to differ from it by half of what it may be longer as the standard deviation.
func (r RequestSize) use() memoryUse {
	expected := min(cmp.Or(r.ExpectedOutput, r.MaxOutput/2), r.MaxOutput)
	deviation := (r.MaxOutput - expected) / 2
	return memoryUse{tokens: r.Prompt + expected, variance: deviation * deviation}
}

// plus returns the sum of two independent estimates.
func (u memoryUse) plus(other memoryUse) memoryUse {
	return memoryUse{tokens: u.tokens + other.tokens, variance: u.variance + other.variance}
}

// largest returns the number of tokens that the estimate is not likely to exceed.
func (u memoryUse) largest() float64 {
	return u.tokens + memoryDeviations*math.Sqrt(max(u.variance, 0))
}

// setMemoryLimits applies the memory of the upstreams in a configuration.
func (f *Fleet) setMemoryLimits(table *route.Table) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := map[string]*memoryLimit{}
	if f.settings.LimitsUpstreamMemory {
		held := f.memory.services.Load()
		for i := range table.Configuration().Services {
			service := &table.Configuration().Services[i]
			if service.Engine == nil || service.Engine.MemoryTokens <= 0 {
				continue
			}
			tokens := float64(service.Engine.MemoryTokens)
			next[service.Name] = &memoryLimit{tokens: tokens}
			if held != nil && (*held)[service.Name] != nil && (*held)[service.Name].tokens == tokens {
				next[service.Name] = (*held)[service.Name]
			}
		}
	}
	f.memory.services.Store(&next)
}

// limit returns the memory limit of a service, or nil.
func (l *memoryLimits) limit(service string) *memoryLimit {
	services := l.services.Load()
	if services == nil {
		return nil
	}
	return (*services)[service]
}

// observe adds a request to the moving averages.
func (l *memoryLimit) observe(use memoryUse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.mean == 0 {
		l.mean, l.variance = use.tokens, use.variance
		return
	}
	difference := use.tokens - l.mean
	l.mean += sizeWeight * difference
	l.variance += sizeWeight * (difference*difference + use.variance - l.variance)
}

// others returns the estimate for a number of requests of other entries.
func (l *memoryLimit) others(requests int64) memoryUse {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return memoryUse{tokens: float64(requests) * l.mean, variance: float64(requests) * l.variance}
}

// add adds the estimate for a request until the returned function is called.
func (h *heldMemory) add(use memoryUse) (remove func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.use = h.use.plus(use)
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.use = memoryUse{tokens: h.use.tokens - use.tokens, variance: h.use.variance - use.variance}
	}
}

func (h *heldMemory) current() memoryUse {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.use
}

// readSize reads the size of the request if the upstreams of its service have a limited memory, and refuses one that is larger
// than that.
func (j *job) readSize() *refusal {
	limit := j.server.fleet.memory.limit(j.service)
	if limit == nil {
		return nil
	}
	size := j.size()
	if size.Prompt == 0 {
		j.memoryUse = limit.others(1)
		return nil
	}
	if size.Prompt >= limit.tokens {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	j.memoryUse = size.use()
	limit.observe(j.memoryUse)
	return nil
}

// fits reports whether the memory of the upstream holds a further request. An upstream without requests always takes one.
func (l *memoryLimit) fits(fleet *Fleet, u *Upstream, size memoryUse, now time.Time) bool {
	own := u.inFlight.Load()
	others := u.othersInFlight.Load()
	if !fleet.hasFreshLoads(now) {
		others = own * (max(fleet.entries.Load(), 1) - 1)
	}
	if own+others == 0 {
		return true
	}
	use := u.memory.current().plus(l.others(others)).plus(size)
	return use.largest() <= l.tokens
}

// memoryRefusal returns the refusal of a request that found no upstream while one that it has not tried lacks the memory for it,
// or nil if all have enough.
func (j *job) memoryRefusal(now time.Time) *refusal {
	limit := j.server.fleet.memory.limit(j.service)
	if limit == nil {
		return nil
	}
	isFull := func(u *Upstream) bool { return !limit.fits(j.server.fleet, u, j.memoryUse, now) }
	if !slices.ContainsFunc(j.untried(now), isFull) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonMemory, retryAfter: retryAfterMemory}
}
