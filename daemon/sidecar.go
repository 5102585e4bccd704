package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/google/uuid"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/engine"
	"guavahitch.example/guavahitch/inventory"
	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/ranks"
	"guavahitch.example/guavahitch/sidecar"
	"guavahitch.example/guavahitch/wire"
)

const (
	// barredKept is the number of barred attempts that a gate remembers by name.
	barredKept = 65536
	// entriesKept is the number of entry incarnations that a gate remembers.
	entriesKept = 4096
	// answerKept is how long an answer that nobody fetches is kept.
	answerKept = 10 * time.Minute
	// reportWait is how long the failure of attempts waits for control to take the report of a death.
	reportWait = 500 * time.Millisecond
	// watchPause is the pause after a failed watch.
	watchPause = 100 * time.Millisecond
	// epochRandomBits are the low bits of an epoch, which tell apart starts of the same millisecond.
	epochRandomBits = 20
)

type sidecarRole struct {
	process *Process
	server  *sidecar.Server
	engine  *engine.Client
	// ranks drives the engines of a group, nil when there are none.
	ranks *ranks.Driver
}

func (p *Process) addSidecar() {
	s := p.settings.Sidecar
	r := &sidecarRole{process: p, engine: engine.NewClient(s.Engine)}
	base, cancel := context.WithCancel(context.Background())
	r.server = sidecar.NewServer(base, sidecar.ServerSettings{
		Name: p.settings.Name,
		Limits: admission.Limits{
			Running: s.Running, Queued: s.Queued, Barred: barredKept, Entries: entriesKept, Keep: answerKept,
		},
		Epoch: newEpoch(time.Now()), IsModel: s.Kind == "model", Engine: r.engine, Events: p.events,
		Scope: p.scope.SubScope("sidecar"), ReportDeath: r.reportDeath, Settle: r.settle,
	})
	p.sidecar = r
	p.inner.add(wire.NewSidecarServer(r.server))
	p.inner.mux.Handle(sidecar.StreamPath, r.server)
	p.add(func(ctx context.Context) error {
		defer cancel()
		r.server.Watch(ctx)
		return nil
	})
	r.addRanks()
	p.add(func(ctx context.Context) error { return p.announce(ctx, r.announcement, r.onAnnounced) })
	p.add(r.follow)
}

// addRanks drives the engines of a group behind this sidecar.
func (r *sidecarRole) addRanks() {
	p, s := r.process, r.process.settings.Sidecar
	if s.Group == "" || s.Ranks == 0 {
		return
	}
	r.ranks = ranks.NewDriver(ranks.DriverSettings{
		Upstream: p.settings.Name, Group: s.Group, Engine: s.RanksEngine, Ranks: s.Ranks, First: s.FirstRank,
		ChecksFencing: s.ChecksFencing, Report: r.reportRanks, Events: p.events,
	})
	p.inner.add(wire.NewRanksServer(r.ranks))
	p.add(r.ranks.Run)
}

// reportRanks sends statuses and counts to the replica that is taken for the leader.
func (r *sidecarRole) reportRanks(ctx context.Context, report *wire.RankStatuses) (*wire.RankInstructions, error) {
	ctx, cancel := context.WithTimeout(ctx, lease.RenewInterval)
	defer cancel()
	p := r.process
	return wire.NewRanksProtobufClient(p.scheme+"://"+p.leader.LeaderAddress(), p.client).Report(ctx, report)
}

// onAnnounced fences the orders of earlier leaders.
func (r *sidecarRole) onAnnounced(reply *wire.AnnounceReply) {
	if r.ranks != nil && reply.Term > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), lease.RenewInterval)
		defer cancel()
		r.ranks.RaiseTerm(ctx, reply.Term)
	}
}

// follow keeps the inventory in force at this sidecar. An upstream that the operators took out of it refuses
// new work from then on.
func (r *sidecarRole) follow(ctx context.Context) error {
	var holder lease.Holder
	for ctx.Err() == nil {
		sent := time.Now()
		request := holder.Request(r.process.settings.Name, lease.RenewInterval)
		request.InventoryOnly = true
		reply, failure := r.process.leader.Watch(ctx, request)
		if failure != nil || reply.Failure != nil {
			time.Sleep(watchPause)
			continue
		}
		next := holder.WithReply(reply, sent)
		if next.Revision() != holder.Revision() {
			r.use(next)
		}
		r.server.RequireRevision(next.InForce())
		holder = next
	}
	return nil
}

func (r *sidecarRole) use(holder lease.Holder) {
	owned, err := inventory.Parse("inventory", holder.Inventory())
	if err != nil {
		r.process.log.WithError(err).Error("the inventory in force cannot be read")
		return
	}
	_, isListed := owned.Upstream(r.process.settings.Name)
	r.server.SetAdmitting(isListed || owned.Rules.AdmitUnlisted)
	r.process.events.Add(&wire.Event{Kind: "inventory-in-force", Detail: "revision " + strconv.FormatUint(holder.Revision(), 10)})
}

// newEpoch returns an admission epoch that is later than those of earlier starts of the sidecar.
func newEpoch(now time.Time) uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	low := binary.LittleEndian.Uint64(random[:]) & (1<<epochRandomBits - 1)
	return uint64(now.UnixMilli())<<epochRandomBits | low
}

func (r *sidecarRole) announcement() *wire.AnnounceRequest {
	return &wire.AnnounceRequest{Member: r.member()}
}

func (r *sidecarRole) member() *wire.Member {
	s := r.process.settings
	return &wire.Member{
		Name: s.Name, Role: "sidecar", Address: r.process.address(), FailureDomain: s.FailureDomain, Region: s.Region,
		Epoch: r.server.Epoch(), Services: s.Sidecar.Services, Group: s.Sidecar.Group, Ranks: int32(s.Sidecar.Ranks),
		Draining: r.server.IsDraining(), Load: r.server.Load(), ChecksFencing: s.Sidecar.ChecksFencing,
	}
}

func (r *sidecarRole) reportDeath(running []*wire.Suspect) {
	r.process.log.WithField("running", len(running)).Warn("the engine died")
	report := &wire.DeathReport{
		Upstream: r.process.settings.Name, Epoch: r.server.Epoch(), Running: running, CrashId: uuid.NewString(),
	}
	taken := make(chan struct{})
	go func() {
		defer close(taken)
		ctx, cancel := context.WithTimeout(context.Background(), 10*lease.Duration)
		defer cancel()
		if _, failure := r.process.leader.ReportDeath(ctx, report); failure != nil {
			r.process.log.WithError(failure).Error("control did not take the death report")
		}
	}()
	select {
	case <-taken:
	case <-time.After(reportWait):
	}
}

// settle stores the end of a claimed call whose entry is gone.
func (r *sidecarRole) settle(request *wire.SettleRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration)
	defer cancel()
	reply, failure := r.process.leader.Settle(ctx, request)
	return failure == nil && reply.Failure == nil
}

// drain refuses new work at once, tells control, and lets everything admitted end.
func (r *sidecarRole) drain(ctx context.Context) {
	done := make(chan error, 1)
	go func() { done <- r.server.Drain(ctx) }()
	announced, cancel := context.WithTimeout(ctx, lease.Duration)
	_, _ = r.process.leader.Announce(announced, &wire.AnnounceRequest{Member: r.member()})
	cancel()
	if err := <-done; err != nil {
		r.process.log.WithError(err).Error("drain")
	}
	r.process.leave(ctx, r.member())
}

// SidecarServer returns the server of the sidecar role.
func (p *Process) SidecarServer() *sidecar.Server { return p.sidecar.server }
