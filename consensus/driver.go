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

// flush carries out the core's effects until there are none.
func (d *driver) flush() {
	for isFirst := true; d.fault == "" && (isFirst || d.core.HasMore()); isFirst = false {
		d.carryOut(d.core.Take())
	}
	if d.fault == "" && d.core.fault != "" {
		d.stepAside(d.core.fault)
	}
	d.settleTransfers()
	d.startSnapshot()
	d.node.commit.Store(d.core.commit)
	d.publish()
}

func (d *driver) carryOut(e Effects) {
	for _, m := range e.Messages {
		d.node.settings.Send(m.To, m)
	}
	if e.Write != nil {
		d.node.disk.writes.push(e.Write)
	}
	for _, r := range e.Chunks {
		d.helpers.Go(func() { d.node.sendChunk(r) })
	}
	if e.Restore {
		d.node.applier.items.push(applyItem{isRestore: true})
	}
	if len(e.Committed) > 0 {
		d.handOver(e.Committed)
	}
	for _, r := range e.Reads {
		d.answerRead(r)
	}
	if e.IsLeadershipLost {
		d.failWaiting("leadership-lost")
	}
}

// sendChunk fills a snapshot message from the disk and sends it; what cannot be read is asked for again.
func (n *Node) sendChunk(r ChunkRequest) {
	data, isThere, err := n.storage.ReadChunk(r.Message.Index, r.Message.IndexTerm, r.Offset)
	if err != nil || !isThere {
		return
	}
	r.Message.Chunk.Data = data
	n.settings.Send(r.Message.To, r.Message)
}

func (d *driver) handOver(entries []*wire.LogEntry) {
	item := applyItem{committed: make([]committed, 0, len(entries))}
	for _, e := range entries {
		p := d.waiting[e.Index]
		if p != nil {
			delete(d.waiting, e.Index)
			d.waitingBytes -= len(p.command)
		}
		item.committed = append(item.committed, committed{entry: e, proposal: p})
	}
	d.node.applier.items.push(item)
}

func (d *driver) answerRead(r ReadResult) {
	call := d.readCalls[r.ID]
	delete(d.readCalls, r.ID)
	if r.IsLost {
		call.answer <- notLeader(stepRead, d.node.settings.ID, d.core.leader.ID)
		return
	}
	d.node.applier.items.push(applyItem{read: call})
}

func (d *driver) failWaiting(reason string) {
	for _, p := range d.waiting {
		p.fail(unknown(p.step, d.node.settings.ID, reason))
	}
	clear(d.waiting)
	d.waitingBytes = 0
}

func (d *driver) settleTransfers() {
	if len(d.transfers) == 0 || d.fault == "" && d.core.isTransferring() {
		return
	}
	var err error
	if d.core.role == leader {
		err = refused(stepTransfer, d.node.settings.ID, "timeout", "the other replica did not take over")
	}
	for _, done := range d.transfers {
		done <- err
	}
	d.transfers = nil
}

// startSnapshot asks for a snapshot once the log has outgrown the last one.
func (d *driver) startSnapshot() {
	limit := max(d.node.settings.SnapshotBytes, min(int(d.core.snapshot.Bytes), maxLogBytes))
	if d.fault != "" || d.isSaving || d.core.logBytes() < limit || d.core.IsSendingSnapshot() {
		return
	}
	if d.node.applier.applied.Load() <= d.core.snapshot.Index {
		return
	}
	d.isSaving = true
	d.node.applier.items.push(applyItem{isSnapshot: true})
}

func (d *driver) saveSnapshot(s takenSnapshot) {
	if d.fault != "" || s.index <= d.core.snapshot.Index {
		d.isSaving = false
		return
	}
	info := d.core.SnapshotInfoAt(s.index)
	d.helpers.Go(func() {
		bytes, err := d.node.storage.SaveSnapshot(info, s.state)
		d.snapshots <- savedSnapshot{index: s.index, bytes: bytes, err: err}
	})
}

func (d *driver) snapshotSaved(s savedSnapshot) {
	d.isSaving = false
	switch {
	case s.err != nil:
		d.stepAside("snapshot: " + s.err.Error())
	case d.fault == "":
		d.core.SnapshotSaved(s.index, s.bytes)
	}
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

// publish replaces the status when something in it has changed.
func (d *driver) publish() {
	key := publishedKey{
		term: d.core.term, changed: d.core.history[len(d.core.history)-1].index, role: d.core.role,
		leader: d.core.leader, joining: len(d.core.joining()), group: d.core.group, fault: d.fault,
	}
	if d.node.status.Load() != nil && key == d.published {
		return
	}
	d.published = key
	status := d.core.Status()
	if d.fault != "" {
		status.Role, status.Leader, status.Fault = roleAside, "", d.fault
	}
	d.node.status.Store(&status)
	if d.node.settings.OnChange != nil {
		d.node.settings.OnChange(status)
	}
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
