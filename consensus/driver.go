package consensus

// The control goroutine of a node: it passes calls, messages, timeouts and finished I/O to the core as inputs, and
// carries out the effects.

import (
	"errors"
	"sync"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// batchSize bounds the calls or messages that are handled together.
	batchSize = 1024
	// maxPendingBytes bounds the total size of the proposals that are appended and not passed to the applier yet.
	maxPendingBytes = 32 << 20
	// maxLogBytes bounds the size of the log in memory at which a snapshot is taken when the state is large.
	maxLogBytes = 64 << 20
	// maxUnapplied is the largest number of committed entries waiting for the state machine at which proposals are
	// still accepted.
	maxUnapplied = 1 << 16
)

type (
	driver struct {
		node *Node
		core *Core
		// pending holds the proposals that are appended and not passed to the applier yet, by index.
		pending      map[uint64]*proposal
		pendingBytes int
		readCalls    map[uint64]*readCall
		nextRead     uint64
		transfers    []chan error
		snapshots    chan savedSnapshot
		isSaving     bool
		fault        string
		background   sync.WaitGroup
		published    publishedKey
	}

	// savedSnapshot is the result of storing a snapshot.
	savedSnapshot struct {
		index, bytes uint64
		err          error
	}

	// publishedKey holds the values that the published status was built from; the status is published again when
	// one of them changes.
	publishedKey struct {
		term, changed uint64
		role          role
		leader        identity
		joining       int
		group         uint64
		fault         string
	}
)

func newDriver(n *Node, core *Core) *driver {
	return &driver{
		node: n, core: core, pending: map[uint64]*proposal{}, readCalls: map[uint64]*readCall{},
		snapshots: make(chan savedSnapshot, 1),
	}
}

func (d *driver) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for d.wait(timer) {
		d.checkDisk()
		d.flush()
		timer.Reset(time.Until(d.wakeAt()))
	}
	d.shutDown()
}

// wakeAt returns the time of the next timeout of the core, and at the latest that of the next check of the disk.
func (d *driver) wakeAt() time.Time {
	now := time.Now()
	latest := now.Add(d.node.settings.SyncTimeout / 4)
	if due := d.core.Deadline(); d.fault == "" && due.Before(latest) {
		return due
	}
	return latest
}

// wait waits for an event and handles it. It returns false when the node is to stop.
func (d *driver) wait(timer *time.Timer) bool {
	n := d.node
	select {
	case <-n.stop:
		return false
	case m := <-n.inbox:
		d.step(drain(m, n.inbox, batchSize))
	case p := <-n.proposals:
		d.propose(drain(p, n.proposals, batchSize))
	case r := <-n.reads:
		d.read(drain(r, n.reads, batchSize))
	case f := <-n.calls:
		f(d)
	case done := <-n.disk.done:
		d.synced(done)
	case s := <-n.applier.taken:
		d.saveSnapshot(s)
	case s := <-d.snapshots:
		d.snapshotSaved(s)
	case err := <-n.applier.failed:
		d.stepAside("state machine: " + err.Error())
	case <-timer.C:
		d.tick()
	}
	return true
}

func (d *driver) step(messages []*wire.ReplicaMessage) {
	if d.fault != "" {
		return
	}
	now := time.Now()
	for _, m := range messages {
		d.core.Step(now, m)
	}
}

func (d *driver) tick() {
	if d.fault != "" {
		return
	}
	d.core.Tick(time.Now())
}

// checkDisk makes the replica step aside when a write and its sync take longer than the sync timeout.
func (d *driver) checkDisk() {
	if limit := d.node.settings.SyncTimeout; d.node.disk.isSlow(time.Now(), limit) {
		d.stepAside("disk: a sync takes longer than " + limit.String())
	}
}

