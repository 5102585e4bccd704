package lockstep

import "time"

// paceWeight is the part of a new sample in the moving average.
const paceWeight = 0.4

// pace measures how long passes last, from the steps that a rank reports.
type pace struct {
	epoch uint64
	step  uint64
	at    time.Time
	// pass is a moving average, 0 without a sample.
	pass time.Duration
}

func (p *pace) add(s State, now time.Time) {
	isNext := s.Epoch == p.epoch && s.Step > p.step && !p.at.IsZero()
	if isNext {
		sample := now.Sub(p.at) / time.Duration(s.Step-p.step)
		if p.pass == 0 {
			p.pass = sample
		}
		p.pass += time.Duration(paceWeight * float64(sample-p.pass))
	}
	if s.Step != p.step || s.Epoch != p.epoch {
		p.epoch, p.step, p.at = s.Epoch, s.Step, now
	}
}
