// Package engine is the HTTP/1.1 client of the upstream next to a sidecar, which is a model engine or a plain service.
// The sidecar uses it to run the attempts that its admission gate releases, to check whether the engine is alive, and
// to read its load.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// ReasonFailed is the reason of a call whose connection broke after it was sent.
	ReasonFailed = "engine-failed"
	// ReasonDied is the reason of a call whose connection broke because the engine died.
	ReasonDied = "engine-died"

	// HeaderRank is the request header that tells a model engine which rank should hold the request.
	HeaderRank = "Guavahitch-Rank"

	// dialTimeout bounds the dialling of a connection to the engine.
	dialTimeout = time.Second
	// loadTimeout bounds one load request.
	loadTimeout = time.Second
	// readSize is the maximum size of one read of an answer, in bytes.
	readSize = 32 << 10
	// maxIdleConnections is the maximum number of idle connections to the engine.
	maxIdleConnections = 1024
)

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
		// Repeatable allows the HTTP transport to send the call again when a reused connection breaks.
		Repeatable bool
		// ResumeText is the text that earlier attempts delivered. The engine continues the answer after it.
		ResumeText string
	}

	// Client is the client of one engine. It is safe for concurrent use.
	Client struct {
		address string
		pooled  *http.Client
		// singleUse opens a new connection for each call that is not repeatable, because net/http may send a call
		// again on its own when a reused connection breaks.
		singleUse *http.Client
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
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
	}
	withoutKeepAlive := transport.Clone()
	withoutKeepAlive.DisableKeepAlives = true
	return &Client{
		address:   address,
		pooled:    &http.Client{Transport: transport, CheckRedirect: doNotFollow},
		singleUse: &http.Client{Transport: withoutKeepAlive, CheckRedirect: doNotFollow},
	}
}

func doNotFollow(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run sends the call and copies the response to the answer until its end. In an error, the Outcome is NotRun when the
// connection could not be opened, so that nothing was sent, and Unknown when the call may have run.
func (c *Client) Run(ctx context.Context, call Call, answer *admission.Answer) *outcome.Error {
	request, err := c.newRequest(ctx, call)
	if err != nil {
		return outcome.Error{Step: "engine", Peer: c.address, Outcome: outcome.NotRun, Reason: "bad-request"}.WithCause(err)
	}
	client := c.singleUse
	if call.Repeatable {
		client = c.pooled
	}
	response, err := client.Do(request)
	if err != nil {
		return c.callError(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer.SetHead(headOf(response))
	return c.copyBody(ctx, response.Body, answer)
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	body := call.Body
	if call.ResumeText != "" {
		resumed, err := withResumeText(body, call.ResumeText)
		if err != nil {
			return nil, err
		}
		body = resumed
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address+call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for _, h := range call.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set("X-Request-Id", call.RequestID)
	if call.Rank >= 0 {
		request.Header.Set(HeaderRank, strconv.Itoa(call.Rank))
	}
	return request, nil
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
	response, err := c.pooled.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
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
	response, err := c.pooled.Do(request)
	if err != nil {
		return false, false
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return true, true
	case http.StatusNotFound:
		return false, true
	default:
		return false, false
	}
}
