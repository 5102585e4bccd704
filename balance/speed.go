package balance

import (
	"math"
	"sort"
	"time"
)

const (
	// speedTimeConstant is the time constant of the average of a rank's time for a token.
	speedTimeConstant = 6 * time.Minute
	// speedJump is the smallest relative difference from the average that counts as a jump: the rank may suddenly have
	// become slow or healthy. After speedJumpReports jumps in a row, the average restarts from the newest value.
	speedJump        = 0.15
	speedJumpReports = 2
	// A rank counts as slow or fast once its speed differs from the median by more than slowThreshold, until it is
	// within slowResetThreshold of the median.
	slowThreshold      = 0.08
	slowResetThreshold = 0.04
	// minSpeed is the lowest estimated speed of a rank that reports.
	minSpeed = 0.1
)

// speedEstimator distinguishes slow ranks from loaded ones by the time for a token: a loaded rank takes long because
// it has many tokens, a slow one takes long for each token.
type speedEstimator struct {
	lastReport   []time.Time
	timePerToken []float64
	// jumps counts the successive reports of each rank that are far off its average.
	jumps []int
	speed []float64
}

// newSpeedEstimator returns an estimator that starts with equally fast ranks.
func newSpeedEstimator(ranks int) speedEstimator {
	s := speedEstimator{
		lastReport: make([]time.Time, ranks), timePerToken: make([]float64, ranks), jumps: make([]int, ranks),
		speed: make([]float64, ranks),
	}
	for r := range s.speed {
		s.speed[r] = 1
	}
	return s
}

// add includes the times of a report, for the ranks that have them.
func (s *speedEstimator) add(report Report) {
	for r := range s.timePerToken {
		if r >= len(report.RankTime) || r >= len(report.RankTokens) ||
			report.RankTokens[r] <= 0 || report.RankTime[r] <= 0 {
			continue
		}
		timePerToken := report.RankTime[r] / report.RankTokens[r]
		if s.lastReport[r].IsZero() || s.jumped(r, timePerToken) {
			s.timePerToken[r] = timePerToken
		}
		s.timePerToken[r] += smoothingFactor(report.At.Sub(s.lastReport[r]), speedTimeConstant) *
			(timePerToken - s.timePerToken[r])
		s.lastReport[r] = report.At
	}
	s.updateSpeeds()
}

// jumped reports whether a rank's time for a token has been far off its average for several reports.
func (s *speedEstimator) jumped(r int, timePerToken float64) bool {
	if math.Abs(timePerToken/s.timePerToken[r]-1) < speedJump {
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

// updateSpeeds derives the speeds from the median time for a token. All healthy ranks have speed 1, so that noise
// does not move load between them.
func (s *speedEstimator) updateSpeeds() {
	var known []float64
	for r, timePerToken := range s.timePerToken {
		if !s.lastReport[r].IsZero() {
			known = append(known, timePerToken)
		}
	}
	if len(known) == 0 {
		return
	}
	sort.Float64s(known)
	median := known[(len(known)-1)/2]
	for r, timePerToken := range s.timePerToken {
		if s.lastReport[r].IsZero() {
			continue
		}
		speed := max(median/timePerToken, minSpeed)
		off := math.Abs(speed - 1)
		switch {
		case off > slowThreshold || s.speed[r] != 1 && off > slowResetThreshold:
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
