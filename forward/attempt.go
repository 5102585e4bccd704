package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/upstream"
)

const (
	// answered means that the exchange with the caller is over: it has its response or has disconnected.
	answered attemptResult = iota + 1
	// refused means that the upstream reported that it did not run the request.
	refused
	// unsent means that no byte of the request was sent: there was no connection, or no quota any more once it was open.
	unsent
	// broken means that the request may have run but there is no complete response.
	broken
	// migrated means that the exchange was aborted to continue at another upstream. Its retry is already taken from the
	// retry budget.
	migrated
)

const (
	// unsafeIdleTimeout is the longest idle time of a connection that is used for a request which may run only once.
	// The upstream may be about to close a connection that was idle for longer.
	unsafeIdleTimeout = time.Second
	// maxRefusalBytes bounds the body of a refusal, refusalTimeout the time to read it.
	maxRefusalBytes = 64 << 10
	refusalTimeout  = 100 * time.Millisecond
	// writeGrace is how long after its deadline a caller may still receive its response.
	writeGrace = time.Second
)

type (
	// attemptResult is how an attempt ended.
	attemptResult int

	// attempt is one exchange of a request with one upstream.
	attempt struct {
		job       *job
		upstream  *Upstream
		admission *admission
		started   time.Time
		conn      *upstream.Connection
		// isBodyRead is set once the response was read to its end, so that the connection can be reused.
		isBodyRead bool
		// isSent is set once the request was written to the upstream.
		isSent bool
		// isContinuing is set when the caller already has a part of the stream.
		isContinuing bool
		// events counts the events of a stream that have arrived, the first of them at firstEvent.
		events     int
		firstEvent time.Time
		// isAnswering is set once the answer has gone on for progressTime.
		isAnswering bool
		// isMigrating is set when the exchange was aborted to continue at another upstream.
		isMigrating atomic.Bool
		// ramp is that of the upstream, nil for a service whose upstreams are not ramped up.
		ramp *ramp
	}
)

func newAttempt(j *job, u *Upstream, g *admission) *attempt {
	return &attempt{job: j, upstream: u, admission: g, started: time.Now()}
}

// run sends the request to the upstream and passes the response to the caller.
func (a *attempt) run() attemptResult {
	defer a.upstream.begin(a.job.work)()
	a.beginRamp()
	defer a.endRamp()
	if a.job.memoryUse.tokens > 0 {
		defer a.upstream.memory.add(a.job.memoryUse)()
	}
	var err error
	if a.conn, err = a.connect(); err != nil {
		if a.job.request.Context().Err() == nil {
			a.upstream.recordBroken(time.Now())
		}
		return unsent
	}
	defer context.AfterFunc(a.job.server.ended, a.conn.Abort)()
	stop := context.AfterFunc(a.job.request.Context(), a.conn.Abort)
	defer a.release(stop)
	if a.job.mayMigrate() {
		a.upstream.migratable.add(a)
		defer a.upstream.migratable.remove(a)
	}
	if !a.isWithinColdLimit() {
		return unsent
	}
	a.conn.SetDeadline(a.timeoutAt())
	if err := a.conn.Send(a.job.request.Method, a.job.request.RequestURI, a.job.request.Host, a.header(), a.job.body.Pieces()...); err != nil {
		return a.fail(err)
	}
	a.isSent = true
	a.conn.LastRequest = a.job.id
	response, err := a.conn.Receive(a.job.request.Method, a.matchesRequest)
	if err != nil {
		return a.fail(err)
	}
	return a.handleResponse(response)
}

func (a *attempt) connect() (*upstream.Connection, error) {
	if a.job.id == "" {
		return a.upstream.pool.Open(a.job.request.Context())
	}
	limit := upstream.DefaultIdleTimeout
	if !a.job.route.IsRepeatable() {
		limit = unsafeIdleTimeout
	}
	conn, err := a.upstream.pool.Get(a.job.request.Context(), a.started, limit)
	if err != nil || !a.hasCarriedRequest(conn) {
		return conn, err
	}
	conn.Close()
	return a.upstream.pool.Open(a.job.request.Context())
}

// hasCarriedRequest reports whether the connection has carried a request with the same ID before. A second copy of the earlier
// response could then be taken for the response to this request.
func (a *attempt) hasCarriedRequest(conn *upstream.Connection) bool {
	return conn.LastRequest == a.job.id
}

