package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"guavahitch.example/guavahitch/caller"
	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/listener"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

// entryRole is the entry of a process: the dispatcher and the HTTP server for callers.
type entryRole struct {
	process    *Process
	dispatcher *dispatch.Dispatcher
	server     *caller.Server
	listener   net.Listener
}

func (p *Process) addEntry() error {
	e := p.settings.Entry
	front, err := listener.Listen(context.Background(), e.Listen)
	if err != nil {
		return outcome.Error{Step: "listen", Peer: e.Listen, Outcome: outcome.NotRun, Reason: "address"}.WithCause(err)
	}
	r := &entryRole{process: p, listener: front}
	r.dispatcher = dispatch.NewDispatcher(dispatch.Settings{
		Entry: p.settings.Name, Incarnation: p.incarnation, FailureDomain: p.settings.FailureDomain,
		Subset: e.Subset, Leader: p.leader, Transport: p.transport, Events: p.events,
		Scope: p.scope.SubScope("entry"),
	})
	r.server = caller.NewServer(caller.Settings{
		Dispatcher: r.dispatcher, Metrics: p.metrics, Connections: e.Connections, BodyBytes: e.BodyBytes, Ready: r.ready,
	})
	p.entry = r
	p.add(r.dispatcher.WatchControl)
	p.add(func(ctx context.Context) error { return p.announce(ctx, r.announcement, r.onAnnounced) })
	p.group.Add(func() error { return r.server.Serve(front) }, func(error) { _ = r.server.Close() })
	return nil
}

func (r *entryRole) member() *wire.Member {
	s := r.process.settings
	return &wire.Member{
		Name: s.Name, Role: "entry", Address: r.process.address(), FailureDomain: s.FailureDomain, Region: s.Region,
		Draining: r.dispatcher.IsDraining(),
	}
}

// announcement returns the request that renews the membership. It also carries the counts of outcomes that control has
// not acknowledged.
func (r *entryRole) announcement() *wire.AnnounceRequest {
	return &wire.AnnounceRequest{Member: r.member(), Traffic: r.dispatcher.Traffic().Report(time.Now())}
}

func (r *entryRole) onAnnounced(reply *wire.AnnounceReply) {
	r.dispatcher.Traffic().Acknowledge(reply.TrafficBatch)
}

// ready returns why the platform's load balancer should not send callers here, or nil when it should.
func (r *entryRole) ready() error {
	if r.dispatcher.IsDraining() {
		return errors.New("draining")
	}
	holder := r.dispatcher.Holder()
	if holder.Revision() == 0 {
		return errors.New("no inventory in force")
	}
	return nil
}

// drain waits for the end of all requests and then ends the membership.
func (r *entryRole) drain(ctx context.Context) {
	if err := r.dispatcher.Drain(ctx); err != nil {
		r.process.log.WithError(err).Error("drain")
	}
	if err := listener.AcceptLast(ctx, r.listener); err != nil {
		r.process.log.WithError(err).Warn("connections that are not accepted yet will be cut off")
	}
	_ = r.server.Shutdown(ctx)
	r.process.leave(ctx, r.member())
}

// CallerAddress returns the address at which the entry serves callers. The process must have the entry role.
func (p *Process) CallerAddress() string { return p.entry.listener.Addr().String() }

// Dispatcher returns the entry's dispatcher. The process must have the entry role.
func (p *Process) Dispatcher() *dispatch.Dispatcher { return p.entry.dispatcher }
