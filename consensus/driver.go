package consensus

// The control goroutine of a node: it turns calls, messages, time and finished I/O into inputs of the core,
// and carries out the effects.

import (
	"errors"
	"sync"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// batchSize is the most calls or messages that become one input.
	batchSize = 1024
	// maxWaitingBytes bounds the proposals without an answer, in bytes.
	maxWaitingBytes = 32 << 20
	// maxLogBytes bounds the log in memory when the state is large, in bytes.
	maxLogBytes = 64 << 20
	// maxUnapplied is the most committed entries that wait for the state machine while proposals are taken.
	maxUnapplied = 1 << 16
)

type (
	driver struct {
		node *Node
		core *Core
		// waiting holds the proposals that are appended and not handed to the applier, by index.
		waiting      map[uint64]*proposal
		waitingBytes int
		readCalls    map[uint64]*readCall
		nextRead     uint64
		transfers    []chan error
		snapshots    chan savedSnapshot
		isSaving     bool
		fault        string
		helpers      sync.WaitGroup
		published    publishedKey
	}

	savedSnapshot struct {
		index, bytes uint64
		err          error
	}

	// publishedKey tells when the published status is out of date.
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
		node: n, core: core, waiting: map[uint64]*proposal{}, readCalls: map[uint64]*readCall{},
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

func (d *driver) wakeAt() time.Time {
	now := time.Now()
	latest := now.Add(d.node.settings.SlowSync / 4)
	if due := d.core.Deadline(); d.fault == "" && due.Before(latest) {
		return due
	}
	return latest
}

// wait handles one event and returns false when the node is to stop.
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

// checkDisk steps aside when the disk has been at one write for too long.
func (d *driver) checkDisk() {
	if limit := d.node.settings.SlowSync; d.node.disk.isSlow(time.Now(), limit) {
		d.stepAside("disk: a sync takes longer than " + limit.String())
	}
}

func (d *driver) propose(proposals []*proposal) {
	taken := proposals[:0]
	var commands [][]byte
	for _, p := range proposals {
		if !p.take() {
			continue
		}
		if err := d.refusal(p.step); err != nil {
			p.fail(err)
			continue
		}
		d.waitingBytes += len(p.command)
		taken = append(taken, p)
		commands = append(commands, p.command)
	}
	if len(taken) == 0 {
		return
	}
	first, term, isAppended := d.core.Propose(time.Now(), commands)
	for i, p := range taken {
		if !isAppended {
			d.waitingBytes -= len(p.command)
			p.fail(notLeader(p.step, d.node.settings.ID, d.core.leader.ID))
			continue
		}
		p.term = term
		d.waiting[first+uint64(i)] = p
	}
}

// refusal returns why no proposal is taken now, or nil.
func (d *driver) refusal(step string) error {
	if d.fault != "" {
		return refused(step, d.node.settings.ID, roleAside, d.fault)
	}
	if d.waitingBytes > maxWaitingBytes {
		return refused(step, d.node.settings.ID, "overloaded", "too many proposals are under way")
	}
	if d.core.handed > d.node.applier.applied.Load()+maxUnapplied {
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
	if !p.take() {
		return
	}
	if err := d.refusal(p.step); err != nil {
		p.fail(err)
		return
	}
	index, term, err := d.core.Change(time.Now(), kind, member)
	if err != nil {
		p.fail(d.refusedBy(p.step, err))
		return
	}
	p.term = term
	d.waiting[index] = p
}

func (d *driver) refusedBy(step string, err error) error {
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
		done <- d.refusedBy(stepTransfer, err)
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

// stepAside ends the replica's part in the group until it is opened again: it no longer answers, votes or
// leads. The others are told to take over at once.
func (d *driver) stepAside(reason string) {
	if d.fault != "" {
		return
	}
	d.core.Abandon(time.Now())
	for _, m := range d.core.Take().Messages {
		d.node.settings.Send(m.To, m)
	}
	d.fault = reason
	d.failWaiting(roleAside)
	d.failReads(refused(stepRead, d.node.settings.ID, roleAside, reason))
}

func (d *driver) failReads(err error) {
	for _, r := range d.readCalls {
		r.answer <- err
	}
	clear(d.readCalls)
}

// shutDown answers all who still wait and closes the files.
func (d *driver) shutDown() {
	d.failWaiting(roleClosed)
	d.failReads(refused(stepRead, d.node.settings.ID, roleClosed, ""))
	d.settleTransfers()
	status := d.core.Status()
	status.Role, status.Leader = roleClosed, ""
	d.node.status.Store(&status)
	d.helpers.Wait()
}
