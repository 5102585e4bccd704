package backlog

import "time"

const (
	// passWeight is the weight of one event in the length of the present pass. Each pass has an event of every stream.
	passWeight = 0.3
	// passLife is the age from which the last event tells nothing of the present passes.
	passLife = 400 * time.Millisecond
	// tightRatio is the length of a pass, over the pause objective, from which streams that start may make it too long for all
	// others, and hopelessRatio the one from which it is too long without them. All entries start streams from the same
	// events, and copies of experts lengthen passes further.
	tightRatio, hopelessRatio = 0.8, 1 / 0.8
)

// passes follows the length of the passes of a group, as a ratio to the pause objective. All streams of a group have the
// same pauses, since its ranks run each pass together.
type passes struct {
	ratio float64
	seen  time.Time
}

// ObservePause records the pause before an event of a stream together with its objective, the longest acceptable pause.
func (e *Estimator) ObservePause(now time.Time, pause, objective time.Duration) {
	if objective <= 0 {
		return
	}
	sample := float64(pause) / float64(objective)
	if now.Sub(e.passes.seen) > passLife {
		e.passes.ratio = sample
	}
	e.passes.seen = now
	e.passes.ratio += passWeight * (sample - e.passes.ratio)
}

// areTight reports whether further streams may make running ones late that are in time so far.
func (p passes) areTight(now time.Time) bool {
	return now.Sub(p.seen) < passLife && p.ratio > tightRatio && p.ratio < hopelessRatio
}
