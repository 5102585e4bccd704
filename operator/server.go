package operator

import (
	"context"
	"crypto/subtle"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/leader"
	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const (
	// headerTimeout bounds reading the header of a request, and bodyTimeout reading its body.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 60 * time.Second
	// controlTimeout bounds a call to the leader of the control replicas.
	controlTimeout = 10 * time.Second
	// maxRecordsPerPage bounds the records in one response.
	maxRecordsPerPage = 1000
)

type (
	// Settings describes an operator server.
	Settings struct {
		// Token returns the operators' token. It is called for every request, so a changed token file takes effect
		// without a restart.
		Token func() (string, error)
		// Leader forwards submissions and queries to the leader of the control replicas.
		Leader *leader.Client
		// Inventory returns the revision and the text of the newest accepted inventory, as this replica has it.
		Inventory func() (uint64, []byte)
		// Members returns the processes whose events are collected.
		Members func() []*wire.Member
		// Events returns a client for the events of the process at the address.
		Events func(address string) wire.Events
	}

	// Server serves the HTTP interface for operators.
	Server struct {
		settings Settings
		account  *limit.Account
		http     *limit.Server
	}
)

// NewServer returns a server. It accepts no connections until Serve is called.
func NewServer(settings Settings) *Server {
	s := &Server{settings: settings, account: limit.NewAccount(limit.Settings{})}
	e := echo.NewWithConfig(echo.Config{Logger: slog.New(slog.DiscardHandler), HTTPErrorHandler: writeError})
	e.Use(s.authorise)
	e.PUT("/v1/inventory", s.submit)
	e.GET("/v1/inventory", s.inventory)
	e.GET("/v1/changes/:id", s.change)
	e.GET("/v1/records", s.records)
	e.GET("/v1/events", s.events)
	s.http = limit.NewServer(limit.ServerSettings{
		Handler: e, Account: s.account,
		Timeouts: func() limit.Timeouts { return limit.Timeouts{Header: headerTimeout} },
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	})
	return s
}

// Serve accepts connections on the listener until Close is called.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops the server and closes its connections.
func (s *Server) Close() error { return s.http.Close() }

// authorise rejects requests without the operators' token.
func (s *Server) authorise(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		token, err := s.settings.Token()
		if err != nil {
			return refusal("authorise", "token-unreadable", err.Error(), http.StatusServiceUnavailable)
		}
		sent, found := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !found || token == "" || subtle.ConstantTimeCompare([]byte(sent), []byte(token)) != 1 {
			return refusal("authorise", "bad-token", "send the operators' token as Authorization: Bearer TOKEN", http.StatusUnauthorized)
		}
		return next(c)
	}
}

func refusal(step, reason, detail string, status int) *outcome.Error {
	return &outcome.Error{Step: step, Outcome: outcome.NotRun, Reason: reason, Detail: detail, Status: status}
}

// writeError responds with a Failure. An error that is no outcome.Error, such as an unknown path, becomes bad-request.
func writeError(c *echo.Context, err error) {
	failure := outcome.FromError(err, "route", "")
	var known *outcome.Error
	if !errors.As(err, &known) {
		failure = refusal("route", "bad-request", err.Error(), max(echo.StatusCode(err), http.StatusBadRequest))
	}
	_ = c.JSON(dispatch.StatusOf(failure), Failure{Error: dispatch.NewRefusal(failure).Error})
}

func (s *Server) submit(c *echo.Context) error {
	header := c.Request().Header
	expected, err := strconv.ParseUint(header.Get(HeaderExpected), 10, 64)
	if err != nil {
		return refusal("submit", "bad-revision", HeaderExpected+" takes the revision that the inventory replaces; 0 for the first", http.StatusBadRequest)
	}
	body, err := s.account.ReadBody(c.Response(), c.Request(), limit.BodyLimits{
		Bytes: control.MaxInventoryBytes, Deadline: time.Now().Add(bodyTimeout),
	})
	defer body.Release()
	if err != nil {
		return bodyRefusal(err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), controlTimeout)
	defer cancel()
	status, failure := s.settings.Leader.Submit(ctx, &wire.SubmitRequest{
		ChangeId: header.Get(HeaderChange), ExpectedRevision: expected, Inventory: body.Bytes(),
		Operator: header.Get(HeaderOperator), Reason: header.Get(HeaderReason),
	})
	return respondWithChange(c, status, failure)
}

// bodyRefusal returns the refusal of an inventory that could not be read.
func bodyRefusal(err error) error {
	reason := "incomplete"
	switch {
	case errors.Is(err, limit.ErrTooLarge):
		reason = "oversized"
	case errors.Is(err, limit.ErrNoMemory):
		reason = "body-memory"
	}
	detail := err.Error() + "; an inventory has at most " + strconv.Itoa(control.MaxInventoryBytes) + " bytes"
	return refusal("submit", reason, detail, limit.StatusOf(err))
}

func (s *Server) change(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), controlTimeout)
	defer cancel()
	status, failure := s.settings.Leader.Change(ctx, &wire.ChangeRequest{ChangeId: c.Param("id")})
	return respondWithChange(c, status, failure)
}

// respondWithChange writes the status of a change, or returns the failure. A refused change has the status code 409.
func respondWithChange(c *echo.Context, status *wire.ChangeStatus, failure *outcome.Error) error {
	if failure == nil {
		failure = outcome.FromWire(status.Failure)
	}
	if failure != nil {
		return failure
	}
	code := http.StatusOK
	if status.State == control.StateRefused {
		code = http.StatusConflict
	}
	return c.JSON(code, changeOf(status))
}

func (s *Server) inventory(c *echo.Context) error {
	revision, text := s.settings.Inventory()
	c.Response().Header().Set(HeaderRevision, strconv.FormatUint(revision, 10))
	return c.Blob(http.StatusOK, "application/json", text)
}

func (s *Server) records(c *echo.Context) error {
	after, err := queryNumber(c, "after")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), controlTimeout)
	defer cancel()
	reply, failure := s.settings.Leader.Records(ctx, &wire.RecordsRequest{
		After: after, Limit: maxRecordsPerPage, Kind: c.QueryParam("kind"), ChangeId: c.QueryParam("change"),
	})
	if failure == nil {
		failure = outcome.FromWire(reply.Failure)
	}
	if failure != nil {
		return failure
	}
	records := make([]Record, 0, len(reply.Records))
	for _, r := range reply.Records {
		records = append(records, recordOf(r))
	}
	return c.JSON(http.StatusOK, records)
}

func queryNumber(c *echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refusal("query", "bad-number", name+" takes a whole number", http.StatusBadRequest)
	}
	return number, nil
}
