package consensus

// Catching up by snapshot. The leader sends its stored snapshot file in chunks, one at a time. The follower stores
// them, checks the whole file, and replaces its log with it.

import "guavahitch.example/guavahitch/wire"

// ChunkBytes is the size of a chunk of a snapshot, in bytes.
const ChunkBytes = 512 << 10

// receiving is the state of a follower that receives a snapshot.
type receiving struct {
	info   SnapshotInfo
	offset uint64
	// isInstalling is set while the last chunk is being written; sequence is the number of that write, and leader
	// is the sender, which gets the acknowledgement.
	isInstalling bool
	sequence     uint64
	leader       identity
}

// SnapshotSaved tells the core that a snapshot of the applied state up to the index is stored, and compacts the log
// up to it. Bytes is the length of the snapshot file.
func (c *Core) SnapshotSaved(index, bytes uint64) {
	if index <= c.snapshot.Index {
		return
	}
	c.snapshot = c.SnapshotInfoAt(index)
	c.snapshot.Bytes = bytes
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = c.memberships[1:]
	}
	c.compact()
}

// SnapshotInfoAt returns the description of a snapshot of the applied state up to an index that the log still holds.
func (c *Core) SnapshotInfoAt(index uint64) SnapshotInfo {
	term, _ := c.log.term(index)
	info := SnapshotInfo{Index: index, Term: term, members: c.membersAt(index)}
	if index > c.log.base {
		info.TimeMs = c.log.entries[index-c.log.base-1].TimeMs
	}
	return info
}

// compact drops entries that the snapshot covers. It keeps the last RetainedBytes of them, so that followers a
// little behind do not need the whole snapshot.
func (c *Core) compact() {
	index, retained := c.snapshot.Index, 0
	for index > c.log.base {
		size := entrySize(c.log.entries[index-c.log.base-1])
		if retained+size > c.settings.RetainedBytes {
			break
		}
		retained += size
		index--
	}
	c.log.compact(index)
	c.retainedBytes = retained
	c.write.Compact = max(c.write.Compact, index)
}

// IsSendingSnapshot reports whether this leader is sending the stored snapshot to a follower, so that the snapshot
// should not be replaced yet.
func (c *Core) IsSendingSnapshot() bool {
	if c.role != leader {
		return false
	}
	for _, p := range c.lead.followers {
		if p.state == snapshotting && c.now.Sub(p.lastProgress) < snapshotStallTimeouts*c.settings.ElectionTimeout {
			return true
		}
	}
	return false
}

// snapshotStallTimeouts is the number of election timeouts without progress after which a snapshot that is being
// sent no longer delays the next snapshot.
const snapshotStallTimeouts = 10

// startSnapshot starts to send the stored snapshot to a follower. Without a snapshot, or while the follower is
// inactive, the next heartbeat reply tries again.
func (c *Core) startSnapshot(p *progress) {
	if !c.isActive(p.id) || c.snapshot.Index == 0 {
		p.state, p.isWaiting = probing, true
		return
	}
	p.state, p.inflight = snapshotting, nil
	p.snapshotIndex, p.offset = c.snapshot.Index, 0
	p.lastProgress = c.now
	c.sendChunk(p)
}

// resumeSnapshot repeats a chunk that had no reply, and starts from the beginning when the snapshot was replaced.
func (c *Core) resumeSnapshot(p *progress, isStuck bool) {
	if p.snapshotIndex != c.snapshot.Index {
		c.startSnapshot(p)
		return
	}
	if isStuck {
		c.sendChunk(p)
	}
}

func (c *Core) sendChunk(p *progress) {
	m := &wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_SNAPSHOT, Term: c.term, Index: c.snapshot.Index,
		IndexTerm: c.snapshot.Term, From: c.self.ID, FromIncarnation: c.self.Incarnation,
		To: p.id.ID, ToIncarnation: p.id.Incarnation, Group: c.group,
		Chunk: &wire.SnapshotChunk{
			Offset: p.offset, Total: c.snapshot.Bytes, Membership: c.snapshot.members.wire(),
			TimeMs: c.snapshot.TimeMs,
		},
	}
	c.effects.Chunks = append(c.effects.Chunks, ChunkRequest{Message: m, Offset: p.offset})
}

