package consensus

// Carries out the core's effects: sends messages, passes writes to the disk writer and committed entries to the
// applier, answers callers, and publishes the status.

import "guavahitch.example/guavahitch/wire"

// flush carries out the core's effects until no committed entries are left, and then the work that follows from
// them.
func (d *driver) flush() {
	for isFirst := true; d.fault == "" && (isFirst || d.core.HasMore()); isFirst = false {
		d.execute(d.core.TakeEffects())
	}
	if d.fault == "" && d.core.fault != "" {
		d.stepAside(d.core.fault)
	}
	d.finishTransfers()
	d.requestSnapshot()
	d.node.commit.Store(d.core.commit)
	d.publishClock()
	d.publish()
}

// publishClock publishes the clock of the core when it has been set or moved.
func (d *driver) publishClock() {
	clock := d.core.clock
	if held := d.node.clock.Load(); !clock.at.IsZero() && (held == nil || *held != clock) {
		d.node.clock.Store(&clock)
	}
}

func (d *driver) execute(e Effects) {
	for _, m := range e.Messages {
		d.node.settings.Send(m.To, m)
	}
	if e.Write != nil {
		d.node.disk.writes.push(e.Write)
	}
	for _, r := range e.Chunks {
		d.background.Go(func() { d.node.sendChunk(r) })
	}
	if e.Restore {
		d.node.applier.items.push(applyItem{isRestore: true})
	}
	if len(e.Committed) > 0 {
		d.applyCommitted(e.Committed)
	}
	for _, r := range e.Reads {
		d.answerRead(r)
	}
	if e.IsLeadershipLost {
		d.failPending("leadership-lost")
	}
}

// sendChunk reads a chunk of the snapshot into its message and sends it. A chunk that cannot be read is not sent;
// the leader repeats it later.
func (n *Node) sendChunk(r ChunkRequest) {
	data, isThere, err := n.storage.ReadChunk(r.Message.Index, r.Message.IndexTerm, r.Offset)
	if err != nil || !isThere {
		return
	}
	r.Message.Chunk.Data = data
	n.settings.Send(r.Message.To, r.Message)
}

// applyCommitted passes committed entries, with the proposals that wait for them, to the applier.
func (d *driver) applyCommitted(entries []*wire.LogEntry) {
	item := applyItem{committed: make([]committed, 0, len(entries))}
	for _, e := range entries {
		p := d.pending[e.Index]
		if p != nil {
			delete(d.pending, e.Index)
			d.pendingBytes -= len(p.command)
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

// failPending ends the pending proposals with an unknown outcome.
func (d *driver) failPending(reason string) {
	for _, p := range d.pending {
		p.fail(unknown(p.step, d.node.settings.ID, reason))
	}
	clear(d.pending)
	d.pendingBytes = 0
}

// finishTransfers answers the callers of TransferLeadership once no transfer is in progress.
func (d *driver) finishTransfers() {
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

// requestSnapshot requests a snapshot once the log has reached SnapshotBytes and the size of the last snapshot, which
// counts up to maxLogBytes. It waits while another snapshot is taken, stored or sent.
func (d *driver) requestSnapshot() {
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

// saveSnapshot stores a snapshot in the background, unless a newer one is stored already.
func (d *driver) saveSnapshot(s takenSnapshot) {
	if d.fault != "" || s.index <= d.core.snapshot.Index {
		d.isSaving = false
		return
	}
	info := d.core.SnapshotInfoAt(s.index)
	d.background.Go(func() {
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

// publish replaces the published status when one of the values in publishedKey has changed.
func (d *driver) publish() {
	key := publishedKey{
		term: d.core.term, changed: d.core.memberships[len(d.core.memberships)-1].index, role: d.core.role,
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
	if d.node.settings.OnStatusChange != nil {
		d.node.settings.OnStatusChange(status)
	}
}
