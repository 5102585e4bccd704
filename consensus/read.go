package consensus

// Linearizable reads by read index: the leader records its commit index, has a quorum confirm with a heartbeat
// round that it still leads, and answers once that index is applied. A wrong clock cannot make a read stale, because
// reads depend on no clock.

import "time"

// minRoundInterval is the shortest time between the starts of two heartbeat rounds for reads.
const minRoundInterval = 5 * time.Millisecond

// pendingRead is a read that waits until a quorum has answered the heartbeats of its round.
type pendingRead struct {
	id, index, round uint64
}

// Read requests read indexes: a read of the state machine after that index is applied sees every command that was
// answered before the request. The results are in the effects, with the given IDs.
func (c *Core) Read(now time.Time, ids ...uint64) {
	c.setNow(now)
	switch {
	case c.role != leader:
		for _, id := range ids {
			c.effects.Reads = append(c.effects.Reads, ReadResult{ID: id, IsLost: true})
		}
	case c.settings.Disabled.ReadBarrier:
		c.answerReads(ids)
	case !c.isTermCommitted():
		c.lead.blockedReads = append(c.lead.blockedReads, ids...)
	case c.isOnlyVoter():
		c.answerReads(ids)
	case !c.isRoundDue():
		c.lead.queuedReads = append(c.lead.queuedReads, ids...)
	default:
		c.startReads(ids)
	}
}

// isOnlyVoter reports whether the leader is the only voter, so that it needs no confirmation by others.
func (c *Core) isOnlyVoter() bool {
	return c.members().quorum() == 1 && c.members().isVoter(c.self)
}

func (c *Core) answerReads(ids []uint64) {
	for _, id := range ids {
		c.effects.Reads = append(c.effects.Reads, ReadResult{ID: id, Index: c.commit})
	}
}

func (c *Core) startReads(ids []uint64) {
	c.lead.queuedReads = append(c.lead.queuedReads, ids...)
	c.broadcastHeartbeat()
}

// isRoundDue reports whether a round for reads may start: no reads wait for a round in progress, and
// minRoundInterval has passed since the last start. Under load, many reads share a round.
func (c *Core) isRoundDue() bool {
	return len(c.lead.reads) == 0 && !c.now.Before(c.lead.roundDue)
}

// assignReadsToRound assigns the queued reads to the round that starts.
func (c *Core) assignReadsToRound() {
	for _, id := range c.lead.queuedReads {
		c.lead.reads = append(c.lead.reads, pendingRead{id: id, index: c.commit, round: c.round})
	}
	c.lead.queuedReads = nil
}

// startBlockedReads starts the reads that arrived before an entry of the term was committed.
func (c *Core) startBlockedReads() {
	if len(c.lead.blockedReads) == 0 || !c.isTermCommitted() {
		return
	}
	ids := c.lead.blockedReads
	c.lead.blockedReads = nil
	c.startReads(ids)
}

// confirmReads returns the results of the reads whose round a quorum of voters has answered.
func (c *Core) confirmReads() {
	if len(c.lead.reads) == 0 {
		return
	}
	voters := c.members().voters()
	rounds := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		if voter == c.self {
			rounds = append(rounds, c.round)
		} else if p := c.lead.find(voter); p != nil {
			rounds = append(rounds, p.round)
		}
	}
	confirmed := quorumValue(rounds, c.members().quorum())
	for len(c.lead.reads) > 0 && c.lead.reads[0].round <= confirmed {
		r := c.lead.reads[0]
		c.effects.Reads = append(c.effects.Reads, ReadResult{ID: r.id, Index: r.index})
		c.lead.reads = c.lead.reads[1:]
	}
	c.startQueuedReads()
}

// startQueuedReads starts a round for the queued reads when one is due.
func (c *Core) startQueuedReads() {
	if len(c.lead.queuedReads) > 0 && c.isRoundDue() {
		c.broadcastHeartbeat()
	}
}
