package lockstep

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/relocation"
	"guavahitch.example/guavahitch/wait"
)

const (
	// holdRank is the rank that receives the hold of a switch.
	holdRank = 0
	// maxHoldAttempts is the maximum number of holds that are tried in one switch.
	maxHoldAttempts = 3
	// copyPollInterval is the time between two checks whether ranks have copied their new experts.
	copyPollInterval = 30 * time.Millisecond
	// mapPollInterval is the time between two checks which map is in use.
	mapPollInterval = 40 * time.Millisecond
	// looksBeforeCheck is how many times the time of a look copies must take for another look at the demand to pay.
	looksBeforeCheck = 4
	// noticeInterval is the time after which an order without effect is reported, and the minimum time between two
	// reports of failures.
	noticeInterval = 500 * time.Millisecond
)

// errOvertaken ends a switch whose map does not suit the demand any more.
var errOvertaken = eris.New("the demand has changed meanwhile")

// switchMap switches the group to the next map and waits, at most for prepareTimeout, until the group uses it.
func (c *Coordinator) switchMap(ctx context.Context, states []State, next []balance.Placement, event Event) error {
	// A version is taken from the fencing tokens. Versions of one leader are therefore above those of all earlier
	// leaders, and no two maps share a version.
	event.Version = c.tokens.next()
	c.emit(event)
	phases := &phaseTimer{}
	phases.start()
	decided := time.Now()
	if err := c.prepare(ctx, states[0].Epoch, event.Version, next); err != nil {
		return c.abandon(event, phases, err)
	}
	phases.end(Prepare)
	prepared := time.Now()
	c.copyTimes = c.copyTimes.WithSwitch(event.MaxMoved, prepared.Sub(decided))
	if prepared.Sub(decided) > looksBeforeCheck*c.lookTime && c.isOvertaken(ctx, next) {
		return c.abandon(event, phases, errOvertaken)
	}
	step, err := c.hold(ctx, states[0].Epoch, c.leadPasses(event))
	if err != nil {
		return c.abandon(event, phases, err)
	}
	phases.end(Hold)
	// From here on the switch either finishes or the group gets another epoch. If this leader ends in between, the
	// next leader settles the group.
	began := time.Now()
	if err := c.armAll(ctx, states[0].Epoch, event.Version, step); err != nil {
		c.isSettled = false
		return err
	}
	c.armingTimes.add(time.Since(began))
	phases.end(Arm)
	if err := c.release(ctx, holdRank, states[0].Epoch, step); err != nil {
		c.isSettled = false
		return err
	}
	c.maps, c.mapsEpoch, c.mapsVersion = next, states[0].Epoch, event.Version
	phases.end(Release)
	event.Kind, event.Step, event.Detail = "switched", step, phases.String()
	c.emit(event)
	err = c.awaitMap(ctx, states[0].Epoch, event.Version)
	c.switchDelay = movingAverage(c.switchDelay, time.Since(prepared))
	return err
}

// isOvertaken reports whether a prepared map is no better for the demand as it is now than the map in use. A rank that
// cannot be read does not stop the switch.
func (c *Coordinator) isOvertaken(ctx context.Context, next []balance.Placement) bool {
	states, err := c.readAll(ctx, true, false)
	if err != nil {
		return false
	}
	c.demand.add(states, time.Now())
	load := c.demand.estimate(false)
	if load == nil {
		return false
	}
	paces := pacesOf(states)
	return relocation.MeanSkew(next, load, paces) >= relocation.MeanSkew(c.maps, load, paces)
}

// abandon reports a switch that ended before its hold took effect, and returns the error that ended it.
func (c *Coordinator) abandon(event Event, phases *phaseTimer, err error) error {
	event.Kind, event.Detail = "abandoned", fmt.Sprintf("%v; %v, then %v", err, phases, phases.sinceLast())
	c.emit(event)
	return err
}

// prepare makes all ranks copy the experts that are new to them, and waits until all copies are complete.
func (c *Coordinator) prepare(ctx context.Context, epoch, version uint64, next []balance.Placement) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	order := Order{Kind: Prepare, Version: version, Epoch: epoch, Map: next}.withEncodedMap()
	return c.orderAll(ctx, epoch, order, copyPollInterval, func(s State) bool { return s.PreparedVersion == version })
}

// hold prevents the group from beginning the pass that is a number of passes ahead, and returns the number of that pass. If the pass has begun by the
// time the order arrives, a later one is held.
func (c *Coordinator) hold(ctx context.Context, epoch, lead uint64) (uint64, error) {
	for attempt := uint64(1); ; attempt++ {
		state, err := c.read(ctx, holdRank, false, false)
		if err != nil {
			return 0, err
		}
		step := state.Step + attempt*c.passesIn(state.MaxAge) + lead
		if c.settings.Disabled.Hold {
			return step, nil
		}
		_, err = c.sendOrder(ctx, holdRank, Order{Kind: Hold, Step: step, Epoch: epoch})
		if err == nil {
			return step, nil
		}
		if eris.Is(err, ErrInvalidState) && attempt < maxHoldAttempts {
			continue
		}
		if !eris.Is(err, ErrInvalidState) {
			// The rank may still execute the unanswered hold, so the group is settled before the next switch.
			c.isSettled = false
		}
		return 0, eris.Wrapf(err, "hold pass %d at rank %d, read at pass %d or up to %v later, with pass %d held",
			step, holdRank, state.Step, state.MaxAge, state.HeldStep)
	}
}

