package balance

import (
	"math"
	"time"
)

// forecast measures which of the latest level and the slow average predicts the load better. It keeps both and, after
// forecastHorizon, compares them with the mean of the loads observed since. The level predicts drifting loads better,
// the slow average loads that flip back and forth.
type forecast struct {
	since    time.Time
	level    []float64
	slow     []float64
	observed []float64
	samples  float64
	// levelError and slowError are running averages of the squared error of each prediction, where the error is the
	// sum of the absolute differences over all experts.
	levelError float64
	slowError  float64
}

// newForecast returns a forecast for a number of experts, over all layers.
func newForecast(size int) forecast {
	return forecast{level: make([]float64, size), slow: make([]float64, size), observed: make([]float64, size)}
}

// score adds an observation. Once forecastHorizon has passed, it scores the kept predictions and replaces them.
func (f *forecast) score(at time.Time, level, slow, observed []float64) {
	if f.since.IsZero() {
		f.remember(at, level, slow)
		return
	}
	for n, v := range observed {
		f.observed[n] += v
	}
	f.samples++
	if at.Sub(f.since) < forecastHorizon {
		return
	}
	levelError, slowError := 0.0, 0.0
	for n, v := range f.observed {
		mean := v / f.samples
		levelError += math.Abs(f.level[n] - mean)
		slowError += math.Abs(f.slow[n] - mean)
	}
	f.levelError = scoreDecay*f.levelError + (1-scoreDecay)*levelError*levelError
	f.slowError = scoreDecay*f.slowError + (1-scoreDecay)*slowError*slowError
	f.remember(at, level, slow)
}

// remember keeps the predictions that are scored next.
func (f *forecast) remember(at time.Time, level, slow []float64) {
	f.since, f.samples = at, 0
	copy(f.level, level)
	copy(f.slow, slow)
	clear(f.observed)
}

// levelWeight returns the weight of the level against the slow average; 1 before the first score.
func (f *forecast) levelWeight() float64 {
	total := f.levelError + f.slowError
	if total == 0 {
		return 1
	}
	return f.slowError / total
}
