// Package caller speaks HTTP to callers: the OpenAI-style chat interface for models, the declared paths of
// plain services, health, readiness and metrics. It checks and bounds what comes in, hands requests to
// package dispatch and turns every refusal into a JSON error.
package caller

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/metric"
	"guavahitch.example/guavahitch/outcome"
)

const (
	// HeaderOrganisation names the organisation that asks.
	HeaderOrganisation = "Guavahitch-Organisation"
	// HeaderPriority is a whole number; a higher one goes first at the upstream.
	HeaderPriority = "Guavahitch-Priority"
	// HeaderDeadline is the time that the caller waits at most, such as "2s".
	HeaderDeadline = "Guavahitch-Deadline"
	// HeaderKey is the idempotency key of a call that may not be repeated.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest is the answer's header with the name of the request in the time line.
	HeaderRequest = "Guavahitch-Request"

	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the arrival of a whole request.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds each write to a caller.
	writeTimeout = 10 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 60 * time.Second
	// headerLimit is the size of a request's header, in bytes.
	headerLimit = 32 << 10
	// nameLimit is the length of an organisation or key, in bytes.
	nameLimit = 255
	// metricsPath is the path of the metrics page.
	metricsPath = "/metrics"
)

type (
	// Settings describes the server towards callers.
	Settings struct {
		Dispatcher *dispatch.Dispatcher
		Metrics    *metric.Reporter
		// Connections is the most connections open at once.
		Connections int
		// BodyBytes is the memory for request bodies of all callers together, in bytes.
		BodyBytes int64
		// Ready reports why the process is not ready; nil means ready.
		Ready func() error
	}

	// Server serves callers.
	Server struct {
		settings Settings
		bodies   *budget
		http     *http.Server
	}
)

// NewServer returns a server that does not listen yet.
func NewServer(settings Settings) *Server {
	s := &Server{settings: settings, bodies: newBudget(settings.BodyBytes)}
	e := echo.NewWithConfig(echo.Config{
		Logger: slog.New(slog.DiscardHandler), HTTPErrorHandler: writeEchoError,
	})
	e.Use(clearWriteDeadline)
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)
	e.GET(metricsPath, s.metrics)
	e.GET("/v1/models", s.models)
	e.POST("/v1/chat/completions", s.chat)
	e.Any("/*", s.passThrough)
	s.http = &http.Server{
		Handler: e, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerLimit, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	return s
}

// clearWriteDeadline gives each request on a connection its own time: the deadline of the last write stays with
// the connection.
func clearWriteDeadline(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Time{})
		return next(c)
	}
}

// Handler returns the handler of all paths, for embedding and for tests.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve serves the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(newLimitListener(listener, s.settings.Connections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops listening and waits for open requests until the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close stops at once and cuts open connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) ready(c *echo.Context) error {
	if err := s.settings.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) metrics(c *echo.Context) error {
	c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	return s.settings.Metrics.Write(c.Response())
}

// writeEchoError turns errors of the router into JSON errors.
func writeEchoError(c *echo.Context, err error) {
	status := echo.StatusCode(err)
	if status == 0 {
		status = http.StatusInternalServerError
	}
	refusal := &outcome.Error{Step: "route", Outcome: outcome.NotRun, Reason: "bad-request", Detail: err.Error(), Status: status}
	_ = writeRefusal(c, refusal)
}

// newRequest reads what every request has in common. The body's memory is returned by release.
func (s *Server) newRequest(c *echo.Context) (request *dispatch.Request, release func(), refusal *outcome.Error) {
	r := c.Request()
	request = &dispatch.Request{
		ID: uuid.NewString(), Organisation: r.Header.Get(HeaderOrganisation), Method: r.Method,
		Path: r.URL.RequestURI(), Key: r.Header.Get(HeaderKey), Weight: 1,
	}
	c.Response().Header().Set(HeaderRequest, request.ID)
	if refusal := s.readHeaders(request, r.Header); refusal != nil {
		return nil, nil, refusal
	}
	body, release, refusal := s.readBody(c, s.bodyLimit(request.Organisation))
	if refusal != nil {
		return nil, nil, refusal
	}
	request.Body = body
	return request, release, nil
}

func (s *Server) bodyLimit(organisation string) int {
	owned := s.settings.Dispatcher.Inventory()
	if known, ok := owned.Organisation(organisation); ok && known.Limits.BodyBytes > 0 {
		return known.Limits.BodyBytes
	}
	return owned.Rules.BodyBytes
}

// readBody reads the body within its limit, taking its memory from the budget of all bodies.
func (s *Server) readBody(c *echo.Context, limit int) (body []byte, release func(), refusal *outcome.Error) {
	r := c.Request()
	size := r.ContentLength
	if size < 0 || size > int64(limit) {
		size = int64(limit)
	}
	if !s.bodies.take(size) {
		return nil, nil, refusalOf("body-memory", "the entry holds too many request bodies", http.StatusServiceUnavailable, time.Second)
	}
	release = func() { s.bodies.give(size) }
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, int64(limit)))
	if err == nil {
		return body, release, nil
	}
	release()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, nil, refusalOf("body-too-large", "the body is longer than "+itoa(limit)+" bytes", http.StatusRequestEntityTooLarge, 0)
	}
	return nil, nil, refusalOf("body-incomplete", "the body did not arrive whole in time", http.StatusRequestTimeout, 0)
}
