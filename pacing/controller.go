// Package pacing limits the number of concurrent streams of a group of engines. All streams of a group share each
// forward pass, so every further stream makes the passes longer, which shows in the pauses between events. A Controller
// adapts the limit so that the pauses stay within the objective. When even the smallest limit cannot achieve that, for
// example because one rank is slow, it lifts the limit: a late response is worth more than a refusal. Streams beyond the limit
// are not refused by that: package backlog decides what becomes of them.
package pacing

import (
	"cmp"
	"math"
	"time"
)

const (
	// DefaultTarget is the fraction of the pause objective that the controller keeps pauses below.
	DefaultTarget = 0.9
	// DefaultMinShare is the smallest limit, as a share of the slots.
	DefaultMinShare = 0.8
	// CompetingMinShare is the smallest limit where streams of different priorities compete. The least urgent are refused
	// there rather than that urgent ones come late.
	CompetingMinShare = 0.55
	// DefaultInitialShare is the initial limit, as a share of the slots.
	DefaultInitialShare = 0.8

	// sampleWeight is the weight of one event in the exponential moving averages.
	sampleWeight = 0.06
	// deviationWeight is the number of mean deviations that PauseRatio adds to the mean.
	deviationWeight = 1.0
	// adjustInterval is the time between two adjustments of the limit.
	adjustInterval = 100 * time.Millisecond
	// growthShare is the growth of the limit in one adjustment, as a share of the slots. It is multiplied by the unused
	// fraction of the target.
	growthShare = 0.05
	// cutShare is the fraction by which one adjustment reduces the limit, multiplied by the fraction by which pauses
	// exceed the target. maxCut bounds the product.
	cutShare = 0.25
	maxCut   = 0.06
	// headroom is the number of streams by which the limit may grow beyond the running streams.
	headroom = 8.0
	// saturatedRatio is the PauseRatio from which a group at its smallest limit counts as unable to meet the target,
	// recoveredRatio the one below which it counts as able again.
	saturatedRatio, recoveredRatio = 1.25, 1.1
	// saturationDelay is the time that the ratio must stay at or above saturatedRatio before the limit is lifted.
	saturationDelay = 400 * time.Millisecond
)

type (
	// Settings configure a Controller. Zero values take the defaults. Target is a fraction of the pause objective,
	// MinShare and InitialShare are shares of the slots.
	Settings struct {
		Target, MinShare, InitialShare float64
	}

	// Controller holds the stream limit of one group and the statistics it follows. It is not safe for concurrent use.
	Controller struct {
		settings Settings
		// mean and deviation are moving averages of the pauses, as a ratio to the objective.
		mean, deviation float64
		// limit is the number of streams allowed at once, slots the capacity of the group that it was computed for.
		limit, slots float64
		adjusted     time.Time
		// saturatedSince is the start of the period at or above saturatedRatio, zero outside one. isSaturated is set
		// while the limit is lifted.
		saturatedSince time.Time
		isSaturated    bool
	}
)

// NewController returns a controller without samples.
func NewController(settings Settings) *Controller {
	settings.Target = cmp.Or(settings.Target, DefaultTarget)
	settings.MinShare = cmp.Or(settings.MinShare, DefaultMinShare)
	settings.InitialShare = cmp.Or(settings.InitialShare, DefaultInitialShare)
	return &Controller{settings: settings}
}

// Observe records the pause before an event together with its objective, the longest acceptable pause.
func (c *Controller) Observe(pause, objective time.Duration) {
	if objective <= 0 {
		return
	}
	sample := float64(pause) / float64(objective)
	if c.mean == 0 {
		c.mean = sample
		return
	}
	c.deviation += sampleWeight * (math.Abs(sample-c.mean) - c.deviation)
	c.mean += sampleWeight * (sample - c.mean)
}

// PauseRatio returns the mean pause plus the weighted mean deviation, divided by the target. Above 1, events come too
// late.
func (c *Controller) PauseRatio() float64 {
	return (c.mean + deviationWeight*c.deviation) / c.settings.Target
}

// Limit returns the number of streams that may run at once. Callers pass the number of running streams and the slots
// of the group; a call also adjusts the limit when an adjustment is due.
func (c *Controller) Limit(now time.Time, running, slots float64) float64 {
	if c.limit == 0 {
		c.limit, c.slots = c.settings.InitialShare*slots, slots
		c.adjusted = now
	}
	if slots != c.slots && slots > 0 {
		// Ranks joined or left the group.
		c.limit, c.slots = c.limit*slots/c.slots, slots
	}
	if now.Sub(c.adjusted) >= adjustInterval {
		c.adjusted = now
		c.adjust(now, running, slots)
	}
	if c.isSaturated {
		return slots
	}
	return c.limit
}

func (c *Controller) adjust(now time.Time, running, slots float64) {
	ratio := c.PauseRatio()
	minimum := c.settings.MinShare * slots
	c.detectSaturation(now, ratio, minimum)
	switch {
	case ratio <= 1:
		raised := c.limit + growthShare*slots*(1-ratio)
		c.limit = max(c.limit, min(raised, running+headroom))
	default:
		c.limit = min(c.limit, max(running, minimum)) * (1 - min(cutShare*(ratio-1), maxCut))
	}
	c.limit = min(max(c.limit, minimum), slots)
}

// detectSaturation updates isSaturated: whether the group misses the target even at its smallest limit.
func (c *Controller) detectSaturation(now time.Time, ratio, minimum float64) {
	if ratio < recoveredRatio {
		c.isSaturated = false
	}
	if ratio < saturatedRatio || c.limit > minimum*1.01 {
		c.saturatedSince = time.Time{}
		return
	}
	if c.saturatedSince.IsZero() {
		c.saturatedSince = now
	}
	if now.Sub(c.saturatedSince) >= saturationDelay {
		c.isSaturated = true
	}
}
