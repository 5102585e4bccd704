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

	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/upstream"
)

const (
	// answered means that the caller has its whole answer.
	answered verdict = iota + 1
	// refused means that the upstream has said that it did not run the request.
	refused
	// unsent means that no byte of the request was sent.
	unsent
	// broken means that the request may have run and there is no whole answer.
	broken
	// migrated means that the exchange was broken off to go on elsewhere; its retry is paid for.
	migrated
)

const (
	// unsafeIdle is the longest time that a connection was idle when it carries a request that may run only
	// once: the upstream may be about to close an older one.
	unsafeIdle = time.Second
	// writeSlack is the time beyond the deadline in which the caller may still take its answer.
	writeSlack = time.Second
)

type (
	// verdict is how an attempt ended.
	verdict int

	// attempt is one exchange with one upstream.
	attempt struct {
		job      *job
		upstream *Upstream
		gate     *gate
		started  time.Time
		conn     *upstream.Connection
		// isWhole tells that the answer was read to its end, so that the connection may be used again.
		isWhole bool
		// isMigrating tells that the exchange was broken off to go on elsewhere.
		isMigrating atomic.Bool
	}
)

func newAttempt(j *job, u *Upstream, g *gate) *attempt {
	return &attempt{job: j, upstream: u, gate: g, started: time.Now()}
}

// run carries out the exchange and passes the answer on.
func (a *attempt) run() verdict {
	a.upstream.inFlight.Add(1)
	defer a.upstream.inFlight.Add(-1)
	var err error
	if a.conn, err = a.connect(); err != nil {
		if a.job.request.Context().Err() == nil {
			a.upstream.noteBroken(time.Now())
		}
		return unsent
	}
	stop := context.AfterFunc(a.job.request.Context(), a.conn.Abort)
	defer a.release(stop)
	if a.job.mayMigrate() {
		a.upstream.streams.add(a)
		defer a.upstream.streams.remove(a)
	}
	a.conn.SetDeadline(a.patience())
	if err := a.conn.Send(a.job.request.Method, a.job.request.RequestURI, a.job.request.Host, a.header(), a.job.body); err != nil {
		return a.fail(err)
	}
	response, err := a.conn.Receive(a.job.request.Method, a.isOurs)
	if err != nil {
		return a.fail(err)
	}
	return a.take(response)
}

func (a *attempt) connect() (*upstream.Connection, error) {
	limit := upstream.DefaultIdle
	if !a.job.route.IsRepeatable() {
		limit = unsafeIdle
	}
	return a.upstream.pool.Take(a.job.request.Context(), a.started, limit)
}

// release gives the connection back, or ends an exchange that is not over.
func (a *attempt) release(stop func() bool) {
	if stop() && a.isWhole {
		a.upstream.pool.Give(a.conn, time.Now())
		return
	}
	a.conn.Abort()
}

// patience returns when the attempt is given up. A plain request that may be repeated leaves time for another
// upstream.
func (a *attempt) patience() time.Time {
	j := a.job
	if j.route.Kind != route.Safe || j.sent+1 >= j.route.Attempts {
		return j.deadline
	}
	wait := max(j.route.Objective, leastPatience)
	return earlier(a.started.Add(wait), j.deadline)
}

// header returns the fields of the request as the upstream gets them.
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
	if j.hasEvent {
		header[names.LastEvent] = []string{strconv.FormatInt(j.lastEvent, 10)}
	}
	return header
}

// isOurs reports whether an answer belongs to this request. Refusals may lack the request's ID; the answers to requests
// without one can't be told apart.
func (a *attempt) isOurs(header http.Header) bool {
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

// take decides what the head of an answer means and passes on what is the caller's.
func (a *attempt) take(response *http.Response) verdict {
	names := a.job.server.settings.Headers
	isRefusal := response.Header.Get(names.NotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest
	switch {
	case isRefusal:
		return a.takeRefusal(response)
	case response.Header.Get(names.Seal) == "" || response.Header.Get("Content-Encoding") != "":
		a.upstream.noteBroken(time.Now())
		return broken
	case a.job.isCommitted && response.StatusCode >= http.StatusMultipleChoices:
		// The caller has a part of a stream: nothing but the rest of it may follow.
		now := time.Now()
		a.upstream.noteAnswer(now, now.Sub(a.started), true)
		return broken
	case a.job.route.Kind == route.Stream && response.StatusCode < http.StatusMultipleChoices:
		return a.relay(response)
	default:
		return a.takeWhole(response)
	}
}

func (a *attempt) takeRefusal(response *http.Response) verdict {
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, a.job.server.settings.AnswerBytes))
	a.isWhole = err == nil
	now := time.Now()
	if response.StatusCode == http.StatusMisdirectedRequest {
		a.upstream.noteBroken(now)
		return refused
	}
	a.upstream.noteAnswer(now, now.Sub(a.started), true)
	a.gate.noteRefused(now, a.upstream, response.Header.Get(a.job.server.settings.Headers.Culprit))
	return refused
}

// takeWhole reads an answer to its end before the caller sees any of it.
func (a *attempt) takeWhole(response *http.Response) verdict {
	limit := a.job.server.settings.AnswerBytes
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil || int64(len(body)) > limit {
		return a.fail(errors.Join(errors.New("read answer body"), err))
	}
	a.isWhole = true
	now := time.Now()
	isFailure := response.StatusCode >= http.StatusInternalServerError
	a.upstream.noteAnswer(now, now.Sub(a.started), isFailure)
	if isFailure && a.isWorthRetry(now) {
		return broken
	}
	a.job.deliver(response, body)
	return answered
}

// isWorthRetry reports whether a failure that an upstream answered is tried at another one.
func (a *attempt) isWorthRetry(now time.Time) bool {
	j := a.job
	isAllowed := j.route.IsRepeatable() && j.sent+1 < j.route.Attempts
	return isAllowed && j.deadline.Sub(now) > a.started.Sub(j.arrived)+leastPatience/2 &&
		len(j.server.fleet.Service(j.service)) > len(j.tried)+1
}

// fail notes a broken exchange.
func (a *attempt) fail(err error) verdict {
	if a.isMigrating.Load() && a.job.request.Context().Err() == nil {
		return migrated
	}
	if a.job.request.Context().Err() == nil && !a.isOutOfTime(err) {
		a.upstream.noteBroken(time.Now())
	}
	return broken
}

// isOutOfTime reports whether the exchange ended because the request's own time did.
func (a *attempt) isOutOfTime(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && a.job.deadline.Sub(time.Now()) < leastTime
}

// deliver passes a whole answer on.
func (j *job) deliver(response *http.Response, body []byte) {
	header := j.writer.Header()
	copyAnswerHeader(header, response.Header)
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	_ = http.NewResponseController(j.writer).SetWriteDeadline(j.deadline.Add(writeSlack))
	j.writer.WriteHeader(response.StatusCode)
	if _, err := j.writer.Write(body); err != nil {
		j.decide("caller gone", response.StatusCode)
		return
	}
	j.decide("answered", response.StatusCode)
}

// copyAnswerHeader copies the fields of an upstream's answer that concern the caller.
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
