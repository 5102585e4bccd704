// Package ewma holds exponentially weighted moving averages: Mean of samples, and Counter of occurrences in time.
package ewma

import (
	"math"
	"time"
)

type (
	// Mean is a moving average of samples with its mean deviation. The zero value has no samples.
	Mean struct{ mean, deviation float64 }

	// Counter counts occurrences with exponentially decreasing weights of the past.
	Counter struct {
		timeConstant time.Duration
		count        float64
		at           time.Time
	}
)

// Add adds a sample. The weight is the part of the new average that comes from it; the first sample is the average.
func (m *Mean) Add(sample, weight float64) {
	if m.mean == 0 {
		m.mean = sample
		return
	}
	m.deviation += weight * (math.Abs(sample-m.mean) - m.deviation)
	m.mean += weight * (sample - m.mean)
}

// High returns a value that most samples are below: the mean and the mean deviation.
func (m *Mean) High() float64 { return m.mean + m.deviation }

// NewCounter returns a counter in which an occurrence has lost all but 1/e of its weight after the time constant.
func NewCounter(timeConstant time.Duration) Counter { return Counter{timeConstant: timeConstant} }

// Add adds n occurrences.
func (c *Counter) Add(now time.Time, n float64) {
	c.count = c.Count(now) + n
	c.at = now
}

// Count returns the weighted count, which is the number within the time constant at a steady rate.
func (c *Counter) Count(now time.Time) float64 {
	if c.count == 0 {
		return 0
	}
	return c.count * math.Exp(-now.Sub(c.at).Seconds()/c.timeConstant.Seconds())
}

// Rate returns the number of occurrences per second.
func (c *Counter) Rate(now time.Time) float64 { return c.Count(now) / c.timeConstant.Seconds() }

// Last returns when occurrences were last added, zero if never.
func (c *Counter) Last() time.Time { return c.at }