// release returns the connection to its pool, or resets it when the exchange is not complete.
func (a *attempt) release(stop func() bool) {
	if stop() && a.isBodyRead {
		a.upstream.pool.Put(a.conn, time.Now())
		return
	}
	a.conn.Abort()
}

// timeoutAt returns the time at which the attempt is abandoned. For a plain repeatable request with attempts left this
// is before the deadline, which leaves time to try another upstream.
func (a *attempt) timeoutAt() time.Time {
	j := a.job
	if j.route.Kind != route.Safe || j.sent+1 >= j.route.Attempts {
		return j.deadline
	}
	wait := max(j.route.Objective, minAttemptTimeout)
	return earlier(a.started.Add(wait), j.deadline)
}

// header returns the header fields that are sent to the upstream: those of the caller without hop-by-hop fields and
// key, and with the fields that the entry sets.
func (a *attempt) header() http.Header {
	j := a.job
	names := j.server.settings.Headers
	header := maps.Clone(j.request.Header)
	removeHopByHop(header)
	delete(header, "Expect")
	delete(header, "Authorization")
	delete(header, "Content-Length")
	left := max(j.deadline.Sub(time.Now()).Milliseconds(), 1)
	header[names.Deadline] = []string{strconv.FormatInt(left, 10)}
	header[names.ExpectInstance] = []string{a.upstream.Instance().ID}
	delete(header, names.Organisation)
	if j.organisation != "" {
		header[names.Organisation] = []string{j.organisation}
	}
	if urgency, isKnown := j.urgency(); isKnown {
		header[names.Urgency] = []string{strconv.Itoa(urgency)}
	}
	if j.hasEvent {
		header[names.LastEvent] = []string{strconv.FormatInt(j.lastEvent, 10)}
	}
	return header
}

// matchesRequest reports whether a response belongs to this request, by its request ID. Refusals may lack the ID, so a
// response without one matches if it is marked as not executed or has no seal. Responses to requests without an ID
// cannot be distinguished, so all of them match.
func (a *attempt) matchesRequest(header http.Header) bool {
	names := a.job.server.settings.Headers
	if a.job.id == "" {
		return true
	}
	id := header.Get(names.RequestID)
	if id == "" {
		return header.Get(names.NotExecuted) != "" || header.Get(names.Seal) == ""
	}
	return id == a.job.id
}

// isRefusal reports whether a response says that the request was not run. One without the ID of the request on a
// connection that has carried other requests may be a second answer to one of those, so it proves nothing.
func (a *attempt) isRefusal(response *http.Response) bool {
	names := a.job.server.settings.Headers
	saysRefused := response.Header.Get(names.NotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest
	return saysRefused && (!a.conn.IsReused() || response.Header.Get(names.RequestID) != "")
}

// handleResponse classifies a response by its head, and passes it to the caller unless it is a refusal or a failure.
func (a *attempt) handleResponse(response *http.Response) attemptResult {
	names := a.job.server.settings.Headers
	a.hearNotice(response)
	a.isContinuing = a.job.isHeadSent
	switch {
	case a.isRefusal(response):
		return a.handleRefusal(response)
	case response.Header.Get(names.Seal) == "" || response.Header.Get("Content-Encoding") != "":
		a.upstream.recordBroken(time.Now())
		return broken
	case a.isContinuing && !a.job.mayContinue(response):
		// The caller already has part of a stream, so another response must not be written into it.
		now := time.Now()
		a.upstream.recordResponse(now, now.Sub(a.started), true)
		return broken
	case a.job.route.Kind == route.Stream && response.StatusCode < http.StatusMultipleChoices:
		a.job.answering = a.upstream
		return a.relay(response)
	default:
		a.job.answering = a.upstream
		return a.relayBuffered(response)
	}
}

func (a *attempt) handleRefusal(response *http.Response) attemptResult {
	a.conn.SetReadDeadline(earlier(time.Now().Add(refusalTimeout), a.job.deadline))
	if discard(response.Body) {
		a.markBodyRead(response)
	}
	now := time.Now()
	if response.StatusCode == http.StatusMisdirectedRequest {
		a.upstream.recordBroken(now)
		return refused
	}
	a.upstream.recordResponse(now, now.Sub(a.started), true)
	a.recordRampRefusal(now)
	a.admission.recordRefusal(now, a.upstream, response.Header.Get(a.job.server.settings.Headers.Culprit))
	return refused
}

// discard reads the body of a refusal and reports whether it was read to its end.
func discard(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxRefusalBytes))
	return err == nil && n < maxRefusalBytes
}