func (d *driver) propose(proposals []*proposal) {
	taken := proposals[:0]
	var commands [][]byte
	for _, p := range proposals {
		if !p.claim() {
			continue
		}
		if err := d.refusal(p.step); err != nil {
			p.fail(err)
			continue
		}
		d.pendingBytes += len(p.command)
		taken = append(taken, p)
		commands = append(commands, p.command)
	}
	if len(taken) == 0 {
		return
	}
	first, term, isAppended := d.core.Propose(time.Now(), commands)
	for i, p := range taken {
		if !isAppended {
			d.pendingBytes -= len(p.command)
			p.fail(notLeader(p.step, d.node.settings.ID, d.core.leader.ID))
			continue
		}
		p.term = term
		d.pending[first+uint64(i)] = p
	}
}

// refusal returns the error for a proposal that cannot be accepted now, or nil.
func (d *driver) refusal(step string) error {
	if d.fault != "" {
		return refused(step, d.node.settings.ID, roleAside, d.fault)
	}
	if d.pendingBytes > maxPendingBytes {
		return refused(step, d.node.settings.ID, "overloaded", "too many proposals are under way")
	}
	if d.core.delivered > d.node.applier.applied.Load()+maxUnapplied {
		return refused(step, d.node.settings.ID, "overloaded", "the state machine is behind the log")
	}
	return nil
}

func (d *driver) read(calls []*readCall) {
	if d.fault != "" {
		for _, r := range calls {
			r.answer <- refused(stepRead, d.node.settings.ID, roleAside, d.fault)
		}
		return
	}
	ids := make([]uint64, 0, len(calls))
	for _, r := range calls {
		d.nextRead++
		d.readCalls[d.nextRead] = r
		ids = append(ids, d.nextRead)
	}
	d.core.Read(time.Now(), ids...)
}

func (d *driver) change(p *proposal, kind ChangeKind, member Member) {
	if !p.claim() {
		return
	}
	if err := d.refusal(p.step); err != nil {
		p.fail(err)
		return
	}
	index, term, err := d.core.Change(time.Now(), kind, member)
	if err != nil {
		p.fail(d.refusalFor(p.step, err))
		return
	}
	p.term = term
	d.pending[index] = p
}

// refusalFor converts a refusal by the core to the error for the caller.
func (d *driver) refusalFor(step string, err error) error {
	var refusal *ChangeError
	if errors.As(err, &refusal) {
		return refused(step, d.node.settings.ID, refusal.Reason, refusal.Detail)
	}
	return notLeader(step, d.node.settings.ID, d.core.leader.ID)
}

func (d *driver) transfer(id string, done chan error) {
	if d.fault != "" {
		done <- refused(stepTransfer, d.node.settings.ID, roleAside, d.fault)
		return
	}
	if err := d.core.Transfer(time.Now(), id); err != nil {
		done <- d.refusalFor(stepTransfer, err)
		return
	}
	d.transfers = append(d.transfers, done)
}

func (d *driver) synced(done diskDone) {
	if done.err != nil {
		d.stepAside("disk: " + done.err.Error())
		return
	}
	if d.fault != "" {
		return
	}
	if done.isBadSnapshot {
		d.core.InstallFailed()
	}
	d.core.Synced(time.Now(), done.sequence)
}

// stepAside stops the replica's participation in the group until it is opened again: it no longer answers, votes or
// leads. A leader asks another voter to take over at once.
func (d *driver) stepAside(reason string) {
	if d.fault != "" {
		return
	}
	d.core.TransferNow(time.Now())
	for _, m := range d.core.TakeEffects().Messages {
		d.node.settings.Send(m.To, m)
	}
	d.fault = reason
	d.failPending(roleAside)
	d.failReads(refused(stepRead, d.node.settings.ID, roleAside, reason))
}

func (d *driver) failReads(err error) {
	for _, r := range d.readCalls {
		r.answer <- err
	}
	clear(d.readCalls)
}

// shutDown answers all pending calls, publishes the closed status, and waits for the background goroutines.
func (d *driver) shutDown() {
	d.failPending(roleClosed)
	d.failReads(refused(stepRead, d.node.settings.ID, roleClosed, ""))
	d.finishTransfers()
	status := d.core.Status()
	status.Role, status.Leader = roleClosed, ""
	d.node.status.Store(&status)
	d.background.Wait()
}
