package balance

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/expertmap"
)

const (
	// levelTimeConstant and slowTimeConstant are the time constants of the two averages behind the load forecast.
	levelTimeConstant = 6 * time.Minute
	slowTimeConstant  = 60 * time.Minute
	// burstDuration is how long a load must stay away from its level before the change counts as drift.
	burstDuration = 6 * time.Minute
	// burstFactor is how many mean deviations from its level make a load a suspected burst.
	burstFactor = 5
	// minBurstChange is the smallest relative change of a load that is a suspected burst.
	minBurstChange = 0.35
	// forecastHorizon is the time after which a forecast is scored against the observed loads.
	forecastHorizon = 20 * time.Minute
	// scoreDecay is the weight that the old score keeps when a new one is added.
	scoreDecay = 0.6
)

type (
	// Report holds what the ranks of a group counted in a time window, combined from their sidecars.
	Report struct {
		// Sequence grows with each report; an older or repeated one is ignored.
		Sequence uint64
		// At is the end of the window.
		At time.Time
		// Tokens holds the tokens of each expert, by layer and expert.
		Tokens []float64
		// Missing marks the layers without counts; nil when all layers have them.
		Missing []bool
		// RankTime and RankTokens are the busy time and the tokens of each rank; 0 where they are missing.
		RankTime   []float64
		RankTokens []float64
	}

	// Estimator combines reports into an estimate of the load. It is not safe for concurrent use.
	Estimator struct {
		shape    expertmap.Shape
		sequence uint64
		newest   time.Time
		// lastCounted is the end of the latest window of each layer.
		lastCounted []time.Time
		// current estimates each expert's present share of its layer's tokens. level and slow are averages of that
		// share from which the forecast is made; level ignores bursts. deviation is the mean distance of the share
		// from level, and suspectFor how long the share has been a suspected burst.
		current    loadFilter
		level      []float64
		slow       []float64
		deviation  []float64
		suspectFor []time.Duration
		speeds     speedEstimator
		forecast   forecast
	}

	// Estimate is what the reports tell of a group's load at one time.
	Estimate struct {
		// At is the end of the latest window; the zero time before the first report.
		At time.Time
		// Current is the present load of each expert, bursts included. Forecast is the load for which moves are
		// planned. Both are shares of the layer's tokens, by layer and expert.
		Current  []float64
		Forecast []float64
		// Speeds is the speed of each rank relative to the median rank.
		Speeds []float64
		// Covered is the fraction of the layers whose counts are at most levelTimeConstant older than the newest
		// ones.
		Covered float64
		// Burst is the fraction of the total load that is a suspected burst.
		Burst float64
		// LevelWeight is the weight of the latest level in Forecast; the rest is that of the slow average.
		LevelWeight float64
	}
)

// NewEstimator returns an estimator without reports.
func NewEstimator(shape expertmap.Shape) *Estimator {
	size := shape.Layers * shape.Experts
	return &Estimator{
		shape:       shape,
		lastCounted: make([]time.Time, shape.Layers),
		current:     newLoadFilter(size),
		level:       make([]float64, size),
		slow:        make([]float64, size),
		deviation:   make([]float64, size),
		suspectFor:  make([]time.Duration, size),
		speeds:      newSpeedEstimator(shape.Ranks),
		forecast:    newForecast(size),
	}
}

// Add includes a report in the estimate. It returns false for a report that is not newer than the last one.
func (e *Estimator) Add(report Report) (bool, error) {
	size := e.shape.Layers * e.shape.Experts
	if len(report.Tokens) != size {
		return false, eris.Errorf("report: Tokens has %d entries, the group needs %d", len(report.Tokens), size)
	}
	if report.Missing != nil && len(report.Missing) != e.shape.Layers {
		return false, eris.Errorf("report: Missing has %d layers, the group has %d", len(report.Missing), e.shape.Layers)
	}
	if report.Sequence <= e.sequence || report.At.Before(e.newest) {
		return false, nil
	}
	e.sequence, e.newest = report.Sequence, report.At
	for number := range e.shape.Layers {
		if report.Missing == nil || !report.Missing[number] {
			e.addLayer(number, report)
		}
	}
	e.current.endReport()
	e.speeds.add(report)
	e.forecast.score(report.At, e.level, e.slow, e.current.averages[fastAverage])
	return true, nil
}

// addLayer includes the counts of one layer.
func (e *Estimator) addLayer(number int, report Report) {
	from, to := number*e.shape.Experts, (number+1)*e.shape.Experts
	total := sum(report.Tokens[from:to])
	if total <= 0 {
		return
	}
	if e.lastCounted[number].IsZero() {
		e.lastCounted[number] = report.At
		for n := from; n < to; n++ {
			share := report.Tokens[n] / total
			e.level[n], e.slow[n] = share, share
			e.current.startExpert(n, share)
			e.deviation[n] = share * minBurstChange / burstFactor
		}
		return
	}
	elapsed := report.At.Sub(e.lastCounted[number])
	e.lastCounted[number] = report.At
	levelFactor, slowFactor := smoothingFactor(elapsed, levelTimeConstant), smoothingFactor(elapsed, slowTimeConstant)
	e.current.setSmoothing(elapsed)
	for n := from; n < to; n++ {
		share := report.Tokens[n] / total
		e.current.add(n, share)
		e.slow[n] += slowFactor * (share - e.slow[n])
		e.addLevel(n, share, levelFactor, elapsed)
	}
}

// addLevel updates the level of one expert's load, except while the load is a suspected burst. A load that has been
// off its level for burstDuration is drift, and the level is reset to the fast average.
func (e *Estimator) addLevel(n int, share, levelFactor float64, elapsed time.Duration) {
	off := math.Abs(share - e.level[n])
	if off > max(burstFactor*e.deviation[n], minBurstChange*e.level[n]) {
		e.suspectFor[n] += elapsed
		if e.suspectFor[n] < burstDuration {
			return
		}
		e.level[n] = e.current.averages[fastAverage][n]
	}
	e.suspectFor[n] = 0
	e.level[n] += levelFactor * (share - e.level[n])
	e.deviation[n] += levelFactor * (min(off, burstFactor*e.deviation[n]) - e.deviation[n])
}

// smoothingFactor returns the weight of a new value in an exponential average whose last value is elapsed old.
func smoothingFactor(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// Estimate returns the estimate of the reports so far.
func (e *Estimator) Estimate() Estimate {
	weight := e.forecast.levelWeight()
	estimate := Estimate{
		At:          e.newest,
		Current:     e.current.estimate(),
		Forecast:    make([]float64, len(e.level)),
		Speeds:      e.speeds.speeds(),
		Covered:     e.covered(),
		LevelWeight: weight,
	}
	total, burst := 0.0, 0.0
	for n := range e.level {
		estimate.Forecast[n] = weight*e.level[n] + (1-weight)*e.slow[n]
		total += estimate.Current[n]
		if e.suspectFor[n] > 0 {
			burst += math.Abs(estimate.Current[n] - e.level[n])
		}
	}
	if total > 0 {
		estimate.Burst = burst / total
	}
	return estimate
}

// covered returns the fraction of the layers whose counts are at most levelTimeConstant older than the newest.
func (e *Estimator) covered() float64 {
	fresh := 0
	for _, at := range e.lastCounted {
		if !at.IsZero() && e.newest.Sub(at) <= levelTimeConstant {
			fresh++
		}
	}
	return float64(fresh) / float64(e.shape.Layers)
}
