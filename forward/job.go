package forward

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/backlog"
	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/route"
)

const (
	// budgetMargin is the part of the retry limits that entries use. A restarted entry starts with a full budget, which
	// the rest covers.
	budgetMargin = 0.8
	// retryAfterStopping is the Retry-After of a request that is refused because the entry is stopping.
	retryAfterStopping = 50 * time.Millisecond
	// retryAfterShed is the Retry-After of a request that upstreams refused for lack of a free slot.
	retryAfterShed = 30 * time.Millisecond
	// retryAfterNoUpstream is the Retry-After of a request for whose service no upstream takes work.
	retryAfterNoUpstream = 700 * time.Millisecond
	// minRetryTime is the shortest time to the deadline with which another attempt is made.
	minRetryTime = 5 * time.Millisecond
	// minAttemptTimeout is the shortest time that an attempt of a plain repeatable request gets before another upstream
	// is tried.
	minAttemptTimeout = 60 * time.Millisecond
	// maxFailedConnects is the largest number of failed connects after which a request still tries another upstream.
	// Failed connects do not count as attempts.
	maxFailedConnects = 3
)

// job is the state of one caller's request from its arrival to its end. It runs one attempt after another.
type job struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	id       string
	arrived  time.Time
	deadline time.Time
	// waitSince is the start of the time for which the request may wait for configuration, upstreams or its group.
	waitSince    time.Time
	admission    *admission
	table        *route.Table
	route        *route.Route
	organisation string
	priority     route.Priority
	service      string
	selection    selection
	body         *limit.Body

	// group is the group that the request is placed on, if it is placed by group and one has room. reserved is that of its
	// admission until an upstream is chosen. probed is a group that is down and that the next attempt tests.
	group            placed
	reserved, probed *groupAdmission
	// lastProbe is when the request last began to test a group while all were down.
	lastProbe time.Time
	// work is the weight of the request, fill how full its group was, isRemote whether the group has no rank in the domain
	// of the entry.
	work     work
	fill     float64
	isRemote bool

	// lastCrash is the ID of the crash that broke off the last attempt if its upstream has ended, empty before the first.
	lastCrash string
	// tried holds the upstreams of earlier attempts, including those that could not be reached.
	tried []*Upstream
	// sent counts the earlier attempts that sent the request, unsent those that sent nothing.
	sent, unsent int
	// migrated counts the attempts that were aborted to continue at another upstream.
	migrated int
	// memoryUse is the estimate of what the request takes of the memory of an upstream, zero if it is not known.
	memoryUse memoryUse
	// output buffers the events for the caller, nil if events are not buffered or none has come.
	output *callerBuffer
	// picked is when the upstream of the current attempt was picked.
	picked time.Time
	// answering is the upstream whose response goes to the caller, nil while there is none.
	answering *Upstream
	// mayHaveRun is set when an upstream may have run the request.
	mayHaveRun bool
	// deadly is the refusal of the memory, set if it did not let the next attempt start.
	deadly *refusal
	// knownAs is the result of subject once it was computed.
	knownAs *quarantine.Subject
	// isHeadSent is set once the head of a stream was sent to the caller. lastEvent is the ID of the last event that
	// was sent, valid if hasEvent is set.
	isHeadSent bool
	hasEvent   bool
	lastEvent  int64
	// first is the time to the first event of a stream, longestPause the longest pause between two events. inFlight and
	// limit are the values that admission or the last placement compared.
	first, longestPause time.Duration
	inFlight, limit     int
	// turn is the place of a stream in the scheduling order, nil for requests that are not scheduled.
	turn *turn
	// waiting is set while the stream waits for a place, waited is how long it did. expected is the time to its end that
	// admission predicted last.
	waiting *waitingStream
	waited  time.Duration
	// rivals are those of the next attempt, rivalWait is how long awaitRivals held the request back.
	rivals    quarantine.Rivals
	rivalWait time.Duration
	expected  time.Duration
	// backlog is the estimator that counts the stream, nil if none does. begun is when its first event arrived.
	backlog *backlog.Estimator
	begun   time.Time
}

