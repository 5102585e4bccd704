// Package routed assembles the processes that serve routed traffic. An Entry serves callers with package forward. A
// Control runs a replica of package registry and the coordinators of the expert maps. A Sidecar connects the
// coordinators to the engine on its instance. The caller of this package supplies their addresses and message formats.
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

	"guavahitch.example/guavahitch/evacuation"
	"guavahitch.example/guavahitch/forward"
	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/listener"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/quota"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// drainNoticeTime is how long a stopping entry still accepts requests, so that the load balancers of callers notice
	// that it is not ready.
	drainNoticeTime = 2500 * time.Millisecond
	// graceMargin is the part of the grace time that is reserved for the last answers and the exit of the process. endTime is
	// its part for the answers to requests whose upstreams did not answer.
	graceMargin = 600 * time.Millisecond
	endTime     = 300 * time.Millisecond
	// upstreamTimeout is the time without a heartbeat after which an entry removes an upstream.
	upstreamTimeout = 30 * time.Second
	// sendBufferBytes is the size of the send buffer of the connection to a caller where slow callers are buffered for. The kernel
	// would otherwise hold megabytes for each of them, which count as memory of the process.
	sendBufferBytes = 64 << 10
	// expiryInterval is the time between two checks for silent upstreams.
	expiryInterval = 5 * time.Second
)

type (
	// EntrySettings configures an Entry.
	EntrySettings struct {
		// Name identifies the entry among the entries, also after a restart.
		Name string
		// Listen is the address for callers. Readiness is the address for readiness checks at ReadinessPath.
		Listen        string
		Readiness     string
		ReadinessPath string
		// Seeds returns the internal addresses of the replicas to contact first.
		Seeds func() []string
		// Parse decodes and checks the text of a configuration.
		Parse   func(source []byte) (*route.Configuration, error)
		Forward forward.Settings
		// Resources is what the process may use.
		Resources Resources
		// Grace is the longest time that a graceful stop may take.
		Grace time.Duration
		// Scope receives the metrics. If it is nil, they are discarded.
		Scope tally.Scope
		Log   *logrus.Entry
	}

	// Entry is a process that routes requests of callers to upstreams.
	Entry struct {
		settings EntrySettings
		fleet    *forward.Fleet
		server   *forward.Server
		follower *registry.Follower
		front    *limit.Server
		ready    *limit.Server
		stopping atomic.Bool
		// drained is closed at the end of a graceful stop, when the requests under way have ended or the grace time is
		// over.
		drained chan struct{}
	}
)

// scope returns the metrics scope, or one that discards metrics if none is set.
func (s EntrySettings) scope() tally.Scope {
	if s.Scope == nil {
		return tally.NoopScope
	}
	return s.Scope
}

// NewEntry returns an entry, which Run starts.
func NewEntry(settings EntrySettings) *Entry {
	e := &Entry{settings: settings, drained: make(chan struct{})}
	requests := newRequestLog(settings.Log, settings.scope())
	settings.Forward.Log, settings.Forward.OnOutage = requests.write, requests.logOutage
	settings.Forward.OnBreakage, settings.Forward.OnCrash = requests.logBreakage, requests.logCrash
	settings.Forward.OnNotice, settings.Forward.OnRamp = requests.logNotice, requests.logRamp
	settings.Forward.OnColdChange, settings.Forward.OnColdSkip = requests.logColdChange, requests.countColdSkip
	settings.Forward.Memory = quarantine.NewMemory()
	settings.Forward.Clients = settings.Resources.front()
	e.fleet = forward.NewFleet(settings.Forward)
	e.server = forward.NewServer(settings.Forward, e.fleet)
	evacuations := newEvacuationLog(settings.Log, settings.scope(), settings.Forward.DomainDrainTime())
	e.follower = registry.NewFollower(registry.FollowerSettings{
		Seeds: settings.Seeds, Name: settings.Name, IsEntry: true, Scope: settings.scope(), Log: settings.Log,
		OnEvacuations: func(received evacuation.Set) {
			if set, isChanged := e.fleet.SetEvacuations(received); isChanged {
				evacuations.apply(set)
			}
		},
		OnDocument:  e.applyDocument,
		OnUpstreams: func(announced, renewals []roster.Entry) { e.fleet.Update(announced, renewals) },
		OnLoads:     e.server.UpdateLoads,
		OnEntries:   e.server.SetEntries,
		Quota: registry.QuotaClient{
			Next: e.fleet.NextQuotaRequest, OnGrants: e.fleet.ApplyGrants, Lacking: e.fleet.LackingQuota,
			OnCount: e.fleet.OnCount, Peak: e.fleet.Peak,
			OnLimits: func(now time.Time, limits []quota.Limit) {
				for _, n := range e.fleet.ApplyLimits(now, limits) {
					requests.logNotice(n)
				}
			},
		},
		Memory:     settings.Forward.Memory,
		OnVerdicts: requests.logVerdicts,
	})
	front := limit.ServerSettings{Handler: e.server, Account: settings.Forward.Clients, Timeouts: e.timeouts}
	if settings.Forward.SlowReaders.TotalBytes > 0 {
		front.SendBufferBytes = sendBufferBytes
	}
	e.front = limit.NewServer(front)
	mux := http.NewServeMux()
	mux.HandleFunc(settings.ReadinessPath, e.serveReadiness)
	e.ready = newMonitoringServer(mux, settings.Resources)
	return e
}

