package balance

import (
	"math"
	"sort"
	"time"
)

const (
	// speedTime is the time constant of the average of a rank's time for a token.
	speedTime = 6 * time.Minute
	// speedJump is the relative distance from the average at which a report may show a rank that became slow
	// or healthy at once; speedJumpReports such reports in a row make a new average.
	speedJump        = 0.15
	speedJumpReports = 2
	// A rank counts as slow or fast once its speed is slowFrom off the median's, until it is within slowUntil.
	slowFrom  = 0.08
	slowUntil = 0.04
	// minSpeed is the least speed of a rank that reports.
	minSpeed = 0.1
)

// speedEstimator tells slow ranks from loaded ones: a loaded rank takes long for many tokens, a slow one
// takes long for each.
type speedEstimator struct {
	seen    []time.Time
	perUnit []float64
	// jumps counts the reports in a row that are far off the average.
	jumps []int
	speed []float64
}

// newSpeedEstimator returns an estimator that takes all ranks as equally fast.
func newSpeedEstimator(ranks int) speedEstimator {
	s := speedEstimator{
		seen: make([]time.Time, ranks), perUnit: make([]float64, ranks), jumps: make([]int, ranks),
		speed: make([]float64, ranks),
	}
	for r := range s.speed {
		s.speed[r] = 1
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
		if s.seen[r].IsZero() || s.jumped(r, perUnit) {
			s.perUnit[r] = perUnit
		}
		s.perUnit[r] += gain(report.At.Sub(s.seen[r]), speedTime) * (perUnit - s.perUnit[r])
		s.seen[r] = report.At
	}
	s.compare()
}

// jumped reports whether a rank's time for a token has been far off its average for several reports.
func (s *speedEstimator) jumped(r int, perUnit float64) bool {
	if math.Abs(perUnit/s.perUnit[r]-1) < speedJump {
		s.jumps[r] = 0
		return false
	}
	s.jumps[r]++
	if s.jumps[r] < speedJumpReports {
		return false
	}
	s.jumps[r] = 0
	return true
}

// compare derives the speeds from the median time for a token. Healthy ranks all have speed 1, so that noise
// does not move load between them.
func (s *speedEstimator) compare() {
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
		off := math.Abs(speed - 1)
		switch {
		case off > slowFrom || s.speed[r] != 1 && off > slowUntil:
			s.speed[r] = speed
		default:
			s.speed[r] = 1
		}
	}
}

// speeds returns the speed of each rank relative to the median.
func (s *speedEstimator) speeds() []float64 {
	return append([]float64(nil), s.speed...)
}