func (c *Core) handleSnapshotReply(m *wire.ReplicaMessage) {
	if c.role != leader {
		return
	}
	p := c.lead.find(sender(m))
	if p == nil {
		return
	}
	p.lastContact = c.now
	if p.state != snapshotting || m.Index != p.snapshotIndex || p.snapshotIndex != c.snapshot.Index {
		return
	}
	if m.Chunk.GetOffset() >= c.snapshot.Bytes {
		return
	}
	p.offset, p.lastProgress = m.Chunk.GetOffset(), c.now
	c.sendChunk(p)
}

func (c *Core) handleSnapshot(m *wire.ReplicaMessage) {
	c.acceptLeader(m)
	if c.receiving.isInstalling || m.Chunk == nil {
		return
	}
	if term, isKnown := c.log.term(m.Index); m.Index <= c.commit || isKnown && term == m.IndexTerm {
		c.commitTo(m.Index)
		c.acknowledge(m, max(m.Index, c.commit))
		return
	}
	if c.receiving.info.Index != m.Index || c.receiving.info.Term != m.IndexTerm {
		c.receiving = receiving{info: SnapshotInfo{
			Index: m.Index, Term: m.IndexTerm, TimeMs: m.Chunk.TimeMs, Bytes: m.Chunk.Total,
			members: membershipOf(m.Chunk.Membership),
		}}
	}
	if m.Chunk.Offset == c.receiving.offset && len(m.Chunk.Data) > 0 {
		c.storeChunk(m)
	}
	if c.receiving.isInstalling {
		return
	}
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_SNAPSHOT_REPLY, Term: c.term, Index: m.Index,
		Chunk: &wire.SnapshotChunk{Offset: c.receiving.offset},
	}, sender(m), c.durability.stateWrite)
}

func (c *Core) acknowledge(m *wire.ReplicaMessage, index uint64) {
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_APPEND_REPLY, Term: c.term, Index: index,
	}, sender(m), max(c.durability.entryWrite, c.durability.stateWrite))
}

// storeChunk adds a received chunk to the next write, and starts the installation with the last one.
func (c *Core) storeChunk(m *wire.ReplicaMessage) {
	chunk := ChunkWrite{Index: m.Index, Term: m.IndexTerm, Offset: m.Chunk.Offset, Data: m.Chunk.Data}
	c.receiving.offset += uint64(len(m.Chunk.Data))
	chunk.IsLast = c.receiving.offset >= m.Chunk.Total
	c.write.Chunks = append(c.write.Chunks, chunk)
	if !chunk.IsLast {
		return
	}
	c.receiving.isInstalling, c.receiving.sequence = true, c.durability.next
	c.receiving.leader = sender(m)
}

// InstallFailed tells the core that the received snapshot did not pass its check; the leader will send it again.
func (c *Core) InstallFailed() { c.receiving = receiving{} }

// finishInstall replaces the log with the received snapshot, once that is stored, and acknowledges it.
func (c *Core) finishInstall() {
	c.snapshot = c.receiving.info
	to := c.receiving.leader
	c.receiving = receiving{}
	c.log.reset(c.snapshot.Index, c.snapshot.Term)
	c.retainedBytes = 0
	c.lastTimeMs = max(c.lastTimeMs, c.snapshot.TimeMs)
	c.memberships = []membershipAt{{index: c.snapshot.Index, members: c.snapshot.members}}
	c.commit, c.delivered = c.snapshot.Index, c.snapshot.Index
	c.durability.unsynced, c.durability.syncedIndex = nil, c.snapshot.Index
	c.effects.Restore = true
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_APPEND_REPLY, Term: c.term, Index: c.commit,
	}, to, c.durability.stateWrite)
}
