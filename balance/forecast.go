package balance

import (
	"math"
	"time"
)

// forecast learns whether the latest level or the slow average tells the load ahead better. Both are
// remembered and, after scoreTime, compared with the mean of what was observed since. Where loads drift, the
// level wins; where they flip back and forth, the slow average does.
type forecast struct {
	since    time.Time
	level    []float64
	slow     []float64
	observed []float64
	samples  float64
	// levelError and slowError are averages of the squared distance of each forecast from what came.
	levelError float64
	slowError  float64
}

// newForecast returns a forecast for a number of values.
func newForecast(size int) forecast {
	return forecast{level: make([]float64, size), slow: make([]float64, size), observed: make([]float64, size)}
}

// score adds an observation, and scores and renews the remembered values when it is time.
func (f *forecast) score(at time.Time, level, slow, observed []float64) {
	if f.since.IsZero() {
		f.remember(at, level, slow)
		return
	}
	for n, v := range observed {
		f.observed[n] += v
	}
	f.samples++
	if at.Sub(f.since) < scoreTime {
		return
	}
	levelError, slowError := 0.0, 0.0
	for n, v := range f.observed {
		mean := v / f.samples
		levelError += math.Abs(f.level[n] - mean)
		slowError += math.Abs(f.slow[n] - mean)
	}
	f.levelError = scoreMemory*f.levelError + (1-scoreMemory)*levelError*levelError
	f.slowError = scoreMemory*f.slowError + (1-scoreMemory)*slowError*slowError
	f.remember(at, level, slow)
}

// remember keeps the values to be scored next.
func (f *forecast) remember(at time.Time, level, slow []float64) {
	f.since, f.samples = at, 0
	copy(f.level, level)
	copy(f.slow, slow)
	clear(f.observed)
}

// levelWeight returns how much the level counts against the slow average; 1 until a score is in.
func (f *forecast) levelWeight() float64 {
	total := f.levelError + f.slowError
	if total == 0 {
		return 1
	}
	return f.slowError / total
}
