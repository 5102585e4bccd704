package mapswitch

import (
	"slices"
	"time"
)

// This file holds the phases of a switch (prepare, arm, decide) and its end.

// invalidReason returns why the request is malformed, or "".
func (s Switch) invalidReason() string {
	if s.Map.Version == 0 || !s.Map.HasValidChecksum() {
		return "map without version or with a wrong checksum"
	}
	if len(s.Members) == 0 {
		return "no members"
	}
	for n, m := range s.Members {
		if m.Rank != n {
			return "ranks are not numbered from 0 without gaps"
		}
	}
	return ""
}

// advance starts a queued switch if none is in progress and moves the one in progress forward.
func (c *Coordinator) advance(now time.Time) {
	if !c.ready || c.deposed {
		return
	}
	if c.active == nil && c.queued != nil {
		c.beginQueued(now)
	}
	if c.active == nil {
		return
	}
	switch c.active.phase {
	case preparing:
		c.advancePrepare(now)
	case arming:
		c.advanceArm(now)
	}
}

func (c *Coordinator) beginQueued(now time.Time) {
	request := *c.queued
	c.queued = nil
	layout := Layout{
		Sequence: c.state.Sequence + 1, Map: request.Map.MapReference, Members: request.Members, Stalled: request.Stalled,
	}
	layout = layout.WithSeriesAfter(c.state.InForce)
	if reason := c.conflictReason(layout); reason != "" {
		c.output.Results = append(c.output.Results, Result{Switch: request, Ending: Refused, Cause: reason})
		return
	}
	c.active = &attempt{request: request, layout: layout, phase: preparing, startedAt: now, phaseStartedAt: now}
	c.instructAll(now)
}

// conflictReason returns why the layout cannot follow the layout in force, or "".
func (c *Coordinator) conflictReason(layout Layout) string {
	inForce := c.state.InForce
	if layout.Series == layout.Sequence && len(inForce.Members) > 0 && !layout.Stalled {
		return "no member stays, and the group is not said to be stalled"
	}
	for _, m := range layout.Members {
		if inForce.HasEngine(m.Name, m.Incarnation) && !inForce.Has(m) {
			return "engine " + m.Name + " would change its rank while it runs"
		}
	}
	return ""
}

func (c *Coordinator) advancePrepare(now time.Time) {
	if m, hasRestarted := c.restartedMember(); hasRestarted {
		c.finish(Abandoned, "rank "+m.Name+" restarted", now)
		return
	}
	if now.Sub(c.active.phaseStartedAt) > c.options.PrepareTimeout {
		c.finish(Abandoned, "weights not present in time", now)
		return
	}
	for _, m := range c.active.layout.Members {
		v := c.stateOf(m)
		if !v.hasStatus || !v.status.Engine.HasWeights(c.active.layout.Map) {
			return
		}
	}
	if !c.active.layout.Stalled && !c.isInForceUsed() {
		return
	}
	c.active.phase = arming
	c.active.phaseStartedAt = now
	c.arm(now)
}

// isInForceUsed reports whether every member in force uses the layout in force, that is, has reached the step of the
// last switch.
func (c *Coordinator) isInForceUsed() bool {
	for _, m := range c.state.InForce.Members {
		if v := c.stateOf(m); !v.hasStatus || v.status.Engine.Layout < c.state.InForce.Sequence {
			return false
		}
	}
	return true
}

// arm chooses the activation step and asks every member to promise not to begin it before the decision. The allowance
// grows with each attempt.
func (c *Coordinator) arm(now time.Time) {
	a := c.active
	a.armCount++
	step := c.timing.activationStep(c.options.Allowance*time.Duration(a.armCount), now)
	a.layout = a.layout.WithStep(max(step, c.state.InForce.Step+1))
	a.token = c.nextToken()
	c.instructAll(now)
	if c.options.Overrides.NoArm {
		c.decide(true, "", now)
	}
}

func (c *Coordinator) advanceArm(now time.Time) {
	a := c.active
	if m, hasRestarted := c.restartedMember(); hasRestarted {
		c.decide(false, "rank "+m.Name+" restarted", now)
		return
	}
	if now.Sub(a.phaseStartedAt) > c.options.ArmTimeout {
		c.decide(false, "promises not collected in time", now)
		return
	}
	armed := 0
	for _, m := range a.layout.Members {
		v := c.stateOf(m)
		if c.hasPassedStep(v) {
			c.rearm(now)
			return
		}
		if c.isArmed(v) {
			armed++
		}
	}
	if armed == len(a.layout.Members) {
		c.decide(true, "", now)
	}
}

