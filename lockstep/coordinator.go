package lockstep

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/relocation"
	"guavahitch.example/guavahitch/wait"
)

const (
	// DefaultInterval is the default of Settings.Interval.
	DefaultInterval = 120 * time.Millisecond
	// DefaultHalfLife is the default of Settings.HalfLife.
	DefaultHalfLife = 400 * time.Millisecond
	// DefaultMinSaving is the default of Settings.MinSaving. Less is within the error of the estimated demand.
	DefaultMinSaving = 0.05
	// DefaultLeadPasses is the default of Settings.LeadPasses.
	DefaultLeadPasses = 2

	// readTimeout is the timeout of one read of a rank, orderTimeout that of one order.
	readTimeout  = 250 * time.Millisecond
	orderTimeout = 90 * time.Millisecond
	// maxConcurrentCalls is the number of ranks that are called at once. The timeout of a call includes the time that the
	// coordinator spends on the other calls under way.
	maxConcurrentCalls = 24
	// pollInterval is the time between two attempts to send an order or to see its effect.
	pollInterval = 15 * time.Millisecond
	// prepareTimeout is the maximum time for copying experts and for waiting until a map is in use.
	prepareTimeout = 4 * time.Second
	// minChoices is the minimum mean weight of the counts of an expert in a set for planning a map. It is also the
	// minimum weight of recent counts, per rank, for detecting a change of the demand.
	minChoices = 2.0
	// slowPace is the State.Pace above which a rank counts as slow.
	slowPace = 1.25
)

// Coordinator balances the expert map of one group during one term of a control leader. It reads the ranks, estimates
// the demand for each expert, and switches to a better map when the gain is large enough.
type Coordinator struct {
	settings  Settings
	engine    Engine
	tokens    *Tokens
	demand    *demand
	passTimer passTimer
	evenPass  evenPass
	// maps is the map in use by set, nil until it was read. mapsVersion and mapsEpoch are its version and epoch.
	maps        []balance.Placement
	mapsVersion uint64
	mapsEpoch   uint64
	// changedAt is the time at which the last switch was in use or the group was settled, changedStep the pass that had begun by
	// then in changedEpoch. Earlier states of a rank say nothing about the orders in effect.
	changedAt       time.Time
	changedStep     uint64
	changedEpoch    uint64
	isSettled       bool
	losses          losses
	contactFailures contactFailures
	armingTimes     armingTimes
	// copyTimes estimates how long copies take, switchDelay is the mean time from the end of the copies until the map was in
	// use, 0 before a switch. lookTime is how long the last read of all ranks took.
	copyTimes             relocation.CopyTimes
	switchDelay, lookTime time.Duration
	// failureReported is the time of the last "failed" event.
	failureReported time.Time
	// slow holds the ranks that were slow at the last read.
	slow map[int]bool
}

// NewCoordinator returns a coordinator for the leader whose fencing tokens are given. All coordinators of one term share
// them.
func NewCoordinator(settings Settings, engine Engine, tokens *Tokens) *Coordinator {
	settings.Interval = cmp.Or(settings.Interval, DefaultInterval)
	settings.HalfLife = cmp.Or(settings.HalfLife, DefaultHalfLife)
	settings.MinSaving = cmp.Or(settings.MinSaving, DefaultMinSaving)
	settings.LeadPasses = cmp.Or(settings.LeadPasses, DefaultLeadPasses)
	return &Coordinator{
		settings: settings, engine: engine, tokens: tokens, demand: newDemand(settings.Shape, settings.HalfLife),
		evenPass: evenPass{expertShare: settings.ExpertShare}, slow: map[int]bool{},
		copyTimes: relocation.NewCopyTimes(cmp.Or(settings.CopyTime, defaultCopyTime)),
	}
}