// markBodyRead records that the response was read to its end, so that the connection can be reused. Without the ID of the
// request, a second copy of the response could not be told from the next one, so the connection is closed then.
func (a *attempt) markBodyRead(response *http.Response) {
	a.isBodyRead = a.job.id != "" && response.Header.Get(a.job.server.settings.Headers.RequestID) == a.job.id
}

// relayBuffered reads the whole response before it sends any of it to the caller, so that a failure can still be
// retried.
func (a *attempt) relayBuffered(response *http.Response) attemptResult {
	settings := a.job.server.settings
	body, release, err := upstream.ReadBody(response, settings.AnswerBytes, settings.ResponseMemory)
	defer release()
	if err != nil {
		return a.fail(eris.Wrap(err, "read response body"))
	}
	a.markBodyRead(response)
	now := time.Now()
	isFailure := response.StatusCode >= http.StatusInternalServerError
	a.upstream.recordResponse(now, now.Sub(a.started), isFailure)
	a.recordRampResponse(now, isFailure)
	if isFailure && a.shouldRetryFailure(now) {
		return broken
	}
	if !isFailure && isFramed(response) {
		a.recordCompletion()
	}
	a.job.deliver(response, body)
	return answered
}

// shouldRetryFailure reports whether to try another upstream after a 5xx response.
func (a *attempt) shouldRetryFailure(now time.Time) bool {
	j := a.job
	isAllowed := j.route.IsRepeatable() && j.sent+1 < j.route.Attempts
	return isAllowed && j.deadline.Sub(now) > a.started.Sub(j.arrived)+minAttemptTimeout/2 &&
		j.hasUntried(a.upstream, now)
}

// fail records a broken exchange and returns its result. The failure does not count against the upstream if the caller
// disconnected, the exchange was migrated, the entry ended it or the deadline of the request passed.
func (a *attempt) fail(err error) attemptResult {
	if a.job.server.isEnding() {
		return broken
	}
	if a.isMigrating.Load() && a.job.request.Context().Err() == nil {
		return migrated
	}
	if a.job.request.Context().Err() == nil {
		a.recordRampRefusal(time.Now())
	}
	if a.job.request.Context().Err() == nil && !a.isPastDeadline(err) {
		a.upstream.recordBroken(time.Now())
		a.reportBreakage(err)
		if !isTimeout(err) {
			a.suspectCrash()
		}
	}
	return broken
}

// reportBreakage calls Settings.OnBreakage.
func (a *attempt) reportBreakage(cause error) {
	report := a.job.server.settings.OnBreakage
	if report == nil {
		return
	}
	instance := a.upstream.Instance()
	report(Breakage{
		Request: a.job.id, Service: a.job.service, Upstream: instance.ID, Born: instance.Born,
		Fingerprint: a.job.subject().Request, Parts: a.job.promptParts(), After: time.Since(a.started), Events: a.events, Cause: cause,
	})
}

// isPastDeadline reports whether the exchange timed out because the deadline of the request was reached.
func (a *attempt) isPastDeadline(err error) bool {
	return isTimeout(err) && a.job.deadline.Sub(time.Now()) < minRetryTime
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// deliver sends a complete response to the caller.
func (j *job) deliver(response *http.Response, body []byte) {
	header := j.writer.Header()
	copyAnswerHeader(header, response.Header)
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	_ = http.NewResponseController(j.writer).SetWriteDeadline(j.deadline.Add(writeGrace))
	j.writer.WriteHeader(response.StatusCode)
	if _, err := j.writer.Write(body); err != nil {
		j.logDecision("caller gone", response.StatusCode)
		return
	}
	j.logDecision("answered", response.StatusCode)
}

// copyAnswerHeader copies the end-to-end header fields of an upstream's response.
func copyAnswerHeader(to, from http.Header) {
	isClosing := slices.Contains(to["Connection"], "close")
	maps.Copy(to, from)
	removeHopByHop(to)
	if isClosing {
		to.Set("Connection", "close")
	}
	if _, hasType := to["Content-Type"]; !hasType {
		to["Content-Type"] = nil
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
