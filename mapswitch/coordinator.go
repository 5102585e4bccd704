package mapswitch

import (
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
		// Overrides switches mechanisms off in tests.
		Overrides TestOverrides
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

// ReceiveCommitted takes a record of the group in the order of the replicated log, from whichever leader.
func (c *Coordinator) ReceiveCommitted(r Record, now time.Time) Output {
	state, verdict := c.state.Apply(r)
	if c.options.Overrides.NoTermFence && verdict == Fenced {
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
	if state.Term > c.term && !c.options.Overrides.NoTermFence {
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
	if s.Term > c.term && !c.options.Overrides.NoTermFence {
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
