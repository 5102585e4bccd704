package mapswitch

import "time"

// This file chooses the step at which a switch takes effect: late enough that the decision normally reaches every
// rank before that step begins, so that no step is delayed.

const (
	// defaultAcknowledgement is assumed until the first acknowledgement has been timed.
	defaultAcknowledgement = 50 * time.Millisecond
	// defaultStepTime is assumed until two steps have been observed.
	defaultStepTime = 20 * time.Millisecond
	// stepWindow is the shortest interval over which the step time is measured. Over shorter intervals, delayed
	// statuses that arrive in a burst would look like very short steps.
	stepWindow = 20 * time.Millisecond
	// minStepTime is the lower bound of the measured step time.
	minStepTime = time.Millisecond
	// stepTimeWeight is the weight of a new sample in the exponentially smoothed step time.
	stepTimeWeight = 0.3
	// roundTripsPerSwitch is the number of round trips, each as long as the slowest acknowledgement, between arm
	// and run: the arm with its answer, one repetition of it, the commit of the decision and its delivery.
	roundTripsPerSwitch = 4
	// extraSteps accounts for the steps that begin while the arm is in transit.
	extraSteps = 2
)

// stepTiming estimates the step time of a group and the acknowledgement time of its ranks.
type stepTiming struct {
	// latestStep is the latest step reported by any rank, latestAt the time of its most recent report.
	latestStep uint64
	latestAt   time.Time
	// windowStep and windowAt are the step and the time at which the current measuring window began.
	windowStep uint64
	windowAt   time.Time
	stepTime   time.Duration
	slowestAck time.Duration
}

// observeStep records the last step begun by a rank.
func (p *stepTiming) observeStep(step uint64, now time.Time) {
	if step < p.latestStep || step == 0 {
		return
	}
	p.latestStep, p.latestAt = step, now
	if p.windowStep == 0 {
		p.windowStep, p.windowAt = step, now
		return
	}
	elapsed := now.Sub(p.windowAt)
	if elapsed < stepWindow || step == p.windowStep {
		return
	}
	p.smooth(max(elapsed/time.Duration(step-p.windowStep), minStepTime))
	p.windowStep, p.windowAt = step, now
}

func (p *stepTiming) smooth(sample time.Duration) {
	if p.stepTime == 0 {
		p.stepTime = sample
		return
	}
	p.stepTime += time.Duration(stepTimeWeight * float64(sample-p.stepTime))
}

// observeAcknowledgement records the time between an instruction and the status that answers it.
func (p *stepTiming) observeAcknowledgement(elapsed time.Duration) {
	// Each faster acknowledgement lowers the maximum by a sixteenth.
	p.slowestAck = max(elapsed, p.slowestAck-p.slowestAck/16)
}

// acknowledgement returns the decaying maximum of the acknowledgement times.
func (p *stepTiming) acknowledgement() time.Duration {
	if p.slowestAck == 0 {
		return defaultAcknowledgement
	}
	return p.slowestAck
}

// activationStep returns the first step expected to begin after the allowance and the round trips of a switch, plus
// extraSteps. A group in which no step was observed needs neither allowance nor round trips.
func (p *stepTiming) activationStep(allowance time.Duration, now time.Time) uint64 {
	stepTime := p.stepTime
	if stepTime <= 0 {
		stepTime = defaultStepTime
	}
	ahead := now.Sub(p.latestAt) + roundTripsPerSwitch*p.acknowledgement() + allowance
	if p.latestStep == 0 {
		ahead = 0
	}
	return p.latestStep + uint64(ahead/stepTime) + 1 + extraSteps
}
