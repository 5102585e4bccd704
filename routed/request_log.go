package routed

import (
	"encoding/hex"
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"guavahitch.example/guavahitch/forward"
	"guavahitch.example/guavahitch/wire"
)

const (
	// linesPerSecond and lineBurst limit the log lines about requests. The lines above the limit are only counted.
	linesPerSecond = 200
	lineBurst      = 400
)

// requestLog writes a log line and metrics when a request ends.
type requestLog struct {
	log     *logrus.Entry
	limiter *rate.Limiter
	// skippedLines holds the number of lines that the limit suppressed since the last one that was written.
	skippedLines chan int
	scope        tally.Scope
}

func newRequestLog(log *logrus.Entry, scope tally.Scope) *requestLog {
	d := &requestLog{
		log: log, limiter: rate.NewLimiter(linesPerSecond, lineBurst), skippedLines: make(chan int, 1), scope: scope,
	}
	d.skippedLines <- 0
	return d
}

// count updates the metrics of a request that ended.
func (d *requestLog) count(decision forward.Decision) {
	service := d.scope.Tagged(map[string]string{"service": decision.Service})
	service.Tagged(map[string]string{"reason": decision.Reason, "status": strconv.Itoa(decision.Status)}).
		Counter("requests").Inc(1)
	if decision.Reason == forward.ReasonEvacuated {
		service.Counter("evacuation_refusals").Inc(1)
	}
	service.Counter("attempts").Inc(int64(decision.Attempts))
	service.Counter("unsent").Inc(int64(decision.Unsent))
	service.Counter("migrated").Inc(int64(decision.Migrated))
	d.countPlacement(service, decision)
	countTurn(service, decision)
	service.Histogram("took_seconds", latencyBuckets).RecordDuration(decision.Took)
	if decision.BufferLimit > 0 {
		d.scope.Gauge("buffered_bytes").Update(float64(decision.Buffered))
	}
	if late := decision.Late(); late != "" {
		service.Tagged(map[string]string{"objective": late}).Counter("late").Inc(1)
	}
	if decision.Waited > 0 {
		service.Histogram("waited_seconds", latencyBuckets).RecordDuration(decision.Waited)
	}
	if decision.RivalWait > 0 {
		service.Histogram("rival_wait_seconds", latencyBuckets).RecordDuration(decision.RivalWait)
	}
	if decision.TimeToFirstEvent > 0 {
		service.Histogram("first_event_seconds", latencyBuckets).RecordDuration(decision.TimeToFirstEvent)
		service.Histogram("longest_pause_seconds", latencyBuckets).RecordDuration(decision.LongestPause)
	}
}

// countTurn updates the metrics by priority of a stream that was scheduled.
func countTurn(service tally.Scope, decision forward.Decision) {
	turn := decision.Turn
	if !turn.IsScheduled {
		return
	}
	byPriority := service.Tagged(map[string]string{"priority": strconv.Itoa(turn.Priority)})
	byPriority.Tagged(map[string]string{"reason": decision.Reason}).Counter("streams").Inc(1)
	byPriority.Histogram("turn_wait_seconds", latencyBuckets).RecordDuration(turn.Wait)
	if turn.Rule != "" {
		byPriority.Tagged(map[string]string{"rule": turn.Rule}).Counter("streams_refused").Inc(1)
	}
}

// countPlacement updates the metrics of the load that the request was admitted by, for its group if it was placed on one.
func (d *requestLog) countPlacement(scope tally.Scope, decision forward.Decision) {
	if decision.Group != "" {
		scope = scope.Tagged(map[string]string{"group": decision.Group})
		scope.Gauge("group_fill").Update(decision.Fill)
		scope.Counter("placed").Inc(1)
		if decision.IsRemote {
			scope.Counter("placed_in_other_domain").Inc(1)
		}
	}
	scope.Gauge("work").Update(float64(decision.InFlight))
	scope.Gauge("limit").Update(float64(decision.Limit))
}

