package lockstep

import (
	"cmp"
	"math"
	"sync"
	"time"
)

const (
	// lossWeight is the weight of one order in the moving average.
	lossWeight = 0.03
	// missProbability is the accepted probability that some rank has not received its order when the group reaches
	// the pass.
	missProbability = 0.05
	// armingMargin is the time allowed for arming, divided by the longest recent arming time. With each switch that
	// longest time is multiplied by armingDecay.
	armingMargin = 1.2
	armingDecay  = 0.8
	// maxLead is the maximum number of passes that a switch is armed ahead.
	maxLead = 30
	// unreachableTime is how long the ranks count as hard to reach after a read failed or an order was not answered.
	unreachableTime = 1500 * time.Millisecond
	// unreachablePause is how long a switch is expected to hold the group while ranks are hard to reach.
	unreachablePause = 300 * time.Millisecond
	// defaultPassTime is the assumed pass time before one was measured.
	defaultPassTime = 60 * time.Millisecond
)

// losses measures the fraction of orders that are not answered.
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

// repeats returns how often an order must be repeated until all ranks have answered, except with missProbability. It
// returns 0 when so few orders are lost that one attempt is enough.
func (l *losses) repeats(ranks int) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.share < missProbability/float64(ranks) {
		return 0
	}
	return math.Log(float64(ranks)/missProbability) / -math.Log(min(l.share, 0.9))
}

// contactFailures records the last time at which a rank could not be reached.
type contactFailures struct {
	mutex sync.Mutex
	last  time.Time
}

func (t *contactFailures) record(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last = now
}

func (t *contactFailures) isRecent(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Sub(t.last) < unreachableTime
}

// armingTime measures how long it takes to arm all ranks. It keeps the longest recent time, which decays with each
// switch.
type armingTime struct{ longest time.Duration }

func (a *armingTime) add(took time.Duration) {
	a.longest = max(took, time.Duration(armingDecay*float64(a.longest)))
}

// passTime returns the measured pass time, or defaultPassTime before there is one.
func (c *Coordinator) passTime() time.Duration { return cmp.Or(c.passTimer.mean, defaultPassTime) }

// passesIn returns the maximum number of passes that begin within a time.
func (c *Coordinator) passesIn(d time.Duration) uint64 {
	return uint64(math.Ceil(float64(d) / float64(c.passTime())))
}

// leadPasses returns how many passes ahead the next switch is armed. The lead covers the time in which earlier switches were
// armed and the time to repeat lost orders, so that the group does not stop for ranks that have not answered yet. It is
// rounded, because a further pass with the old map costs more than the end of a wait.
func (c *Coordinator) leadPasses() uint64 {
	wait := c.losses.repeats(c.settings.Shape.Ranks) * float64(engineTimeout+pollInterval)
	wait = max(wait, armingMargin*float64(c.armingTime.longest))
	if c.armingTime.longest == 0 {
		return min(c.settings.LeadPasses+uint64(wait/float64(c.passTime())), maxLead)
	}
	return min(1+uint64(math.Round(wait/float64(c.passTime()))), maxLead)
}
