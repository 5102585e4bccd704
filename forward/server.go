package forward

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/retry"
	"guavahitch.example/guavahitch/route"
)

// defaultDeadline is the time to the deadline of a request whose caller gives a time of 0. It is also the time that is
// assumed for a request without a deadline while it waits for a configuration.
const defaultDeadline = 30 * time.Second

type (
	// Server is the http.Handler that routes callers' requests to the upstreams of a Fleet. It is safe for concurrent
	// use.
	Server struct {
		settings Settings
		fleet    *Fleet
		table    atomic.Pointer[route.Table]
		// isClosing is set when every response closes its connection.
		isClosing atomic.Bool
		// isRefusing is set when new requests are refused.
		isRefusing atomic.Bool
		// stopBy is the time at which End is called, nil unless the entry stops.
		stopBy atomic.Pointer[time.Time]
		// ended is cancelled by End.
		ended    context.Context
		end      context.CancelFunc
		inFlight sync.WaitGroup
		// readers holds what is buffered for callers.
		readers *readerMemory
		started time.Time

		mutex      sync.Mutex
		budgets    map[string]sharedBudget
		admissions map[string]*admission
		schedules  map[string]*schedule
		// refusing notifies waiting streams that isRefusing was set.
		refusing broadcast
	}

	// sharedBudget is this entry's part of the retry budget of a service, computed for a number of entries.
	sharedBudget struct {
		*retry.Budget
		entries int64
	}

	// refusal is a response that the entry itself sends instead of one of an upstream.
	refusal struct {
		status int
		reason string
		// retryAfter is the minimum wait before the caller should retry a request that was not run, 0 for no
		// Retry-After field.
		retryAfter time.Duration
		// spread is the largest time that is randomly added to retryAfter, 0 for retryJitter.
		spread time.Duration
		// waiting is set if the request was not refused but waits for a place.
		waiting *waitingStream
	}
)

// NewServer returns a server for the upstreams of a fleet. It answers 503 until SetTable is called.
func NewServer(settings Settings, fleet *Fleet) *Server {
	ended, end := context.WithCancel(context.Background())
	return &Server{
		settings: settings.withDefaults(), fleet: fleet, started: time.Now(), ended: ended, end: end,
		budgets: map[string]sharedBudget{}, admissions: map[string]*admission{}, schedules: map[string]*schedule{},
		readers: newReaderMemory(settings.SlowReaders),
	}
}

// SetTable puts a configuration in force and reports whether it did. It ignores a configuration that is not newer than
// the current one.
func (s *Server) SetTable(table *route.Table) bool {
	for {
		held := s.table.Load()
		if held != nil && table.Version() <= held.Version() {
			return false
		}
		if s.table.CompareAndSwap(held, table) {
			s.fleet.setColdLimits(s.table.Load())
			s.fleet.setMemoryLimits(s.table.Load())
			s.fleet.setServices(s.table.Load())
			s.fleet.changes.notify()
			return true
		}
	}
}

// Table returns the configuration in force, or nil before the first SetTable.
func (s *Server) Table() *route.Table { return s.table.Load() }

// SetEntries sets the number of entries that share the limits of a service. A number below 1 is ignored.
func (s *Server) SetEntries(entries int) {
	if entries > 0 {
		s.fleet.entries.Store(int64(entries))
	}
}

// BeginStop makes every later response close its connection. Later requests get no longer than until stopBy, so that upstreams do
// not work on what can no longer be answered.
func (s *Server) BeginStop(stopBy time.Time) {
	s.stopBy.Store(&stopBy)
	s.isClosing.Store(true)
}

// Refuse makes the server refuse all later requests, and the streams that wait for their turn.
func (s *Server) Refuse() {
	s.isRefusing.Store(true)
	s.refusing.notify()
}

// End aborts the exchanges with upstreams. Requests without a response get one that does not claim that they did not run; streams
// that have begun are cut.
func (s *Server) End() { s.end() }

// isEnding reports whether End was called.
func (s *Server) isEnding() bool { return s.ended.Err() != nil }

