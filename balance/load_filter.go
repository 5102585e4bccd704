package balance

import "time"

// timeConstants are the time constants of the moving averages from which the present load is estimated, slowest
// first. The last one is 0: that average is the newest count itself.
var timeConstants = [...]time.Duration{30 * time.Minute, 6 * time.Minute, 2 * time.Minute, 0}

const (
	// fastAverage is the index of the average that follows the load within minutes.
	fastAverage = 2
	// newestCount is the index of the newest count.
	newestCount = len(timeConstants) - 1
	// varianceDecay is the weight that the old variance keeps at each report.
	varianceDecay = 0.9
	// maxVarianceGrowth bounds a new variance relative to the old one, so that a jump of the load is not taken for
	// noise.
	maxVarianceGrowth = 2
)

// loadFilter estimates the present load from noisy counts. It keeps moving averages with several time constants. The
// estimate starts at the slowest average plus its lag behind a steady drift, and is corrected towards each faster one,
// in proportion to the part of their squared distance that exceeds noise (James-Stein shrinkage over all experts of all
// layers at once). A steady load is thereby averaged over many counts, and a load that jumps is taken from the newest
// count alone.
type loadFilter struct {
	averages [len(timeConstants)][]float64
	// smoothing holds the smoothing factors of the averages, for the layer whose counts were added last.
	smoothing [len(timeConstants)]float64
	// doubleSmoothed is the slowest average of the slowest average. The distance between the two shows how far both
	// lag behind a steady drift.
	doubleSmoothed []float64
	// variance is the summed variance of the counts of one report, estimated from differences of successive counts.
	variance float64
	// counted is the number of experts counted in this report, and squaredChanges the sum of half their squared
	// changes.
	counted        int
	squaredChanges float64
}

// newLoadFilter returns a filter for a number of experts, over all layers.
func newLoadFilter(size int) loadFilter {
	c := loadFilter{doubleSmoothed: make([]float64, size)}
	for n := range c.averages {
		c.averages[n] = make([]float64, size)
	}
	return c
}

// startExpert sets all averages of an expert to its first count.
func (c *loadFilter) startExpert(n int, share float64) {
	for at := range c.averages {
		c.averages[at][n] = share
	}
	c.doubleSmoothed[n] = share
}

// setSmoothing sets the smoothing factors for the counts of a layer whose previous counts are elapsed old.
func (c *loadFilter) setSmoothing(elapsed time.Duration) {
	for at, constant := range timeConstants {
		c.smoothing[at] = 1
		if constant > 0 {
			c.smoothing[at] = smoothingFactor(elapsed, constant)
		}
	}
}

// add updates the averages of one expert with a new count.
func (c *loadFilter) add(n int, share float64) {
	change := share - c.averages[newestCount][n]
	c.squaredChanges += change * change / 2
	c.counted++
	for at := range c.averages {
		c.averages[at][n] += c.smoothing[at] * (share - c.averages[at][n])
	}
	c.doubleSmoothed[n] += c.smoothing[0] * (c.averages[0][n] - c.doubleSmoothed[n])
}

// endReport updates the variance after all counts of a report.
func (c *loadFilter) endReport() {
	if c.counted == 0 {
		return
	}
	fresh := c.squaredChanges * float64(len(c.averages[0])) / float64(c.counted)
	if c.variance == 0 {
		c.variance = fresh
	}
	c.variance = varianceDecay*c.variance + (1-varianceDecay)*min(fresh, maxVarianceGrowth*c.variance)
	c.counted, c.squaredChanges = 0, 0
}

// estimate returns the present load of each expert.
func (c *loadFilter) estimate() []float64 {
	estimate := make([]float64, len(c.doubleSmoothed))
	for n, doubleSmoothed := range c.doubleSmoothed {
		estimate[n] = max(2*c.averages[0][n]-doubleSmoothed, 0)
	}
	for at := 1; at < len(c.averages); at++ {
		average, distance := c.averages[at], 0.0
		for n, v := range average {
			distance += (v - estimate[n]) * (v - estimate[n])
		}
		noise := c.variance * c.smoothing[at] / (2 - c.smoothing[at])
		if distance <= noise {
			continue
		}
		follow := 1 - noise/distance
		for n, v := range average {
			estimate[n] += follow * (v - estimate[n])
		}
	}
	return estimate
}
