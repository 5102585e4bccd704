package mapswitch

import "time"

// Choice of the step at which a switch takes effect: late enough that the decision normally reaches every rank
// before it begins that step, so that no step waits.

const (
	// defaultAcknowledgement stands for the slowest acknowledgement until one was seen.
	defaultAcknowledgement = 50 * time.Millisecond
	// defaultStepTime stands for the step time until two steps were seen.
	defaultStepTime = 20 * time.Millisecond
	// stepWindow is the shortest time over which the step time is measured. Statuses that arrive late in a
	// bunch would else look like very short steps.
	stepWindow = 20 * time.Millisecond
	// minStepTime bounds the measured step time from below.
	minStepTime = time.Millisecond
	// stepTimeWeight is the share of a new sample in the smoothed step time.
	stepTimeWeight = 0.3
	// roundTrips is the number of slowest acknowledgements between arm and run: arm with its answer, one
	// repetition of it, the durable decision, its delivery.
	roundTrips = 4
	// spareSteps is added for the steps begun while the arm is on its way.
	spareSteps = 2
)

// pace observes the steps of a group and the acknowledgements of its ranks.
type pace struct {
	// step is the latest seen, at the time when it was seen last.
	step uint64
	at   time.Time
	// The window over which the step time is measured began with windowStep at windowAt.
	windowStep uint64
	windowAt   time.Time
	stepTime   time.Duration
	slowest    time.Duration
}

// observeStep takes the last step begun by a rank.
func (p *pace) observeStep(step uint64, now time.Time) {
	if step < p.step || step == 0 {
		return
	}
	p.step, p.at = step, now
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

func (p *pace) smooth(sample time.Duration) {
	if p.stepTime == 0 {
		p.stepTime = sample
		return
	}
	p.stepTime += time.Duration(stepTimeWeight * float64(sample-p.stepTime))
}

// observeAcknowledgement takes the time from an instruction to its status.
func (p *pace) observeAcknowledgement(elapsed time.Duration) {
	// The slowest one is forgotten by a sixteenth with each faster one.
	p.slowest = max(elapsed, p.slowest-p.slowest/16)
}

// acknowledgement returns the slowest acknowledgement to reckon with.
func (p *pace) acknowledgement() time.Duration {
	if p.slowest == 0 {
		return defaultAcknowledgement
	}
	return p.slowest
}

// stepAfter returns the first step that begins when the allowance and the round trips of a switch are over.
func (p *pace) stepAfter(allowance time.Duration, now time.Time) uint64 {
	stepTime := p.stepTime
	if stepTime <= 0 {
		stepTime = defaultStepTime
	}
	ahead := now.Sub(p.at) + roundTrips*p.acknowledgement() + allowance
	if p.step == 0 {
		ahead = 0
	}
	return p.step + uint64(ahead/stepTime) + 1 + spareSteps
}
