// Package caller is the HTTP server of an entry for its callers. It serves the OpenAI-style chat interface of models,
// the declared paths of plain services, health, readiness and metrics. It validates requests, bounds their size and
// number, passes them to package dispatch, and turns every refusal into a JSON error.
package caller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/metric"
	"guavahitch.example/guavahitch/outcome"
)

const (
	// HeaderOrganisation is the request header with the name of the caller's organisation.
	HeaderOrganisation = "Guavahitch-Organisation"
	// HeaderPriority is the request header with the priority, a whole number. At the upstream, requests with a higher
	// number start first.
	HeaderPriority = "Guavahitch-Priority"
	// HeaderDeadline is the request header with the longest time that the caller waits, such as "2s".
	HeaderDeadline = "Guavahitch-Deadline"
	// HeaderIdempotencyKey is the request header with the idempotency key of a call that must not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID is the response header with the ID of the request, by which the time line shows its events.
	HeaderRequestID = "Guavahitch-Request"

	// headerTimeout bounds the read of a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the read of a whole body, bodyPause the time without a byte of it.
	bodyTimeout = 30 * time.Second
	bodyPause   = 5 * time.Second
	// writeTimeout bounds each write to a caller.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long a connection stays open without requests.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 32 << 10
	// maxNameBytes is the maximum length of an organisation's name or an idempotency key.
	maxNameBytes = 255
	// metricsPath is the HTTP path of the metrics page.
	metricsPath = "/metrics"
)

type (
	// Settings configures a Server.
	Settings struct {
		Dispatcher *dispatch.Dispatcher
		Metrics    *metric.Reporter
		// Connections is the maximum number of open connections.
		Connections int
		// BodyBytes is the maximum memory for the request bodies of all callers together, in bytes.
		BodyBytes int64
		// Ready returns why the process is not ready, or nil when it is ready.
		Ready func() error
	}

	// Server is the HTTP server for callers.
	Server struct {
		settings Settings
		account  *limit.Account
		handler  http.Handler
		http     *limit.Server
	}
)

// NewServer returns a server that does not listen yet.
func NewServer(settings Settings) *Server {
	s := &Server{settings: settings, account: limit.NewAccount(limit.Settings{
		Memory: settings.BodyBytes + int64(settings.Connections)*limit.ConnectionBytes, Connections: settings.Connections,
	})}
	e := echo.NewWithConfig(echo.Config{
		Logger: slog.New(slog.DiscardHandler), HTTPErrorHandler: writeEchoError,
	})
	e.Use(clearWriteDeadline)
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)
	e.GET(metricsPath, s.metrics)
	e.GET("/v1/models", s.models)
	e.POST("/v1/chat/completions", s.chat)
	e.Any("/*", s.serveService)
	s.handler = e
	s.http = limit.NewServer(limit.ServerSettings{
		Handler: e, Account: s.account, HeaderBytes: maxHeaderBytes,
		Timeouts: func() limit.Timeouts { return limit.Timeouts{Header: headerTimeout, Idle: idleTimeout} },
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	})
	return s
}

// clearWriteDeadline clears the write deadline before each request, because the deadline of the last write stays set
// on the connection.
func clearWriteDeadline(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Time{})
		return next(c)
	}
}

// Handler returns the handler of all paths, for tests and for use in another server.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve accepts connections from the listener until Shutdown or Close, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown closes the listener and waits until all open requests have ended or the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all open connections at once.
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

// writeEchoError writes an error of the router as a JSON error.
func writeEchoError(c *echo.Context, err error) {
	status := echo.StatusCode(err)
	if status == 0 {
		status = http.StatusInternalServerError
	}
	refusal := &outcome.Error{Step: "route", Outcome: outcome.NotRun, Reason: "bad-request", Detail: err.Error(), Status: status}
	_ = writeRefusal(c, refusal)
}

// newRequest reads the headers and the body of any request. The caller must call release once the body is no longer
// used, which returns its memory to the budget.
func (s *Server) newRequest(c *echo.Context) (request *dispatch.Request, release func(), refusal *outcome.Error) {
	r := c.Request()
	request = &dispatch.Request{
		ID: uuid.NewString(), Organisation: r.Header.Get(HeaderOrganisation), Method: r.Method,
		Path: r.URL.RequestURI(), Key: r.Header.Get(HeaderIdempotencyKey), Weight: 1,
	}
	c.Response().Header().Set(HeaderRequestID, request.ID)
	if refusal := s.readHeaders(request, r.Header); refusal != nil {
		return nil, nil, refusal
	}
	body, refusal := s.readBody(c, s.bodyLimit(request.Organisation), request.Deadline)
	if refusal != nil {
		return nil, nil, refusal
	}
	request.Body = body.Bytes()
	return request, body.Release, nil
}

func (s *Server) bodyLimit(organisation string) int {
	inventory := s.settings.Dispatcher.Inventory()
	if listed, ok := inventory.Organisation(organisation); ok && listed.Limits.BodyBytes > 0 {
		return listed.Limits.BodyBytes
	}
	return inventory.Rules.BodyBytes
}

// readBody reads a body of up to size bytes. The caller must release it, also after a refusal.
func (s *Server) readBody(c *echo.Context, size int, deadline time.Time) (*limit.Body, *outcome.Error) {
	limits := limit.BodyLimits{Bytes: int64(size), Deadline: time.Now().Add(bodyTimeout), Pause: bodyPause}
	if deadline.Before(limits.Deadline) {
		limits.Deadline = deadline
	}
	body, err := s.account.ReadBody(c.Response(), c.Request(), limits)
	if err == nil {
		return body, nil
	}
	status := limit.StatusOf(err)
	switch {
	case errors.Is(err, limit.ErrNoMemory):
		return body, newRefusal("body-memory", "the entry holds too many request bodies", status, limit.RetryAfter)
	case errors.Is(err, limit.ErrTooLarge):
		return body, newRefusal("body-too-large", "the body is longer than "+itoa(size)+" bytes", status, 0)
	default:
		return body, newRefusal("body-incomplete", "the body did not arrive whole in time", http.StatusRequestTimeout, 0)
	}
}
