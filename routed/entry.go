// Package routed assembles the processes of routed traffic: an entry that serves callers over package forward,
// and a replica of package registry. The caller of this package gives them their addresses and formats.
package routed

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/forward"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// headerTimeout and idleTimeout bound what a caller's connection may do before a request.
	headerTimeout = 15 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// noticeTime is how long an entry that stops goes on taking requests, so that callers' balancers notice.
	noticeTime = 2500 * time.Millisecond
	// graceMargin is the part of the time to stop that is left for the process itself.
	graceMargin = 600 * time.Millisecond
	// upstreamLimit is the silence after which an entry forgets an upstream.
	upstreamLimit = 30 * time.Second
	// tidyInterval is the time between two looks for silent upstreams.
	tidyInterval = 5 * time.Second
)

type (
	// EntrySettings configure an Entry.
	EntrySettings struct {
		// Listen serves callers; Readiness serves ReadinessPath.
		Listen        string
		Readiness     string
		ReadinessPath string
		// Seeds returns inner addresses of replicas.
		Seeds   func() []string
		Parse   func(source []byte) (*route.Configuration, error)
		Forward forward.Settings
		// Grace is the time that a planned stop may take.
		Grace time.Duration
		// Scope counts, nil for nowhere.
		Scope tally.Scope
		Log   *logrus.Entry
	}

	// Entry is a process that serves callers.
	Entry struct {
		settings EntrySettings
		fleet    *forward.Fleet
		server   *forward.Server
		follower *registry.Follower
		front    *http.Server
		ready    *http.Server
		stopping atomic.Bool
		// drained is closed once the requests under way have ended after a planned stop.
		drained chan struct{}
	}
)

func (s EntrySettings) scope() tally.Scope {
	if s.Scope == nil {
		return tally.NoopScope
	}
	return s.Scope
}

// NewEntry assembles an entry.
func NewEntry(settings EntrySettings) *Entry {
	e := &Entry{settings: settings, drained: make(chan struct{})}
	decided := newDecisions(settings.Log, settings.scope())
	settings.Forward.Log, settings.Forward.OnOutage = decided.write, decided.outage
	e.fleet = forward.NewFleet(settings.Forward)
	e.server = forward.NewServer(settings.Forward, e.fleet)
	e.follower = registry.NewFollower(registry.FollowerSettings{
		Seeds: settings.Seeds, IsEntry: true, Log: settings.Log,
		OnDocument:  e.takeDocument,
		OnUpstreams: func(announced, renewals []roster.Entry) { e.fleet.Update(announced, renewals) },
		OnLoads:     e.server.UpdateLoads,
		OnEntries:   e.server.SetEntries,
	})
	e.front = &http.Server{
		Handler: e.server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true,
	}
	mux := http.NewServeMux()
	mux.HandleFunc(settings.ReadinessPath, e.serveReadiness)
	e.ready = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return e
}

// Run serves until the context ends, then stops as planned.
func (e *Entry) Run(ctx context.Context) error {
	front, err := net.Listen("tcp", e.settings.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", e.settings.Listen)
	}
	ready, err := net.Listen("tcp", e.settings.Readiness)
	if err != nil {
		return errors.Join(eris.Wrapf(err, "listen on %s", e.settings.Readiness), front.Close())
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group := &run.Group{}
	group.Add(func() error { return e.follower.Run(inner) }, func(error) { cancel() })
	group.Add(func() error { return e.tidy(inner) }, func(error) { cancel() })
	group.Add(func() error { return e.serve(front) }, func(error) { _ = e.front.Close() })
	group.Add(func() error { return served(e.ready.Serve(ready)) }, func(error) { _ = e.ready.Close() })
	group.Add(func() error { return e.stopAfter(ctx, inner) }, func(error) { cancel() })
	e.settings.Log.WithField("listen", e.settings.Listen).Info("started")
	err = group.Run()
	e.settings.Log.Info("stopped")
	return err
}

// serve serves callers. A server that shuts down stops serving at once; its requests end later.
func (e *Entry) serve(listener net.Listener) error {
	err := e.front.Serve(listener)
	if e.stopping.Load() {
		<-e.drained
	}
	return served(err)
}

// stopAfter waits for the end of the context and stops the entry: it reports not to be ready, ends each
// connection with its answer, then refuses new requests and lets those under way end.
func (e *Entry) stopAfter(ctx, inner context.Context) error {
	select {
	case <-inner.Done():
		return nil
	case <-ctx.Done():
	}
	e.settings.Log.Info("stopping")
	e.stopping.Store(true)
	defer close(e.drained)
	e.server.DisableKeepAlives()
	wait.For(inner, noticeTime)
	e.server.Refuse()
	bounded, cancel := context.WithTimeout(inner, e.settings.Grace-noticeTime-graceMargin)
	defer cancel()
	if err := e.front.Shutdown(bounded); err != nil {
		e.settings.Log.WithError(err).Warn("requests cut off by the end of the grace time")
	}
	return nil
}

// IsReady reports whether the entry wants callers.
func (e *Entry) IsReady() bool { return e.server.Table() != nil && !e.stopping.Load() }

func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !e.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// takeDocument puts a newer configuration in force.
func (e *Entry) takeDocument(document *wire.RoutingDocument) {
	version := document.Version
	if held := e.server.Table(); held != nil && held.Version() >= version {
		return
	}
	configuration, err := e.parse(document)
	if err != nil {
		e.settings.Log.WithError(err).WithField("version", version).Error("configuration not read")
		return
	}
	if e.server.SetTable(route.NewTable(configuration)) {
		e.settings.Log.WithField("version", version).WithField("routes", len(configuration.Routes)).
			Info("configuration in force")
	}
}

func (e *Entry) parse(document *wire.RoutingDocument) (*route.Configuration, error) {
	source, err := registry.Source(document)
	if err != nil {
		return nil, err
	}
	return e.settings.Parse(source)
}

func (e *Entry) tidy(ctx context.Context) error {
	for wait.For(ctx, tidyInterval) {
		if e.follower.IsConnected() {
			e.fleet.Expire(time.Now(), upstreamLimit)
		}
	}
	return nil
}

// served turns the error of a server that was closed into none.
func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve")
}
