package consensus

// Replacing members that lost their disks, by the leader and without an operator: the new incarnation becomes
// a learner, catches up and is promoted, and only then the old one is removed. Each step is one change of
// membership, and a new leader goes on from what the membership shows.

const (
	// joinerTimeouts is the number of election timeouts after which a silent joiner is forgotten.
	joinerTimeouts = 10
	// silentTimeouts is the number of election timeouts after which a silent voter may be replaced by another
	// replica.
	silentTimeouts = 4
	// maxJoiners bounds the joiners that a leader remembers.
	maxJoiners = 16
)

func (c *Core) noteJoiner(member Member) {
	if _, isKnown := c.members().find(member.identity()); isKnown {
		return
	}
	kept := c.lead.joining[:0]
	for _, j := range c.lead.joining {
		isFresh := c.now.Before(j.heard.Add(joinerTimeouts * c.settings.ElectionTimeout))
		if isFresh && j.member.ID != member.ID {
			kept = append(kept, j)
		}
	}
	c.lead.joining = kept
	if len(c.lead.joining) < maxJoiners {
		c.lead.joining = append(c.lead.joining, joiner{member: member, heard: c.now})
	}
}

// tickReplacing takes the next step of a replacement, if one is due. A refused step is tried again with a
// later heartbeat.
func (c *Core) tickReplacing() {
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
		isFresh := c.now.Before(j.heard.Add(joinerTimeouts * c.settings.ElectionTimeout))
		if isFresh && c.isLost(j.member) {
			_, _, _ = c.Change(c.now, AddLearner, j.member)
			return
		}
	}
	c.tickVoters()
}

// tickVoters takes the next step towards the wanted number of voters, if one is due.
func (c *Core) tickVoters() {
	wanted := c.settings.Voters
	if wanted == 0 {
		return
	}
	voters := len(c.members().voters())
	silent, hasSilent := c.silentMember(true)
	if lost, hasLost := c.silentMember(false); hasLost {
		_, _, _ = c.Change(c.now, Remove, lost)
		return
	}
	if hasSilent && voters > wanted {
		_, _, _ = c.Change(c.now, Remove, silent)
		return
	}
	if voters >= wanted && !hasSilent || voters > wanted {
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
		isFresh := c.now.Before(j.heard.Add(joinerTimeouts * c.settings.ElectionTimeout))
		if isFresh && len(c.members().named(j.member.ID)) == 0 {
			_, _, _ = c.Change(c.now, AddLearner, j.member)
			return
		}
	}
}

// silentMember returns a voter, or a learner, that was not heard from for long.
func (c *Core) silentMember(isVoter bool) (Member, bool) {
	for _, member := range c.members() {
		p := c.lead.find(member.identity())
		if member.IsVoter != isVoter || member.identity() == c.self || p == nil {
			continue
		}
		if !c.now.Before(p.heard.Add(silentTimeouts * c.settings.ElectionTimeout)) {
			return member, true
		}
	}
	return Member{}, false
}

// isForgotten reports whether a voter heard from no leader for so long that it may have been removed.
func (c *Core) isForgotten() bool {
	return c.settings.Voters > 0 && !c.now.Before(c.leaderHeard.Add(silentTimeouts*c.settings.ElectionTimeout))
}

// isLost reports whether the joiner is the new incarnation of one silent member.
func (c *Core) isLost(joiner Member) bool {
	old := c.members().named(joiner.ID)
	if len(old) != 1 || old[0].identity() == c.self {
		return false
	}
	return old[0].identity() != joiner.identity() && !c.isHeard(old[0].identity())
}

func (c *Core) replace(old, replacement Member) {
	joiner := c.newerJoiner(replacement)
	switch {
	case !replacement.IsVoter && joiner:
		// The replacement lost its disk as well, before it had a vote.
		_, _, _ = c.Change(c.now, Remove, replacement)
	case !replacement.IsVoter && !old.IsVoter:
		_, _, _ = c.Change(c.now, Remove, old)
	case !replacement.IsVoter && c.hasCaughtUp(replacement.identity()):
		_, _, _ = c.Change(c.now, Promote, replacement)
	case replacement.IsVoter && !c.isHeard(old.identity()):
		_, _, _ = c.Change(c.now, Remove, old)
	}
}

// newerJoiner reports whether a third incarnation asks for the place of the replacement.
func (c *Core) newerJoiner(replacement Member) bool {
	for _, j := range c.lead.joining {
		if j.member.ID == replacement.ID && j.member.Incarnation != replacement.Incarnation {
			return !c.isHeard(replacement.identity())
		}
	}
	return false
}
