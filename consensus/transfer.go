package consensus

// Handing leadership over, for planned stops. The leader takes no more proposals, waits until the other
// replica holds everything, and tells it to stand for election at once.

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

type transfer struct {
	isActive bool
	isSent   bool
	to       identity
	due      time.Time
}

// Transfer begins to hand leadership to the voter of the given ID, or to the most advanced one for "". It
// returns a *ChangeError or *NotLeaderError when it cannot begin. It gives up after an election timeout.
func (c *Core) Transfer(now time.Time, id string) error {
	c.setNow(now)
	if c.role != leader {
		return &NotLeaderError{Leader: c.leader.ID}
	}
	p := c.successor(id)
	if p == nil {
		return &ChangeError{Reason: "no-successor", Detail: "no other voter answers"}
	}
	c.lead.transfer = transfer{isActive: true, to: p.id, due: c.now.Add(c.settings.ElectionTimeout)}
	c.sendAppends(p)
	c.tryTransfer()
	return nil
}

func (c *Core) successor(id string) *progress {
	var best *progress
	for _, p := range c.lead.followers {
		if !c.members().isVoter(p.id) || !c.isHeard(p.id) || id != "" && p.id.ID != id {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}

func (c *Core) tryTransfer() {
	t := &c.lead.transfer
	if !t.isActive || t.isSent {
		return
	}
	p := c.lead.find(t.to)
	if p == nil || p.match < c.log.last() || c.commit < c.log.last() {
		return
	}
	t.isSent = true
	c.sendTimeoutNow(t.to)
}

func (c *Core) sendTimeoutNow(to identity) {
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_TIMEOUT_NOW, Term: c.term,
	}, to, c.durability.stateGate)
}

// tickTransfer takes proposals again when the transfer did not come about in time.
func (c *Core) tickTransfer() {
	if c.lead.transfer.isActive && !c.now.Before(c.lead.transfer.due) {
		c.lead.transfer = transfer{}
	}
}

// Abandon tells the most advanced voter to take over at once, because this replica stops without waiting.
func (c *Core) Abandon(now time.Time) {
	c.setNow(now)
	if c.role != leader {
		return
	}
	if p := c.successor(""); p != nil {
		c.sendTimeoutNow(p.id)
	}
}