// run sends the request to upstreams until one answers it or no further attempt is allowed.
func (j *job) run() {
	s := j.server
	j.service, j.selection.position = j.route.Choose(s.random()), s.random()
	if refused := j.deadlyRefusal(); refused != nil {
		j.refuse(refused)
		return
	}
	if refused := j.readSize(); refused != nil {
		j.refuse(refused)
		return
	}
	j.admission = s.admission(j.service, j.table)
	if refused := j.awaitAdmission(); refused != nil {
		if j.request.Context().Err() != nil {
			j.abandon()
		}
		j.refuse(refused)
		return
	}
	defer j.leave()
	s.budget(j.service).RecordFirstAttempt(time.Now())
	defer j.stopOutput()
	for {
		j.awaitRivals()
		u := j.nextUpstream()
		if u == nil || !j.mayStart() {
			j.giveUp()
			return
		}
		a := newAttempt(j, u, j.admission)
		result := a.run()
		if result == answered {
			j.finishOutput()
			return
		}
		if j.request.Context().Err() != nil {
			j.abandon()
		}
		j.recordAttempt(a, result)
		if !j.mayRetry(result) || !j.awaitRecovery() || !j.spendRetryBudget(result) {
			j.giveUp()
			return
		}
	}
}

// abandon ends a request whose caller has closed its connection or its sending side. It aborts the connection: a handler that returns
// without a response sends an empty success, and one that returns within a stream sends its end.
func (j *job) abandon() {
	j.logDecision("caller gone", 0)
	panic(http.ErrAbortHandler)
}

// promptParts returns the IDs of the shared parts of the prompt.
func (j *job) promptParts() []string {
	read := j.server.settings.PromptParts
	if read == nil {
		return nil
	}
	return read(j.request.Header)
}

func (j *job) recordAttempt(a *attempt, v attemptResult) {
	j.tried = append(j.tried, a.upstream)
	j.answering = nil
	if v == unsent {
		j.unsent++
		return
	}
	j.sent++
	if j.isHeadSent {
		j.waitSince = time.Now()
	}
	if v == migrated {
		j.migrated++
	}
	if v == broken || v == migrated {
		j.mayHaveRun = true
	}
}

// mayRetry reports whether another attempt is allowed: there is time left, and the attempts of the route are not used
// up. After a broken exchange the route must also be repeatable, and a stream that has begun must have event IDs. After a failed connect only the time and
// maxFailedConnects count.
func (j *job) mayRetry(v attemptResult) bool {
	if j.deadline.Sub(time.Now()) < minRetryTime || j.server.isEnding() {
		return false
	}
	if v == unsent {
		return j.unsent <= maxFailedConnects
	}
	if v == broken && !j.route.IsRepeatable() {
		return false
	}
	if j.isHeadSent && !j.hasEvent {
		// Without the ID of an event, the next upstream would begin the stream anew.
		return false
	}
	return j.sent < max(j.route.Attempts, 1)
}

// spendRetryBudget takes another attempt from the retry budget and reports whether there was one. It is free if nothing
// was sent, or if the migration has taken it already.
func (j *job) spendRetryBudget(v attemptResult) bool {
	return v == unsent || v == migrated || j.server.budget(j.service).Spend(time.Now())
}

