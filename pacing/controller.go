// Package pacing decides how many streams a group of engines may run at once. All of them share one pass, so each
// further stream slows all others down; the pauses between events tell how long passes take. The controller keeps
// the number where events come in time. While that cannot be had, as with a rank that is slow, it lets the group
// run full: late answers are worth more than refusals.
package pacing

import (
	"cmp"
	"math"
	"time"
)

const (
	// DefaultTarget is the part of the wanted pause that pauses are kept under.
	DefaultTarget = 0.9
	// DefaultLeast is the share of the places that is always used.
	DefaultLeast = 0.55
	// DefaultFirst is the share of the places that is used before anything is known.
	DefaultFirst = 0.8

	// sampleWeight is the part of one event in the moving averages.
	sampleWeight = 0.06
	// spread is how many mean deviations above the mean pauses count.
	spread = 1.0
	// interval is the time between two changes of the bound.
	interval = 100 * time.Millisecond
	// growth is the share of the places that the bound grows by at each change, for each part of the target
	// that is left.
	growth = 0.05
	// cut is the part of the bound that it falls by, for each part that pauses are above the target, up to
	// mostCut.
	cut     = 0.25
	mostCut = 0.06
	// headroom is the number of streams by which the bound may exceed what runs.
	headroom = 8.0
	// lateRatio and timelyRatio are the pauses over the target at which events can't come in time with the least
	// number of streams, and at which they can again.
	lateRatio, timelyRatio = 1.25, 1.1
	// patience is how long pauses have to be above lateRatio.
	patience = 400 * time.Millisecond
)

type (
	// Settings configure a Controller. Zero values take the defaults.
	Settings struct {
		Target, Least, First float64
	}

	// Controller is the state of one group. It is not safe for concurrent use.
	Controller struct {
		settings Settings
		// mean and deviation are moving averages of pauses over the wanted pause.
		mean, deviation float64
		// bound is the most streams at once, of a group with so many places.
		bound, places float64
		changed       time.Time
		// lateSince is since when pauses are above lateRatio; isFull tells that the group runs full for it.
		lateSince time.Time
		isFull    bool
	}
)

// NewController returns a controller without samples.
func NewController(settings Settings) *Controller {
	settings.Target = cmp.Or(settings.Target, DefaultTarget)
	settings.Least = cmp.Or(settings.Least, DefaultLeast)
	settings.First = cmp.Or(settings.First, DefaultFirst)
	return &Controller{settings: settings}
}

// Note takes the pause before an event, and the longest that is wanted.
func (c *Controller) Note(pause, wanted time.Duration) {
	if wanted <= 0 {
		return
	}
	sample := float64(pause) / float64(wanted)
	if c.mean == 0 {
		c.mean = sample
		return
	}
	c.deviation += sampleWeight * (math.Abs(sample-c.mean) - c.deviation)
	c.mean += sampleWeight * (sample - c.mean)
}

// Pressure returns the pauses over the target: above 1, events come too late.
func (c *Controller) Pressure() float64 {
	return (c.mean + spread*c.deviation) / c.settings.Target
}

// Bound returns the most streams at once, given those that run and the places of the group.
func (c *Controller) Bound(now time.Time, running, places float64) float64 {
	if c.bound == 0 {
		c.bound, c.places = c.settings.First*places, places
		c.changed = now
	}
	if places != c.places && places > 0 {
		// Ranks came or left.
		c.bound, c.places = c.bound*places/c.places, places
	}
	if now.Sub(c.changed) >= interval {
		c.changed = now
		c.adjust(now, running, places)
	}
	if c.isFull {
		return places
	}
	return c.bound
}

func (c *Controller) adjust(now time.Time, running, places float64) {
	pressure := c.Pressure()
	least := c.settings.Least * places
	c.settle(now, pressure, least)
	switch {
	case pressure <= 1:
		grown := c.bound + growth*places*(1-pressure)
		c.bound = max(c.bound, min(grown, running+headroom))
	default:
		c.bound = min(c.bound, max(running, least)) * (1 - min(cut*(pressure-1), mostCut))
	}
	c.bound = min(max(c.bound, least), places)
}

// settle finds out whether events can come in time at all.
func (c *Controller) settle(now time.Time, pressure, least float64) {
	if pressure < timelyRatio {
		c.isFull = false
	}
	if pressure < lateRatio || c.bound > least*1.01 {
		c.lateSince = time.Time{}
		return
	}
	if c.lateSince.IsZero() {
		c.lateSince = now
	}
	if now.Sub(c.lateSince) >= patience {
		c.isFull = true
	}
}
