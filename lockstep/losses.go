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

// passTime returns the measured pass time, or defaultPassTime before there is one.
func (c *Coordinator) passTime() time.Duration { return cmp.Or(c.passTimer.mean, defaultPassTime) }

// passesIn returns the maximum number of passes that begin within a time.
func (c *Coordinator) passesIn(d time.Duration) uint64 {
	return uint64(math.Ceil(float64(d) / float64(c.passTime())))
}
