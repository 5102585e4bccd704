package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"guavahitch.example/guavahitch/route"
)

const (
	// budgetMargin is the part of the retry limits that is used; the rest covers entries that restarted.
	budgetMargin = 0.8
	// stoppingRetry is when a request may come again that met an entry about to stop.
	stoppingRetry = 50 * time.Millisecond
	// shedRetry is when a request may come again that an upstream had no place for.
	shedRetry = 30 * time.Millisecond
	// brokenRetry is when a request may come again while no upstream of its service takes work.
	brokenRetry = 700 * time.Millisecond
	// leastTime is the shortest time that is worth another attempt.
	leastTime = 5 * time.Millisecond
	// leastPatience is the shortest time after which an attempt of a plain, repeatable request is given up
	// for another upstream.
	leastPatience = 60 * time.Millisecond
	// maxUnsent is the most upstreams that one request tries to connect to beyond its attempts.
	maxUnsent = 3
)

// job is one request of a caller on its way.
type job struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	id       string
	arrived  time.Time
	deadline time.Time
	// heldSince is since when the request may be waiting for its group.
	heldSince    time.Time
	gate         *gate
	table        *route.Table
	route        *route.Route
	organisation string
	service      string
	body         []byte

	// tried holds the upstreams that the request was sent to, or that could not be reached.
	tried []*Upstream
	// sent counts the attempts that reached an upstream, unsent those that reached none.
	sent, unsent int
	// migrated counts the attempts that were broken off to go on elsewhere.
	migrated int
	// mayHaveRun tells that some attempt may have run the request.
	mayHaveRun bool
	// isCommitted tells that the answer's head is with the caller; lastEvent is the last event passed on.
	isCommitted bool
	hasEvent    bool
	lastEvent   int64
	// first and longestPause are the times of a stream's events; inFlight and limit what the gate went by.
	first, longestPause time.Duration
	inFlight, limit     int
}

// run sends the request to upstreams until it is answered or given up.
func (j *job) run() {
	s := j.server
	j.service = j.route.Choose(s.random())
	j.gate = s.gate(j.service, j.table.Service(j.service))
	if refused := j.awaitPlace(); refused != nil {
		j.refuse(refused)
		return
	}
	defer j.gate.leave()
	s.budget(j.service).Attempted(time.Now())
	for {
		u := j.next()
		if u == nil {
			j.giveUp()
			return
		}
		a := newAttempt(j, u, j.gate)
		verdict := a.run()
		if verdict == answered || j.request.Context().Err() != nil {
			return
		}
		j.note(a, verdict)
		if !j.mayGoOn(verdict) || !j.awaitReopening() || !j.pay(verdict) {
			j.giveUp()
			return
		}
	}
}

// next returns the upstream of the next attempt, or nil when there is none.
func (j *job) next() *Upstream {
	return j.server.pick(j.service, j.tried, time.Now())
}

func (j *job) note(a *attempt, v verdict) {
	j.tried = append(j.tried, a.upstream)
	if v == unsent {
		j.unsent++
		return
	}
	j.sent++
	if j.isCommitted {
		j.heldSince = time.Now()
	}
	if v == migrated {
		j.migrated++
	}
	if v == broken || v == migrated {
		j.mayHaveRun = true
	}
}

// mayGoOn reports whether another attempt is allowed and worthwhile.
func (j *job) mayGoOn(v verdict) bool {
	if j.deadline.Sub(time.Now()) < leastTime {
		return false
	}
	if v == unsent {
		return j.unsent <= maxUnsent
	}
	if v == broken && !j.route.IsRepeatable() {
		return false
	}
	return j.sent < max(j.route.Attempts, 1)
}

// pay takes another attempt from the retry budget, unless it is paid for or nothing was sent.
func (j *job) pay(v verdict) bool {
	return v == unsent || v == migrated || j.server.budget(j.service).Spend(time.Now())
}

// giveUp ends a request that no upstream answered.
func (j *job) giveUp() {
	if j.isCommitted {
		// The caller has the head of a stream: only the end of the connection tells that it is not complete.
		j.decide("cut", 0)
		panic(http.ErrAbortHandler)
	}
	isLate := j.deadline.Sub(time.Now()) < leastTime
	switch {
	case !j.mayHaveRun:
		j.refuse(&refusal{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: j.retryAfter()})
	case isLate:
		j.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "deadline"})
	default:
		j.refuse(&refusal{status: http.StatusBadGateway, reason: "upstream failed"})
	}
}

// retryAfter returns when a request that was not run may come again.
func (j *job) retryAfter() time.Duration {
	switch {
	case j.gate.isDown():
		return j.outageRetry()
	case j.sent > 0:
		return shedRetry
	default:
		return brokenRetry
	}
}

// refuse answers with the entry's own status and reason.
func (j *job) refuse(r *refusal) {
	header := j.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if j.id != "" {
		header.Set(j.server.settings.Headers.RequestID, j.id)
	}
	if r.retryAfter > 0 {
		seconds := r.retryAfter.Seconds() * (1 + retrySpread*j.server.random())
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	text := r.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	j.writer.WriteHeader(r.status)
	_, err := fmt.Fprint(j.writer, text)
	if err != nil {
		j.decide("caller gone", r.status)
		return
	}
	j.decide(r.reason, r.status)
}

// retrySpread spreads the times at which refused requests come again.
const retrySpread = 0.5

// decide logs how the request ended.
func (j *job) decide(reason string, status int) {
	log := j.server.settings.Log
	if log == nil {
		return
	}
	d := Decision{
		Request: j.id, Status: status, Reason: reason, Service: j.service, Attempts: j.sent, Unsent: j.unsent, Migrated: j.migrated,
		Took: time.Since(j.arrived), TimeToFirstEvent: j.first, LongestPause: j.longestPause,
		InFlight: j.inFlight, Limit: j.limit,
	}
	if j.table != nil {
		d.Version = j.table.Version()
	}
	if j.route != nil {
		d.Route = j.route.Name
	}
	if n := len(j.tried); n > 0 {
		d.Upstream = j.tried[n-1].Instance().ID
	}
	log(d)
}