// Run calls Reconcile at each interval until the context ends. It returns ErrFenced as soon as a later leader has sent
// orders to the group, and nil when the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.settings.Interval)
	defer ticker.Stop()
	for {
		err := c.Reconcile(ctx)
		if eris.Is(err, ErrFenced) {
			return err
		}
		c.reportFailure(err, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// settlingReason returns why an earlier leader or a failed switch may have left orders in effect, "" if none has.
func (c *Coordinator) settlingReason(states []State) string {
	switch {
	case c.settings.Disabled.Settle:
		return ""
	case !c.isSettled:
		return "orders of a failed switch or of an earlier leader may be in effect"
	default:
		return unfinishedSwitch(c.statesSinceChange(states))
	}
}

// reportFailure emits a "failed" event, at most one for each noticeInterval.
func (c *Coordinator) reportFailure(err error, now time.Time) {
	if err == nil || now.Sub(c.failureReported) < noticeInterval {
		return
	}
	c.failureReported = now
	c.emit(Event{Kind: "failed", Detail: err.Error()})
}

// Reconcile reads the ranks once. It then settles the group if needed, or else switches the map if the gain is large
// enough and the map is not paused. It does neither while the group is not complete.
func (c *Coordinator) Reconcile(ctx context.Context) error {
	began := time.Now()
	states, err := c.readAll(ctx, true, false)
	if err != nil {
		return err
	}
	now := time.Now()
	c.lookTime = now.Sub(began)
	c.demand.add(states, now)
	c.timePasses(states, now)
	c.reportSlowRanks(states)
	if !isComplete(states) {
		c.maps = nil
		return nil
	}
	if reason := c.settlingReason(states); reason != "" {
		c.emit(Event{Kind: "settling", Epoch: states[0].Epoch, Version: states[0].MapVersion, Detail: reason})
		return c.settle(ctx, states[0].Epoch)
	}
	current := c.statesSinceChange(states)
	if len(current) == 0 || c.settings.IsPaused != nil && c.settings.IsPaused() {
		return nil
	}
	next, event, err := c.plan(ctx, states, current[0].MapVersion)
	if err != nil || next == nil {
		return err
	}
	return c.switchMap(ctx, states, next, event)
}

// statesSinceChange returns the states that are not from before the last change, by their time and by their pass: a state may
// be older than it says, and all ranks begin a pass together.
func (c *Coordinator) statesSinceChange(states []State) []State {
	return slices.DeleteFunc(slices.Clone(states), func(s State) bool {
		return s.asOf.Before(c.changedAt) || s.Epoch == c.changedEpoch && s.Step < c.changedStep
	})
}

// recordChange records that a switch is in use or the group is settled, as a state shows.
func (c *Coordinator) recordChange(s State) {
	c.changedAt, c.changedStep, c.changedEpoch = time.Now(), s.Step, s.Epoch
}

// timePasses measures the pass time from a rank whose state is not delayed. All ranks begin a pass together, so any one
// is enough. An idle group begins no pass.
func (c *Coordinator) timePasses(states []State, now time.Time) {
	if !isBusy(states) {
		c.passTimer.pause()
		return
	}
	present := slices.IndexFunc(states, func(s State) bool { return s.MaxAge == 0 })
	if present >= 0 {
		c.passTimer.add(states[present], now)
	}
}

// reportSlowRanks emits an event for each rank that has become slow or has recovered.
func (c *Coordinator) reportSlowRanks(states []State) {
	for rank, s := range states {
		if isSlow := s.Pace > slowPace; isSlow != c.slow[rank] {
			c.slow[rank] = isSlow
			c.emit(Event{Kind: "pace", Epoch: s.Epoch, Version: s.MapVersion, Step: s.Step, Detail: fmt.Sprintf(
				"rank %d takes %.2f times the usual pass time, with %d requests running", rank, s.Pace, s.Running)})
		}
	}
}

// nextFence returns the fencing token of the next order, the highest possible one if fencing is disabled.
func (c *Coordinator) nextFence() uint64 {
	if c.settings.Disabled.Fence {
		return math.MaxUint64
	}
	return c.tokens.next()
}

// readAll reads all ranks concurrently and passes the states to OnStates.
func (c *Coordinator) readAll(ctx context.Context, withCounts, withPlacement bool) ([]State, error) {
	states := make([]State, c.settings.Shape.Ranks)
	err := c.forEachRank(ctx, func(ctx context.Context, rank int) error {
		state, err := c.read(ctx, rank, withCounts, withPlacement)
		states[rank] = state
		return err
	})
	if err == nil && c.settings.OnStates != nil {
		c.settings.OnStates(states)
	}
	return states, err
}

// readAllSince reads all ranks until every state is from after a time.
func (c *Coordinator) readAllSince(ctx context.Context, since time.Time) ([]State, error) {
	for {
		states, err := c.readAll(ctx, false, false)
		if err != nil {
			return nil, err
		}
		oldest := slices.MinFunc(states, func(a, b State) int { return a.asOf.Compare(b.asOf) }).asOf
		if !oldest.Before(since) {
			return states, nil
		}
		if !wait.For(ctx, since.Sub(oldest)) {
			return nil, ctx.Err()
		}
	}
}

// read reads one rank and records a failure to reach it.
func (c *Coordinator) read(ctx context.Context, rank int, withCounts, withPlacement bool) (State, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	state, err := c.engine.Read(bounded, rank, withCounts, withPlacement)
	if err != nil {
		c.contactFailures.record(time.Now())
	}
	state.asOf = began.Add(-state.MaxAge)
	return state, err
}

// sendOrder sends an order with the next fencing token to one rank, and returns the rank's state after the order if
// that is known.
func (c *Coordinator) sendOrder(ctx context.Context, rank int, order Order) (*State, error) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order.Fence = c.nextFence()
	after, err := c.engine.Give(bounded, rank, order)
	isLost := err != nil && !eris.Is(err, ErrFenced) && !eris.Is(err, ErrInvalidState)
	c.losses.add(isLost)
	if isLost {
		c.contactFailures.record(time.Now())
	}
	return after, err
}

// forEachRank calls a function for all ranks, maxConcurrentCalls at a time. It returns ErrFenced if any rank returned it,
// and otherwise the first error.
func (c *Coordinator) forEachRank(ctx context.Context, call func(ctx context.Context, rank int) error) error {
	var group sync.WaitGroup
	errs := make([]error, c.settings.Shape.Ranks)
	slots := make(chan struct{}, maxConcurrentCalls)
	for rank := range errs {
		slots <- struct{}{}
		group.Go(func() {
			errs[rank] = call(ctx, rank)
			<-slots
		})
	}
	group.Wait()
	var first error
	for _, err := range errs {
		if eris.Is(err, ErrFenced) {
			return err
		}
		if first == nil {
			first = err
		}
	}
	return first
}

// isComplete reports whether all ranks are in place and in the same epoch of an open group.
func isComplete(states []State) bool {
	for rank, s := range states {
		if !s.IsOpen || s.Rank != rank || s.Epoch != states[0].Epoch {
			return false
		}
	}
	return true
}

// isBusy reports whether the group has running requests. A group without requests begins no pass.
func isBusy(states []State) bool {
	return slices.ContainsFunc(states, func(s State) bool { return s.Running > 0 })
}

// unfinishedSwitch describes a rank that is held or armed, or that uses another map than the first one. It returns ""
// if there is none.
func unfinishedSwitch(states []State) string {
	for _, s := range states {
		if s.HeldStep != 0 || s.ArmedVersion != 0 || s.MapVersion != states[0].MapVersion {
			return fmt.Sprintf("rank %d at pass %d holds pass %d, is armed with version %d for pass %d, uses version %d; "+
				"rank %d uses version %d", s.Rank, s.Step, s.HeldStep, s.ArmedVersion, s.ArmedStep, s.MapVersion,
				states[0].Rank, states[0].MapVersion)
		}
	}
	return ""
}

func (c *Coordinator) emit(e Event) {
	if c.settings.OnEvent != nil {
		e.Group = c.settings.Group
		c.settings.OnEvent(e)
	}
}
