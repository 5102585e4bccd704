package balance

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/expertmap"
)

const (
	// levelTime and slowTime are the time constants of the two averages that tell the load ahead.
	levelTime = 6 * time.Minute
	slowTime  = 60 * time.Minute
	// burstTime is how long a load must stay away from its level before that counts as drift.
	burstTime = 6 * time.Minute
	// burstFactor is how many mean deviations off its level a load is a suspected burst.
	burstFactor = 5
	// burstFloor is the least relative change of a load that is a suspected burst.
	burstFloor = 0.35
	// scoreTime is how far ahead the forecasts are scored.
	scoreTime = 20 * time.Minute
	// scoreMemory is the part that an old score keeps when a new one comes in.
	scoreMemory = 0.6
)

type (
	// Report is what the ranks of a group counted in a window of time, put together by the sidecars.
	Report struct {
		// Sequence grows with each report; an older or repeated one is ignored.
		Sequence uint64
		// At is the end of the window.
		At time.Time
		// Tokens holds the tokens of each expert, by layer and expert.
		Tokens []float64
		// Missing marks the layers without counts; nil when all are there.
		Missing []bool
		// RankTime and RankTokens are the busy time and the tokens of each rank; 0 where they are missing.
		RankTime   []float64
		RankTokens []float64
	}

	// Estimator folds reports into an estimate of the load. It is not safe for concurrent use.
	Estimator struct {
		shape    expertmap.Shape
		sequence uint64
		newest   time.Time
		// seen is the end of the newest window of each layer.
		seen []time.Time
		// current follows each expert's part of its layer's tokens now. Level and slow are averages for the
		// load ahead: level passes over bursts, deviation is the mean distance of the part from it, suspect
		// how long the part has been far off.
		current   current
		level     []float64
		slow      []float64
		deviation []float64
		suspect   []time.Duration
		speeds    speedEstimator
		forecast  forecast
	}

	// Estimate is what is known of the load of a group at one time.
	Estimate struct {
		// At is the end of the newest window folded in; the zero time when there was none.
		At time.Time
		// Current is the load of each expert now, bursts included; Forecast is the load to plan moves for. Both
		// are parts of the layer's tokens, by layer and expert.
		Current  []float64
		Forecast []float64
		// Speeds is the speed of each rank relative to the median rank.
		Speeds []float64
		// Covered is the part of the layers with counts not much older than the newest.
		Covered float64
		// Burst is the part of all load that is a suspected burst.
		Burst float64
		// LevelWeight is the part of Forecast that follows the latest level rather than the slow average.
		LevelWeight float64
	}
)

// NewEstimator returns an estimator that has seen nothing.
func NewEstimator(shape expertmap.Shape) *Estimator {
	size := shape.Layers * shape.Experts
	return &Estimator{
		shape:     shape,
		seen:      make([]time.Time, shape.Layers),
		current:   newCurrent(size),
		level:     make([]float64, size),
		slow:      make([]float64, size),
		deviation: make([]float64, size),
		suspect:   make([]time.Duration, size),
		speeds:    newSpeedEstimator(shape.Ranks),
		forecast:  newForecast(size),
	}
}

// Add folds a report in. It reports false for one that is not newer than the last.
func (e *Estimator) Add(r Report) (bool, error) {
	size := e.shape.Layers * e.shape.Experts
	if len(r.Tokens) != size {
		return false, eris.Errorf("report: Tokens has %d entries, the group needs %d", len(r.Tokens), size)
	}
	if r.Missing != nil && len(r.Missing) != e.shape.Layers {
		return false, eris.Errorf("report: Missing has %d layers, the group has %d", len(r.Missing), e.shape.Layers)
	}
	if r.Sequence <= e.sequence || r.At.Before(e.newest) {
		return false, nil
	}
	e.sequence, e.newest = r.Sequence, r.At
	for number := range e.shape.Layers {
		if r.Missing == nil || !r.Missing[number] {
			e.addLayer(number, r)
		}
	}
	e.current.endReport()
	e.speeds.add(r)
	e.forecast.score(r.At, e.level, e.slow, e.current.averages[fastAverage])
	return true, nil
}

// addLayer folds the counts of one layer in.
func (e *Estimator) addLayer(number int, r Report) {
	from, to := number*e.shape.Experts, (number+1)*e.shape.Experts
	total := sum(r.Tokens[from:to])
	if total <= 0 {
		return
	}
	if e.seen[number].IsZero() {
		e.seen[number] = r.At
		for n := from; n < to; n++ {
			part := r.Tokens[n] / total
			e.level[n], e.slow[n] = part, part
			e.current.start(n, part)
			e.deviation[n] = part * burstFloor / burstFactor
		}
		return
	}
	elapsed := r.At.Sub(e.seen[number])
	e.seen[number] = r.At
	level, slow := gain(elapsed, levelTime), gain(elapsed, slowTime)
	e.current.startLayer(elapsed)
	for n := from; n < to; n++ {
		part := r.Tokens[n] / total
		e.current.add(n, part)
		e.slow[n] += slow * (part - e.slow[n])
		e.addLevel(n, part, level, elapsed)
	}
}

// addLevel moves the level of one expert's load, unless the load may be in a burst.
func (e *Estimator) addLevel(n int, part, level float64, elapsed time.Duration) {
	off := math.Abs(part - e.level[n])
	if off > max(burstFactor*e.deviation[n], burstFloor*e.level[n]) {
		e.suspect[n] += elapsed
		if e.suspect[n] < burstTime {
			return
		}
		e.level[n] = e.current.averages[fastAverage][n]
	}
	e.suspect[n] = 0
	e.level[n] += level * (part - e.level[n])
	e.deviation[n] += level * (min(off, burstFactor*e.deviation[n]) - e.deviation[n])
}

// gain is the part by which an average with a time constant follows a value after some time.
func gain(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// Estimate returns what is known now.
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
		if e.suspect[n] > 0 {
			burst += math.Abs(estimate.Current[n] - e.level[n])
		}
	}
	if total > 0 {
		estimate.Burst = burst / total
	}
	return estimate
}

// covered returns the part of the layers whose counts are at most levelTime older than the newest.
func (e *Estimator) covered() float64 {
	fresh := 0
	for _, at := range e.seen {
		if !at.IsZero() && e.newest.Sub(at) <= levelTime {
			fresh++
		}
	}
	return float64(fresh) / float64(e.shape.Layers)
}
