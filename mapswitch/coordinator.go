package mapswitch

import (
	"slices"
	"time"

	"guavahitch.example/guavahitch/fencing"
)

const (
	// Ran means that the layout is decided and comes into force at its step.
	Ran Ending = iota
	// Abandoned means that the group stays on its layout.
	Abandoned
	// Superseded means that a later request took the place of this one before it began.
	Superseded
	// Refused means that the request does not fit the group.
	Refused
)

const (
	preparing phase = iota
	arming
	deciding
)

const (
	// DefaultPrepareTimeout bounds the loading of weights.
	DefaultPrepareTimeout = 60 * time.Second
	// DefaultArmTimeout bounds the collection of promises.
	DefaultArmTimeout = 5 * time.Second
	// DefaultPollInterval is the time between instructions while weights are loading.
	DefaultPollInterval = 50 * time.Millisecond
	// DefaultAllowance covers an election of two seconds. It is not set by WithDefaults: a group that counts the
	// delay of a switch higher than the steps lost with a leader goes without.
	DefaultAllowance = 2500 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound the time until an unanswered instruction is repeated.
	minRetryInterval = 5 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
	// maxArms is the number of steps tried for one switch before it is abandoned.
	maxArms = 8
	// leavingTime is how long a member that was replaced is told so; after that its own statuses are awaited.
	leavingTime = 30 * time.Second
)

type (
	// Ending tells how a requested switch ended.
	Ending int

	phase int

	// Options are the settings of a Coordinator.
	Options struct {
		Group   string
		Replica string
		// PrepareTimeout bounds the loading of weights, ArmTimeout the collection of promises.
		PrepareTimeout time.Duration
		ArmTimeout     time.Duration
		// PollInterval is the time between instructions while weights are loading.
		PollInterval time.Duration
		// Allowance is added to the time between arm and run. When it covers an election, a lost leader
		// stalls no step.
		Allowance time.Duration
		// Seams switches mechanisms off in tests.
		Seams Seams
	}

	// Switch is a request to move a group to a map, to other members, or to both.
	Switch struct {
		ChangeID string
		Cause    string
		Map      Map
		Members  []Member
		// Stalled is true when a member that is not in Members is dead.
		Stalled bool
	}

	// Result is the end of a requested switch.
	Result struct {
		Switch Switch
		Ending Ending
		// Cause tells why a switch did not run.
		Cause string
		// Layout is the one decided, when Ending is Ran.
		Layout Layout
		// Took is the time from the begin of the switch to its end.
		Took time.Duration
	}

	// Output is what the caller must do for a coordinator, in this order: propose the records to the
	// replicated log, send the instructions, note the results.
	Output struct {
		Propose []Record
		Send    []Envelope
		Results []Result
	}

	// Coordinator runs the switches of one group, one at a time, for one term of leadership. It stops when it
	// learns of a later term.
	Coordinator struct {
		// Propose, when set, receives each record in place of Output.Propose.
		Propose func(Record)

		options Options
		term    uint64
		count   uint64
		state   State
		deposed bool
		ready   bool
		pace    pace
		views   map[Member]*view
		latest  map[seat]uint64
		// leaving are the members of the layout before, which are told until leavingUntil that they are out.
		leaving      []Member
		leavingUntil time.Time
		active       *attempt
		queued       *Switch
		out          Output
		asked        time.Time
	}

	// attempt is the switch in progress.
	attempt struct {
		request  Switch
		layout   Layout
		phase    phase
		began    time.Time
		entered  time.Time
		token    fencing.Token
		arms     int
		record   Record
		proposed time.Time
	}

	// seat is an engine at a rank, whatever its incarnation.
	seat struct {
		rank int
		name string
	}

	// view is what the coordinator knows of one member.
	view struct {
		status  Status
		seen    bool
		sent    time.Time
		token   fencing.Token
		isAcked bool
	}
)

// String returns the name of the ending.
func (e Ending) String() string {
	return [...]string{"ran", "abandoned", "superseded", "refused"}[e]
}

// WithDefaults returns the options with every unset time set.
func (o Options) WithDefaults() Options {
	if o.PrepareTimeout == 0 {
		o.PrepareTimeout = DefaultPrepareTimeout
	}
	if o.ArmTimeout == 0 {
		o.ArmTimeout = DefaultArmTimeout
	}
	if o.PollInterval == 0 {
		o.PollInterval = DefaultPollInterval
	}
	return o
}

