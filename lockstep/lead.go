package lockstep

import (
	"math"
	"slices"
	"time"

	"guavahitch.example/guavahitch/relocation"
)

const (
	// maxLead is the maximum number of passes that a switch is armed ahead.
	maxLead = 30
	// armingSamples is the number of switches whose arming times are remembered, armingMargin the time allowed for arming
	// divided by such a time.
	armingSamples = 8
	armingMargin  = 1.2
	// leadPhases is the number of moments within a pass at which a hold may come.
	leadPhases = 4
	// missedGapCost is what a pause over the gap objective costs, in time without service: it makes all running streams late.
	missedGapCost = 500 * time.Millisecond
)

// Lead decides how many passes ahead a switch is armed. The group runs these passes with the old map, and stands still if
// some rank is not armed by then.
type Lead struct {
	// Pass is the time of a pass with the old map, Saving what a pass with the next map takes less.
	Pass, Saving time.Duration
	// GapObjective is the longest acceptable pause between two events, 0 for none.
	GapObjective time.Duration
	// Arming holds how long it may take to arm all ranks, each time as likely as the others.
	Arming []time.Duration
}

// Passes returns the number of passes, 1 at least, that costs the least time.
func (l Lead) Passes() uint64 {
	best, bestCost := 1, math.Inf(1)
	for passes := 1; passes <= maxLead; passes++ {
		if cost := l.cost(passes); cost < bestCost {
			best, bestCost = passes, cost
		}
	}
	return uint64(best)
}

// cost returns the expected cost of a number of passes in seconds: what the passes with the old map take more, the time for
// which the group stands still, and the streams that this makes late.
func (l Lead) cost(passes int) float64 {
	cost := 0.0
	for _, arming := range l.Arming {
		for phase := range leadPhases {
			elapsed := float64(passes-1) + (float64(phase)+0.5)/leadPhases
			cost += l.standingCost(arming - time.Duration(elapsed*float64(l.Pass))).Seconds()
		}
	}
	cost /= float64(len(l.Arming) * leadPhases)
	return cost + float64(passes-1)*l.Saving.Seconds()
}

// standingCost returns what it costs if the group stands still for a time. Streams whose passes take longer than the
// objective anyway are late already.
func (l Lead) standingCost(standing time.Duration) time.Duration {
	switch {
	case standing <= 0:
		return 0
	case l.Pass <= l.GapObjective && l.Pass+standing > l.GapObjective:
		return standing + missedGapCost
	default:
		return standing
	}
}

// armingTimes holds how long it took to arm all ranks in the last switches.
type armingTimes struct{ recent []time.Duration }

func (a *armingTimes) add(took time.Duration) {
	a.recent = append(a.recent, took)
	if len(a.recent) > armingSamples {
		a.recent = slices.Delete(a.recent, 0, 1)
	}
}

// leadPasses returns how many passes ahead a switch is armed. The time to repeat lost orders counts among the arming times.
func (c *Coordinator) leadPasses(event Event) uint64 {
	repeats := time.Duration(c.losses.repeats(c.settings.Shape.Ranks) * float64(engineTimeout+pollInterval))
	if len(c.armingTimes.recent) == 0 {
		return min(c.settings.LeadPasses+uint64(repeats/c.passTime()), maxLead)
	}
	lead := Lead{Pass: c.passTime(), Saving: c.savingOf(event), GapObjective: c.settings.GapObjective}
	for _, took := range c.armingTimes.recent {
		lead.Arming = append(lead.Arming, max(time.Duration(armingMargin*float64(took)), repeats))
	}
	return lead.Passes()
}

// savingOf returns what a pass takes less after a switch.
func (c *Coordinator) savingOf(event Event) time.Duration {
	saving := relocation.Saving(c.settings.ExpertShare, event.Before, event.After)
	return time.Duration(saving * float64(c.passTime()))
}
