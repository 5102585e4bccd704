package consensus

// What the core writes down: its term and vote, and the log with the memberships that it holds.

import "guavahitch.example/guavahitch/wire"

func (c *Core) saveState() {
	c.write.State = &wire.ReplicaState{
		Term: c.term, Vote: c.vote.ID, VoteIncarnation: c.vote.Incarnation, Group: c.group,
	}
	c.durability.stateGate = c.durability.next
}

// appendEntries puts entries at the end of the log and into the next write.
func (c *Core) appendEntries(entries []*wire.LogEntry) {
	if len(entries) == 0 {
		return
	}
	if before := entries[0].Index - 1; before < c.log.last() {
		c.truncate(before)
	}
	c.log.append(entries...)
	for _, e := range entries {
		c.noteEntry(e)
	}
	c.write.Entries = append(c.write.Entries, entries...)
	c.durability.appended(c.log.last())
}

func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	c.durability.truncated(index)
	for len(c.history) > 1 && c.history[len(c.history)-1].index > index {
		c.history = c.history[:len(c.history)-1]
	}
}

// noteEntry takes over what an appended entry says about the group and the time.
func (c *Core) noteEntry(e *wire.LogEntry) {
	c.lastTimeMs = max(c.lastTimeMs, e.TimeMs)
	if e.Kind != wire.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	members, err := decodeMembership(e.Data)
	if err != nil {
		c.fault = "membership entry cannot be read: " + err.Error()
		return
	}
	for len(c.history) > 1 && c.history[len(c.history)-1].index >= e.Index {
		c.history = c.history[:len(c.history)-1]
	}
	c.history = append(c.history, membershipAt{index: e.Index, members: members})
}

// members returns the newest membership in the log, committed or not.
func (c *Core) members() membership { return c.history[len(c.history)-1].members }

// membersAt returns the membership in force at an index.
func (c *Core) membersAt(index uint64) membership {
	found := c.history[0].members
	for _, h := range c.history {
		if h.index <= index {
			found = h.members
		}
	}
	return found
}
