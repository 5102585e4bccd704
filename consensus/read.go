package consensus

// Linearizable reads by read index: the leader notes its commit index, has a quorum confirm by a heartbeat
// that it still leads, and answers once that index is applied. No clock is trusted.

import "time"

// roundSpacing is the least time between two rounds for reads.
const roundSpacing = 5 * time.Millisecond

// pendingRead waits for a quorum to answer a heartbeat of its round.
type pendingRead struct {
	id, index, round uint64
}

// Read asks from which applied index on a read sees all that was answered before. The result comes with
// the effects, under the given id.
func (c *Core) Read(now time.Time, ids ...uint64) {
	c.setNow(now)
	switch {
	case c.role != leader:
		for _, id := range ids {
			c.effects.Reads = append(c.effects.Reads, ReadResult{ID: id, IsLost: true})
		}
	case c.settings.Without.ReadBarrier:
		c.answerReads(ids)
	case !c.isTermCommitted():
		c.lead.early = append(c.lead.early, ids...)
	case c.isAlone():
		c.answerReads(ids)
	case !c.isRoundDue():
		c.lead.later = append(c.lead.later, ids...)
	default:
		c.startReads(ids)
	}
}

// isAlone reports whether the leader is the only voter, so that nobody needs to confirm that it leads.
func (c *Core) isAlone() bool {
	return c.members().quorum() == 1 && c.members().isVoter(c.self)
}

func (c *Core) answerReads(ids []uint64) {
	for _, id := range ids {
		c.effects.Reads = append(c.effects.Reads, ReadResult{ID: id, Index: c.commit})
	}
}

func (c *Core) startReads(ids []uint64) {
	c.lead.later = append(c.lead.later, ids...)
	c.beat()
}

// isRoundDue reports whether a round may begin for reads: none is under way, and the last one began long
// enough ago. Under load, many reads share a round.
func (c *Core) isRoundDue() bool {
	return len(c.lead.reads) == 0 && !c.now.Before(c.lead.roundDue)
}

// joinRound binds the reads that wait to the round that begins.
func (c *Core) joinRound() {
	for _, id := range c.lead.later {
		c.lead.reads = append(c.lead.reads, pendingRead{id: id, index: c.commit, round: c.round})
	}
	c.lead.later = nil
}

// startEarlyReads takes up the reads that came before an entry of the term was committed.
func (c *Core) startEarlyReads() {
	if len(c.lead.early) == 0 || !c.isTermCommitted() {
		return
	}
	ids := c.lead.early
	c.lead.early = nil
	c.startReads(ids)
}

// confirmReads answers the reads whose round a quorum of voters has answered.
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
	c.startLaterReads()
}

// startLaterReads begins a round for the reads that wait for one, when it is due.
func (c *Core) startLaterReads() {
	if len(c.lead.later) > 0 && c.isRoundDue() {
		c.beat()
	}
}
