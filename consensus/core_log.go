package consensus

// The state that the core persists: its term and vote, and the log with the memberships in it.

import "guavahitch.example/guavahitch/wire"

func (c *Core) saveState() {
	c.write.State = &wire.ReplicaState{
		Term: c.term, Vote: c.vote.ID, VoteIncarnation: c.vote.Incarnation, Group: c.group,
	}
	c.durability.stateWrite = c.durability.next
}

// appendEntries adds entries to the log and to the next write. It truncates the log first when the entries
// start at an index that the log already holds.
func (c *Core) appendEntries(entries []*wire.LogEntry) {
	if len(entries) == 0 {
		return
	}
	if before := entries[0].Index - 1; before < c.log.last() {
		c.truncate(before)
	}
	c.log.append(entries...)
	for _, e := range entries {
		c.trackEntry(e)
	}
	c.write.Entries = append(c.write.Entries, entries...)
	c.durability.recordAppend(c.log.last())
}

func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	c.durability.recordTruncate(index)
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index > index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// trackEntry updates the newest log time and the memberships from an appended entry.
func (c *Core) trackEntry(e *wire.LogEntry) {
	c.lastTimeMs = max(c.lastTimeMs, e.TimeMs)
	if e.Kind != wire.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	members, err := decodeMembership(e.Data)
	if err != nil {
		c.fault = "membership entry cannot be read: " + err.Error()
		return
	}
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= e.Index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
	c.memberships = append(c.memberships, membershipAt{index: e.Index, members: members})
}

// members returns the newest membership in the log, committed or not.
func (c *Core) members() membership { return c.memberships[len(c.memberships)-1].members }

// membersAt returns the membership that applies at an index.
func (c *Core) membersAt(index uint64) membership {
	found := c.memberships[0].members
	for _, h := range c.memberships {
		if h.index <= index {
			found = h.members
		}
	}
	return found
}