// isArmed reports whether the member has promised to hold at the step of the current arm.
func (c *Coordinator) isArmed(v *memberState) bool {
	a := c.active
	promise := Hold{Sequence: a.layout.Sequence, Step: a.layout.Step, Token: a.token}
	return v.hasStatus && v.status.Engine.Hold == promise && v.status.Engine.Step < a.layout.Step
}

// hasPassedStep reports whether the member has answered the arm after it had begun the activation step.
func (c *Coordinator) hasPassedStep(v *memberState) bool {
	isAnswer := v.hasStatus && !v.status.Answers.Before(c.active.token)
	return isAnswer && v.status.Engine.Step >= c.active.layout.Step
}

func (c *Coordinator) rearm(now time.Time) {
	if c.active.armCount >= maxArms {
		c.decide(false, "ranks passed every step that was chosen", now)
		return
	}
	c.arm(now)
}

// restartedMember returns a member of the switch whose engine has restarted since the request.
func (c *Coordinator) restartedMember() (Member, bool) {
	for _, m := range c.active.layout.Members {
		if c.latestIncarnations[rankEngine{rank: m.Rank, name: m.Name}] > m.Incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// pruneMembers drops the state of members that are not in force, in the switch in progress or recently replaced.
func (c *Coordinator) pruneMembers() {
	members := append(slices.Clone(c.members()), c.replaced...)
	for m := range c.memberStates {
		if !slices.Contains(members, m) {
			delete(c.memberStates, m)
		}
	}
	for s := range c.latestIncarnations {
		isUsed := slices.ContainsFunc(members, func(m Member) bool { return m.Rank == s.rank && m.Name == s.name })
		if !isUsed {
			delete(c.latestIncarnations, s)
		}
	}
}

// decide proposes the decision. The coordinator cannot change it afterwards, since the record may be committed.
func (c *Coordinator) decide(run bool, cause string, now time.Time) {
	a := c.active
	a.phase = deciding
	a.proposedAt = now
	a.record = Record{
		Sequence: a.layout.Sequence, Run: run, ChangeID: a.request.ChangeID, Cause: a.request.Cause,
	}
	if run {
		a.record.Layout = a.layout
	} else {
		a.record.Cause = cause
	}
	a.record = c.propose(a.record)
	if c.options.Overrides.NoDurableDecision {
		c.state, _ = c.state.Apply(a.record)
		c.applyDecision(a.record, now)
	}
}

// applyDecision ends the switch in progress if its sequence number has been decided, and instructs the members. The
// switch did not run if the decision is for another layout.
func (c *Coordinator) applyDecision(r Record, now time.Time) {
	a := c.active
	if a != nil && a.layout.Sequence <= c.state.Sequence {
		ending := Abandoned
		if r.Run && r.Layout.IsSame(a.layout) {
			ending = Ran
		}
		c.finish(ending, r.Cause, now)
	}
	if c.ready {
		c.instructAll(now)
	}
}

// trackReplaced records the members that the next layout replaces.
func (c *Coordinator) trackReplaced(next Layout, now time.Time) {
	c.replaced = nil
	c.replacedUntil = now.Add(replacedNoticeTime)
	for _, m := range c.state.InForce.Members {
		if !next.HasEngine(m.Name, m.Incarnation) {
			c.replaced = append(c.replaced, m)
		}
	}
}

func (c *Coordinator) finish(ending Ending, cause string, now time.Time) {
	result := Result{Switch: c.active.request, Ending: ending, Took: now.Sub(c.active.startedAt)}
	if ending == Ran {
		result.Layout = c.active.layout
	} else {
		result.Cause = cause
	}
	c.output.Results = append(c.output.Results, result)
	c.active = nil
	c.pruneMembers()
}

func (c *Coordinator) depose(now time.Time) {
	c.deposed = true
	if c.active != nil {
		c.finish(Abandoned, "leader of a later term", now)
	}
	if c.queued != nil {
		c.output.Results = append(c.output.Results, Result{
			Switch: *c.queued, Ending: Abandoned, Cause: "leader of a later term",
		})
		c.queued = nil
	}
}
