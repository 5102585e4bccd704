package slowstart

import "time"

const (
	// baselineWeight is the weight of one answer in a Baseline.
	baselineWeight = 0.05
	// minSamples is the number of answers before a Baseline expects anything.
	minSamples = 8
	// leastExpected is the shortest expected time, as a share of the mean one.
	leastExpected = 0.25
)

// Baseline is the usual time of an answer by the size of the request: a linear regression over the recent answers of the
// upstreams that are not ramped up. The zero value expects nothing.
type Baseline struct {
	samples int
	// size and took are the means, variance that of the size, and covariance that of both. Times are in seconds.
	size, took, variance, covariance float64
}

// WithAnswer returns a copy after an answer to a request of some size.
func (b Baseline) WithAnswer(size int, took time.Duration) Baseline {
	b.samples++
	// The first samples have equal weights.
	weight := max(baselineWeight, 1/float64(b.samples))
	ds, dt := float64(size)-b.size, took.Seconds()-b.took
	b.size += weight * ds
	b.took += weight * dt
	b.variance = (1 - weight) * (b.variance + weight*ds*ds)
	b.covariance = (1 - weight) * (b.covariance + weight*ds*dt)
	return b
}

// Expected returns the usual time of an answer to a request of some size, 0 if it is not known. A larger request is
// never expected to take less time.
func (b Baseline) Expected(size int) time.Duration {
	if b.samples < minSamples {
		return 0
	}
	expected := b.took
	if b.variance > 0 {
		expected += max(b.covariance/b.variance, 0) * (float64(size) - b.size)
	}
	return time.Duration(max(expected, leastExpected*b.took) * float64(time.Second))
}
