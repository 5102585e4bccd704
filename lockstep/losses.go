package lockstep

import (
	"math"
	"sync"
	"time"
)

const (
	// lossWeight is the part of one order in the moving average.
	lossWeight = 0.03
	// missingRank is the probability at which some rank may still be without its order when the group reaches
	// the pass.
	missingRank = 0.05
	// armingMargin is the time allowed for arming over the longest of late, which keeps armingFade of its length
	// with each switch.
	armingMargin = 1.2
	armingFade   = 0.8
	// maxLead bounds how many passes ahead a switch is armed.
	maxLead = 30
	// troubleTime is how long ranks count as hard to reach after one was not read, or did not answer an order.
	troubleTime = 1500 * time.Millisecond
	// riskyGain is the least part of the busiest ranks' load that a switch has to save while ranks are hard to reach.
	riskyGain = 0.2
	// usualPass stands for the time of a pass that was not measured.
	usualPass = 60 * time.Millisecond
)

// losses measures how many orders go unanswered.
type losses struct {
	mutex sync.Mutex
	share float64
}

func (l *losses) add(isLost bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sample := 0.0
	if isLost {
		sample = 1
	}
	l.share += lossWeight * (sample - l.share)
}

// rounds returns how often an order has to be repeated until all ranks have most likely answered one.
func (l *losses) rounds(ranks int) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.share < missingRank/float64(ranks) {
		return 0
	}
	return math.Log(float64(ranks)/missingRank) / -math.Log(min(l.share, 0.9))
}

// trouble notes when a rank could not be reached last.
type trouble struct {
	mutex sync.Mutex
	last  time.Time
}

func (t *trouble) note(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last = now
}

func (t *trouble) isRecent(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Sub(t.last) < troubleTime
}

// leastGain returns the least part of the busiest ranks' load that a switch has to save. While ranks are hard to reach
// and events are in time, it has to be worth a group that may be held for a while.
func (c *Coordinator) leastGain(now time.Time) float64 {
	if c.trouble.isRecent(now) && c.pace.pass < c.settings.GapObjective {
		return max(c.settings.MinGain, riskyGain)
	}
	return c.settings.MinGain
}

// arming measures how long it takes to arm all ranks: the longest time of late, which fades with each switch.
type arming struct{ longest time.Duration }

func (a *arming) add(took time.Duration) {
	a.longest = max(took, time.Duration(armingFade*float64(a.longest)))
}

// lead returns how many passes ahead the next switch is armed, so that the group does not wait for ranks whose
// orders went unanswered.
func (c *Coordinator) lead() uint64 {
	pass := c.pace.pass
	if pass == 0 {
		pass = usualPass
	}
	wait := c.losses.rounds(c.settings.Shape.Ranks) * float64(engineTimeout+pollInterval)
	wait = max(wait, armingMargin*float64(c.arming.longest))
	return min(c.settings.LeadPasses+uint64(wait/float64(pass)), maxLead)
}
