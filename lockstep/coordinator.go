package lockstep

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/balance"
)

const (
	// DefaultInterval is the time between two looks at the ranks.
	DefaultInterval = 120 * time.Millisecond
	// DefaultHalfLife is the time in which a count loses half of its weight.
	DefaultHalfLife = 400 * time.Millisecond
	// DefaultMinGain is the least part of the busiest ranks' load that a switch has to save.
	DefaultMinGain = 0.07
	// DefaultLeadPasses is how many passes ahead a switch is armed.
	DefaultLeadPasses = 2

	// readTimeout bounds one look at a rank, orderTimeout the wait for the answer to an order.
	readTimeout  = 250 * time.Millisecond
	orderTimeout = 90 * time.Millisecond
	// pollInterval is the time between two looks at a rank that has something to finish.
	pollInterval = 15 * time.Millisecond
	// prepareTimeout bounds the copying of experts.
	prepareTimeout = 4 * time.Second
	// leastChoices is the least weight of counts that a map is planned from, for each expert.
	leastChoices = 2.0
	// leastGoal is the evenness beyond which a map is not levelled.
	leastGoal = 1.15
	// slowPace is the time of a step over that of a healthy rank from which a rank counts as slow.
	slowPace = 1.25
	// termBits leaves room for the orders of one term below the next term's tokens.
	termBits = 24
)

// Coordinator switches the maps of one group for one term of leadership.
type Coordinator struct {
	settings Settings
	engine   Engine
	term     uint64
	count    atomic.Uint64
	demand   *demand
	pace     pace
	// maps holds the placement in use, nil until it was read; mapsVersion and mapsEpoch tell of which map.
	maps        []balance.Placement
	mapsVersion uint64
	mapsEpoch   uint64
	isSettled   bool
	losses      losses
	trouble     trouble
	arming      arming
	// noted is when a failure was told of last.
	noted time.Time
	// slow holds the ranks that were slow at the last look.
	slow map[int]bool
}

// NewCoordinator returns a coordinator for a leader of the given term.
func NewCoordinator(settings Settings, engine Engine, term uint64) *Coordinator {
	settings.Interval = cmp.Or(settings.Interval, DefaultInterval)
	settings.HalfLife = cmp.Or(settings.HalfLife, DefaultHalfLife)
	settings.MinGain = cmp.Or(settings.MinGain, DefaultMinGain)
	settings.LeadPasses = cmp.Or(settings.LeadPasses, DefaultLeadPasses)
	return &Coordinator{settings: settings, engine: engine, term: term, demand: newDemand(settings.Shape, settings.HalfLife), slow: map[int]bool{}}
}

// Run looks after the group until the context ends, or until a later leader gives orders; the error is then
// ErrFenced.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.settings.Interval)
	defer ticker.Stop()
	for {
		err := c.Reconcile(ctx)
		if eris.Is(err, ErrFenced) {
			return err
		}
		c.note(err, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Coordinator) needsSettling(states []State) bool {
	return !c.settings.Disabled.Settle && (!c.isSettled || hasLeftovers(states))
}

// note tells of a failure, unless one was told of a short time ago.
func (c *Coordinator) note(err error, now time.Time) {
	if err == nil || now.Sub(c.noted) < waitNotice {
		return
	}
	c.noted = now
	c.tell(Event{Kind: "failed", Detail: err.Error()})
}

// Reconcile reads the ranks once, settles what was left, and switches the map if that is worth it.
func (c *Coordinator) Reconcile(ctx context.Context) error {
	states, err := c.readAll(ctx, true, false)
	if err != nil {
		return err
	}
	now := time.Now()
	c.demand.add(states, now)
	c.pace.add(states[0], now)
	c.notePaces(states)
	if !isWhole(states) {
		c.maps = nil
		return nil
	}
	if c.needsSettling(states) {
		return c.settle(ctx, states[0].Epoch)
	}
	next, event, err := c.plan(ctx, states)
	if err != nil || next == nil {
		return err
	}
	return c.change(ctx, states, next, event)
}

// notePaces tells of ranks that have become slow, or are so no more.
func (c *Coordinator) notePaces(states []State) {
	for rank, s := range states {
		if isSlow := s.Pace > slowPace; isSlow != c.slow[rank] {
			c.slow[rank] = isSlow
			c.tell(Event{Kind: "pace", Epoch: s.Epoch, Version: s.MapVersion, Step: s.Step, Detail: fmt.Sprintf(
				"rank %d takes %.2f of the usual time, with %d requests running", rank, s.Pace, s.Running)})
		}
	}
}

// token returns the next fencing token of the term.
func (c *Coordinator) token() uint64 {
	return c.term<<termBits | c.count.Add(1)
}

// fence returns the fencing token of the next order.
func (c *Coordinator) fence() uint64 {
	if c.settings.Disabled.Fence {
		return math.MaxUint64
	}
	return c.token()
}

// readAll reads all ranks at once, and tells of what they reported.
func (c *Coordinator) readAll(ctx context.Context, withCounts, withPlacement bool) ([]State, error) {
	states := make([]State, c.settings.Shape.Ranks)
	err := c.each(ctx, func(ctx context.Context, rank int) error {
		state, err := c.read(ctx, rank, withCounts, withPlacement)
		states[rank] = state
		return err
	})
	if err == nil && c.settings.OnStates != nil {
		c.settings.OnStates(states)
	}
	return states, err
}

// read reads one rank.
func (c *Coordinator) read(ctx context.Context, rank int, withCounts, withPlacement bool) (State, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, err := c.engine.Read(bounded, rank, withCounts, withPlacement)
	if err != nil {
		c.trouble.note(time.Now())
	}
	return state, err
}

// give hands an order with the next fencing token to one rank, and returns the rank's state after it if that is known.
func (c *Coordinator) give(ctx context.Context, rank int, order Order) (*State, error) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order.Fence = c.fence()
	after, err := c.engine.Give(bounded, rank, order)
	isLost := err != nil && !eris.Is(err, ErrFenced) && !eris.Is(err, ErrInvalidState)
	c.losses.add(isLost)
	if isLost {
		c.trouble.note(time.Now())
	}
	return after, err
}

