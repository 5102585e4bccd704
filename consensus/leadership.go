package consensus

// The leader's side of the protocol: heartbeats, check quorum, proposals and commits. Replication to each follower
// is in progress.go.

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// maxAppendBytes bounds the size of the entries' data in one append message. A larger entry is sent alone.
	maxAppendBytes = 512 << 10
	// maxInflight bounds the append messages to one follower that are not acknowledged yet.
	maxInflight = 32
	// retransmitHeartbeats is the number of heartbeat intervals without progress after which an append or a
	// snapshot chunk is sent again.
	retransmitHeartbeats = 3
)

// leadership is the state of a leader in one term.
type leadership struct {
	heartbeatDue time.Time
	followers    []*progress
	// noop is the index of the entry that starts the term. Until it is committed, the leader does not know which
	// entries of earlier terms are committed.
	noop uint64
	// reads wait for replies to the current heartbeat round, queuedReads for the next round, and blockedReads
	// for the first commit of the term. roundDue is the earliest time of the next round for reads.
	reads        []pendingRead
	queuedReads  []uint64
	roundDue     time.Time
	blockedReads []uint64
	transfer     transfer
	joining      []joiner
}

func (c *Core) becomeLeader() {
	c.role, c.leader = leader, c.self
	c.lead = &leadership{heartbeatDue: c.now, noop: c.log.last() + 1}
	c.syncFollowers()
	c.appendAsLeader(wire.EntryKind_ENTRY_KIND_NOOP, nil)
	c.broadcastHeartbeat()
}

func (c *Core) endLeadership() {
	for _, r := range c.lead.reads {
		c.effects.Reads = append(c.effects.Reads, ReadResult{ID: r.id, IsLost: true})
	}
	for _, id := range slices.Concat(c.lead.queuedReads, c.lead.blockedReads) {
		c.effects.Reads = append(c.effects.Reads, ReadResult{ID: id, IsLost: true})
	}
	c.effects.IsLeadershipLost = true
	c.lead = nil
}

func (c *Core) tickLeader() {
	c.startQueuedReads()
	if c.now.Before(c.lead.heartbeatDue) {
		return
	}
	if !c.settings.Disabled.CheckQuorum && !c.hasActiveQuorum() {
		c.becomeFollower(c.term)
		return
	}
	c.tickTransfer()
	c.broadcastHeartbeat()
	c.tickReplacement()
}

// hasActiveQuorum reports whether a quorum of voters, including this replica, is active.
func (c *Core) hasActiveQuorum() bool {
	return c.countActive(c.members()) >= c.members().quorum()
}

// countActive returns the number of active voters of a membership, including this replica.
func (c *Core) countActive(members membership) int {
	count := 0
	for _, voter := range members.voters() {
		if voter == c.self || c.isActive(voter) {
			count++
		}
	}
	return count
}

// isActive reports whether the follower has replied, or the leader has started to track it, within the last election
// timeout.
func (c *Core) isActive(id identity) bool {
	p := c.lead.find(id)
	return p != nil && c.now.Before(p.lastContact.Add(c.settings.ElectionTimeout))
}

// broadcastHeartbeat starts a heartbeat round: it sends a heartbeat to every follower, and the replies confirm the
// reads that were queued for the round.
func (c *Core) broadcastHeartbeat() {
	c.lead.heartbeatDue = c.now.Add(c.settings.Heartbeat)
	c.round++
	c.lead.roundDue = c.now.Add(minRoundInterval)
	c.assignReadsToRound()
	timeMs := c.logTimeMs()
	for _, p := range c.lead.followers {
		c.send(&wire.ReplicaMessage{
			Kind: wire.ReplicaKind_REPLICA_KIND_HEARTBEAT, Term: c.term, Round: c.round,
			Commit: min(c.commit, p.match), TimeMs: timeMs,
		}, p.id, c.durability.stateWrite)
	}
	if c.isOnlyVoter() {
		c.confirmReads()
	}
}

// Propose appends commands to the log of a leader. It returns the index of the first entry and the term, or
// false when the replica does not lead or is transferring its leadership.
func (c *Core) Propose(now time.Time, commands [][]byte) (first, term uint64, isAppended bool) {
	c.setNow(now)
	if c.role != leader || c.lead.transfer.isActive {
		return 0, 0, false
	}
	first = c.log.last() + 1
	c.appendAsLeader(wire.EntryKind_ENTRY_KIND_COMMAND, commands...)
	return first, c.term, true
}

// appendAsLeader appends one entry for each element of data, and sends the entries to the followers while they
// are being synced here.
func (c *Core) appendAsLeader(kind wire.EntryKind, data ...[]byte) {
	timeMs := c.logTimeMs()
	if kind == wire.EntryKind_ENTRY_KIND_NOOP {
		data = [][]byte{nil}
	}
	entries := make([]*wire.LogEntry, 0, len(data))
	for i, d := range data {
		entries = append(entries, &wire.LogEntry{
			Index: c.log.last() + 1 + uint64(i), Term: c.term, Kind: kind, TimeMs: timeMs, Data: d,
		})
	}
	c.appendEntries(entries)
	if kind == wire.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.syncFollowers()
	}
	for _, p := range c.lead.followers {
		c.sendAppends(p)
	}
}

// advanceCommit moves the commit index to the last entry that a quorum of voters has synced, if that entry is of
// the leader's own term. A leader that a committed membership no longer lists as voter steps down.
func (c *Core) advanceCommit() {
	voters := c.members().voters()
	matches := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		matches = append(matches, c.matchIndex(voter))
	}
	index := quorumValue(matches, c.members().quorum())
	if term, isKnown := c.log.term(index); index <= c.commit || !isKnown || term != c.term {
		return
	}
	c.commit = index
	c.startBlockedReads()
	if c.memberships[len(c.memberships)-1].index <= c.commit && !c.members().isVoter(c.self) {
		c.becomeFollower(c.term)
		return
	}
	c.tryTransfer()
}

// matchIndex returns the last entry that the voter is known to have synced.
func (c *Core) matchIndex(id identity) uint64 {
	if id == c.self {
		if c.settings.Disabled.SyncGate {
			return c.log.last()
		}
		return c.durability.syncedIndex
	}
	if p := c.lead.find(id); p != nil {
		return p.match
	}
	return 0
}

// quorumValue returns the largest value that at least a quorum of the values reaches.
func quorumValue(values []uint64, quorum int) uint64 {
	best := uint64(0)
	for _, v := range values {
		reached := 0
		for _, other := range values {
			if other >= v {
				reached++
			}
		}
		if reached >= quorum {
			best = max(best, v)
		}
	}
	return best
}

// isTermCommitted reports whether an entry of the leader's own term is committed, so that its commit index
// covers every command that earlier leaders answered.
func (c *Core) isTermCommitted() bool { return c.commit >= c.lead.noop }
