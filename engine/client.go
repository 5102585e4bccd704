// Package engine is the HTTP/1.1 client of the upstream next to a sidecar, which is a model engine or a plain service.
// The sidecar uses it to run the attempts that its admission gate releases, to check whether the engine is alive, and
// to read its load.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/upstream"
	"guavahitch.example/guavahitch/wire"
)

const (
	// ReasonFailed is the reason of a call whose connection broke after it was sent.
	ReasonFailed = "engine-failed"
	// ReasonDied is the reason of a call whose connection broke because the engine died.
	ReasonDied = "engine-died"
	// ReasonBusy is the reason of a repeatable call for which the engine asked to back off.
	ReasonBusy = "engine-busy"

	// HeaderRank is the request header that tells a model engine which rank should hold the request.
	HeaderRank = "Guavahitch-Rank"
	// HeaderLeaving is the response header by which an engine says that it is about to leave.
	HeaderLeaving = "Server-Leaving"
	// HeaderRateLimit is the response header with the requests a second that an engine takes.
	HeaderRateLimit = "Server-Limit"
	// headerRequestID is the request header with the ID of the request. An engine that repeats it in its responses keeps
	// its connections.
	headerRequestID = "X-Request-Id"

	// dialTimeout bounds the dialling of a connection to the engine.
	dialTimeout = time.Second
	// loadTimeout bounds one load request.
	loadTimeout = time.Second
	// readSize is the maximum size of one read of an answer, in bytes.
	readSize = 32 << 10
)

// noticeFields are the response headers in which an engine says something of itself.
var noticeFields = availability.Fields{Leaving: HeaderLeaving, RateLimit: HeaderRateLimit}

// errUnmatched is the error of a response without an ID on a connection in use again: it may belong to an earlier call.
var errUnmatched = eris.New("the response cannot be matched to its request")

type (
	// Call is one request to the engine.
	Call struct {
		RequestID string
		Method    string
		Path      string
		Headers   []admission.Header
		Body      []byte
		// Rank is the rank of the group that should hold the request; -1 leaves the choice to the engine.
		Rank int
		// Repeatable is set for a call that may run more than once. It may use an idle connection, and is tried elsewhere
		// if the engine asks to back off.
		Repeatable bool
		// ResumeText is the text that earlier attempts delivered. The engine continues the answer after it.
		ResumeText string
	}

	// Client is the client of one engine. It is safe for concurrent use.
	Client struct {
		address string
		pool    *upstream.Pool
		calls   *upstream.Client

		mutex sync.Mutex
		state availability.State
	}

	loadReport struct {
		Running       int32 `json:"running"`
		Queued        int32 `json:"queued"`
		RunningTokens int64 `json:"running_tokens"`
		Capacity      int32 `json:"capacity"`
		StepUs        int64 `json:"step_us"`
	}
)

var readBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, readSize)
	return &buffer
}}

// NewClient returns a client for the engine at an IP address and port.
func NewClient(address string) *Client {
	return &Client{
		address: address, pool: upstream.NewPool(address, dialTimeout), calls: upstream.NewClient(dialTimeout), state: newState(),
	}
}

// newState returns the state of an engine that has said nothing. All its calls pass through this client, so the client uses
// the whole of a rate limit.
func newState() availability.State { return availability.State{}.WithShare(time.Now(), 1, 0) }

// CountRequest counts a call against the rate limit of the engine.
func (c *Client) CountRequest(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = c.state.WithRequest(now)
}

// State returns whether the engine takes calls, according to its responses.
func (c *Client) State() availability.State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

// Forget drops what the engine said of itself. The sidecar calls it when the engine has died.
func (c *Client) Forget() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = newState()
}

