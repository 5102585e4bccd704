package consensus

// The protocol state of one replica, its inputs and its effects. Elections, replication, snapshots, membership
// and reads are in files of their own.

import (
	"math/rand/v2"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

type (
	role int

	// CoreSettings configure a Core.
	CoreSettings struct {
		ID      string
		Address string
		// InitialMembers are as Settings.Members.
		InitialMembers  []Member
		Seed            uint64
		Heartbeat       time.Duration
		ElectionTimeout time.Duration
		// RetainedBytes is the size of the log that is kept after a snapshot, so that followers a little behind
		// do not need the whole snapshot.
		RetainedBytes int
		// WallClock, when set, returns the wall clock's time since 1970. Tests use it; the default is the time
		// of the inputs.
		WallClock func(now time.Time) time.Duration
		// IsAutoReplacing, Voters and IsJoining are as in Settings.
		IsAutoReplacing bool
		Voters          int
		IsJoining       bool
		// Disabled switches off the mechanisms whose fields are true. Tests use it to show which failure each
		// mechanism prevents.
		Disabled Mechanisms
	}

	// Mechanisms names parts of the protocol that a test can switch off.
	Mechanisms struct {
		// PreVote asks the voters whether they would elect the replica before it opens a new term.
		PreVote bool
		// CheckQuorum makes a leader step down when a quorum of voters is out of contact.
		CheckQuorum bool
		// ReadBarrier has a quorum confirm the leader before a read is answered.
		ReadBarrier bool
		// SyncGate holds messages back until the state and entries that they acknowledge are synced.
		SyncGate bool
		// CatchUp refuses to promote a learner that lacks more than promoteLag entries.
		CatchUp bool
		// OneChange refuses a change of membership until the previous one is committed.
		OneChange bool
	}

	// Core is the protocol of one replica. It does no I/O, and the same inputs and seed give the same
	// effects. After each input its driver calls TakeEffects and carries the effects out. It is not safe for
	// concurrent use.
	Core struct {
		settings CoreSettings
		self     identity
		random   *rand.Rand
		now      time.Time

		group uint64
		term  uint64
		vote  identity

		role              role
		leader            identity
		lastLeaderContact time.Time
		electionDue       time.Time
		votes             map[identity]bool

		log        entryLog
		clock      logClock
		lastTimeMs int64
		commit     uint64
		// delivered is the index of the last entry that TakeEffects returned to be applied.
		delivered   uint64
		memberships []membershipAt
		snapshot    SnapshotInfo
		// retainedBytes is the size of the entries in the log that the snapshot covers.
		retainedBytes int

		durability durability
		effects    Effects
		write      Write

		bootstrap bootstrap
		receiving receiving
		lead      *leadership
		// round is the number of the last heartbeat round. It is kept from one leadership to the next, so that
		// late replies to an earlier one confirm no reads.
		round uint64
		fault string
	}
)

// NewCore returns the core of a replica that continues from the state recovered from its folder.
func NewCore(now time.Time, settings CoreSettings, recovered Recovered) *Core {
	c := &Core{
		settings: settings,
		self:     identity{settings.ID, recovered.Incarnation},
		random:   rand.New(rand.NewPCG(settings.Seed, recovered.Incarnation)),
		now:      now,
		snapshot: recovered.Snapshot,
	}
	if state := recovered.State; state != nil {
		c.group, c.term = state.Group, state.Term
		c.vote = identity{state.Vote, state.VoteIncarnation}
	}
	c.log.reset(c.snapshot.Index, c.snapshot.Term)
	c.log.append(recovered.Entries...)
	c.lastTimeMs = c.snapshot.TimeMs
	c.memberships = []membershipAt{{index: c.snapshot.Index, members: c.snapshot.members}}
	for _, e := range recovered.Entries {
		c.trackEntry(e)
	}
	c.commit, c.delivered = c.snapshot.Index, c.snapshot.Index
	c.durability = newDurability(c.log.last())
	c.bootstrap = newBootstrap(c)
	c.scheduleFirstElection()
	return c
}

// Step handles a message from another replica. Messages for another incarnation or group are ignored.
func (c *Core) Step(now time.Time, m *wire.ReplicaMessage) {
	c.setNow(now)
	if !c.isForSelf(m) {
		return
	}
	switch m.Kind {
	case wire.ReplicaKind_REPLICA_KIND_HELLO:
		c.handleHello(m)
		return
	case wire.ReplicaKind_REPLICA_KIND_HELLO_REPLY:
		c.handleHelloReply(m)
		return
	}
	if !c.joinGroup(m) || !c.checkTerm(m) {
		return
	}
	c.dispatch(m)
}

func (c *Core) dispatch(m *wire.ReplicaMessage) {
	switch m.Kind {
	case wire.ReplicaKind_REPLICA_KIND_PRE_VOTE, wire.ReplicaKind_REPLICA_KIND_VOTE:
		c.handleVote(m)
	case wire.ReplicaKind_REPLICA_KIND_PRE_VOTE_REPLY, wire.ReplicaKind_REPLICA_KIND_VOTE_REPLY:
		c.handleVoteReply(m)
	case wire.ReplicaKind_REPLICA_KIND_APPEND:
		c.handleAppend(m)
	case wire.ReplicaKind_REPLICA_KIND_APPEND_REPLY:
		c.handleAppendReply(m)
	case wire.ReplicaKind_REPLICA_KIND_HEARTBEAT:
		c.handleHeartbeat(m)
	case wire.ReplicaKind_REPLICA_KIND_HEARTBEAT_REPLY:
		c.handleHeartbeatReply(m)
	case wire.ReplicaKind_REPLICA_KIND_SNAPSHOT:
		c.handleSnapshot(m)
	case wire.ReplicaKind_REPLICA_KIND_SNAPSHOT_REPLY:
		c.handleSnapshotReply(m)
	case wire.ReplicaKind_REPLICA_KIND_TIMEOUT_NOW:
		c.handleTimeoutNow(m)
	}
}

// isForSelf reports whether the message is for this incarnation of the replica and for its group.
func (c *Core) isForSelf(m *wire.ReplicaMessage) bool {
	if m.To != c.self.ID || m.From == "" {
		return false
	}
	if m.ToIncarnation != 0 && m.ToIncarnation != c.self.Incarnation {
		return false
	}
	return m.Group == 0 || c.group == 0 || m.Group == c.group
}

// checkTerm moves the replica to the message's term when that is newer, and reports whether the message is
// still to be handled. Messages of an older term are dropped; requests among them get a rejection.
func (c *Core) checkTerm(m *wire.ReplicaMessage) bool {
	if m.Term > c.term {
		return c.checkNewerTerm(m)
	}
	if m.Term == c.term {
		return true
	}
	switch m.Kind {
	case wire.ReplicaKind_REPLICA_KIND_PRE_VOTE, wire.ReplicaKind_REPLICA_KIND_VOTE:
		c.send(&wire.ReplicaMessage{Kind: m.Kind + 1, Term: c.term, Reject: true}, sender(m), c.durability.stateWrite)
	case wire.ReplicaKind_REPLICA_KIND_APPEND, wire.ReplicaKind_REPLICA_KIND_HEARTBEAT, wire.ReplicaKind_REPLICA_KIND_SNAPSHOT:
		// The rejection carries the newer term, which makes the sender step down.
		c.send(&wire.ReplicaMessage{
			Kind: wire.ReplicaKind_REPLICA_KIND_APPEND_REPLY, Term: c.term, Reject: true,
		}, sender(m), c.durability.stateWrite)
	}
	return false
}

// checkNewerTerm handles the newer term of a message. Pre-votes and granted replies to them carry a term that
// does not exist yet, so they do not change the replica's term. A vote request is ignored while a leader is in
// contact, unless that leader asked for it.
func (c *Core) checkNewerTerm(m *wire.ReplicaMessage) bool {
	switch m.Kind {
	case wire.ReplicaKind_REPLICA_KIND_PRE_VOTE:
		return true
	case wire.ReplicaKind_REPLICA_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
	case wire.ReplicaKind_REPLICA_KIND_VOTE:
		if !m.Transfer && c.hasLeader() && !c.settings.Disabled.PreVote {
			return false
		}
	}
	c.becomeFollower(m.Term)
	return true
}

// Tick handles the timeouts that have expired. The driver calls it at the time that Deadline returns, or earlier.
func (c *Core) Tick(now time.Time) {
	c.setNow(now)
	switch {
	case c.group == 0:
		c.tickBootstrap()
	case c.role == leader:
		c.tickLeader()
	case !c.now.Before(c.electionDue):
		c.resetElectionTimeout()
		if c.canCampaign() {
			c.startPreVote()
		}
		if !c.canCampaign() || c.mayBeRemoved() {
			c.sendHellos()
		}
	}
}

// Deadline returns the time of the next timeout.
func (c *Core) Deadline() time.Time {
	switch {
	case c.group == 0:
		return c.bootstrap.helloDue
	case c.role == leader && len(c.lead.queuedReads) > 0 && len(c.lead.reads) == 0:
		return c.lead.roundDue
	case c.role == leader:
		return c.lead.heartbeatDue
	default:
		return c.electionDue
	}
}

// Synced tells the core that the write with the sequence number, and all writes before it, are synced to disk.
func (c *Core) Synced(now time.Time, sequence uint64) {
	c.setNow(now)
	for _, m := range c.durability.advance(sequence) {
		if m.Term >= c.term {
			c.release(m)
		}
	}
	if c.receiving.isInstalling && sequence >= c.receiving.sequence {
		c.finishInstall()
	}
	if c.role == leader {
		c.advanceCommit()
	}
}

// TakeEffects returns the effects of the inputs since the last call.
func (c *Core) TakeEffects() Effects {
	taken := c.effects
	c.effects = Effects{}
	if !c.write.isEmpty() {
		write := c.write
		write.Sequence = c.durability.next
		taken.Write = &write
		c.write = Write{}
		c.durability.next++
	}
	if c.commit > c.delivered && !c.receiving.isInstalling {
		taken.Committed = c.log.slice(c.delivered+1, c.commit, maxDeliveredBytes)
		c.delivered += uint64(len(taken.Committed))
	}
	return taken
}

// maxDeliveredBytes bounds the size of the committed commands that one TakeEffects returns.
const maxDeliveredBytes = 1 << 20

// HasMore reports whether committed entries are left for another TakeEffects.
func (c *Core) HasMore() bool { return c.commit > c.delivered && !c.receiving.isInstalling }

// setNow moves the core's time forward; it never moves back.
func (c *Core) setNow(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// send addresses the message and releases it once the write with the given sequence number is synced.
func (c *Core) send(m *wire.ReplicaMessage, to identity, afterWrite uint64) {
	m.From, m.FromIncarnation = c.self.ID, c.self.Incarnation
	m.To, m.ToIncarnation = to.ID, to.Incarnation
	m.Group = c.group
	if afterWrite > c.durability.synced && !c.settings.Disabled.SyncGate {
		c.durability.hold(afterWrite, m)
		return
	}
	c.release(m)
}

// release passes a message to the effects, or handles it at once when it is addressed to this replica.
func (c *Core) release(m *wire.ReplicaMessage) {
	if m.To == c.self.ID && m.ToIncarnation == c.self.Incarnation {
		if m.Term == c.term {
			c.dispatch(m)
		}
		return
	}
	c.effects.Messages = append(c.effects.Messages, m)
}

func sender(m *wire.ReplicaMessage) identity { return identity{m.From, m.FromIncarnation} }
