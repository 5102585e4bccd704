package consensus

// Automatic replacement of members that lost their disks, by the leader and without an operator: the new
// incarnation becomes a learner, catches up and is promoted, and only then the old incarnation is removed. Each
// step is one change of membership. A new leader derives the next step from the membership.

const (
	// joinerTimeouts is the number of election timeouts after its last hello at which a joiner expires.
	joinerTimeouts = 10
	// inactiveTimeouts is the number of election timeouts without contact after which a member may be removed
	// or replaced by another replica.
	inactiveTimeouts = 4
	// maxJoiners bounds the joiners that a leader keeps.
	maxJoiners = 16
)

// recordJoiner records that a replica asked to join, and drops expired joiners. A new incarnation of a joiner
// takes the place of the old one.
func (c *Core) recordJoiner(member Member) {
	if _, isKnown := c.members().find(member.identity()); isKnown {
		return
	}
	kept := c.lead.joining[:0]
	for _, j := range c.lead.joining {
		isFresh := c.now.Before(j.lastHello.Add(joinerTimeouts * c.settings.ElectionTimeout))
		if isFresh && j.member.ID != member.ID {
			kept = append(kept, j)
		}
	}
	c.lead.joining = kept
	if len(c.lead.joining) < maxJoiners {
		c.lead.joining = append(c.lead.joining, joiner{member: member, lastHello: c.now})
	}
}

// tickReplacement takes the next step of a replacement, if one is due. A step that is refused is tried again at
// the next heartbeat interval.
func (c *Core) tickReplacement() {
	if c.role != leader || !c.settings.IsAutoReplacing {
		return
	}
	for _, member := range c.members() {
		if pair := c.members().named(member.ID); len(pair) == 2 && pair[0] == member {
			c.replace(pair[0], pair[1])
			return
		}
	}
	for _, j := range c.lead.joining {
		isFresh := c.now.Before(j.lastHello.Add(joinerTimeouts * c.settings.ElectionTimeout))
		if isFresh && c.replacesInactiveMember(j.member) {
			_, _, _ = c.Change(c.now, AddLearner, j.member)
			return
		}
	}
	c.tickVoters()
}

// tickVoters takes the next step towards the configured number of voters, if one is due. It removes inactive
// learners first, then surplus inactive voters. When voters are missing or inactive it promotes a learner that has
// caught up, or adds a joiner as learner when there is no learner yet.
func (c *Core) tickVoters() {
	wanted := c.settings.Voters
	if wanted == 0 {
		return
	}
	voters := len(c.members().voters())
	inactiveVoter, hasInactiveVoter := c.inactiveMember(true)
	if inactiveLearner, hasInactiveLearner := c.inactiveMember(false); hasInactiveLearner {
		_, _, _ = c.Change(c.now, Remove, inactiveLearner)
		return
	}
	if hasInactiveVoter && voters > wanted {
		_, _, _ = c.Change(c.now, Remove, inactiveVoter)
		return
	}
	if voters >= wanted && !hasInactiveVoter || voters > wanted {
		return
	}
	for _, member := range c.members() {
		if !member.IsVoter {
			if c.hasCaughtUp(member.identity()) {
				_, _, _ = c.Change(c.now, Promote, member)
			}
			return
		}
	}
	for _, j := range c.lead.joining {
		isFresh := c.now.Before(j.lastHello.Add(joinerTimeouts * c.settings.ElectionTimeout))
		if isFresh && len(c.members().named(j.member.ID)) == 0 {
			_, _, _ = c.Change(c.now, AddLearner, j.member)
			return
		}
	}
}

// inactiveMember returns a voter, or a learner, without contact for inactiveTimeouts election timeouts.
func (c *Core) inactiveMember(isVoter bool) (Member, bool) {
	for _, member := range c.members() {
		p := c.lead.find(member.identity())
		if member.IsVoter != isVoter || member.identity() == c.self || p == nil {
			continue
		}
		if !c.now.Before(p.lastContact.Add(inactiveTimeouts * c.settings.ElectionTimeout)) {
			return member, true
		}
	}
	return Member{}, false
}

// mayBeRemoved reports whether the replica had no contact from a leader for so long that the leader may have
// removed it as inactive. It returns false when Settings.Voters is 0.
func (c *Core) mayBeRemoved() bool {
	return c.settings.Voters > 0 && !c.now.Before(c.lastLeaderContact.Add(inactiveTimeouts*c.settings.ElectionTimeout))
}

// replacesInactiveMember reports whether the joiner is a new incarnation of exactly one member, which is inactive.
func (c *Core) replacesInactiveMember(joiner Member) bool {
	old := c.members().named(joiner.ID)
	if len(old) != 1 || old[0].identity() == c.self {
		return false
	}
	return old[0].identity() != joiner.identity() && !c.isActive(old[0].identity())
}

// replace takes the next step of replacing the old incarnation of a member by the new one.
func (c *Core) replace(old, replacement Member) {
	hasNewer := c.hasNewerJoiner(replacement)
	switch {
	case !replacement.IsVoter && hasNewer:
		// The replacement has lost its disk too, before it became a voter.
		_, _, _ = c.Change(c.now, Remove, replacement)
	case !replacement.IsVoter && !old.IsVoter:
		_, _, _ = c.Change(c.now, Remove, old)
	case !replacement.IsVoter && c.hasCaughtUp(replacement.identity()):
		_, _, _ = c.Change(c.now, Promote, replacement)
	case replacement.IsVoter && !c.isActive(old.identity()):
		_, _, _ = c.Change(c.now, Remove, old)
	}
}

// hasNewerJoiner reports whether another incarnation with the replacement's ID asks to join and the replacement is
// inactive.
func (c *Core) hasNewerJoiner(replacement Member) bool {
	for _, j := range c.lead.joining {
		if j.member.ID == replacement.ID && j.member.Incarnation != replacement.Incarnation {
			return !c.isActive(replacement.identity())
		}
	}
	return false
}
