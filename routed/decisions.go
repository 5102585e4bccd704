package routed

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"guavahitch.example/guavahitch/forward"
)

const (
	// linesPerSecond and linesAtOnce bound the lines about requests; the rest is counted.
	linesPerSecond = 200
	linesAtOnce    = 400
)

// decisions writes a line for the end of each request.
type decisions struct {
	log     *logrus.Entry
	limiter *rate.Limiter
	// skipped is the number of lines that the limit took since the last one.
	skipped chan int
	scope   tally.Scope
}

func newDecisions(log *logrus.Entry, scope tally.Scope) *decisions {
	d := &decisions{
		log: log, limiter: rate.NewLimiter(linesPerSecond, linesAtOnce), skipped: make(chan int, 1), scope: scope,
	}
	d.skipped <- 0
	return d
}

// count counts the end of a request.
func (d *decisions) count(decision forward.Decision) {
	service := d.scope.Tagged(map[string]string{"service": decision.Service})
	service.Tagged(map[string]string{"reason": decision.Reason, "status": strconv.Itoa(decision.Status)}).
		Counter("requests").Inc(1)
	service.Counter("attempts").Inc(int64(decision.Attempts))
	service.Counter("unsent").Inc(int64(decision.Unsent))
	service.Counter("migrated").Inc(int64(decision.Migrated))
	service.Gauge("work").Update(float64(decision.InFlight))
	service.Gauge("limit").Update(float64(decision.Limit))
	service.Histogram("took_seconds", latencyBuckets).RecordDuration(decision.Took)
	if decision.TimeToFirstEvent > 0 {
		service.Histogram("first_event_seconds", latencyBuckets).RecordDuration(decision.TimeToFirstEvent)
		service.Histogram("longest_pause_seconds", latencyBuckets).RecordDuration(decision.LongestPause)
	}
}

// write logs a decision, unless there are too many.
func (d *decisions) write(decision forward.Decision) {
	d.count(decision)
	skipped := <-d.skipped
	if !d.limiter.Allow() {
		d.skipped <- skipped + 1
		return
	}
	d.skipped <- 0
	fields := logrus.Fields{
		"request": decision.Request, "status": decision.Status, "route": decision.Route, "service": decision.Service,
		"version": decision.Version, "upstream": decision.Upstream, "attempts": decision.Attempts,
		"unsent": decision.Unsent, "migrated": decision.Migrated, "took_ms": milliseconds(decision.Took), "in_flight": decision.InFlight,
		"limit": decision.Limit,
	}
	if decision.TimeToFirstEvent > 0 {
		fields["first_ms"] = milliseconds(decision.TimeToFirstEvent)
		fields["longest_pause_ms"] = milliseconds(decision.LongestPause)
	}
	if skipped > 0 {
		fields["lines_skipped"] = skipped
	}
	d.log.WithFields(fields).Info(decision.Reason)
}

// outage logs that a group is down, or serves again.
func (d *decisions) outage(o forward.Outage) {
	down := d.scope.Tagged(map[string]string{"service": o.Service}).Gauge("group_down")
	line := d.log.WithField("service", o.Service)
	if !o.IsDown {
		down.Update(0)
		line.Info("group serves again")
		return
	}
	down.Update(1)
	line.WithFields(logrus.Fields{
		"upstream": o.Upstream, "culprit": o.Culprit, "quiet_ms": milliseconds(o.SinceLastEvent),
	}).Warn("group down")
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
