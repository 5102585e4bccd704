package mapswitch

import (
	"time"

	"guavahitch.example/guavahitch/fencing"
)

const (
	// Ran means that the layout was committed and takes effect at its step.
	Ran Ending = iota
	// Abandoned means that the group stays on its present layout.
	Abandoned
	// Superseded means that a later request replaced this one before it began.
	Superseded
	// Refused means that the request is invalid or incompatible with the layout in force.
	Refused
)

const (
	preparing phase = iota
	arming
	deciding
)

const (
	// DefaultPrepareTimeout is the default of Options.PrepareTimeout.
	DefaultPrepareTimeout = 60 * time.Second
	// DefaultArmTimeout is the default of Options.ArmTimeout.
	DefaultArmTimeout = 5 * time.Second
	// DefaultPollInterval is the default of Options.PollInterval.
	DefaultPollInterval = 50 * time.Millisecond
	// DefaultAllowance is a value for Options.Allowance that covers an election of two seconds. WithDefaults does
	// not set it: a group for which a fast switch matters more than the steps lost with a leader uses none.
	DefaultAllowance = 2500 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound the time after which an unanswered instruction is repeated. An
	// uncommitted record is proposed again after maxRetryInterval.
	minRetryInterval = 5 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
	// maxArms is the number of activation steps tried before a switch is abandoned.
	maxArms = 8
	// replacedNoticeTime is how long the coordinator keeps instructing a replaced member that has not retired.
	// After that it only answers the statuses that the member sends.
	replacedNoticeTime = 30 * time.Second
)

type (
	// Ending is the final outcome of a requested switch.
	Ending int

	phase int

	// Options configure a Coordinator.
	Options struct {
		Group   string
		Replica string
		// PrepareTimeout bounds the loading of weights, ArmTimeout the collection of promises from the ranks.
		PrepareTimeout time.Duration
		ArmTimeout     time.Duration
		// PollInterval is the minimum time between instructions to a rank while weights are loading.
		PollInterval time.Duration
		// Allowance is added to the time between arm and run. If it covers an election, the loss of the leader
		// delays no step.
		Allowance time.Duration
		// Overrides disables mechanisms of the protocol in tests.
		Overrides TestOverrides
	}

	// Switch is a request to move a group to another map, to other members, or both.
	Switch struct {
		ChangeID string
		Cause    string
		Map      Map
		Members  []Member
		// Stalled is true when a member in force that is missing from Members is dead.
		Stalled bool
	}

	// Result describes how a requested switch ended.
	Result struct {
		Switch Switch
		Ending Ending
		// Cause is the reason why the switch did not run.
		Cause string
		// Layout is the committed layout if Ending is Ran.
		Layout Layout
		// Took is the time from the start of the switch to its end, without the time in the queue.
		Took time.Duration
	}

	// Output lists what the caller must do for a coordinator, in this order: propose the records to the replicated
	// log, send the instructions, record the results.
	Output struct {
		Propose []Record
		Send    []Envelope
		Results []Result
	}

	// Coordinator runs the switches of one group, one at a time, for one leader term. It stops when it observes a
	// later term. It is not safe for concurrent use.
	Coordinator struct {
		// Propose, if set, is called with each record instead of listing it in Output.Propose.
		Propose func(Record)

		options            Options
		term               uint64
		tokenCount         uint64
		state              State
		deposed            bool
		ready              bool
		timing             stepTiming
		memberStates       map[Member]*memberState
		latestIncarnations map[rankEngine]uint64
		// replaced are the members that the layout in force replaced. They are instructed until replacedUntil.
		replaced           []Member
		replacedUntil      time.Time
		active             *attempt
		queued             *Switch
		output             Output
		takeoverProposedAt time.Time
	}

	// attempt is the state of the switch in progress.
	attempt struct {
		request        Switch
		layout         Layout
		phase          phase
		startedAt      time.Time
		phaseStartedAt time.Time
		token          fencing.Token
		armCount       int
		record         Record
		proposedAt     time.Time
	}

	// rankEngine identifies an engine at a rank in any incarnation.
	rankEngine struct {
		rank int
		name string
	}

	// memberState holds the latest status of a member and the latest instruction sent to it.
	memberState struct {
		status       Status
		hasStatus    bool
		instructedAt time.Time
		token        fencing.Token
		isAcked      bool
	}
)

// String returns the name of the ending.
func (e Ending) String() string {
	return [...]string{"ran", "abandoned", "superseded", "refused"}[e]
}

// WithDefaults returns the options with default timeouts and intervals where they are unset.
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