// armAll arms every rank for the pass, and repeats orders that are not answered.
func (c *Coordinator) armAll(ctx context.Context, epoch, version, step uint64) error {
	order := Order{Kind: Arm, Version: version, Step: step, Epoch: epoch}
	return c.orderAll(ctx, epoch, order, pollInterval, func(s State) bool {
		return s.ArmedVersion == version && s.ArmedStep == step
	})
}

// release ends the hold on a rank, and repeats the order until the hold is gone.
func (c *Coordinator) release(ctx context.Context, rank int, epoch, step uint64) error {
	began := time.Now()
	for ctx.Err() == nil {
		_, err := c.sendOrder(ctx, rank, Order{Kind: Release, Step: step, Epoch: epoch})
		if err == nil || eris.Is(err, ErrFenced) {
			return err
		}
		state, readErr := c.read(ctx, rank, false, false)
		if readErr == nil && !state.asOf.Before(began) && (state.HeldStep != step || state.Epoch != epoch) {
			return nil
		}
		wait.For(ctx, pollInterval)
	}
	return ctx.Err()
}

// awaitMap waits until the group uses the map. A group without requests begins no pass, so the wait ends after
// prepareTimeout.
func (c *Coordinator) awaitMap(ctx context.Context, epoch, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	for ctx.Err() == nil {
		// All ranks begin a pass together, so one rank is enough to see which map is in use.
		state, err := c.read(ctx, holdRank, false, false)
		if err == nil && (state.Epoch != epoch || state.MapVersion == version) {
			c.recordChange(state)
			return nil
		}
		wait.For(ctx, mapPollInterval)
	}
	return nil
}

// delivery is the progress of one order at one rank.
type delivery struct {
	isAnswered, isDone bool
	// state is the last state of the rank, err the last error of the order or a read.
	state State
	err   error
}

// orderAll sends an order to every rank and repeats it until the rank answers. It reads the states at an interval and
// returns when all of them show the effect. It returns an error when the group gets another epoch, when a later leader
// sends orders, or when the context ends.
func (c *Coordinator) orderAll(
	ctx context.Context, epoch uint64, order Order, interval time.Duration, isDone func(State) bool,
) error {
	deliveries := make([]delivery, c.settings.Shape.Ranks)
	noticedAt := time.Now()
	for {
		err := c.forEachRank(ctx, func(ctx context.Context, rank int) error {
			if deliveries[rank].isDone {
				return nil
			}
			return c.orderRank(ctx, rank, epoch, order, isDone, &deliveries[rank])
		})
		if err != nil {
			return err
		}
		rank := firstPending(deliveries)
		if rank < 0 {
			return nil
		}
		if now := time.Now(); now.Sub(noticedAt) > noticeInterval {
			noticedAt = now
			c.emit(Event{
				Kind: "waiting", Epoch: epoch, Version: order.Version, Step: order.Step,
				Detail: deliveries[rank].describe(order.Kind, rank),
			})
		}
		if !wait.For(ctx, interval) {
			return eris.Wrapf(ctx.Err(), "order %s for map version %d", order.Kind, order.Version)
		}
	}
}

// firstPending returns the first rank whose delivery is not done, or -1.
func firstPending(deliveries []delivery) int {
	return slices.IndexFunc(deliveries, func(d delivery) bool { return !d.isDone })
}

// describe returns a text on an order that is not done yet.
func (d *delivery) describe(kind Kind, rank int) string {
	s := d.state
	return fmt.Sprintf("%s at rank %d: prepared %d, armed %d at %d, held %d, step %d, last error %v",
		kind, rank, s.PreparedVersion, s.ArmedVersion, s.ArmedStep, s.HeldStep, s.Step, d.err)
}

// orderRank sends an order to a rank unless the rank has answered it already, and checks whether the order has taken
// effect.
func (c *Coordinator) orderRank(
	ctx context.Context, rank int, epoch uint64, order Order, isDone func(State) bool, d *delivery,
) error {
	var after *State
	if !d.isAnswered {
		after, d.err = c.sendOrder(ctx, rank, order)
		if eris.Is(d.err, ErrFenced) {
			return d.err
		}
		d.isAnswered = d.err == nil
	}
	if after == nil && d.isAnswered && order.Kind == Arm {
		// The rank is armed. A read could show an earlier state for as long as the group is held.
		d.isDone = true
		return nil
	}
	if after == nil {
		state, err := c.read(ctx, rank, false, false)
		if err != nil {
			// The caller retries.
			d.err = err
			return nil
		}
		after = &state
	}
	state := *after
	d.state = state
	if state.Epoch != epoch || !state.IsOpen {
		return eris.Errorf("group formed again or closed: rank %d is in epoch %d", rank, state.Epoch)
	}
	d.isDone = isDone(state)
	return nil
}

func allTrue(values []bool) bool {
	for _, v := range values {
		if !v {
			return false
		}
	}
	return true
}
