package consensus

// Changes of membership, one at a time: the next one starts only when the previous one is committed, so that the
// quorums of consecutive memberships always overlap.

import (
	"fmt"
	"time"

	"guavahitch.example/guavahitch/wire"
)

const (
	// AddLearner adds a replica that receives the log and has no vote.
	AddLearner ChangeKind = iota
	// Promote makes a learner that has caught up a voter.
	Promote
	// Remove removes a replica from the group.
	Remove
)

// promoteLag is the largest number of entries that a learner may lack when it is promoted.
const promoteLag = 256

type (
	// ChangeKind is a kind of change of membership.
	ChangeKind int

	// ChangeError is the refusal of a change of membership or of a leadership transfer; nothing was appended.
	ChangeError struct {
		// Reason is a stable identifier, such as "in-progress" or "behind".
		Reason string
		// Detail is a text for people.
		Detail string
	}
)

// Error returns the reason and the detail.
func (e *ChangeError) Error() string { return e.Reason + ": " + e.Detail }

// Change appends a change of membership to the log of a leader. It returns the index and term of the entry, or a
// *ChangeError or *NotLeaderError when nothing was appended.
func (c *Core) Change(now time.Time, kind ChangeKind, member Member) (index, term uint64, err error) {
	c.setNow(now)
	if c.role != leader || c.lead.transfer.isActive {
		return 0, 0, &NotLeaderError{Leader: c.leader.ID}
	}
	if c.isChanging() && !c.settings.Disabled.OneChange {
		return 0, 0, &ChangeError{Reason: "in-progress", Detail: "an earlier change is not committed yet"}
	}
	changed, err := c.changed(kind, member)
	if err != nil {
		return 0, 0, err
	}
	c.appendAsLeader(wire.EntryKind_ENTRY_KIND_MEMBERSHIP, changed.encode())
	return c.log.last(), c.term, nil
}

// isChanging reports whether a change of membership, or the entry that starts the term, is not committed yet.
func (c *Core) isChanging() bool {
	return !c.isTermCommitted() || c.memberships[len(c.memberships)-1].index > c.commit
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

// hasCaughtUp reports whether the learner is active, receives appends in a pipeline and lacks at most promoteLag
// entries.
func (c *Core) hasCaughtUp(id identity) bool {
	if c.settings.Disabled.CatchUp {
		return true
	}
	p := c.lead.find(id)
	return p != nil && c.isActive(id) && p.state == replicating && p.match+promoteLag >= c.log.last()
}

// withoutMember returns the membership without the member. It refuses when the voters that are left and active
// are no quorum.
func (c *Core) withoutMember(member Member) (membership, error) {
	if _, isKnown := c.members().find(member.identity()); !isKnown {
		return nil, &ChangeError{Reason: "not-a-member", Detail: member.ID}
	}
	if member.identity() == c.self {
		return nil, &ChangeError{Reason: "is-leader", Detail: "transfer leadership first"}
	}
	changed := c.members().Without(member.identity())
	if c.countActive(changed) < changed.quorum() {
		return nil, &ChangeError{Reason: "no-quorum", Detail: "too few of the other voters answer"}
	}
	return changed, nil
}
