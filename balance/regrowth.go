package balance

import "time"

const (
	// regrowthTimeConstant is the time constant of the average of the regrowth rate.
	regrowthTimeConstant = 20 * time.Minute
	// initialRegrowth is the rate assumed before any measurement, and minRegrowth the lowest rate used, in slowdown a
	// second.
	initialRegrowth = 0.1 / 3600
	minRegrowth     = 0.005 / 3600
)

// regrowth measures how fast the slowdown returns after a switch, as loads drift away from those of the map. Its
// methods do not change it but return the changed regrowth.
type regrowth struct {
	known        bool
	rate         float64
	observedAt   time.Time
	lastSlowdown float64
}

// withSwitch starts measuring under another map, which is expected to lower the slowdown to the given value; 0
// expects nothing. The part of the expected decrease that the map does not reach counts as regrowth.
func (g regrowth) withSwitch(observedAt time.Time, slowdown float64) regrowth {
	if slowdown == 0 {
		observedAt = time.Time{}
	}
	g.observedAt, g.lastSlowdown = observedAt, slowdown
	return g
}

// withSlowdown adds a measurement of the slowdown under the map in force.
func (g regrowth) withSlowdown(observedAt time.Time, slowdown float64) regrowth {
	if g.observedAt.IsZero() {
		return g.withSwitch(observedAt, slowdown)
	}
	elapsed := observedAt.Sub(g.observedAt)
	if elapsed <= 0 {
		return g
	}
	if !g.known {
		g.known, g.rate = true, initialRegrowth
	}
	g.rate += smoothingFactor(elapsed, regrowthTimeConstant) * ((slowdown-g.lastSlowdown)/elapsed.Seconds() - g.rate)
	return g.withSwitch(observedAt, slowdown)
}

// gainLifetime returns how long a gain lasts until regrowth has cancelled it, at least rule.MinGainLifetime and at most
// rule.MaxGainLifetime.
func (g regrowth) gainLifetime(gain float64, rule Rule) time.Duration {
	rate := initialRegrowth
	if g.known {
		rate = max(g.rate, minRegrowth)
	}
	seconds := min(gain/rate, rule.MaxGainLifetime.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), rule.MinGainLifetime)
}
