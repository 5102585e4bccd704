package fairness

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant over which the service rate is averaged.
	rateWindow = 3 * time.Second
	// rateGrants is the number of grants over which the rate is averaged when fewer arrive within the window.
	rateGrants = 32
)

// rateMeter measures the cost granted per second while requests wait. Time without waiting requests is not counted,
// because the rate then reflects the demand and not the capacity.
type rateMeter struct {
	cost    float64
	seconds float64
	last    time.Time // time of the last grant; zero when no request waited after it
}

// add records a grant; waiting tells whether requests still wait after it.
func (m *rateMeter) add(now time.Time, cost float64, waiting bool) {
	if !m.last.IsZero() {
		seconds := now.Sub(m.last).Seconds()
		keep := math.Exp(-min(seconds/rateWindow.Seconds(), 1.0/rateGrants))
		m.cost = m.cost*keep + cost
		m.seconds = m.seconds*keep + seconds
	}
	m.last = time.Time{}
	if waiting {
		m.last = now
	}
}

// rate returns the cost granted per second, or 0 while there is too little data.
func (m *rateMeter) rate() float64 {
	if m.seconds < rateWindow.Seconds()/10 {
		return 0
	}
	return m.cost / m.seconds
}
