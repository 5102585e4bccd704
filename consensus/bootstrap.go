package consensus

// Bootstrapping a group and joining one. A replica with an empty folder is blank and sends hello messages to the
// founders, which are the initial members. The founder with the smallest ID bootstraps the group once all other
// founders have replied and are blank: it writes their incarnations into the first entry. A blank replica joins the
// group that first sends a message to its incarnation. A blank replica whose group exists already waits until the
// leader adds it as a learner.

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/wire"
)

// helloHeartbeats is the interval between two hello messages, in heartbeat intervals.
const helloHeartbeats = 4

type (
	bootstrap struct {
		helloDue time.Time
		// founders holds the founders in the order of the settings. The incarnation is 0 until the founder replied.
		founders []Member
		// isGroupKnown is set when a group exists already.
		isGroupKnown bool
		// introduced is the leader according to another replica's hello reply.
		introduced identity
	}

	// joiner is a replica that asked the leader to join the group.
	joiner struct {
		member    Member
		lastHello time.Time
	}
)

func newBootstrap(c *Core) bootstrap {
	f := bootstrap{helloDue: c.now, isGroupKnown: c.settings.IsJoining}
	for _, member := range c.settings.InitialMembers {
		member.Incarnation = 0
		if member.ID == c.self.ID {
			member.Incarnation = c.self.Incarnation
		}
		f.founders = append(f.founders, member)
	}
	return f
}

func (c *Core) tickBootstrap() {
	if c.now.Before(c.bootstrap.helloDue) {
		return
	}
	c.bootstrap.helloDue = c.now.Add(helloHeartbeats * c.settings.Heartbeat)
	c.tryBootstrap()
	if c.group != 0 {
		return
	}
	c.sendHellos()
}

// sendHellos sends a hello message to every member, founder and introduced leader. A learner without contact from
// a leader sends them too, since the change that made it a learner may have been overwritten before it was
// committed. So does a voter that may have been removed.
func (c *Core) sendHellos() {
	sent := map[string]bool{c.self.ID: true, "": true}
	introduced := []Member{{ID: c.bootstrap.introduced.ID}}
	for _, member := range slices.Concat(c.members(), c.settings.InitialMembers, introduced) {
		if sent[member.ID] {
			continue
		}
		sent[member.ID] = true
		c.send(&wire.ReplicaMessage{
			Kind: wire.ReplicaKind_REPLICA_KIND_HELLO, Address: c.settings.Address,
		}, identity{ID: member.ID}, c.durability.stateWrite)
	}
}

func (c *Core) handleHello(m *wire.ReplicaMessage) {
	if m.FromIncarnation == 0 {
		return
	}
	if known := m.Introduced; known != nil {
		if c.role == leader {
			c.recordJoiner(Member{ID: known.Id, Incarnation: known.Incarnation, Address: known.Address})
		}
		return
	}
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_HELLO_REPLY, Address: c.settings.Address, Introduced: c.leaderIntroduction(),
	}, sender(m), c.durability.stateWrite)
	joiner := Member{ID: m.From, Incarnation: m.FromIncarnation, Address: m.Address}
	switch {
	case c.role == leader:
		c.recordJoiner(joiner)
	case c.leader != identity{}:
		c.send(&wire.ReplicaMessage{
			Kind: wire.ReplicaKind_REPLICA_KIND_HELLO,
			Introduced: &wire.ReplicaMember{
				Id: joiner.ID, Incarnation: joiner.Incarnation, Address: joiner.Address,
			},
		}, c.leader, c.durability.stateWrite)
	}
}

// leaderIntroduction returns the leader for the reply to a hello, or nil when none is known.
func (c *Core) leaderIntroduction() *wire.ReplicaMember {
	if c.leader == (identity{}) {
		return nil
	}
	return &wire.ReplicaMember{Id: c.leader.ID, Incarnation: c.leader.Incarnation}
}

func (c *Core) handleHelloReply(m *wire.ReplicaMessage) {
	if known := m.Introduced; known != nil {
		c.bootstrap.introduced = identity{known.Id, known.Incarnation}
	}
	if c.group != 0 || m.FromIncarnation == 0 {
		return
	}
	if m.Group != 0 {
		c.bootstrap.isGroupKnown = true
		return
	}
	for i, member := range c.bootstrap.founders {
		if member.ID == m.From {
			c.bootstrap.founders[i].Incarnation = m.FromIncarnation
		}
	}
	c.tryBootstrap()
}

// tryBootstrap bootstraps the group when this replica is the founder with the smallest ID and all founders are
// known and blank.
func (c *Core) tryBootstrap() {
	if c.bootstrap.isGroupKnown || len(c.bootstrap.founders) == 0 {
		return
	}
	isMember := false
	for _, member := range c.bootstrap.founders {
		if member.ID < c.self.ID || member.Incarnation == 0 {
			return
		}
		isMember = isMember || member.ID == c.self.ID
	}
	if isMember {
		c.bootstrapGroup()
	}
}

// bootstrapGroup creates the group: it writes the membership as the first entry and starts an election.
func (c *Core) bootstrapGroup() {
	members := make(membership, 0, len(c.bootstrap.founders))
	for _, member := range c.bootstrap.founders {
		member.IsVoter = true
		members = append(members, member)
	}
	for c.group == 0 {
		c.group = c.random.Uint64()
	}
	c.term = 1
	c.saveState()
	c.appendEntries([]*wire.LogEntry{{
		Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_KIND_MEMBERSHIP, TimeMs: c.logTimeMs(),
		Data: members.encode(),
	}})
	c.campaign(false)
}

// joinGroup makes a blank replica a replica of the group whose message is addressed to its incarnation, and reports
// whether the message is of the replica's group.
func (c *Core) joinGroup(m *wire.ReplicaMessage) bool {
	if m.Group == 0 {
		return false
	}
	if c.group == 0 {
		if m.ToIncarnation != c.self.Incarnation {
			return false
		}
		c.group = m.Group
		c.saveState()
		c.resetElectionTimeout()
	}
	return true
}
