package consensus

// Replication to one follower. Appends are pipelined: the leader sends on without waiting for answers, and
// falls back to probing when one is lost. A follower behind the log gets a snapshot in chunks.

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	probing progressState = iota
	replicating
	snapshotting
)

type (
	progressState int

	// progress is what a leader knows of one follower.
	progress struct {
		id    identity
		state progressState
		// match is the last entry known to be synced there, next the first to be sent.
		match, next uint64
		// inflight holds the last index of each append without an answer.
		inflight []uint64
		// isWaiting tells that the one probe or chunk has no answer yet.
		isWaiting bool
		heard     time.Time
		advanced  time.Time
		round     uint64
		// The snapshot that is being sent, and how much of it the follower holds.
		snapshotIndex, offset uint64
	}
)

func (l *leadership) find(id identity) *progress {
	for _, p := range l.followers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// syncFollowers makes the list of followers agree with the membership.
func (c *Core) syncFollowers() {
	followers := make([]*progress, 0, len(c.members()))
	for _, member := range c.members() {
		if member.identity() == c.self {
			continue
		}
		p := c.lead.find(member.identity())
		if p == nil {
			p = &progress{id: member.identity(), next: c.log.last() + 1, heard: c.now, advanced: c.now}
		}
		followers = append(followers, p)
	}
	c.lead.followers = followers
}

// sendAppends sends what the follower misses, as far as its state allows.
func (c *Core) sendAppends(p *progress) {
	switch p.state {
	case snapshotting:
		return
	case probing:
		if !p.isWaiting {
			p.isWaiting = c.sendAppend(p)
		}
	case replicating:
		if len(p.inflight) == 0 {
			p.advanced = c.now
		}
		for p.next <= c.log.last() && len(p.inflight) < maxInflight {
			if !c.sendAppend(p) {
				return
			}
			p.inflight = append(p.inflight, p.next-1)
		}
	}
}

// sendAppend sends one message, and returns false when the follower needs a snapshot first.
func (c *Core) sendAppend(p *progress) bool {
	before := p.next - 1
	term, isKnown := c.log.term(before)
	if !isKnown {
		c.startSnapshot(p)
		return false
	}
	entries := c.log.slice(p.next, c.log.last(), appendBytes)
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_APPEND, Term: c.term, Index: before, IndexTerm: term,
		Commit: c.commit, Entries: entries,
	}, p.id, c.durability.stateGate)
	if p.state == replicating {
		p.next += uint64(len(entries))
	}
	return true
}

func (c *Core) handleAppendReply(m *wire.ReplicaMessage) {
	if c.role != leader {
		return
	}
	p := c.lead.find(sender(m))
	if p == nil {
		return
	}
	p.heard = c.now
	if m.Reject {
		c.handleRejection(p, m)
		return
	}
	p.confirm(m.Index, c.now)
	if p.state != replicating && p.match >= c.log.base {
		p.replicate()
	}
	if p.state == snapshotting {
		c.startSnapshot(p)
	}
	c.advanceCommit()
	if c.role == leader {
		c.sendAppends(p)
		c.tryTransfer()
	}
}

// confirm takes an acknowledgement up to the index.
func (p *progress) confirm(index uint64, now time.Time) {
	if index > p.match {
		p.match, p.advanced = index, now
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if len(p.inflight) == 0 {
		p.inflight = nil
	}
}

func (p *progress) replicate() {
	p.state, p.inflight, p.isWaiting = replicating, nil, false
	p.next = p.match + 1
}

func (p *progress) probe(next uint64) {
	p.state, p.inflight, p.isWaiting = probing, nil, false
	p.next = max(next, p.match+1)
}

// handleRejection goes back to where the follower's log may match. Rejections of older appends are stale.
func (c *Core) handleRejection(p *progress, m *wire.ReplicaMessage) {
	switch {
	case p.state == snapshotting || m.Index < p.match:
		return
	case p.state == probing && m.Index == p.match && m.Hint < p.match:
		// The follower's disk lost what it had synced. It is asked again with the next heartbeat.
		return
	case p.state == replicating:
		p.probe(p.match + 1)
	case m.Index == p.next-1:
		p.probe(min(m.Index, m.Hint+1))
	default:
		return
	}
	c.sendAppends(p)
}

func (c *Core) handleHeartbeatReply(m *wire.ReplicaMessage) {
	if c.role != leader {
		return
	}
	p := c.lead.find(sender(m))
	if p == nil {
		return
	}
	p.heard = c.now
	p.round = max(p.round, m.Round)
	c.confirmReads()
	patience := retransmitHeartbeats * c.settings.Heartbeat
	isStuck := c.now.Sub(p.advanced) > patience
	switch {
	case p.state == snapshotting:
		c.resumeSnapshot(p, isStuck)
	case p.state == probing:
		p.isWaiting = false
	case isStuck && p.match < p.next-1:
		p.advanced = c.now
		p.probe(p.match + 1)
	}
	if p.match < c.log.last() {
		c.sendAppends(p)
	}
}
