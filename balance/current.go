package balance

import "time"

// averageTimes are the time constants of the averages that the present load is told from, slowest first; the
// last one is the newest count itself.
var averageTimes = [...]time.Duration{30 * time.Minute, 6 * time.Minute, 2 * time.Minute, 0}

const (
	// fastAverage is the place of the average that follows within minutes.
	fastAverage = 2
	// lastAverage is the place of the newest count.
	lastAverage = len(averageTimes) - 1
	// noiseMemory is the part that the old variance keeps at each report.
	noiseMemory = 0.9
	// noiseClip bounds a new variance relative to the old one, so that a jump of the load is not taken as noise.
	noiseClip = 2
)

// current tells the present load from noisy counts. It holds averages of several time constants and goes from
// the slowest to the newest, following each one as far as its distance from the last is more than noise
// (the shrinkage of James and Stein, over all experts of all layers at once). A quiet load is told from
// many counts, and one that jumps from the newest alone.
type current struct {
	averages [len(averageTimes)][]float64
	gains    [len(averageTimes)]float64
	// smoothed is the slowest average of the slowest average. The distance between the two tells how far
	// both lag behind a steady drift.
	smoothed []float64
	// variance is the summed variance of the counts of one report, from differences of successive counts.
	variance float64
	// seen and squares are the experts counted in this report and their squared differences.
	seen    int
	squares float64
}

// newCurrent returns the state for a number of experts.
func newCurrent(size int) current {
	c := current{smoothed: make([]float64, size)}
	for n := range c.averages {
		c.averages[n] = make([]float64, size)
	}
	return c
}

// start sets the first count of an expert.
func (c *current) start(n int, part float64) {
	for at := range c.averages {
		c.averages[at][n] = part
	}
	c.smoothed[n] = part
}

// startLayer sets how far the averages follow the counts of a layer after some time without any.
func (c *current) startLayer(elapsed time.Duration) {
	for at, constant := range averageTimes {
		c.gains[at] = 1
		if constant > 0 {
			c.gains[at] = gain(elapsed, constant)
		}
	}
}

// add folds the count of one expert in.
func (c *current) add(n int, part float64) {
	change := part - c.averages[lastAverage][n]
	c.squares += change * change / 2
	c.seen++
	for at := range c.averages {
		c.averages[at][n] += c.gains[at] * (part - c.averages[at][n])
	}
	c.smoothed[n] += c.gains[0] * (c.averages[0][n] - c.smoothed[n])
}

// endReport renews the variance after the counts of a report.
func (c *current) endReport() {
	if c.seen == 0 {
		return
	}
	fresh := c.squares * float64(len(c.averages[0])) / float64(c.seen)
	if c.variance == 0 {
		c.variance = fresh
	}
	c.variance = noiseMemory*c.variance + (1-noiseMemory)*min(fresh, noiseClip*c.variance)
	c.seen, c.squares = 0, 0
}

// estimate returns the present load of each expert.
func (c *current) estimate() []float64 {
	estimate := make([]float64, len(c.smoothed))
	for n, smoothed := range c.smoothed {
		estimate[n] = max(2*c.averages[0][n]-smoothed, 0)
	}
	for at := 1; at < len(c.averages); at++ {
		average, distance := c.averages[at], 0.0
		for n, v := range average {
			distance += (v - estimate[n]) * (v - estimate[n])
		}
		noise := c.variance * c.gains[at] / (2 - c.gains[at])
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
