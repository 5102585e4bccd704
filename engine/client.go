// Package engine speaks to the upstream beside a sidecar: a model engine or a plain service, over HTTP/1.1.
// The sidecar runs the attempts that its gate releases through it and watches the engine's life and load.
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
	// ReasonFailed is the reason of a call that broke off after it was sent.
	ReasonFailed = "engine-failed"
	// ReasonDied is the reason of a call that broke off because the engine died.
	ReasonDied = "engine-died"

	// HeaderRank tells a model engine the rank that should hold the request.
	HeaderRank = "Guavahitch-Rank"

	// dialTimeout bounds the opening of a connection to the engine.
	dialTimeout = time.Second
	// loadTimeout bounds one question for the load.
	loadTimeout = time.Second
	// readSize is the size of one read of an answer, in bytes.
	readSize = 32 << 10
	// connections is the most idle connections kept to the engine.
	connections = 1024
)

type (
	// Call is one request as the engine sees it.
	Call struct {
		RequestID string
		Method    string
		Path      string
		Headers   []admission.Header
		Body      []byte
		// Rank is the rank of the group that should hold the request; -1 leaves it to the engine.
		Rank int
		// Repeatable allows the call to be sent again on a broken connection.
		Repeatable bool
		// ResumeText is the text that earlier attempts delivered; the engine continues after it.
		ResumeText string
	}

	// Client calls one engine. It is safe for concurrent use.
	Client struct {
		address string
		http    *http.Client
		// once opens a connection for each call, because net/http repeats a call by itself on a reused
		// connection that breaks.
		once *http.Client
	}

	loadReport struct {
		Running       int32 `json:"running"`
		Queued        int32 `json:"queued"`
		RunningTokens int64 `json:"running_tokens"`
		Capacity      int32 `json:"capacity"`
		StepUs        int64 `json:"step_us"`
	}
)

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, readSize)
	return &buffer
}}

// NewClient returns a client of the engine at an IP address and port.
func NewClient(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: connections, DisableCompression: true,
	}
	single := transport.Clone()
	single.DisableKeepAlives = true
	return &Client{
		address: address,
		http:    &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		once:    &http.Client{Transport: single, CheckRedirect: keepRedirect},
	}
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run sends the call and writes its answer until the end. An error tells by its outcome what is known of
// the run: NotRun when the engine refused the connection, so that nothing was sent.
func (c *Client) Run(ctx context.Context, call Call, answer *admission.Answer) *outcome.Error {
	request, err := c.newRequest(ctx, call)
	if err != nil {
		return outcome.Error{Step: "engine", Peer: c.address, Outcome: outcome.NotRun, Reason: "bad-request"}.WithCause(err)
	}
	client := c.once
	if call.Repeatable {
		client = c.http
	}
	response, err := client.Do(request)
	if err != nil {
		return c.failure(err)
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
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	buffer := *pooled
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
			return c.failure(err)
		}
	}
}

// failure tells a connection that was never opened, which proves that nothing ran, from all other ends.
func (c *Client) failure(err error) *outcome.Error {
	failure := outcome.Error{Step: "engine", Peer: c.address, Outcome: outcome.Unknown, Reason: ReasonFailed}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		failure.Outcome = outcome.NotRun
		failure.Reason = "engine-unreachable"
	}
	return failure.WithCause(err)
}

// IsAlive reports whether the engine accepts connections.
func (c *Client) IsAlive(ctx context.Context) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// Load asks the engine for its load. A plain service has none and returns nil without an error.
func (c *Client) Load(ctx context.Context) (*wire.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/load", nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
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

// HasRun asks a plain service by reference whether a call has run. Known is false when the service cannot
// tell.
func (c *Client) HasRun(ctx context.Context, reference string) (ran, known bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/references/"+reference, nil)
	if err != nil {
		return false, false
	}
	response, err := c.http.Do(request)
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
