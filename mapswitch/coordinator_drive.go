package mapswitch

import (
	"slices"
	"time"
)

// The phases of a switch: prepare, arm, decide; and its end.

// fault returns what is wrong with a request, or "".
func (s Switch) fault() string {
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

// drive moves the switch in progress as far as it goes.
func (c *Coordinator) drive(now time.Time) {
	if !c.ready || c.deposed {
		return
	}
	if c.active == nil && c.queued != nil {
		c.begin(now)
	}
	if c.active == nil {
		return
	}
	switch c.active.phase {
	case preparing:
		c.drivePrepare(now)
	case arming:
		c.driveArm(now)
	}
}

func (c *Coordinator) begin(now time.Time) {
	request := *c.queued
	c.queued = nil
	layout := Layout{
		Sequence: c.state.Sequence + 1, Map: request.Map.MapReference, Members: request.Members, Stalled: request.Stalled,
	}
	layout = layout.WithSeriesAfter(c.state.InForce)
	if reason := c.misfit(layout); reason != "" {
		c.out.Results = append(c.out.Results, Result{Switch: request, Ending: Refused, Cause: reason})
		return
	}
	c.active = &attempt{request: request, layout: layout, phase: preparing, began: now, entered: now}
	c.instructAll(now)
}

// misfit returns why the layout cannot follow the one in force, or "".
func (c *Coordinator) misfit(layout Layout) string {
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

func (c *Coordinator) drivePrepare(now time.Time) {
	if m, isLost := c.replaced(); isLost {
		c.finish(Abandoned, "rank "+m.Name+" restarted", now)
		return
	}
	if now.Sub(c.active.entered) > c.options.PrepareTimeout {
		c.finish(Abandoned, "weights not present in time", now)
		return
	}
	for _, m := range c.active.layout.Members {
		v := c.view(m)
		if !v.seen || !v.status.Engine.HasWeights(c.active.layout.Map) {
			return
		}
	}
	if !c.active.layout.Stalled && !c.isInUse() {
		return
	}
	c.active.phase = arming
	c.active.entered = now
	c.arm(now)
}

// isInUse reports whether every member in force has reached the step of the last switch.
func (c *Coordinator) isInUse() bool {
	for _, m := range c.state.InForce.Members {
		if v := c.view(m); !v.seen || v.status.Engine.Layout < c.state.InForce.Sequence {
			return false
		}
	}
	return true
}

// arm chooses the step and asks every member for its promise.
func (c *Coordinator) arm(now time.Time) {
	a := c.active
	a.arms++
	step := c.pace.stepAfter(c.options.Allowance*time.Duration(a.arms), now)
	a.layout = a.layout.WithStep(max(step, c.state.InForce.Step+1))
	a.token = c.nextToken()
	c.instructAll(now)
	if c.options.Overrides.NoArm {
		c.decide(true, "", now)
	}
}

func (c *Coordinator) driveArm(now time.Time) {
	a := c.active
	if m, isLost := c.replaced(); isLost {
		c.decide(false, "rank "+m.Name+" restarted", now)
		return
	}
	if now.Sub(a.entered) > c.options.ArmTimeout {
		c.decide(false, "promises not collected in time", now)
		return
	}
	armed := 0
	for _, m := range a.layout.Members {
		v := c.view(m)
		if c.isLate(v) {
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

// isArmed reports whether the member promised to wait at the step of the present arm.
func (c *Coordinator) isArmed(v *view) bool {
	a := c.active
	promise := Hold{Sequence: a.layout.Sequence, Step: a.layout.Step, Token: a.token}
	return v.seen && v.status.Engine.Hold == promise && v.status.Engine.Step < a.layout.Step
}

// isLate reports whether the member had begun the step before the arm reached it.
func (c *Coordinator) isLate(v *view) bool {
	isAnswer := v.seen && !v.status.Answers.Before(c.active.token)
	return isAnswer && v.status.Engine.Step >= c.active.layout.Step
}

func (c *Coordinator) rearm(now time.Time) {
	if c.active.arms >= maxArms {
		c.decide(false, "ranks passed every step that was chosen", now)
		return
	}
	c.arm(now)
}

// replaced returns a member of the switch whose engine has restarted since.
func (c *Coordinator) replaced() (Member, bool) {
	for _, m := range c.active.layout.Members {
		if c.latest[seat{rank: m.Rank, name: m.Name}] > m.Incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// forget drops what is known of members that are neither in force nor in the switch in progress.
func (c *Coordinator) forget() {
	members := append(slices.Clone(c.members()), c.leaving...)
	for m := range c.views {
		if !slices.Contains(members, m) {
			delete(c.views, m)
		}
	}
	for s := range c.latest {
		isSeated := slices.ContainsFunc(members, func(m Member) bool { return m.Rank == s.rank && m.Name == s.name })
		if !isSeated {
			delete(c.latest, s)
		}
	}
}

// decide proposes the durable decision. From here on the coordinator cannot change its mind.
func (c *Coordinator) decide(run bool, cause string, now time.Time) {
	a := c.active
	a.phase = deciding
	a.proposed = now
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
		c.decided(a.record, now)
	}
}

// decided ends the switch in progress when the record decides its number, and tells the members.
func (c *Coordinator) decided(r Record, now time.Time) {
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

// leave notes the members that the layout replaces.
func (c *Coordinator) leave(next Layout, now time.Time) {
	c.leaving = nil
	c.leavingUntil = now.Add(leavingTime)
	for _, m := range c.state.InForce.Members {
		if !next.HasEngine(m.Name, m.Incarnation) {
			c.leaving = append(c.leaving, m)
		}
	}
}

func (c *Coordinator) finish(ending Ending, cause string, now time.Time) {
	result := Result{Switch: c.active.request, Ending: ending, Took: now.Sub(c.active.began)}
	if ending == Ran {
		result.Layout = c.active.layout
	} else {
		result.Cause = cause
	}
	c.out.Results = append(c.out.Results, result)
	c.active = nil
	c.forget()
}

func (c *Coordinator) depose(now time.Time) {
	c.deposed = true
	if c.active != nil {
		c.finish(Abandoned, "leader of a later term", now)
	}
	if c.queued != nil {
		c.out.Results = append(c.out.Results, Result{Switch: *c.queued, Ending: Abandoned, Cause: "leader of a later term"})
		c.queued = nil
	}
}
