package balance

import (
	"math"
	"sort"
	"time"
)

const (
	// speedTime is the time constant of the average of a rank's time for a token.
	speedTime = 3 * time.Minute
	// speedStep is the step to which speeds are rounded, so that noise does not change them.
	speedStep = 0.05
	// speedMargin is how far beyond half a step a speed must move before it is rounded to another one.
	speedMargin = 0.01
	// minSpeed is the least speed of a rank that reports.
	minSpeed = 0.1
)

// speedEstimator tells slow ranks from loaded ones: a loaded rank takes long for many tokens, a slow one
// takes long for each.
type speedEstimator struct {
	seen    []time.Time
	perUnit []float64
	rounded []float64
}

// newSpeedEstimator returns an estimator that takes all ranks as equally fast.
func newSpeedEstimator(ranks int) speedEstimator {
	s := speedEstimator{
		seen: make([]time.Time, ranks), perUnit: make([]float64, ranks), rounded: make([]float64, ranks),
	}
	for r := range s.rounded {
		s.rounded[r] = 1
	}
	return s
}

// add folds the times of a report in, for the ranks that have them.
func (s *speedEstimator) add(report Report) {
	for r := range s.perUnit {
		if r >= len(report.RankTime) || r >= len(report.RankTokens) || report.RankTokens[r] <= 0 || report.RankTime[r] <= 0 {
			continue
		}
		perUnit := report.RankTime[r] / report.RankTokens[r]
		if s.seen[r].IsZero() {
			s.perUnit[r] = perUnit
		}
		s.perUnit[r] += gain(report.At.Sub(s.seen[r]), speedTime) * (perUnit - s.perUnit[r])
		s.seen[r] = report.At
	}
	s.round()
}

// round derives the speeds from the median time for a token.
func (s *speedEstimator) round() {
	var known []float64
	for r, perUnit := range s.perUnit {
		if !s.seen[r].IsZero() {
			known = append(known, perUnit)
		}
	}
	if len(known) == 0 {
		return
	}
	sort.Float64s(known)
	median := known[(len(known)-1)/2]
	for r, perUnit := range s.perUnit {
		if s.seen[r].IsZero() {
			continue
		}
		speed := max(median/perUnit, minSpeed)
		if math.Abs(speed-s.rounded[r]) > speedStep/2+speedMargin {
			s.rounded[r] = math.Round(speed/speedStep) * speedStep
		}
	}
}

// speeds returns the speed of each rank relative to the median.
func (s *speedEstimator) speeds() []float64 {
	return append([]float64(nil), s.rounded...)
}
