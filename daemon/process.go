package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/event"
	"guavahitch.example/guavahitch/keys"
	"guavahitch.example/guavahitch/leader"
	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/metric"
	"guavahitch.example/guavahitch/settings"
	"guavahitch.example/guavahitch/sidecar"
	"guavahitch.example/guavahitch/wire"
)

// Process is one process with the roles of its settings.
type Process struct {
	settings    *settings.Settings
	incarnation string
	log         *logrus.Entry
	clock       *event.Clock
	events      *event.Ring
	scope       tally.Scope
	metrics     *metric.Reporter
	closer      io.Closer
	inner       *inner
	leader      *leader.Client
	transport   sidecar.Transport
	group       run.Group
	entry       *entryRole
	control     *controlRole
	sidecar     *sidecarRole
	keys        *keys.Store
	// scheme and client are for calls to any other process.
	scheme      string
	client      *http.Client
	rebalancing Rebalancing
	aborted     chan struct{}
	abort       func()
}

// NewProcess binds the addresses of the settings and assembles the roles. Nothing runs before Run.
func NewProcess(s *settings.Settings, log *logrus.Logger) (*Process, error) {
	return NewProcessWithRebalancing(s, log, DefaultRebalancing())
}

// NewProcessWithRebalancing is NewProcess with other bounds and costs of rebalancing.
func NewProcessWithRebalancing(s *settings.Settings, log *logrus.Logger, rebalancing Rebalancing) (*Process, error) {
	p := &Process{settings: s, rebalancing: rebalancing, incarnation: uuid.NewString()[:8], log: log.WithField("process", s.Name)}
	p.aborted = make(chan struct{})
	p.abort = sync.OnceFunc(func() {
		close(p.aborted)
		_ = p.inner.http.Close()
	})
	p.scope, p.metrics, p.closer = metric.NewScope(s.Name)
	p.clock = &event.Clock{}
	p.events = event.NewRing(s.Name, p.clock)
	if err := p.openKeys(); err != nil {
		return nil, eris.Wrapf(err, "process %s", s.Name)
	}
	in, err := newInner(s.Listen, p.keys, p.clock)
	if err != nil {
		return nil, eris.Wrapf(err, "process %s", s.Name)
	}
	p.inner = in
	p.inner.add(wire.NewEventsServer(p.events))
	if err := p.addRoles(); err != nil {
		_ = p.inner.listener.Close()
		return nil, eris.Wrapf(err, "process %s", s.Name)
	}
	p.group.Add(p.inner.serve, func(error) { p.inner.close() })
	return p, nil
}

// openKeys sets up how the process speaks to others: by mutual TLS when the settings name key files.
func (p *Process) openKeys() error {
	p.transport = sidecar.Transport{New: sidecar.PlainTransport, Wrap: p.clock.Transport}
	scheme := "http"
	if k := p.settings.Keys; k != nil {
		store, err := keys.Open(keys.Files{Certificate: k.Certificate, Key: k.Key, Authority: k.Authority})
		if err != nil {
			return err
		}
		store.OnReload = p.noteReload
		p.keys = store
		p.transport.New = func(dial sidecar.Dial) *http.Transport { return store.Secure(sidecar.PlainTransport(dial)) }
		scheme = "https"
	}
	dialer := &net.Dialer{Timeout: innerDialTimeout}
	carrier := p.transport.RoundTripper(dialer.DialContext)
	p.scheme, p.client = scheme, &http.Client{Transport: carrier}
	p.leader = leader.NewClient(scheme, p.settings.ReplicaAddresses(), carrier)
	return nil
}

func (p *Process) noteReload(err error) {
	if err != nil {
		p.log.WithError(err).Error("the key files changed and cannot be read; the old keys stay in use")
		return
	}
	p.log.Info("the key files were read again")
}

func (p *Process) addRoles() error {
	if p.settings.Control != nil {
		if err := p.addControl(); err != nil {
			return err
		}
	}
	if p.settings.Sidecar != nil {
		p.addSidecar()
	}
	if p.settings.Entry != nil {
		return p.addEntry()
	}
	return nil
}

// Run runs the process until the context ends, then stops it as planned: nothing in flight is cut off.
func (p *Process) Run(ctx context.Context) error {
	p.log.WithField("listen", p.inner.address()).Info("started")
	p.events.Add(&wire.Event{Kind: "started", Detail: p.inner.address()})
	p.add(func(inner context.Context) error {
		select {
		case <-ctx.Done():
			p.drain()
		case <-p.aborted:
		case <-inner.Done():
		}
		return nil
	})
	err := p.group.Run()
	_ = p.closer.Close()
	p.log.Info("stopped")
	return err
}

// Abort ends the process at once, as a crash would: nothing is drained and no one is told.
func (p *Process) Abort() { p.abort() }

// address returns the address that the process is announced under.
func (p *Process) address() string {
	if p.settings.Advertise != "" {
		return p.settings.Advertise
	}
	return p.inner.address()
}

// add runs a function in the group with a context that ends when the process stops.
func (p *Process) add(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.group.Add(func() error { return run(ctx) }, func(error) { cancel() })
}

// drain stops the roles in the order in which requests flow: first the entry, then the sidecar.
func (p *Process) drain() {
	p.log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DrainTimeout)
	defer cancel()
	if p.entry != nil {
		p.entry.drain(ctx)
	}
	if p.sidecar != nil {
		p.sidecar.drain(ctx)
	}
}

// announce renews a membership until the context ends.
func (p *Process) announce(ctx context.Context, request func() *wire.AnnounceRequest, onReply func(*wire.AnnounceReply)) error {
	ticker := time.NewTicker(lease.RenewInterval)
	defer ticker.Stop()
	for {
		bounded, cancel := context.WithTimeout(ctx, lease.Duration)
		reply, failure := p.leader.Announce(bounded, request())
		cancel()
		if failure == nil && onReply != nil {
			onReply(reply)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// leave ends a membership.
func (p *Process) leave(ctx context.Context, member *wire.Member) {
	bounded, cancel := context.WithTimeout(ctx, lease.Duration)
	defer cancel()
	if _, failure := p.leader.Announce(bounded, &wire.AnnounceRequest{Member: member, Leaving: true}); failure != nil {
		p.log.WithError(failure).Warn("control did not hear of the departure; its lease runs out")
	}
}

// Events returns the events of the process.
func (p *Process) Events() *event.Ring { return p.events }
