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
	"guavahitch.example/guavahitch/http1"
	"guavahitch.example/guavahitch/keys"
	"guavahitch.example/guavahitch/leader"
	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/metric"
	"guavahitch.example/guavahitch/settings"
	"guavahitch.example/guavahitch/sidecar"
	"guavahitch.example/guavahitch/wire"
)

// Process is one process of guavahitch with the roles that its settings name.
type Process struct {
	settings    *settings.Settings
	incarnation string
	log         *logrus.Entry
	clock       *event.Clock
	events      *event.Ring
	scope       tally.Scope
	metrics     *metric.Reporter
	closer      io.Closer
	internal    *internalServer
	leader      *leader.Client
	transport   sidecar.Transport
	group       run.Group
	entry       *entryRole
	control     *controlRole
	sidecar     *sidecarRole
	keys        *keys.Store
	// scheme and client are the URL scheme and HTTP client for calls to any other process.
	scheme      string
	client      *http.Client
	rebalancing Rebalancing
	aborted     chan struct{}
	abort       func()
}

// NewProcess binds the addresses in the settings and assembles the roles. Nothing is served before Run.
func NewProcess(s *settings.Settings, log *logrus.Logger) (*Process, error) {
	return NewProcessWithRebalancing(s, log, DefaultRebalancing())
}

// NewProcessWithRebalancing is NewProcess with the given bounds and costs of rebalancing in place of the defaults.
func NewProcessWithRebalancing(s *settings.Settings, log *logrus.Logger, rebalancing Rebalancing) (*Process, error) {
	p := &Process{settings: s, rebalancing: rebalancing, incarnation: uuid.NewString()[:8], log: log.WithField("process", s.Name)}
	p.aborted = make(chan struct{})
	p.abort = sync.OnceFunc(func() {
		close(p.aborted)
		_ = p.internal.http.Close()
	})
	p.scope, p.metrics, p.closer = metric.NewScope(s.Name)
	p.clock = &event.Clock{}
	p.events = event.NewRing(s.Name, p.clock)
	if err := p.openKeys(); err != nil {
		return nil, eris.Wrapf(err, "process %s", s.Name)
	}
	server, err := newInternalServer(s.Listen, p.keys, p.clock)
	if err != nil {
		return nil, eris.Wrapf(err, "process %s", s.Name)
	}
	p.internal = server
	p.internal.add(wire.NewEventsServer(p.events))
	if err := p.addRoles(); err != nil {
		_ = p.internal.listener.Close()
		return nil, eris.Wrapf(err, "process %s", s.Name)
	}
	p.group.Add(p.internal.serve, func(error) { p.internal.close() })
	return p, nil
}

// openKeys sets up the clients for other processes, which use mutual TLS when the settings name key files.
func (p *Process) openKeys() error {
	p.transport = sidecar.Transport{New: sidecar.PlainTransport, Wrap: p.clock.Transport}
	scheme := "http"
	if k := p.settings.Keys; k != nil {
		store, err := keys.Open(keys.Files{Certificate: k.Certificate, Key: k.Key, Authority: k.Authority})
		if err != nil {
			return err
		}
		store.OnReload = p.logKeyReload
		p.keys = store
		p.transport.New = func(dial sidecar.Dial) *http.Transport { return store.Secure(sidecar.PlainTransport(dial)) }
		scheme = "https"
	}
	dialer := &net.Dialer{Timeout: internalDialTimeout}
	roundTripper := p.transport.RoundTripper(dialer.DialContext)
	p.scheme, p.client = scheme, http1.NewClient(roundTripper)
	p.leader = leader.NewClient(scheme, p.settings.ReplicaAddresses(), roundTripper)
	return nil
}

func (p *Process) logKeyReload(err error) {
	if err != nil {
		p.log.WithError(err).Error("reading the changed key files failed; the previous keys stay in use")
		return
	}
	p.log.Info("reloaded the changed key files")
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

// Run runs the process until the context ends. It then drains the process, so that requests in flight are not cut off
// unless they take longer than the drain timeout.
func (p *Process) Run(ctx context.Context) error {
	p.log.WithField("listen", p.internal.address()).Info("started")
	p.events.Add(&wire.Event{Kind: "started", Detail: p.internal.address()})
	p.add(func(groupCtx context.Context) error {
		select {
		case <-ctx.Done():
			p.drain()
		case <-p.aborted:
		case <-groupCtx.Done():
		}
		return nil
	})
	err := p.group.Run()
	_ = p.closer.Close()
	p.log.Info("stopped")
	return err
}

// Abort ends the process at once like a crash: it drains nothing and does not end the membership.
func (p *Process) Abort() { p.abort() }

// address returns the address at which other processes reach this one.
func (p *Process) address() string {
	if p.settings.Advertise != "" {
		return p.settings.Advertise
	}
	return p.internal.address()
}

// add adds a function to the run group. Its context ends when the process stops.
func (p *Process) add(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.group.Add(func() error { return run(ctx) }, func(error) { cancel() })
}

// drain drains the roles within the drain timeout, in the order in which requests flow: the entry, then the sidecar.
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

// announce renews a membership every lease.RenewInterval until the context ends.
func (p *Process) announce(ctx context.Context, request func() *wire.AnnounceRequest, onReply func(*wire.AnnounceReply)) error {
	ticker := time.NewTicker(lease.RenewInterval)
	defer ticker.Stop()
	for {
		announceCtx, cancel := context.WithTimeout(ctx, lease.Duration)
		reply, failure := p.leader.Announce(announceCtx, request())
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

// leave ends a membership. When control can't be reached, the membership ends with its lease.
func (p *Process) leave(ctx context.Context, member *wire.Member) {
	leaveCtx, cancel := context.WithTimeout(ctx, lease.Duration)
	defer cancel()
	if _, failure := p.leader.Announce(leaveCtx, &wire.AnnounceRequest{Member: member, Leaving: true}); failure != nil {
		p.log.WithError(failure).Warn("announcing the departure to control failed; the membership ends with its lease")
	}
}

// Events returns the process's ring of events.
func (p *Process) Events() *event.Ring { return p.events }
