package lockstep

import (
	"time"

	"guavahitch.example/guavahitch/relocation"
)

// passTimeWeight is the weight of a new sample in the moving average.
const passTimeWeight = 0.4

// passTimer measures the time of a pass from the step numbers that a rank reports.
type passTimer struct {
	epoch uint64
	step  uint64
	seen  time.Time
	// last is the pass time between the last two states, and lastBegan the time of the first of them.
	last      time.Duration
	lastBegan time.Time
	// mean is the moving average of the pass time, 0 without a sample.
	mean time.Duration
}

// pause leaves the time until the next state out of the measurement.
func (p *passTimer) pause() { p.seen, p.last = time.Time{}, 0 }

func (p *passTimer) add(s State, now time.Time) {
	p.last = 0
	isNext := s.Epoch == p.epoch && s.Step > p.step && !p.seen.IsZero()
	if isNext {
		p.last, p.lastBegan = now.Sub(p.seen)/time.Duration(s.Step-p.step), p.seen
		p.mean = movingAverage(p.mean, p.last)
	}
	if s.Step != p.step || s.Epoch != p.epoch || p.seen.IsZero() {
		p.epoch, p.step, p.seen = s.Epoch, s.Step, now
	}
}

// movingAverage returns the mean with a new sample, which is the mean if there is none yet.
func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(passTimeWeight*float64(sample-mean))
}

// evenPass estimates the time that a pass would take if the load of all ranks were even.
type evenPass struct {
	// expertShare is the fraction of the pass time that grows with the skew.
	expertShare float64
	// mean is the moving average of the estimate, 0 without a sample.
	mean time.Duration
}

// add takes the pass time that was measured while the map had the given skew.
func (e *evenPass) add(pass time.Duration, skew float64) {
	e.mean = movingAverage(e.mean, time.Duration(float64(pass)/relocation.PassTime(e.expertShare, skew)))
}

// skewAt returns the skew at which a pass takes the given time.
func (e *evenPass) skewAt(pass time.Duration) float64 {
	return (float64(pass)/float64(e.mean) - (1 - e.expertShare)) / e.expertShare
}
