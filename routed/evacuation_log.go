package routed

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/evacuation"
)

// evacuationLog logs at an entry when an order to evacuate a domain arrives, when it is in effect and when it has ended.
type evacuationLog struct {
	log   *logrus.Entry
	scope tally.Scope
	// drain is the time in which the load of an evacuated domain decreases to nothing.
	drain time.Duration

	mutex sync.Mutex
	held  evacuation.Set
}

// newEvacuationLog returns the log of an entry. Its gauge is 0 from the start, so that an entry without the set differs from
// the others in the metrics.
func newEvacuationLog(log *logrus.Entry, scope tally.Scope, drain time.Duration) *evacuationLog {
	scope.Gauge("evacuated_domains").Update(0)
	return &evacuationLog{log: log, scope: scope, drain: drain}
}

// apply logs the differences between the set and the one before. Sets that arrive out of order are ignored.
func (l *evacuationLog) apply(set evacuation.Set) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := l.held
	if set.Revision() <= before.Revision() {
		return
	}
	l.held = set
	l.scope.Gauge("evacuated_domains").Update(float64(len(set.Orders())))
	for _, o := range before.Orders() {
		if !holds(set, o) {
			l.log.WithFields(logrus.Fields{"domain": o.Domain, "revision": set.Revision()}).Info("evacuation ended")
		}
	}
	for _, o := range set.Orders() {
		if holds(before, o) {
			continue
		}
		l.line(o).Info("evacuation begins")
		time.AfterFunc(l.drain-time.Since(o.Started), func() { l.logInEffect(o) })
	}
}

// logInEffect logs that nothing is sent to the domain any more, unless the order has ended.
func (l *evacuationLog) logInEffect(o evacuation.Order) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if holds(l.held, o) {
		l.line(o).Info("evacuation in effect")
	}
}

func (l *evacuationLog) line(o evacuation.Order) *logrus.Entry {
	return l.log.WithFields(logrus.Fields{
		"domain": o.Domain, "revision": o.Revision, "age_ms": milliseconds(time.Since(o.Started)),
	})
}

// holds reports whether the set holds the order, and not another one for the same domain.
func holds(set evacuation.Set, order evacuation.Order) bool {
	for _, o := range set.Orders() {
		if o.Domain == order.Domain {
			return o.Revision == order.Revision
		}
	}
	return false
}
