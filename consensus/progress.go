package consensus

// Replication to one follower. Appends are pipelined: the leader sends the next ones without waiting for replies,
// and returns to probing when one is lost. A follower that needs compacted entries gets a snapshot in chunks.

import (
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// probing sends one append at a time until the follower's log is known to match.
	probing progressState = iota
	// replicating sends appends in a pipeline.
	replicating
	// snapshotting sends the stored snapshot.
	snapshotting
)

type (
	progressState int

	// progress is the leader's state of the replication to one follower.
	progress struct {
		id    identity
		state progressState
		// match is the index of the last entry that the follower is known to have synced, next that of the next
		// entry to send.
		match, next uint64
		// inflight holds the last index of each append that is not acknowledged yet.
		inflight []uint64
		// isWaiting holds appends back while probing, until a reply to the probe or a heartbeat reply arrives.
		isWaiting bool
		// lastContact is the time of the follower's last reply, and before the first reply the time at which the
		// leader started to track the follower. lastProgress is the time from which a stall is measured: the last
		// advance of match or of the snapshot, or the start of a transmission.
		lastContact  time.Time
		lastProgress time.Time
		round        uint64
		// snapshotIndex identifies the snapshot that is being sent; offset is the number of its bytes that the
		// follower has acknowledged.
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

// syncFollowers updates the list of followers to the membership.
func (c *Core) syncFollowers() {
	followers := make([]*progress, 0, len(c.members()))
	for _, member := range c.members() {
		if member.identity() == c.self {
			continue
		}
		p := c.lead.find(member.identity())
		if p == nil {
			p = &progress{id: member.identity(), next: c.log.last() + 1, lastContact: c.now, lastProgress: c.now}
		}
		followers = append(followers, p)
	}
	c.lead.followers = followers
}

// sendAppends sends the entries that the follower lacks, as far as its progress state allows.
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
			p.lastProgress = c.now
		}
		for p.next <= c.log.last() && len(p.inflight) < maxInflight {
			if !c.sendAppend(p) {
				return
			}
			p.inflight = append(p.inflight, p.next-1)
		}
	}
}

// sendAppend sends one append message, and returns false when the follower needs a snapshot first.
func (c *Core) sendAppend(p *progress) bool {
	before := p.next - 1
	term, isKnown := c.log.term(before)
	if !isKnown {
		c.startSnapshot(p)
		return false
	}
	entries := c.log.slice(p.next, c.log.last(), maxAppendBytes)
	c.send(&wire.ReplicaMessage{
		Kind: wire.ReplicaKind_REPLICA_KIND_APPEND, Term: c.term, Index: before, IndexTerm: term,
		Commit: c.commit, Entries: entries,
	}, p.id, c.durability.stateWrite)
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
	p.lastContact = c.now
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

// confirm records that the follower has synced the entries up to the index.
func (p *progress) confirm(index uint64, now time.Time) {
	if index > p.match {
		p.match, p.lastProgress = index, now
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

// handleRejection moves the follower's next entry back to where the logs may match. Rejections of older appends
// are stale and ignored.
func (c *Core) handleRejection(p *progress, m *wire.ReplicaMessage) {
	switch {
	case p.state == snapshotting || m.Index < p.match:
		return
	case p.state == probing && m.Index == p.match && m.Hint < p.match:
		// The follower's disk lost entries that it had synced. The next heartbeat reply repeats the probe.
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
	p.lastContact = c.now
	p.round = max(p.round, m.Round)
	c.confirmReads()
	stallTimeout := retransmitHeartbeats * c.settings.Heartbeat
	isStuck := c.now.Sub(p.lastProgress) > stallTimeout
	switch {
	case p.state == snapshotting:
		c.resumeSnapshot(p, isStuck)
	case p.state == probing:
		p.isWaiting = false
	case isStuck && p.match < p.next-1:
		p.lastProgress = c.now
		p.probe(p.match + 1)
	}
	if p.match < c.log.last() {
		c.sendAppends(p)
	}
}