// NewCoordinator returns a coordinator for the leader of the given term. The state is the group's state in the
// replicated log; the caller passes records committed later to ReceiveCommitted.
func NewCoordinator(options Options, state State, term uint64) *Coordinator {
	return &Coordinator{
		options: options.WithDefaults(), state: state, term: term,
		memberStates: map[Member]*memberState{}, latestIncarnations: map[rankEngine]uint64{},
	}
}

// Start proposes the takeover of the group. The coordinator does nothing else until that record is committed.
func (c *Coordinator) Start(now time.Time) Output {
	c.takeoverProposedAt = now
	c.propose(Record{Takeover: true})
	return c.takeOutput()
}

// State returns the durable state after the records received so far.
func (c *Coordinator) State() State { return c.state }

// IsDeposed reports whether the coordinator has stopped because it observed a later leader term.
func (c *Coordinator) IsDeposed() bool { return c.deposed }

// IsIdle reports whether no switch is in progress or queued and every member has carried out the last decision.
func (c *Coordinator) IsIdle() bool {
	return c.ready && c.active == nil && c.queued == nil && len(c.unsettled()) == 0
}

// ReceiveCommitted applies a committed record of the group, proposed by any leader. The caller passes records in log
// order.
func (c *Coordinator) ReceiveCommitted(r Record, now time.Time) Output {
	state, verdict := c.state.Apply(r)
	if c.options.Overrides.NoTermFence && verdict == Fenced {
		r.Term = c.state.Term
		state, verdict = c.state.Apply(r)
	}
	if verdict != Applied {
		return c.takeOutput()
	}
	if r.Run {
		c.trackReplaced(r.Layout, now)
	}
	c.state = state
	if state.Term > c.term && !c.options.Overrides.NoTermFence {
		c.depose(now)
		return c.takeOutput()
	}
	if r.Takeover && r.Term == c.term {
		c.ready = true
	}
	c.applyDecision(r, now)
	c.advance(now)
	return c.takeOutput()
}

// Request queues a switch, which starts when the one in progress has ended. It supersedes a queued switch.
func (c *Coordinator) Request(s Switch, now time.Time) Output {
	s.Members = sortMembers(s.Members)
	if reason := s.invalidReason(); reason != "" {
		c.output.Results = append(c.output.Results, Result{Switch: s, Ending: Refused, Cause: reason})
		return c.takeOutput()
	}
	if c.deposed {
		c.output.Results = append(c.output.Results, Result{Switch: s, Ending: Abandoned, Cause: "leader of an earlier term"})
		return c.takeOutput()
	}
	if c.queued != nil {
		c.output.Results = append(c.output.Results, Result{
			Switch: *c.queued, Ending: Superseded, Cause: "later request " + s.ChangeID,
		})
	}
	c.queued = &s
	c.advance(now)
	return c.takeOutput()
}

// Receive processes a status from a sidecar.
func (c *Coordinator) Receive(s Status, now time.Time) Output {
	if c.deposed || s.Group != c.options.Group {
		return c.takeOutput()
	}
	if s.Term > c.term && !c.options.Overrides.NoTermFence {
		c.depose(now)
		return c.takeOutput()
	}
	c.observe(s, now)
	c.advance(now)
	return c.takeOutput()
}

// Tick repeats unanswered instructions and uncommitted records and enforces the timeouts. The caller calls it every
// few milliseconds while a switch is in progress, otherwise about every 100 ms.
func (c *Coordinator) Tick(now time.Time) Output {
	if c.deposed {
		return c.takeOutput()
	}
	c.repropose(now)
	c.advance(now)
	c.repeatInstructions(now)
	return c.takeOutput()
}

// observe records the status and the timing it shows. A member that has missed a decision is instructed again.
func (c *Coordinator) observe(s Status, now time.Time) {
	at := rankEngine{rank: s.Member.Rank, name: s.Member.Name}
	c.latestIncarnations[at] = max(c.latestIncarnations[at], s.Member.Incarnation)
	v := c.stateOf(s.Member)
	isNew := !v.hasStatus || !s.Answers.Before(v.status.Answers)
	if isNew {
		v.status, v.hasStatus = s, true
	}
	if !v.token.IsZero() && s.Answers == v.token && !v.isAcked {
		v.isAcked = true
		c.timing.observeAcknowledgement(now.Sub(v.instructedAt))
	}
	c.timing.observeStep(s.Engine.Step, now)
	if s.Settled < c.state.Sequence && c.ready && now.Sub(v.instructedAt) >= c.retryInterval() {
		c.instruct(s.Member, now)
	}
}
