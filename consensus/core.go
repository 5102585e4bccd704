package consensus

// The pure protocol of one replica: its state, its inputs and the way its effects leave it. Elections,
// replication, snapshots, membership and reads stand in files of their own.

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

	// CoreSettings configure the pure protocol.
	CoreSettings struct {
		ID      string
		Address string
		// Founders are the replicas that found the group.
		Founders        []Member
		Seed            uint64
		Heartbeat       time.Duration
		ElectionTimeout time.Duration
		// RetainedBytes is the size of the log that stays behind a snapshot for followers a little behind.
		RetainedBytes int
		// Wall returns the wall clock's time since 1970, for tests; otherwise it is that of the inputs.
		Wall            func(now time.Time) time.Duration
		IsAutoReplacing bool
		// Voters and IsJoining are as in Settings.
		Voters    int
		IsJoining bool
		// Without switches mechanisms off, for tests that show what each is for.
		Without Mechanisms
	}

	// Mechanisms are parts of the protocol that a test can do without.
	Mechanisms struct {
		PreVote     bool
		CheckQuorum bool
		ReadBarrier bool
		// SyncGate holds messages back until what they vouch for is synced.
		SyncGate bool
		// CatchUp lets a learner vote only when it holds nearly the whole log.
		CatchUp bool
		// OneChange keeps a change of membership waiting until the last one is committed.
		OneChange bool
	}

	// Core is the state machine of the protocol. It does no I/O, and the same inputs and seed give the
	// same effects. It is not safe for concurrent use.
	Core struct {
		settings CoreSettings
		self     identity
		random   *rand.Rand
		now      time.Time

		group uint64
		term  uint64
		vote  identity

		role        role
		leader      identity
		leaderHeard time.Time
		electionDue time.Time
		votes       map[identity]bool

		log        entryLog
		clock      logClock
		lastTimeMs int64
		commit     uint64
		// handed is the last entry that left with the effects.
		handed   uint64
		history  []membershipAt
		snapshot SnapshotInfo
		// retainedBytes is the size of the entries in the log that the snapshot covers.
		retainedBytes int

		durability durability
		effects    Effects
		write      Write

		founding  founding
		receiving receiving
		lead      *leadership
		// round numbers heartbeats; it outlives a leadership so that late replies confirm nothing.
		round uint64
		fault string
	}
)

// NewCore returns the protocol of a replica that goes on from what it recovered.
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
	c.history = []membershipAt{{index: c.snapshot.Index, members: c.snapshot.members}}
	for _, e := range recovered.Entries {
		c.noteEntry(e)
	}
	c.commit, c.handed = c.snapshot.Index, c.snapshot.Index
	c.durability = newDurability(c.log.last())
	c.founding = newFounding(c)
	c.startElection()
	return c
}

// Step takes a message from another replica.
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
	if !c.joinGroup(m) || !c.settleTerm(m) {
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

// settleTerm brings the replica to the message's term when that is newer, and reports whether the message
// still means anything.
func (c *Core) settleTerm(m *wire.ReplicaMessage) bool {
	if m.Term > c.term {
		return c.settleNewerTerm(m)
	}
	if m.Term == c.term {
		return true
	}
	switch m.Kind {
	case wire.ReplicaKind_REPLICA_KIND_PRE_VOTE, wire.ReplicaKind_REPLICA_KIND_VOTE:
		c.send(&wire.ReplicaMessage{Kind: m.Kind + 1, Term: c.term, Reject: true}, sender(m), c.durability.stateGate)
	case wire.ReplicaKind_REPLICA_KIND_APPEND, wire.ReplicaKind_REPLICA_KIND_HEARTBEAT, wire.ReplicaKind_REPLICA_KIND_SNAPSHOT:
		// The sender learns of the newer term and stops leading.
		c.send(&wire.ReplicaMessage{
			Kind: wire.ReplicaKind_REPLICA_KIND_APPEND_REPLY, Term: c.term, Reject: true,
		}, sender(m), c.durability.stateGate)
	}
	return false
}

func (c *Core) settleNewerTerm(m *wire.ReplicaMessage) bool {
	switch m.Kind {
	case wire.ReplicaKind_REPLICA_KIND_PRE_VOTE:
		return true
	case wire.ReplicaKind_REPLICA_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
	case wire.ReplicaKind_REPLICA_KIND_VOTE:
		if !m.Transfer && c.hasLeader() && !c.settings.Without.PreVote {
			return false
		}
	}
	c.becomeFollower(m.Term)
	return true
}

// Tick takes the passing of time; Deadline tells when it is due.
func (c *Core) Tick(now time.Time) {
	c.setNow(now)
	switch {
	case c.group == 0:
		c.tickFounding()
	case c.role == leader:
		c.tickLeader()
	case !c.now.Before(c.electionDue):
		c.resetElection()
		if c.canStand() {
			c.stand()
		}
		if !c.canStand() || c.isForgotten() {
			c.sayHello()
		}
	}
}

// Deadline returns the time at which Tick is due.
func (c *Core) Deadline() time.Time {
	switch {
	case c.group == 0:
		return c.founding.helloDue
	case c.role == leader && len(c.lead.later) > 0 && len(c.lead.reads) == 0:
		return c.lead.roundDue
	case c.role == leader:
		return c.lead.heartbeatDue
	default:
		return c.electionDue
	}
}

// Synced reports that the write of the sequence and all before it would survive a loss of power.
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

// Take returns the effects of the inputs since the last call.
func (c *Core) Take() Effects {
	taken := c.effects
	c.effects = Effects{}
	if !c.write.isEmpty() {
		write := c.write
		write.Sequence = c.durability.next
		taken.Write = &write
		c.write = Write{}
		c.durability.next++
	}
	if c.commit > c.handed && !c.receiving.isInstalling {
		taken.Committed = c.log.slice(c.handed+1, c.commit, maxHandedBytes)
		c.handed += uint64(len(taken.Committed))
	}
	return taken
}

// maxHandedBytes bounds the commands that leave with one Take, in bytes.
const maxHandedBytes = 1 << 20

// HasMore reports whether committed entries are left for another Take.
func (c *Core) HasMore() bool { return c.commit > c.handed && !c.receiving.isInstalling }

func (c *Core) setNow(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// send addresses the message and lets it go once the write of the given sequence is synced.
func (c *Core) send(m *wire.ReplicaMessage, to identity, gate uint64) {
	m.From, m.FromIncarnation = c.self.ID, c.self.Incarnation
	m.To, m.ToIncarnation = to.ID, to.Incarnation
	m.Group = c.group
	if gate > c.durability.synced && !c.settings.Without.SyncGate {
		c.durability.hold(gate, m)
		return
	}
	c.release(m)
}

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
