package balance

import (
	"sort"
	"time"
)

type (
	// StoreLimiter divides the rate of the weight store among the groups. At most Concurrent groups load at a time,
	// each at an equal share of Rate. Two loads start at least Spacing apart, so that the switches that follow them
	// do not coincide either. It is a value: its With methods return the changed limiter.
	StoreLimiter struct {
		// Rate is the rate of the weight store in bytes a second.
		Rate       float64
		Concurrent int
		Spacing    time.Duration

		loads     []storeLoad
		lastStart time.Time
	}

	// storeLoad is a load in progress.
	storeLoad struct {
		group string
		end   time.Time
	}
)

// NewStoreLimiter returns a limiter without loads in progress.
func NewStoreLimiter(rate float64, concurrent int, spacing time.Duration) StoreLimiter {
	return StoreLimiter{Rate: rate, Concurrent: concurrent, Spacing: spacing}
}

// RateFor returns the rate at which a group may load now, in bytes a second, or 0 while it has to wait.
func (s StoreLimiter) RateFor(group string, now time.Time) float64 {
	others := 0
	for _, l := range s.loads {
		if l.end.After(now) && l.group != group {
			others++
		}
	}
	if others >= s.Concurrent || !s.lastStart.IsZero() && now.Sub(s.lastStart) < s.Spacing {
		return 0
	}
	return s.Rate / float64(s.Concurrent)
}

// WithLoad returns the limiter after a group started a load of the given duration.
func (s StoreLimiter) WithLoad(group string, now time.Time, load time.Duration) StoreLimiter {
	s = s.WithoutLoad(group, now)
	s.loads = append(s.loads, storeLoad{group: group, end: now.Add(load)})
	sort.Slice(s.loads, func(i, j int) bool { return s.loads[i].group < s.loads[j].group })
	s.lastStart = now
	return s
}

// WithoutLoad returns the limiter after a group's load ended or was abandoned.
func (s StoreLimiter) WithoutLoad(group string, now time.Time) StoreLimiter {
	var loads []storeLoad
	for _, l := range s.loads {
		if l.group != group && l.end.After(now) {
			loads = append(loads, l)
		}
	}
	s.loads = loads
	return s
}
