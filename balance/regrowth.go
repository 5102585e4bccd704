package balance

import "time"

const (
	// regrowthTime is the time constant with which the rate of regrowth is learned.
	regrowthTime = 20 * time.Minute
	// regrowthStart is the rate that is assumed before anything is learned, and regrowthLeast the lowest
	// rate that is believed, in slowdown a second.
	regrowthStart = 0.1 / 3600
	regrowthLeast = 0.005 / 3600
)

// regrowth learns how fast the slowdown comes back after a switch. It is a value.
type regrowth struct {
	known bool
	rate  float64
	at    time.Time
	last  float64
}

// withSwitch starts a new stretch under another map, which is expected to bring the slowdown down to a value;
// 0 expects nothing. What the map does not hold of it counts as regrowth.
func (g regrowth) withSwitch(at time.Time, slowdown float64) regrowth {
	if slowdown == 0 {
		at = time.Time{}
	}
	g.at, g.last = at, slowdown
	return g
}

// withSlowdown observes the slowdown under the map in force.
func (g regrowth) withSlowdown(at time.Time, slowdown float64) regrowth {
	if g.at.IsZero() {
		return g.withSwitch(at, slowdown)
	}
	elapsed := at.Sub(g.at)
	if elapsed <= 0 {
		return g
	}
	if !g.known {
		g.known, g.rate = true, regrowthStart
	}
	g.rate += gain(elapsed, regrowthTime) * ((slowdown-g.last)/elapsed.Seconds() - g.rate)
	return g.withSwitch(at, slowdown)
}

// life returns how long a gain lasts until the drift has eaten it.
func (g regrowth) life(gain float64, rule Rule) time.Duration {
	rate := regrowthStart
	if g.known {
		rate = max(g.rate, regrowthLeast)
	}
	seconds := min(gain/rate, rule.MaxGainLifetime.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), rule.MinGainLifetime)
}
