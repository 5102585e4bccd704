package consensus

// The follower's side of replication. An append is answered once its entries are synced. Entries up to the
// commit index are never changed.

import "guavahitch.example/guavahitch/wire"

// acceptLeader records the sender as leader of the current term and restarts the election timeout.
func (c *Core) acceptLeader(m *wire.ReplicaMessage) {
	if c.role != follower {
		c.becomeFollower(c.term)
	}
	c.leader, c.lastLeaderContact = sender(m), c.now
	c.resetElectionTimeout()
}

func (c *Core) handleHeartbeat(m *wire.ReplicaMessage) {
	c.acceptLeader(m)
	c.clock.set(m.TimeMs, c.now)
	c.commitTo(m.Commit)
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_HEARTBEAT_REPLY, Term: c.term, Round: m.Round,
	}, sender(m), c.durability.stateWrite)
}

func (c *Core) handleAppend(m *wire.ReplicaMessage) {
	c.acceptLeader(m)
	if c.receiving.isInstalling || !isConsecutive(m) {
		return
	}
	previous, entries := m.Index, m.Entries
	if previous < c.commit {
		previous, entries = c.commit, entries[min(c.commit-previous, uint64(len(entries))):]
	} else if term, isKnown := c.log.term(previous); !isKnown || term != m.IndexTerm {
		c.rejectAppend(m)
		return
	}
	c.acceptEntries(entries)
	last := max(m.Index+uint64(len(m.Entries)), previous)
	c.commitTo(min(m.Commit, last))
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_APPEND_REPLY, Term: c.term, Index: last,
	}, sender(m), max(c.durability.entryWrite, c.durability.stateWrite))
}

// acceptEntries appends the entries that the log does not hold, and truncates the log at the first conflict.
func (c *Core) acceptEntries(entries []*wire.LogEntry) {
	for i, e := range entries {
		if term, isKnown := c.log.term(e.Index); !isKnown || term != e.Term {
			c.appendEntries(entries[i:])
			return
		}
	}
}

// rejectAppend rejects an append and sends the leader a hint: the last index at which the logs may match. The hint
// skips the uncommitted entries of the conflicting term.
func (c *Core) rejectAppend(m *wire.ReplicaMessage) {
	hint := c.log.last()
	if conflict, isKnown := c.log.term(m.Index); isKnown {
		hint = m.Index
		for hint > c.commit {
			if term, _ := c.log.term(hint); term != conflict {
				break
			}
			hint--
		}
	}
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_APPEND_REPLY, Term: c.term, Reject: true, Index: m.Index,
		Hint: max(hint, c.commit),
	}, sender(m), c.durability.stateWrite)
}

func (c *Core) commitTo(index uint64) {
	c.commit = max(c.commit, min(index, c.log.last()))
}

// isConsecutive reports whether the entries of an append have consecutive indexes after its previous index.
func isConsecutive(m *wire.ReplicaMessage) bool {
	for i, e := range m.Entries {
		if e == nil || e.Index != m.Index+uint64(i)+1 {
			return false
		}
	}
	return true
}
