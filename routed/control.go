package routed

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/limit"
	"guavahitch.example/guavahitch/lockstep"
	"guavahitch.example/guavahitch/registry"
)

const (
	// controlStopTimeout bounds the wait for calls under way when a control process stops.
	controlStopTimeout = 400 * time.Millisecond
	// controlHeaderTimeout is the time in which the head of a call to a control process must arrive.
	controlHeaderTimeout = 5 * time.Second
)

type (
	// ControlSettings configures a Control.
	ControlSettings struct {
		// Listen is the address for operators and upstreams. InternalListen is the address for the other processes.
		Listen         string
		InternalListen string
		Registry       registry.Settings
		// Handler returns the handler that serves Listen with the replica. The bodies of calls draw from the account.
		Handler func(*registry.Replica, *limit.Account) http.Handler
		// SidecarAddress returns the internal address of the sidecar of an upstream.
		SidecarAddress func(upstream string) string
		// DirectEngine returns a client of the engine of an upstream that bypasses its sidecar.
		DirectEngine func(upstream string) lockstep.Sidecar
		// Resources is what the process may use.
		Resources Resources
		Log       *logrus.Entry
	}

	// Control is a control process. It runs a replica of the registry and, while the replica leads, the coordinators of
	// the expert maps.
	Control struct {
		settings ControlSettings
	}
)

// controlTimeouts returns the times that callers of a control process may take.
func controlTimeouts() limit.Timeouts { return limit.Timeouts{Header: controlHeaderTimeout} }

// scope returns the metrics scope, or one that discards metrics if none is set.
func (s ControlSettings) scope() tally.Scope {
	if s.Registry.Scope == nil {
		return tally.NoopScope
	}
	return s.Registry.Scope
}

// NewControl returns a control process, which Run starts.
func NewControl(settings ControlSettings) *Control { return &Control{settings: settings} }

// Run serves until the context ends.
func (c *Control) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.settings.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", c.settings.Listen)
	}
	internal, err := net.Listen("tcp", c.settings.InternalListen)
	if err != nil {
		return errors.Join(eris.Wrapf(err, "listen on %s", c.settings.InternalListen), listener.Close())
	}
	settings := c.settings.Registry
	settings.Clients = c.settings.Resources.internal()
	replica, err := registry.Open(settings)
	if err != nil {
		return errors.Join(err, listener.Close(), internal.Close())
	}
	operators := c.settings.Resources.operators()
	server := limit.NewServer(limit.ServerSettings{
		Handler: c.settings.Handler(replica, operators), Account: operators, Timeouts: controlTimeouts,
	})
	internalServer := limit.NewServer(limit.ServerSettings{
		Handler: replica.Handler(), Account: settings.Clients, Timeouts: controlTimeouts,
	})
	group := &run.Group{}
	group.Add(func() error { return ignoreServerClosed(server.Serve(listener)) }, func(error) { _ = server.Close() })
	group.Add(func() error { return ignoreServerClosed(internalServer.Serve(internal)) },
		func(error) { _ = internalServer.Close() })
	stopped, stop := context.WithCancel(ctx)
	for port, account := range map[string]*limit.Account{"operators": operators, "internal": settings.Clients} {
		go newClientReport(port, account, c.settings.scope(), c.settings.Log).run(stopped)
	}
	group.Add(func() error {
		<-stopped.Done()
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlStopTimeout)
		defer cancel()
		if err := server.Shutdown(bounded); err != nil {
			c.settings.Log.WithError(err).Warn("calls did not end before the stop timeout")
		}
		replica.Close()
		return nil
	}, func(error) { stop() })
	group.Add(func() error {
		return newGroupCoordinators(replica, c.settings).run(stopped)
	}, func(error) { stop() })
	c.settings.Log.WithField("listen", c.settings.Listen).Info("started")
	err = group.Run()
	c.settings.Log.Info("stopped")
	return err
}
