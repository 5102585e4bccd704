package consensus

// What a replica does and holds while it leads: heartbeats, the quorum check, and the proposals that become
// entries. Replication to each follower stands in progress.go.

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// appendBytes bounds the commands of one append message, in bytes.
	appendBytes = 512 << 10
	// maxInflight is the most append messages to one follower without an answer.
	maxInflight = 32
	// retransmitHeartbeats is the number of heartbeats without progress after which an append is repeated.
	retransmitHeartbeats = 3
)

// leadership is the state of a leader, for one term.
type leadership struct {
	heartbeatDue time.Time
	followers    []*progress
	// noop is the entry that opened the term: nothing of earlier terms is known to be committed before it.
	noop uint64
	// Reads wait for a round under way, for the next one, or for the first commit of the term.
	reads    []pendingRead
	later    []uint64
	roundDue time.Time
	early    []uint64
	transfer transfer
	joining  []joiner
}

func (c *Core) becomeLeader() {
	c.role, c.leader = leader, c.self
	c.lead = &leadership{heartbeatDue: c.now, noop: c.log.last() + 1}
	c.syncFollowers()
	c.appendAsLeader(wire.EntryKind_ENTRY_KIND_NOOP, nil)
	c.beat()
}

func (c *Core) endLeadership() {
	for _, r := range c.lead.reads {
		c.effects.Reads = append(c.effects.Reads, ReadResult{ID: r.id, IsLost: true})
	}
	for _, id := range slices.Concat(c.lead.later, c.lead.early) {
		c.effects.Reads = append(c.effects.Reads, ReadResult{ID: id, IsLost: true})
	}
	c.effects.IsLeadershipLost = true
	c.lead = nil
}

func (c *Core) tickLeader() {
	c.startLaterReads()
	if c.now.Before(c.lead.heartbeatDue) {
		return
	}
	if !c.settings.Without.CheckQuorum && !c.hearsQuorum() {
		c.becomeFollower(c.term)
		return
	}
	c.tickTransfer()
	c.beat()
	c.tickReplacing()
}

// hearsQuorum reports whether a quorum of voters was heard from within the election timeout.
func (c *Core) hearsQuorum() bool {
	return c.heard(c.members()) >= c.members().quorum()
}

// heard counts the voters of a membership that were heard from within the election timeout.
func (c *Core) heard(members membership) int {
	count := 0
	for _, voter := range members.voters() {
		if voter == c.self || c.isHeard(voter) {
			count++
		}
	}
	return count
}

func (c *Core) isHeard(id identity) bool {
	p := c.lead.find(id)
	return p != nil && c.now.Before(p.heard.Add(c.settings.ElectionTimeout))
}

// beat sends a heartbeat to every follower. Its round confirms the reads that waited for one.
func (c *Core) beat() {
	c.lead.heartbeatDue = c.now.Add(c.settings.Heartbeat)
	c.round++
	c.lead.roundDue = c.now.Add(roundSpacing)
	c.joinRound()
	timeMs := c.logTimeMs()
	for _, p := range c.lead.followers {
		c.send(&wire.ReplicaMessage{
			Kind: wire.ReplicaKind_REPLICA_KIND_HEARTBEAT, Term: c.term, Round: c.round,
			Commit: min(c.commit, p.match), TimeMs: timeMs,
		}, p.id, c.durability.stateGate)
	}
	if c.isAlone() {
		c.confirmReads()
	}
}

// Propose appends commands to the log of a leader. It returns the index of the first one and the term, or
// false when the replica does not lead or is handing leadership over.
func (c *Core) Propose(now time.Time, commands [][]byte) (first, term uint64, isAppended bool) {
	c.setNow(now)
	if c.role != leader || c.lead.transfer.isActive {
		return 0, 0, false
	}
	first = c.log.last() + 1
	c.appendAsLeader(wire.EntryKind_ENTRY_KIND_COMMAND, commands...)
	return first, c.term, true
}

// appendAsLeader appends one entry for each piece of data and sends it on while it is being synced here.
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

// advanceCommit commits what a quorum of voters has synced, if it is of the leader's own term.
func (c *Core) advanceCommit() {
	voters := c.members().voters()
	matches := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		matches = append(matches, c.matchOf(voter))
	}
	index := quorumValue(matches, c.members().quorum())
	if term, isKnown := c.log.term(index); index <= c.commit || !isKnown || term != c.term {
		return
	}
	c.commit = index
	c.startEarlyReads()
	if c.history[len(c.history)-1].index <= c.commit && !c.members().isVoter(c.self) {
		c.becomeFollower(c.term)
		return
	}
	c.tryTransfer()
}

func (c *Core) matchOf(id identity) uint64 {
	if id == c.self {
		if c.settings.Without.SyncGate {
			return c.log.last()
		}
		return c.durability.index
	}
	if p := c.lead.find(id); p != nil {
		return p.match
	}
	return 0
}

// quorumValue returns the largest value that at least a quorum of the values reach.
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
// covers everything that earlier leaders answered.
func (c *Core) isTermCommitted() bool { return c.commit >= c.lead.noop }