// Wait returns once no request is in flight.
func (s *Server) Wait() { s.inFlight.Wait() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	if s.isClosing.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{server: s, writer: w, request: r, arrived: time.Now(), body: &limit.Body{}}
	j.waitSince = j.arrived
	defer func() { j.body.Release() }()
	if refused := j.prepare(); refused != nil {
		j.refuse(refused)
		return
	}
	j.run()
}

// prepare finds the route of the request, authenticates it, sets its deadline and reads its body. It returns a refusal
// if one of these fails.
func (j *job) prepare() *refusal {
	s := j.server
	j.id = j.request.Header.Get(s.settings.Headers.RequestID)
	if refused := j.awaitTable(); refused != nil {
		return refused
	}
	if limit := j.table.Configuration().Limits.HeaderBytes; limit > 0 && headerBytes(j.request) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	j.route = j.table.Route(j.request.Host, j.request.URL.EscapedPath())
	if j.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	j.priority = j.route.PriorityOf(nil)
	if refused := j.authenticate(); refused != nil {
		return refused
	}
	j.setDeadline()
	if s.isRefusing.Load() {
		return stoppingRefusal()
	}
	return j.readBody()
}

func stoppingRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: retryAfterStopping}
}

// headerBytes returns the approximate size of a request's head: the request line and the header lines.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(r.Proto)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

func (j *job) authenticate() *refusal {
	j.restrict(nil)
	if j.route.IsOpen || !j.table.NeedsKeys() {
		return nil
	}
	scheme, key, _ := strings.Cut(j.request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, j.server.settings.KeyScheme) {
		return &refusal{status: http.StatusUnauthorized, reason: "no key"}
	}
	organisation := j.table.Organisation(strings.TrimSpace(key))
	if organisation == nil {
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	j.organisation = organisation.Name
	j.restrict(organisation.Regions)
	j.priority = j.route.PriorityOf(organisation)
	return nil
}

// setDeadline sets the deadline to the earliest of the caller's deadline, the route's timeout and the end of a planned stop.
func (j *job) setDeadline() {
	left := j.route.Timeout
	if requested, isGiven := j.requestedTime(); isGiven {
		left = min(left, requested)
	}
	if left <= 0 {
		left = defaultDeadline
	}
	j.deadline = j.arrived.Add(left)
	if stopBy := j.server.stopBy.Load(); stopBy != nil {
		j.deadline = earlier(j.deadline, *stopBy)
	}
}

// requestedTime returns how long the caller waits for the response, and false if the request does not say.
func (j *job) requestedTime() (time.Duration, bool) {
	value := j.request.Header.Get(j.server.settings.Headers.Deadline)
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// readBody reads the body. What is left of a body that is refused is not read, and its connection is closed.
func (j *job) readBody() *refusal {
	limits := j.table.Configuration().Limits
	var err error
	j.body, err = j.server.settings.Clients.ReadBody(j.writer, j.request, limit.BodyLimits{
		Bytes: limits.BodyBytes, Deadline: j.deadline, Pause: cmp.Or(limits.HeaderTimeout, limit.DefaultHeaderTimeout),
	})
	if err == nil {
		return nil
	}
	refused := &refusal{status: limit.StatusOf(err), reason: err.Error()}
	if errors.Is(err, limit.ErrNoMemory) {
		refused.retryAfter = limit.RetryAfter
	}
	return refused
}

// budget returns this entry's part of the retry budget of a service. It is computed again when the number of entries
// grows.
func (s *Server) budget(service string) *retry.Budget {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entries := max(s.fleet.entries.Load(), 1)
	b, isKnown := s.budgets[service]
	if !isKnown || entries > b.entries {
		part := s.settings.Retry.Slack / float64(entries) * budgetMargin
		b = sharedBudget{Budget: retry.NewBudget(s.settings.Retry.Ratio*budgetMargin, 0, part), entries: entries}
		s.budgets[service] = b
	}
	return b.Budget
}

func (s *Server) random() float64 { return s.settings.draw() }