// giveUp ends a request that no upstream answered. It aborts the connection if the caller has part of a stream, and
// refuses the request otherwise.
func (j *job) giveUp() {
	if j.isHeadSent {
		// The head of the stream was sent, so only an aborted connection shows that the stream is incomplete.
		j.drainOutput()
		j.logDecision("cut", 0)
		panic(http.ErrAbortHandler)
	}
	isLate := j.deadline.Sub(time.Now()) < minRetryTime
	switch {
	case j.deadly != nil && !j.mayHaveRun:
		j.refuse(j.deadly)
	case j.deadly != nil:
		j.refuse(&refusal{status: http.StatusBadGateway, reason: reasonDeadly})
	case !j.mayHaveRun:
		j.refuse(j.noUpstreamRefusal())
	case j.server.isEnding():
		j.refuse(&refusal{status: http.StatusBadGateway, reason: "stopping"})
	case isLate:
		j.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "deadline"})
	default:
		j.refuse(&refusal{status: http.StatusBadGateway, reason: "upstream failed"})
	}
}

// noUpstreamRefusal returns the refusal of a request that no upstream ran. If all upstreams are in a backoff, callers return
// spread over the ramp after the first one that ends.
func (j *job) noUpstreamRefusal() *refusal {
	if refused := j.unusableRefusal(time.Now()); refused != nil {
		return refused
	}
	if wait, isBackingOff := j.server.backoffLeft(j, time.Now()); isBackingOff {
		return &refusal{
			status: http.StatusServiceUnavailable, reason: "upstreams back off", retryAfter: wait, spread: availability.RampTime,
		}
	}
	if refused := j.quotaRefusal(time.Now()); refused != nil {
		return refused
	}
	if refused := j.memoryRefusal(time.Now()); refused != nil {
		return refused
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: j.retryAfter()}
}

// retryAfter returns the Retry-After of a request that no upstream ran.
func (j *job) retryAfter() time.Duration {
	switch {
	case j.admission.isDown(j):
		return j.retryAfterOutage()
	case j.sent > 0:
		return retryAfterShed
	default:
		return retryAfterNoUpstream
	}
}

// refuse sends the refusal to the caller. Retry-After is raised by a random part of its spread, so that refused requests
// do not return all at once.
func (j *job) refuse(r *refusal) {
	header := j.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if j.id != "" {
		header.Set(j.server.settings.Headers.RequestID, j.id)
	}
	if r.retryAfter > 0 {
		spread := cmp.Or(r.spread, time.Duration(retryJitter*float64(r.retryAfter)))
		seconds := r.retryAfter.Seconds() + spread.Seconds()*j.server.random()
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	text := r.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	j.writer.WriteHeader(r.status)
	_, err := fmt.Fprint(j.writer, text)
	if err != nil {
		j.logDecision("caller gone", r.status)
		return
	}
	j.logDecision(r.reason, r.status)
}

// retryJitter is the spread of Retry-After as a part of it, unless the refusal gives another.
const retryJitter = 0.5

// logDecision passes the Decision about the request to Settings.Log.
func (j *job) logDecision(reason string, status int) {
	log := j.server.settings.Log
	if log == nil {
		return
	}
	d := Decision{
		Request: j.id, Status: status, Reason: reason, Service: j.service, Attempts: j.sent, Unsent: j.unsent, Migrated: j.migrated,
		Took: time.Since(j.arrived), TimeToFirstEvent: j.first, LongestPause: j.longestPause,
		Waited: j.waited, Expected: j.expected, RivalWait: j.rivalWait, InFlight: j.inFlight, Limit: j.limit, Group: j.group.name, Fill: j.fill, IsRemote: j.isRemote,
		Buffered: j.server.readers.used.Load(), BufferLimit: j.server.readers.settings.TotalBytes,
	}
	if j.turn != nil {
		d.Turn = j.turn.decision
	}
	if j.table != nil {
		d.Version = j.table.Version()
	}
	if j.route != nil {
		d.Route, d.Objective, d.GapObjective = j.route.Name, j.route.Objective, j.route.GapObjective
	}
	if n := len(j.tried); n > 0 {
		d.Upstream = j.tried[n-1].Instance().ID
	}
	if j.answering != nil {
		d.AnsweredBy = j.answering.Instance().ID
		d.RateLimit = j.answering.currentState().RateLimit()
	}
	log(d)
}
