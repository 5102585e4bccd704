package mapswitch

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/fencing"
)

// This file decides which instructions and records the coordinator sends and when it repeats them: instructions until
// the member has carried them out, records until they are committed.

// repropose proposes an uncommitted record again. A duplicate does not change the state (see State.Apply).
func (c *Coordinator) repropose(now time.Time) {
	if !c.ready && now.Sub(c.takeoverProposedAt) >= maxRetryInterval {
		c.takeoverProposedAt = now
		c.propose(Record{Takeover: true})
	}
	a := c.active
	if a != nil && a.phase == deciding && now.Sub(a.proposedAt) >= maxRetryInterval {
		a.proposedAt = now
		c.propose(a.record)
	}
}

// repeatInstructions repeats the instruction to every member that has not carried it out.
func (c *Coordinator) repeatInstructions(now time.Time) {
	if !c.ready {
		return
	}
	interval := c.retryInterval()
	if c.active != nil && c.active.phase == preparing {
		interval = max(interval, c.options.PollInterval)
	}
	for _, m := range append(c.unsettled(), c.notYetRetired(now)...) {
		if now.Sub(c.stateOf(m).instructedAt) >= interval {
			c.instruct(m, now)
		}
	}
}

// notYetRetired returns the replaced members that have not retired, until replacedUntil.
func (c *Coordinator) notYetRetired(now time.Time) []Member {
	if now.After(c.replacedUntil) {
		c.replaced = nil
	}
	return slices.DeleteFunc(slices.Clone(c.replaced), func(m Member) bool {
		v := c.stateOf(m)
		return v.hasStatus && v.status.Settled >= c.state.InForce.Sequence && v.status.Engine.Newest() == 0
	})
}

// unsettled returns the members that have not carried out the latest decision and the current arm.
func (c *Coordinator) unsettled() []Member {
	var members []Member
	for _, m := range c.members() {
		if !c.isSettled(m) {
			members = append(members, m)
		}
	}
	return members
}

func (c *Coordinator) isSettled(m Member) bool {
	v := c.stateOf(m)
	if !v.hasStatus || v.status.Settled < c.state.Sequence {
		return false
	}
	engine := v.status.Engine
	if c.state.InForce.Has(m) && engine.Newest() < c.state.InForce.Sequence {
		return false
	}
	if c.active == nil || !c.active.layout.Has(m) {
		return engine.Hold.Sequence == 0 || engine.Hold.Sequence > c.state.Sequence
	}
	return c.active.phase == arming && c.isArmed(v)
}

// members returns the members in force and the members of the switch in progress.
func (c *Coordinator) members() []Member {
	members := c.state.InForce.Members
	if c.active == nil {
		return members
	}
	members = slices.Clone(members)
	for _, m := range c.active.layout.Members {
		if !slices.Contains(members, m) {
			members = append(members, m)
		}
	}
	return members
}

func (c *Coordinator) instructAll(now time.Time) {
	for _, m := range c.members() {
		c.instruct(m, now)
	}
}

// instruct sends a member the durable state. Members of the switch in progress also get the map to load and, in the
// arming phase, the layout to arm.
func (c *Coordinator) instruct(m Member, now time.Time) {
	i := Instruction{
		Group: c.options.Group, Rank: m.Rank, Token: c.nextToken(), Replica: c.options.Replica, State: c.state,
	}
	if a := c.active; a != nil && a.layout.Has(m) {
		i.Prepare = c.prepareFor(m)
		if a.phase == arming {
			i.Arm, i.ArmToken = a.layout, a.token
		}
	}
	v := c.stateOf(m)
	v.instructedAt, v.token, v.isAcked = now, i.Token, false
	c.output.Send = append(c.output.Send, Envelope{To: m, Instruction: i})
}

// prepareFor returns the map to load, or no map if the member has already loaded its weights.
func (c *Coordinator) prepareFor(m Member) Map {
	wanted := c.active.request.Map
	v := c.stateOf(m)
	if v.hasStatus && v.status.Engine.HasWeights(wanted.MapReference) {
		return Map{}
	}
	return wanted
}

func (c *Coordinator) propose(r Record) Record {
	r.Group, r.Term, r.Replica = c.options.Group, c.term, c.options.Replica
	if c.Propose != nil {
		c.Propose(r)
		return r
	}
	c.output.Propose = append(c.output.Propose, r)
	return r
}

func (c *Coordinator) nextToken() fencing.Token {
	c.tokenCount++
	return fencing.Token{Term: c.term, Count: c.tokenCount}
}

func (c *Coordinator) retryInterval() time.Duration {
	return min(max(2*c.timing.acknowledgement(), minRetryInterval), maxRetryInterval)
}

func (c *Coordinator) stateOf(m Member) *memberState {
	v, isKnown := c.memberStates[m]
	if !isKnown {
		v = &memberState{}
		c.memberStates[m] = v
	}
	return v
}

func (c *Coordinator) takeOutput() Output {
	out := c.output
	c.output = Output{}
	return out
}
