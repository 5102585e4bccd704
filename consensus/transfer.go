package consensus

// Leadership transfer, for planned stops. The leader accepts no more proposals, waits until the successor holds
// the whole log and all of it is committed, and asks the successor to start an election at once.

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

// Transfer starts a transfer of leadership to the voter with the given ID, or with "" to the active voter with the
// longest log. It returns a *ChangeError or *NotLeaderError when it cannot start. The transfer is abandoned after
// an election timeout.
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

// successor returns the active voter with the given ID, or with "" the one with the longest log; nil for none.
func (c *Core) successor(id string) *progress {
	var best *progress
	for _, p := range c.lead.followers {
		if !c.members().isVoter(p.id) || !c.isActive(p.id) || id != "" && p.id.ID != id {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}

// tryTransfer asks the successor to start its election once it holds the whole log and all of it is committed.
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
	}, to, c.durability.stateWrite)
}

// tickTransfer abandons a transfer that has taken too long, so that proposals are accepted again.
func (c *Core) tickTransfer() {
	if c.lead.transfer.isActive && !c.now.Before(c.lead.transfer.due) {
		c.lead.transfer = transfer{}
	}
}

// TransferNow asks the active voter with the longest log to start an election at once. It is for a replica that
// stops without waiting for the transfer.
func (c *Core) TransferNow(now time.Time) {
	c.setNow(now)
	if c.role != leader {
		return
	}
	if p := c.successor(""); p != nil {
		c.sendTimeoutNow(p.id)
	}
}