// Run sends the call and copies the response to the answer until its end. In an error, the Outcome is NotRun when the
// connection could not be opened, so that nothing was sent, and Unknown when the call may have run.
func (c *Client) Run(ctx context.Context, call Call, answer *admission.Answer) *outcome.Error {
	request, body, err := c.newRequest(ctx, call)
	if err != nil {
		return outcome.Error{Step: "engine", Peer: c.address, Outcome: outcome.NotRun, Reason: "bad-request"}.WithCause(err)
	}
	conn, err := c.connect(ctx, call)
	if err != nil {
		return c.callError(err)
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	sent := time.Now()
	isReusable := false
	defer func() {
		if stop() && isReusable {
			c.pool.Put(conn, time.Now())
			return
		}
		conn.Abort()
	}()
	response, err := exchange(conn, request, body)
	if err != nil {
		return c.callError(err)
	}
	if failure := c.hear(response, call, sent); failure != nil {
		return failure
	}
	answer.SetHead(headOf(response))
	failure := c.copyBody(ctx, response.Body, answer)
	isReusable = failure == nil && response.Header.Get(headerRequestID) == call.RequestID
	return failure
}

// connect returns an idle connection for a repeatable call, and a new one for any other.
func (c *Client) connect(ctx context.Context, call Call) (*upstream.Connection, error) {
	if !call.Repeatable || call.RequestID == "" {
		return c.pool.Open(ctx)
	}
	return c.pool.Get(ctx, time.Now(), upstream.DefaultIdleTimeout)
}

// exchange sends a request and returns the head of its response. Responses to earlier requests on the connection are
// skipped.
func exchange(conn *upstream.Connection, request *http.Request, body []byte) (*http.Response, error) {
	err := conn.Send(request.Method, request.URL.RequestURI(), request.URL.Host, request.Header, body)
	if err != nil {
		return nil, err
	}
	id := request.Header.Get(headerRequestID)
	response, err := conn.Receive(request.Method, func(header http.Header) bool {
		answered := header.Get(headerRequestID)
		return answered == "" || answered == id
	})
	if err == nil && conn.IsReused() && response.Header.Get(headerRequestID) == "" {
		return nil, errUnmatched
	}
	return response, err
}

// hear records what the head of the response to a call that was sent at the given time says of the engine. A repeatable
// call for which the engine asks to back off fails, so that it is tried elsewhere.
func (c *Client) hear(response *http.Response, call Call, sent time.Time) *outcome.Error {
	now := time.Now()
	notice := availability.ReadNotice(response, noticeFields, now)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = c.state.WithNotice(sent, now, notice)
	if notice.Backoff == 0 || !call.Repeatable {
		return nil
	}
	return &outcome.Error{
		Step: "engine", Peer: c.address, Outcome: outcome.Unknown, Reason: ReasonBusy, RetryAfter: notice.Backoff,
		Detail: "the engine asks for backoff",
	}
}

// hearLoad records what the response to a load request that was sent at the given time says of the engine. An engine that
// was leaving and no longer says so has started again.
func (c *Client) hearLoad(response *http.Response, sent time.Time) {
	now := time.Now()
	notice := availability.ReadNotice(response, noticeFields, now)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.IsLeaving() && !notice.IsLeaving {
		c.state = newState()
	}
	c.state = c.state.WithNotice(sent, now, notice)
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, []byte, error) {
	body := call.Body
	if call.ResumeText != "" {
		resumed, err := withResumeText(body, call.ResumeText)
		if err != nil {
			return nil, nil, err
		}
		body = resumed
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address+call.Path, http.NoBody)
	if err != nil {
		return nil, nil, eris.Wrap(err, "build the request to the engine")
	}
	for _, h := range call.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set(headerRequestID, call.RequestID)
	if call.Rank >= 0 {
		request.Header.Set(HeaderRank, strconv.Itoa(call.Rank))
	}
	return request, body, nil
}

func headOf(response *http.Response) admission.Head {
	head := admission.Head{Status: response.StatusCode}
	for _, name := range []string{"Content-Type", "Location", "Etag", "Cache-Control", "Retry-After"} {
		for _, value := range response.Header.Values(name) {
			head.Headers = append(head.Headers, admission.Header{Name: name, Value: value})
		}
	}
	return head
}

func (c *Client) copyBody(ctx context.Context, body io.Reader, answer *admission.Answer) *outcome.Error {
	pooledBuffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(pooledBuffer)
	buffer := *pooledBuffer
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if appendErr := answer.Append(ctx, buffer[:n]); appendErr != nil {
				return outcome.FromError(appendErr, "answer", c.address)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return c.callError(err)
		}
	}
}

// callError returns the error of a failed call. When the connection could not be opened, the outcome is NotRun;
// otherwise it is Unknown.
func (c *Client) callError(err error) *outcome.Error {
	failure := outcome.Error{Step: "engine", Peer: c.address, Outcome: outcome.Unknown, Reason: ReasonFailed}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		failure.Outcome = outcome.NotRun
		failure.Reason = "engine-unreachable"
	}
	return failure.WithCause(err)
}

// IsAlive reports whether the engine accepts a connection within dialTimeout.
func (c *Client) IsAlive(ctx context.Context) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// Load requests the engine's load report. It returns nil without an error when the engine reports no load, as plain
// services do.
func (c *Client) Load(ctx context.Context) (*wire.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/load", nil)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	response, err := c.calls.Do(request)
	if err != nil {
		return nil, err
	}
	c.hearLoad(response, sent)
	var report loadReport
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&report) != nil || report.Capacity == 0 {
		return nil, nil
	}
	return &wire.Load{
		Running: report.Running, Queued: report.Queued, RunningTokens: report.RunningTokens,
		Capacity: report.Capacity, StepUs: report.StepUs,
	}, nil
}

// HasRun asks a plain service by reference whether a call has run. Known is false when the service does not answer or
// can't tell.
func (c *Client) HasRun(ctx context.Context, reference string) (ran, known bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/references/"+reference, nil)
	if err != nil {
		return false, false
	}
	response, err := c.calls.Do(request)
	if err != nil {
		return false, false
	}
	switch response.StatusCode {
	case http.StatusOK:
		return true, true
	case http.StatusNotFound:
		return false, true
	default:
		return false, false
	}
}
