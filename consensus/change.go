package consensus

// Changes of membership, one at a time: the next one starts only when the last one is committed, so that
// quorums of neighbouring memberships always overlap.

import (
	"fmt"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// AddLearner adds a replica without a vote.
	AddLearner ChangeKind = iota
	// Promote gives a learner that has caught up a vote.
	Promote
	// Remove takes a replica out of the group.
	Remove
)

// promoteLag is the most entries that a learner may lack when it is promoted.
const promoteLag = 256

type (
	// ChangeKind is a kind of change of membership.
	ChangeKind int

	// ChangeError tells why a change of membership was refused; nothing was appended.
	ChangeError struct {
		// Reason is a short stable word, such as "in-progress" or "behind".
		Reason string
		Detail string
	}
)

// Error returns reason and detail.
func (e *ChangeError) Error() string { return e.Reason + ": " + e.Detail }

// Change appends a change of membership. It returns index and term of the entry, or a *ChangeError or
// *NotLeaderError when nothing was appended.
func (c *Core) Change(now time.Time, kind ChangeKind, member Member) (index, term uint64, err error) {
	c.setNow(now)
	if c.role != leader || c.lead.transfer.isActive {
		return 0, 0, &NotLeaderError{Leader: c.leader.ID}
	}
	if c.isChanging() && !c.settings.Without.OneChange {
		return 0, 0, &ChangeError{Reason: "in-progress", Detail: "an earlier change is not committed yet"}
	}
	changed, err := c.changed(kind, member)
	if err != nil {
		return 0, 0, err
	}
	c.appendAsLeader(wire.EntryKind_ENTRY_KIND_MEMBERSHIP, changed.encode())
	return c.log.last(), c.term, nil
}

// isChanging reports whether a change of membership, or the entry that opened the term, is not committed yet.
func (c *Core) isChanging() bool {
	return !c.isTermCommitted() || c.history[len(c.history)-1].index > c.commit
}

func (c *Core) changed(kind ChangeKind, member Member) (membership, error) {
	switch kind {
	case AddLearner:
		return c.withLearner(member)
	case Promote:
		return c.withPromoted(member)
	case Remove:
		return c.withoutMember(member)
	default:
		return nil, &ChangeError{Reason: "unknown-change", Detail: fmt.Sprint(kind)}
	}
}

func (c *Core) withLearner(member Member) (membership, error) {
	if member.ID == "" || member.Incarnation == 0 {
		return nil, &ChangeError{Reason: "no-identity", Detail: "a learner needs an ID and an incarnation"}
	}
	if _, isKnown := c.members().find(member.identity()); isKnown {
		return nil, &ChangeError{Reason: "known", Detail: member.ID + " is a member already"}
	}
	member.IsVoter = false
	return c.members().With(member), nil
}

func (c *Core) withPromoted(member Member) (membership, error) {
	known, isKnown := c.members().find(member.identity())
	if !isKnown || known.IsVoter {
		return nil, &ChangeError{Reason: "not-a-learner", Detail: member.ID}
	}
	if !c.hasCaughtUp(member.identity()) {
		return nil, &ChangeError{Reason: "behind", Detail: member.ID + " has not caught up"}
	}
	known.IsVoter = true
	return c.members().With(known), nil
}

func (c *Core) hasCaughtUp(id identity) bool {
	if c.settings.Without.CatchUp {
		return true
	}
	p := c.lead.find(id)
	return p != nil && c.isHeard(id) && p.state == replicating && p.match+promoteLag >= c.log.last()
}

// withoutMember refuses to remove a voter when too few of the others answer to go on without it.
func (c *Core) withoutMember(member Member) (membership, error) {
	if _, isKnown := c.members().find(member.identity()); !isKnown {
		return nil, &ChangeError{Reason: "not-a-member", Detail: member.ID}
	}
	if member.identity() == c.self {
		return nil, &ChangeError{Reason: "is-leader", Detail: "transfer leadership first"}
	}
	changed := c.members().Without(member.identity())
	if c.heard(changed) < changed.quorum() {
		return nil, &ChangeError{Reason: "no-quorum", Detail: "too few of the other voters answer"}
	}
	return changed, nil
}