// Run serves until the context ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	front, err := listener.Listen(ctx, e.settings.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", e.settings.Listen)
	}
	ready, err := net.Listen("tcp", e.settings.Readiness)
	if err != nil {
		return errors.Join(eris.Wrapf(err, "listen on %s", e.settings.Readiness), front.Close())
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group := &run.Group{}
	group.Add(func() error { return e.follower.Run(running) }, func(error) { cancel() })
	group.Add(func() error { return e.expireUpstreams(running) }, func(error) { cancel() })
	report := newClientReport("front", e.front.Account(), e.settings.scope(), e.settings.Log)
	go report.run(running)
	group.Add(func() error { return e.serve(front) }, func(error) { _ = e.front.Close() })
	group.Add(func() error { return ignoreServerClosed(e.ready.Serve(ready)) }, func(error) { _ = e.ready.Close() })
	group.Add(func() error { return e.drainAfter(ctx, running, front) }, func(error) { cancel() })
	e.settings.Log.WithField("listen", e.settings.Listen).Info("started")
	err = group.Run()
	e.settings.Log.Info("stopped")
	return err
}

// serve serves callers. http.Server.Serve returns as soon as a shutdown starts, so serve then waits for the requests
// under way.
func (e *Entry) serve(front net.Listener) error {
	err := e.front.Serve(front)
	if e.stopping.Load() {
		<-e.drained
	}
	return ignoreServerClosed(err)
}

// drainAfter stops the entry gracefully when ctx ends: the entry reports that it is not ready and closes each
// connection after its response. After drainNoticeTime it refuses new requests and waits for those under way. It does
// nothing if running ends first.
func (e *Entry) drainAfter(ctx, running context.Context, front net.Listener) error {
	select {
	case <-running.Done():
		return nil
	case <-ctx.Done():
	}
	e.settings.Log.Info("stopping")
	e.stopping.Store(true)
	defer close(e.drained)
	stopBy := time.Now().Add(e.settings.Grace - graceMargin)
	e.server.BeginStop(stopBy)
	wait.For(running, drainNoticeTime)
	e.server.Refuse()
	if err := listener.AcceptLast(running, front); err != nil {
		e.settings.Log.WithError(err).Warn("connections that are not accepted yet will be cut off")
	}
	if e.shutdown(running, stopBy) == nil {
		return nil
	}
	e.settings.Log.Warn("requests did not end within the grace time")
	e.server.End()
	if err := e.shutdown(running, stopBy.Add(endTime)); err != nil {
		e.settings.Log.WithError(err).Warn("requests are cut off without an answer")
	}
	return nil
}

// shutdown waits for the requests under way until a time.
func (e *Entry) shutdown(ctx context.Context, until time.Time) error {
	bounded, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return e.front.Shutdown(bounded)
}

// timeouts returns the times that callers may take according to the configuration in force.
func (e *Entry) timeouts() limit.Timeouts {
	table := e.server.Table()
	if table == nil {
		return limit.Timeouts{}
	}
	limits := table.Configuration().Limits
	return limit.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// IsReady reports whether the entry has a configuration and is not stopping.
func (e *Entry) IsReady() bool { return e.server.Table() != nil && !e.stopping.Load() }

// serveReadiness answers 200 if the entry is ready, and 503 otherwise.
func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !e.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// applyDocument puts a configuration in force if it is newer than the current one. An unreadable one is logged and
// ignored.
func (e *Entry) applyDocument(document *wire.RoutingDocument) {
	version := document.Version
	if current := e.server.Table(); current != nil && current.Version() >= version {
		return
	}
	configuration, err := e.parse(document)
	if err != nil {
		e.settings.Log.WithError(err).WithField("version", version).Error("cannot read the configuration")
		return
	}
	if e.server.SetTable(route.NewTable(configuration)) {
		e.settings.scope().Gauge("configuration_version").Update(float64(version))
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

// expireUpstreams removes silent upstreams at each interval. While no replica is connected it keeps them, because their
// heartbeats cannot arrive.
func (e *Entry) expireUpstreams(ctx context.Context) error {
	for wait.For(ctx, expiryInterval) {
		if e.follower.IsConnected() {
			e.fleet.Expire(time.Now(), upstreamTimeout)
		}
	}
	return nil
}

// ignoreServerClosed returns nil for the error of a server that was closed, and wraps other errors.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve")
}