// each calls a function for all ranks at once and returns one of the errors, ErrFenced before others.
func (c *Coordinator) each(ctx context.Context, call func(ctx context.Context, rank int) error) error {
	var group sync.WaitGroup
	errs := make([]error, c.settings.Shape.Ranks)
	for rank := range errs {
		group.Go(func() {
			errs[rank] = call(ctx, rank)
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

// isWhole reports whether all ranks run in one epoch of an open group.
func isWhole(states []State) bool {
	for rank, s := range states {
		if !s.IsOpen || s.Rank != rank || s.Epoch != states[0].Epoch {
			return false
		}
	}
	return true
}

// isBusy reports whether the group runs requests; a group without any begins no pass.
func isBusy(states []State) bool {
	return slices.ContainsFunc(states, func(s State) bool { return s.Running > 0 })
}

// hasLeftovers reports whether a switch was begun and not finished.
func hasLeftovers(states []State) bool {
	for _, s := range states {
		if s.HeldStep != 0 || s.ArmedVersion != 0 || s.MapVersion != states[0].MapVersion {
			return true
		}
	}
	return false
}

func (c *Coordinator) tell(e Event) {
	if c.settings.OnEvent != nil {
		e.Group = c.settings.Group
		c.settings.OnEvent(e)
	}
}

// plan returns the next map, or nil when the present one is even enough.
func (c *Coordinator) plan(ctx context.Context, states []State) ([]balance.Placement, Event, error) {
	shape := c.settings.Shape
	load := c.demand.estimate(states[0].MapVersion == 0 && isBusy(states))
	if load == nil {
		return nil, Event{}, nil
	}
	if err := c.readMaps(ctx, states); err != nil {
		return nil, Event{}, err
	}
	event := Event{Kind: "switch", Epoch: states[0].Epoch}
	paces := pacesOf(states)
	goal := c.goal(load, paces)
	next := make([]balance.Placement, shape.Sets)
	for set := range next {
		levelled := balance.LevelLayer(c.maps[set], load[set], paces, shape.Slots, shape.StagingSlots, goal)
		next[set] = levelled.Placement
		event.Before += levelled.Before / float64(shape.Sets)
		event.After += levelled.After / float64(shape.Sets)
		event.Moved += levelled.Moved
	}
	if event.Moved == 0 || event.Before-event.After < c.leastGain(time.Now())*event.Before {
		return nil, Event{}, nil
	}
	return next, event, nil
}

// goal returns how even the map has to be for passes of the comfortable time: the busiest rank over the mean. After the
// group has formed, and while a rank is slow, the passes that were seen tell little of the next ones: the map is made
// as even as it can be.
func (c *Coordinator) goal(load [][]float64, paces []float64) float64 {
	pass := c.pace.pass
	if c.settings.TargetPassTime == 0 || pass == 0 {
		return 1
	}
	if c.mapsVersion == 0 || slices.Max(paces) > slowPace {
		return leastGoal
	}
	skew := 0.0
	for set, layer := range c.maps {
		skew += balance.Skew(layer, load[set], paces) / float64(len(c.maps))
	}
	share := c.settings.ExpertShare
	wanted := (1 - share + share*skew) * float64(c.settings.TargetPassTime) / float64(pass)
	return max((wanted-(1-share))/share, leastGoal)
}

// pacesOf returns the time that each rank takes for its work, over that of a healthy one.
func pacesOf(states []State) []float64 {
	paces := make([]float64, len(states))
	for rank, s := range states {
		paces[rank] = max(s.Pace, 1)
	}
	return paces
}

// readMaps makes sure that maps holds the placement in use.
func (c *Coordinator) readMaps(ctx context.Context, states []State) error {
	if c.maps != nil && c.mapsEpoch == states[0].Epoch && c.mapsVersion == states[0].MapVersion {
		return nil
	}
	read, err := c.readAll(ctx, false, true)
	if err != nil {
		return err
	}
	shape := c.settings.Shape
	maps := make([]balance.Placement, shape.Sets)
	for set := range maps {
		maps[set] = make(balance.Placement, shape.Ranks)
		for rank, s := range read {
			if len(s.Placement) != shape.Sets {
				return eris.Errorf("rank %d reports %d sets of experts, expected %d", rank, len(s.Placement), shape.Sets)
			}
			maps[set][rank] = s.Placement[set]
		}
	}
	c.maps, c.mapsEpoch, c.mapsVersion = maps, states[0].Epoch, states[0].MapVersion
	return nil
}
