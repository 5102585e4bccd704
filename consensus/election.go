package consensus

// Elections. A replica that has lost contact with its leader first asks the voters whether they would elect it
// (pre-vote). Without this, a replica that was partitioned would depose the leader with its higher term when it
// returns. Voters that are in contact with a leader refuse a pre-vote.

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

// startTimeoutDivisor sets the shortest time from the start of a replica to its first election: the election
// timeout divided by it.
const startTimeoutDivisor = 4

// hasLeader reports whether the replica leads or had contact from a leader within the election timeout.
func (c *Core) hasLeader() bool {
	if c.role == leader {
		return true
	}
	return c.leader != identity{} && c.now.Before(c.lastLeaderContact.Add(c.settings.ElectionTimeout))
}

// canCampaign reports whether the replica may become leader: it is a voter and is not installing a snapshot.
func (c *Core) canCampaign() bool {
	return c.members().isVoter(c.self) && !c.receiving.isInstalling
}

// scheduleFirstElection sets a short first election timeout for a replica that has just started. After all
// replicas have stopped at once there is no leader to wait for; when there is one, the voters in contact with it
// refuse the pre-vote.
func (c *Core) scheduleFirstElection() {
	spread := time.Duration(c.random.Int64N(int64(c.settings.ElectionTimeout / 2)))
	c.electionDue = c.now.Add(c.settings.ElectionTimeout/startTimeoutDivisor + spread)
}

func (c *Core) resetElectionTimeout() {
	spread := time.Duration(c.random.Int64N(int64(c.settings.ElectionTimeout)))
	c.electionDue = c.now.Add(c.settings.ElectionTimeout + spread)
}

// becomeFollower ends a leadership or candidacy and moves the replica to the given term. In a newer term the
// replica has not voted yet.
func (c *Core) becomeFollower(term uint64) {
	if term > c.term {
		c.term, c.vote = term, identity{}
		c.saveState()
	}
	if c.role == leader {
		c.endLeadership()
	}
	c.role, c.leader = follower, identity{}
	c.resetElectionTimeout()
}

func (c *Core) startPreVote() {
	if c.settings.Disabled.PreVote {
		c.campaign(false)
		return
	}
	c.role, c.leader = preCandidate, identity{}
	c.votes = map[identity]bool{c.self: true}
	if c.hasWon() {
		c.campaign(false)
		return
	}
	c.requestVotes(wire.ReplicaKind_REPLICA_KIND_PRE_VOTE, c.term+1, false, 0)
}

// campaign starts a new term and requests votes in it. The replica's own vote counts once it is synced.
func (c *Core) campaign(isTransfer bool) {
	c.term++
	c.role, c.leader, c.vote = candidate, identity{}, c.self
	c.votes = map[identity]bool{}
	c.saveState()
	c.resetElectionTimeout()
	afterWrite := c.durability.stateWrite
	c.send(&wire.ReplicaMessage{Kind: wire.ReplicaKind_REPLICA_KIND_VOTE_REPLY, Term: c.term}, c.self, afterWrite)
	c.requestVotes(wire.ReplicaKind_REPLICA_KIND_VOTE, c.term, isTransfer, afterWrite)
}

func (c *Core) requestVotes(kind wire.ReplicaKind, term uint64, isTransfer bool, afterWrite uint64) {
	for _, voter := range c.members().voters() {
		if voter == c.self {
			continue
		}
		c.send(&wire.ReplicaMessage{
			Kind: kind, Term: term, Index: c.log.last(), IndexTerm: c.log.lastTerm(), Transfer: isTransfer,
		}, voter, afterWrite)
	}
}

func (c *Core) handleVote(m *wire.ReplicaMessage) {
	isPreVote := m.Kind == wire.ReplicaKind_REPLICA_KIND_PRE_VOTE
	isGranted := c.isUpToDate(m) && !c.receiving.isInstalling
	if isPreVote {
		isGranted = isGranted && m.Term > c.term && !c.hasLeader()
	} else {
		isGranted = isGranted && (c.vote == identity{} || c.vote == sender(m))
	}
	reply := &wire.ReplicaMessage{Kind: m.Kind + 1, Term: m.Term, Reject: !isGranted}
	if !isGranted {
		reply.Term = c.term
	}
	if isGranted && !isPreVote {
		if (c.vote == identity{}) {
			c.vote = sender(m)
			c.saveState()
		}
		c.role = follower
		c.resetElectionTimeout()
	}
	c.send(reply, sender(m), c.durability.stateWrite)
}

// isUpToDate reports whether the candidate's log is at least as up to date as this replica's log, so that it
// holds every entry that this replica may have helped to commit.
func (c *Core) isUpToDate(m *wire.ReplicaMessage) bool {
	if m.IndexTerm != c.log.lastTerm() {
		return m.IndexTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) handleVoteReply(m *wire.ReplicaMessage) {
	isPreVote := m.Kind == wire.ReplicaKind_REPLICA_KIND_PRE_VOTE_REPLY
	if m.Reject {
		return
	}
	if isPreVote && (c.role != preCandidate || m.Term != c.term+1) {
		return
	}
	if !isPreVote && c.role != candidate {
		return
	}
	c.votes[sender(m)] = true
	if !c.hasWon() {
		return
	}
	if isPreVote {
		c.campaign(false)
	} else {
		c.becomeLeader()
	}
}

// hasWon reports whether a quorum granted its votes. Only current voters count, not older incarnations.
func (c *Core) hasWon() bool {
	granted := 0
	for _, voter := range c.members().voters() {
		if c.votes[voter] {
			granted++
		}
	}
	return granted >= c.members().quorum()
}

// handleTimeoutNow starts an election at once, because the leader transfers its leadership to this replica.
func (c *Core) handleTimeoutNow(m *wire.ReplicaMessage) {
	if c.role == leader || !c.canCampaign() || sender(m) != c.leader {
		return
	}
	c.campaign(true)
}
