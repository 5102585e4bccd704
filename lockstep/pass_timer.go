package lockstep

import "time"

// passTimeWeight is the weight of a new sample in the moving average.
const passTimeWeight = 0.4

// passTimer measures the time of a pass from the step numbers that a rank reports.
type passTimer struct {
	epoch uint64
	step  uint64
	seen  time.Time
	// mean is the moving average of the pass time, 0 without a sample.
	mean time.Duration
}

// pause leaves the time until the next state out of the measurement.
func (p *passTimer) pause() { p.seen = time.Time{} }

func (p *passTimer) add(s State, now time.Time) {
	isNext := s.Epoch == p.epoch && s.Step > p.step && !p.seen.IsZero()
	if isNext {
		sample := now.Sub(p.seen) / time.Duration(s.Step-p.step)
		if p.mean == 0 {
			p.mean = sample
		}
		p.mean += time.Duration(passTimeWeight * float64(sample-p.mean))
	}
	if s.Step != p.step || s.Epoch != p.epoch || p.seen.IsZero() {
		p.epoch, p.step, p.seen = s.Epoch, s.Step, now
	}
}
