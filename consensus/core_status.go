package consensus

// String returns the name of the role in Status.
func (r role) String() string {
	switch r {
	case leader:
		return "leader"
	case candidate, preCandidate:
		return "candidate"
	default:
		return "follower"
	}
}

// Status returns the replica's state. Applied is the last entry that was delivered to be applied.
func (c *Core) Status() Status {
	return Status{
		ID: c.self.ID, Incarnation: c.self.Incarnation, Term: c.term, Leader: c.leader.ID,
		Role: c.roleName(), Members: append([]Member(nil), c.members()...), Joining: c.joining(),
		Commit: c.commit, Applied: c.delivered,
	}
}

func (c *Core) roleName() string {
	switch {
	case c.group == 0:
		return "blank"
	case c.role == follower && !c.members().isVoter(c.self):
		return "learner"
	default:
		return c.role.String()
	}
}

func (c *Core) joining() []Member {
	if c.role != leader {
		return nil
	}
	joining := make([]Member, 0, len(c.lead.joining))
	for _, j := range c.lead.joining {
		joining = append(joining, j.member)
	}
	return joining
}

func (c *Core) isTransferring() bool { return c.role == leader && c.lead.transfer.isActive }

// logBytes returns the memory of the entries after the last snapshot, in bytes.
func (c *Core) logBytes() int { return c.log.bytes - c.retainedBytes }
