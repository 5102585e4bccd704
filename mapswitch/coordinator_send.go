package mapswitch

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/fencing"
)

// What the coordinator says, to whom and how often: instructions until each member has done what is wanted of
// it, records until they are committed.

// repropose repeats a record that was not committed in time; the log drops duplicates.
func (c *Coordinator) repropose(now time.Time) {
	if !c.ready && now.Sub(c.asked) >= maxRetryInterval {
		c.asked = now
		c.propose(Record{Takeover: true})
	}
	a := c.active
	if a != nil && a.phase == deciding && now.Sub(a.proposed) >= maxRetryInterval {
		a.proposed = now
		c.propose(a.record)
	}
}

// repeat instructs again every member that has not done what is wanted of it.
func (c *Coordinator) repeat(now time.Time) {
	if !c.ready {
		return
	}
	interval := c.retryInterval()
	if c.active != nil && c.active.phase == preparing {
		interval = max(interval, c.options.PollInterval)
	}
	for _, m := range append(c.unsettled(), c.staying(now)...) {
		if now.Sub(c.view(m).sent) >= interval {
			c.instruct(m, now)
		}
	}
}

// staying returns the replaced members that have not retired yet.
func (c *Coordinator) staying(now time.Time) []Member {
	if now.After(c.leavingUntil) {
		c.leaving = nil
	}
	return slices.DeleteFunc(slices.Clone(c.leaving), func(m Member) bool {
		v := c.view(m)
		return v.seen && v.status.Settled >= c.state.InForce.Sequence && v.status.Engine.Newest() == 0
	})
}

// unsettled returns the members that have not done what is wanted of them.
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
	v := c.view(m)
	if !v.seen || v.status.Settled < c.state.Sequence {
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

// members returns the members in force and those of the switch in progress.
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

// instruct sends the durable state and, to a member of the switch in progress, what is wanted of it.
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
	v := c.view(m)
	v.sent, v.token, v.isAcked = now, i.Token, false
	c.out.Send = append(c.out.Send, Envelope{To: m, Instruction: i})
}

// prepareFor returns the map, with its content only for a member that lacks the weights.
func (c *Coordinator) prepareFor(m Member) Map {
	wanted := c.active.request.Map
	v := c.view(m)
	if v.seen && v.status.Engine.HasWeights(wanted.MapReference) {
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
	c.out.Propose = append(c.out.Propose, r)
	return r
}

func (c *Coordinator) nextToken() fencing.Token {
	c.count++
	return fencing.Token{Term: c.term, Count: c.count}
}

func (c *Coordinator) retryInterval() time.Duration {
	return min(max(2*c.pace.acknowledgement(), minRetryInterval), maxRetryInterval)
}

func (c *Coordinator) view(m Member) *view {
	v, isKnown := c.views[m]
	if !isKnown {
		v = &view{}
		c.views[m] = v
	}
	return v
}

func (c *Coordinator) flush() Output {
	out := c.out
	c.out = Output{}
	return out
}
