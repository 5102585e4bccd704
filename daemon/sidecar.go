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
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

const (
	// maxBarredAttempts is the maximum number of barred attempts that the gate remembers individually.
	maxBarredAttempts = 65536
	// maxEntryIncarnations is the maximum number of entry incarnations that the gate remembers.
	maxEntryIncarnations = 4096
	// answerTTL is how long an answer is kept after its end or after an entry last asked for it.
	answerTTL = 10 * time.Minute
	// deathReportWait bounds how long failed attempts wait until control has accepted the report of the engine's death.
	deathReportWait = 500 * time.Millisecond
	// departureNotice is how long a stopped sidecar still refuses work after control knows that it has left. Attempts that
	// entries have sent meanwhile learn in this way that they did not run.
	departureNotice = 500 * time.Millisecond
	// watchRetryPause is the pause after a failed watch request to control.
	watchRetryPause = 100 * time.Millisecond
	// epochRandomBits is the number of random low bits in an epoch. They distinguish starts in the same millisecond.
	epochRandomBits = 20
)

// sidecarRole is the sidecar of a process: the server for entries in front of one engine, and the driver of a group's
// ranks.
type sidecarRole struct {
	process *Process
	server  *sidecar.Server
	engine  *engine.Client
	// ranks drives the engines of a group's ranks; nil when the settings name no group.
	ranks *ranks.Driver
}

func (p *Process) addSidecar() {
	s := p.settings.Sidecar
	r := &sidecarRole{process: p, engine: engine.NewClient(s.Engine)}
	runCtx, cancel := context.WithCancel(context.Background())
	r.server = sidecar.NewServer(runCtx, sidecar.ServerSettings{
		Name: p.settings.Name,
		Limits: admission.Limits{
			Running: s.Running, Queued: s.Queued, Barred: maxBarredAttempts, Entries: maxEntryIncarnations, Keep: answerTTL,
		},
		Epoch: newEpoch(time.Now()), IsModel: s.Kind == "model", Engine: r.engine, Events: p.events,
		Scope: p.scope.SubScope("sidecar"), ReportDeath: r.reportDeath, Settle: r.settle,
	})
	p.sidecar = r
	p.internal.add(wire.NewSidecarServer(r.server))
	p.internal.mux.Handle(sidecar.StreamPath, r.server)
	p.add(func(ctx context.Context) error {
		defer cancel()
		r.server.Watch(ctx)
		return nil
	})
	r.addRanks()
	p.add(func(ctx context.Context) error { return p.announce(ctx, r.announcement, r.onAnnounced) })
	p.add(r.watchInventory)
}

// addRanks adds the driver of a group's engines when the settings name a group with ranks.
func (r *sidecarRole) addRanks() {
	p, s := r.process, r.process.settings.Sidecar
	if s.Group == "" || s.Ranks == 0 {
		return
	}
	r.ranks = ranks.NewDriver(ranks.DriverSettings{
		Upstream: p.settings.Name, Group: s.Group, Engine: s.RanksEngine, Ranks: s.Ranks, First: s.FirstRank,
		ChecksFencing: s.ChecksFencing, Report: r.reportRanks, Events: p.events,
	})
	p.internal.add(wire.NewRanksServer(r.ranks))
	p.add(r.ranks.Run)
}

// reportRanks sends the ranks' statuses and expert counts to the control replica last known as the leader.
func (r *sidecarRole) reportRanks(ctx context.Context, report *wire.RankStatuses) (*wire.RankInstructions, error) {
	ctx, cancel := context.WithTimeout(ctx, lease.RenewInterval)
	defer cancel()
	p := r.process
	return wire.NewRanksProtobufClient(p.scheme+"://"+p.leader.LeaderAddress(), p.client).Report(ctx, report)
}

// onAnnounced raises the term of the ranks' driver, so that orders of earlier leaders are refused.
func (r *sidecarRole) onAnnounced(reply *wire.AnnounceReply) {
	if r.ranks != nil && reply.Term > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), lease.RenewInterval)
		defer cancel()
		r.ranks.RaiseTerm(ctx, reply.Term)
	}
}

// watchInventory keeps this sidecar's copy of the inventory in force up to date until the context ends. An upstream
// that operators remove from the inventory refuses new work from then on.
func (r *sidecarRole) watchInventory(ctx context.Context) error {
	var holder lease.Holder
	for ctx.Err() == nil {
		sent := time.Now()
		request := holder.Request(r.process.settings.Name, lease.RenewInterval)
		request.InventoryOnly = true
		reply, failure := r.process.leader.Watch(ctx, request)
		if failure != nil || reply.Failure != nil {
			time.Sleep(watchRetryPause)
			continue
		}
		next := holder.WithReply(reply, sent)
		if next.Revision() != holder.Revision() {
			r.applyInventory(next)
		}
		r.server.RequireRevision(next.InForce())
		holder = next
	}
	return nil
}

func (r *sidecarRole) applyInventory(holder lease.Holder) {
	parsed, err := inventory.Parse("inventory", holder.Inventory())
	if err != nil {
		r.process.log.WithError(err).Error("the inventory in force cannot be parsed")
		return
	}
	_, isListed := parsed.Upstream(r.process.settings.Name)
	r.server.SetAdmitting(isListed || parsed.Rules.AdmitUnlisted)
	r.process.events.Add(&wire.Event{Kind: "inventory-in-force", Detail: "revision " + strconv.FormatUint(holder.Revision(), 10)})
}

// newEpoch returns an admission epoch that is greater than those of earlier starts of the sidecar.
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
	died := time.Now()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		ctx, cancel := context.WithTimeout(context.Background(), 10*lease.Duration)
		defer cancel()
		if _, failure := r.process.leader.ReportDeath(ctx, died, report); failure != nil {
			r.process.log.WithError(failure).Error("reporting the engine's death to control failed")
		}
	}()
	select {
	case <-accepted:
	case <-time.After(deathReportWait):
	}
}

// settle stores at control the result of a claimed call whose entry is gone, and reports whether control accepted it.
func (r *sidecarRole) settle(request *wire.SettleRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration)
	defer cancel()
	reply, failure := r.process.leader.Settle(ctx, request)
	return failure == nil && reply.Failure == nil
}

// drain refuses new work at once, announces this to control, waits for the end of all admitted work, ends the membership,
// and refuses what entries sent before they knew.
func (r *sidecarRole) drain(ctx context.Context) {
	done := make(chan error, 1)
	go func() { done <- r.server.Drain(ctx) }()
	announceCtx, cancel := context.WithTimeout(ctx, lease.Duration)
	_, _ = r.process.leader.Announce(announceCtx, &wire.AnnounceRequest{Member: r.member()})
	cancel()
	if err := <-done; err != nil {
		r.process.log.WithError(err).Error("drain")
	}
	r.process.leave(ctx, r.member())
	wait.For(ctx, departureNotice)
}

// SidecarServer returns the server of the sidecar role. The process must have that role.
func (p *Process) SidecarServer() *sidecar.Server { return p.sidecar.server }