// write counts a request that ended and logs it, unless the limit of lines is reached.
func (d *requestLog) write(decision forward.Decision) {
	d.count(decision)
	skipped, isAllowed := d.allowLine()
	if !isAllowed {
		return
	}
	fields := logrus.Fields{
		"request": decision.Request, "status": decision.Status, "route": decision.Route, "service": decision.Service,
		"version": decision.Version, "upstream": decision.Upstream, "attempts": decision.Attempts,
		"unsent": decision.Unsent, "migrated": decision.Migrated, "took_ms": milliseconds(decision.Took),
		"in_flight": decision.InFlight, "limit": decision.Limit, "answered_by": decision.AnsweredBy,
	}
	if decision.Group != "" {
		fields["group"], fields["fill"] = decision.Group, math.Round(100*decision.Fill)/100
	}
	if decision.Expected > 0 {
		fields["expected_ms"], fields["waited_ms"] = milliseconds(decision.Expected), milliseconds(decision.Waited)
	}
	if decision.RivalWait > 0 {
		fields["rival_wait_ms"] = milliseconds(decision.RivalWait)
	}
	if late := decision.Late(); late != "" {
		fields["late"] = late
	}
	if decision.Turn.IsScheduled {
		addTurn(fields, decision.Turn)
	}
	if decision.RateLimit.IsNamed {
		fields["rate_limit"] = decision.RateLimit.PerSecond
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

// addTurn adds how a stream was scheduled to the fields of its line.
func addTurn(fields logrus.Fields, turn forward.Turn) {
	fields["priority"], fields["share"], fields["wait_ms"] = turn.Priority, turn.Share, milliseconds(turn.Wait)
	fields["position"], fields["returning"] = turn.Position, turn.IsReturning
	if turn.ExpectedWait >= 0 {
		fields["expected_wait_ms"] = milliseconds(turn.ExpectedWait)
	}
	if turn.Rule != "" {
		fields["rule"] = turn.Rule
	}
}

// allowLine reports whether another line may be written, and how many were suppressed since the last one.
func (d *requestLog) allowLine() (skipped int, isAllowed bool) {
	skipped = <-d.skippedLines
	if !d.limiter.Allow() {
		d.skippedLines <- skipped + 1
		return 0, false
	}
	d.skippedLines <- 0
	return skipped, true
}

// logBreakage counts and logs an exchange that an upstream broke off, unless the limit of lines is reached.
func (d *requestLog) logBreakage(b forward.Breakage) {
	d.scope.Tagged(map[string]string{"service": b.Service}).Counter("broken_exchanges").Inc(1)
	skipped, isAllowed := d.allowLine()
	if !isAllowed {
		return
	}
	fields := logrus.Fields{
		"request": b.Request, "fingerprint": b.Fingerprint.String(), "service": b.Service, "upstream": b.Upstream,
		"born": b.Born, "after_ms": milliseconds(b.After), "events": b.Events,
	}
	if len(b.Parts) > 0 {
		fields["parts"] = b.Parts
	}
	if skipped > 0 {
		fields["lines_skipped"] = skipped
	}
	d.log.WithError(b.Cause).WithFields(fields).Warn("upstream broke off")
}

// logNotice counts and logs what an upstream said of itself, unless the limit of lines is reached.
func (d *requestLog) logNotice(n forward.Notice) {
	reason := noticeText(n)
	d.scope.Tagged(map[string]string{"service": n.Service, "notice": reason}).Counter("upstream_notices").Inc(1)
	skipped, isAllowed := d.allowLine()
	if !isAllowed {
		return
	}
	fields := logrus.Fields{"request": n.Request, "service": n.Service, "upstream": n.Upstream, "born": n.Born}
	if n.IsFromControl {
		fields["from_control"] = true
	}
	if n.Backoff > 0 {
		fields["backoff_ms"] = milliseconds(n.Backoff)
	}
	if n.RateLimit.IsNamed {
		fields["rate_limit"] = n.RateLimit.PerSecond
	}
	if n.EarlierLimit.IsNamed {
		fields["earlier_rate_limit"] = n.EarlierLimit.PerSecond
	}
	if skipped > 0 {
		fields["lines_skipped"] = skipped
	}
	d.log.WithFields(fields).Info(reason)
}

// logColdChange counts and logs that an upstream has become cold or warm, unless the limit of lines is reached.
func (d *requestLog) logColdChange(c forward.ColdChange) {
	text := "upstream is warm"
	if c.IsCold {
		text = "upstream is cold"
	}
	d.scope.Tagged(map[string]string{"service": c.Service, "notice": text}).Counter("upstream_notices").Inc(1)
	skipped, isAllowed := d.allowLine()
	if !isAllowed {
		return
	}
	fields := logrus.Fields{"service": c.Service, "upstream": c.Upstream, "born": c.Born}
	if c.IsCold {
		fields["left_ms"] = milliseconds(c.Left)
	}
	if skipped > 0 {
		fields["lines_skipped"] = skipped
	}
	d.log.WithFields(fields).Info(text)
}

// countColdSkip counts a choice of an upstream that could not use some upstreams because their cold bound was used up.
func (d *requestLog) countColdSkip(service string, upstreams int) {
	scope := d.scope.Tagged(map[string]string{"service": service})
	scope.Counter("cold_limited_picks").Inc(1)
	scope.Counter("cold_skips").Inc(int64(upstreams))
}

func noticeText(n forward.Notice) string {
	switch {
	case n.IsBreach:
		return "request was sent in a backoff"
	case n.IsLeaving:
		return "upstream is leaving"
	case n.Backoff > 0:
		return "upstream asks for backoff"
	case n.RateLimit.IsNamed:
		return "upstream names a rate limit"
	default:
		return "upstream names no rate limit any more"
	}
}

// logCrash counts and logs the end of an upstream that ran requests of this entry.
func (d *requestLog) logCrash(c forward.Crash) {
	d.scope.Counter("upstream_crashes").Inc(1)
	d.log.WithFields(logrus.Fields{"upstream": c.Upstream, "born": c.Born, "running": c.Running, "answering": c.Answering}).Warn("upstream crashed")
	d.logVerdicts(c.Verdicts)
}

// logVerdicts logs the requests and parts that are refused from now on because upstreams crashed while they ran them.
func (d *requestLog) logVerdicts(verdicts []*wire.Quarantine) {
	for _, v := range verdicts {
		if !v.Proved {
			continue
		}
		d.scope.Counter("deadly_verdicts").Inc(1)
		d.log.WithFields(logrus.Fields{
			"fingerprint": hex.EncodeToString(v.Fingerprint), "organisation": v.Organisation,
			"until": time.UnixMilli(v.ExpiresMs).UTC().Format(time.RFC3339),
		}).Warn(deadlyText(v))
	}
}

func deadlyText(v *wire.Quarantine) string {
	if v.IsPart {
		return "part is refused as deadly"
	}
	return "request is refused as deadly"
}

// logOutage logs that a group is down or is serving again.
func (d *requestLog) logOutage(o forward.Outage) {
	tags, line := map[string]string{"service": o.Service}, d.log.WithField("service", o.Service)
	if o.Group != "" {
		tags["group"] = o.Group
		line = line.WithField("group", o.Group)
	}
	down := d.scope.Tagged(tags).Gauge("group_down")
	if !o.IsDown {
		down.Update(0)
		line.Info("group is serving again")
		return
	}
	down.Update(1)
	line.WithFields(logrus.Fields{
		"upstream": o.Upstream, "culprit": o.Culprit, "quiet_ms": milliseconds(o.SinceLastEvent),
	}).Warn("group down")
}

// logRamp logs and counts a change of the ramp of an upstream or group.
func (d *requestLog) logRamp(r forward.Ramp) {
	text := map[forward.RampEvent]string{
		forward.RampStarted: "upstream ramping", forward.RampFinished: "upstream ramp finished", forward.RampCutBack: "upstream ramp cut back",
	}[r.Event]
	d.scope.Tagged(map[string]string{"service": r.Service, "event": text}).Counter("upstream_ramps").Inc(1)
	skipped, isAllowed := d.allowLine()
	if !isAllowed {
		return
	}
	fields := logrus.Fields{"service": r.Service, "ratio": r.Ratio}
	if r.Upstream != "" {
		fields["upstream"] = r.Upstream
	}
	if r.Group != "" {
		fields["group"] = r.Group
	}
	if r.Limit > 0 {
		fields["limit"] = r.Limit
	}
	if skipped > 0 {
		fields["lines_skipped"] = skipped
	}
	d.log.WithFields(fields).Info(text)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