// NewCoordinator returns a coordinator for a leader of the given term. The state is the one that the
// replicated log holds for the group; records committed later go to Committed.
func NewCoordinator(options Options, state State, term uint64) *Coordinator {
	return &Coordinator{
		options: options.WithDefaults(), state: state, term: term, views: map[Member]*view{}, latest: map[seat]uint64{},
	}
}

// Start proposes to take the group over. Nothing else is done until that record is committed.
func (c *Coordinator) Start(now time.Time) Output {
	c.asked = now
	c.propose(Record{Takeover: true})
	return c.flush()
}

// State returns the durable state as far as the coordinator knows it.
func (c *Coordinator) State() State { return c.state }

// IsDeposed reports whether a later leader holds the group.
func (c *Coordinator) IsDeposed() bool { return c.deposed }

// IsIdle reports whether no switch is in progress or queued and every member knows what was decided.
func (c *Coordinator) IsIdle() bool {
	return c.ready && c.active == nil && c.queued == nil && len(c.unsettled()) == 0
}

// Committed takes a record of the group in the order of the replicated log, from whichever leader.
func (c *Coordinator) Committed(r Record, now time.Time) Output {
	state, verdict := c.state.Apply(r)
	if c.options.Seams.NoTermFence && verdict == Fenced {
		r.Term = c.state.Term
		state, verdict = c.state.Apply(r)
	}
	if verdict != Applied {
		return c.flush()
	}
	if r.Run {
		c.leave(r.Layout, now)
	}
	c.state = state
	if state.Term > c.term && !c.options.Seams.NoTermFence {
		c.depose(now)
		return c.flush()
	}
	if r.Takeover && r.Term == c.term {
		c.ready = true
	}
	c.decided(r, now)
	c.drive(now)
	return c.flush()
}

// Request asks for a switch. One that is in progress is finished first; one that waits is superseded.
func (c *Coordinator) Request(s Switch, now time.Time) Output {
	s.Members = sortMembers(s.Members)
	if reason := s.fault(); reason != "" {
		c.out.Results = append(c.out.Results, Result{Switch: s, Ending: Refused, Cause: reason})
		return c.flush()
	}
	if c.deposed {
		c.out.Results = append(c.out.Results, Result{Switch: s, Ending: Abandoned, Cause: "leader of an earlier term"})
		return c.flush()
	}
	if c.queued != nil {
		c.out.Results = append(c.out.Results, Result{Switch: *c.queued, Ending: Superseded, Cause: "later request " + s.ChangeID})
	}
	c.queued = &s
	c.drive(now)
	return c.flush()
}

// Receive takes a status from a sidecar.
func (c *Coordinator) Receive(s Status, now time.Time) Output {
	if c.deposed || s.Group != c.options.Group {
		return c.flush()
	}
	if s.Term > c.term && !c.options.Seams.NoTermFence {
		c.depose(now)
		return c.flush()
	}
	c.observe(s, now)
	c.drive(now)
	return c.flush()
}

// Tick repeats what was not answered and gives up what takes too long. Call it every few milliseconds while
// a switch is in progress, else about every 100 ms.
func (c *Coordinator) Tick(now time.Time) Output {
	if c.deposed {
		return c.flush()
	}
	c.repropose(now)
	c.drive(now)
	c.repeat(now)
	return c.flush()
}

// fault returns what is wrong with a request, or "".
func (s Switch) fault() string {
	if s.Map.Version == 0 || !s.Map.IsWhole() {
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

// observe updates what is known of the member.
func (c *Coordinator) observe(s Status, now time.Time) {
	at := seat{rank: s.Member.Rank, name: s.Member.Name}
	c.latest[at] = max(c.latest[at], s.Member.Incarnation)
	v := c.view(s.Member)
	isNew := !v.seen || !s.Answers.Before(v.status.Answers)
	if isNew {
		v.status, v.seen = s, true
	}
	if !v.token.IsZero() && s.Answers == v.token && !v.isAcked {
		v.isAcked = true
		c.pace.observeAcknowledgement(now.Sub(v.sent))
	}
	c.pace.observeStep(s.Engine.Step, now)
	if s.Settled < c.state.Sequence && c.ready && now.Sub(v.sent) >= c.retryInterval() {
		c.instruct(s.Member, now)
	}
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
	layout = layout.After(c.state.InForce)
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
	if c.options.Seams.NoArm {
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
	if c.options.Seams.NoDurableDecision {
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
