package lockstep

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/wait"
)

const (
	// holder is the rank on which the group is held.
	holder = 0
	// copyInterval is the time between two looks at whether ranks have copied what is new to them.
	copyInterval = 30 * time.Millisecond
	// mapInterval is the time between two looks at which map is in use.
	mapInterval = 40 * time.Millisecond
	// waitNotice is the time after which an order that has no effect yet is told of.
	waitNotice = 500 * time.Millisecond
)

// change switches the group to the next map.
func (c *Coordinator) change(ctx context.Context, states []State, next []balance.Placement, event Event) error {
	// Versions of one leader are above those of all earlier ones, so that no two maps share one.
	event.Version = c.token()
	c.tell(event)
	if err := c.prepare(ctx, states[0].Epoch, event.Version, next); err != nil {
		event.Kind, event.Detail = "abandoned", err.Error()
		c.tell(event)
		return err
	}
	step, err := c.hold(ctx, states[0].Epoch)
	if err != nil {
		event.Kind, event.Detail = "abandoned", err.Error()
		c.tell(event)
		return err
	}
	// From here on the switch is finished, or the group gets another epoch; a leader that ends in between
	// leaves the rest to the next one.
	began := time.Now()
	if err := c.armAll(ctx, states[0].Epoch, event.Version, step); err != nil {
		c.isSettled = false
		return err
	}
	c.arming.add(time.Since(began))
	if err := c.release(ctx, holder, states[0].Epoch, step); err != nil {
		c.isSettled = false
		return err
	}
	c.maps, c.mapsEpoch, c.mapsVersion = next, states[0].Epoch, event.Version
	event.Kind, event.Step = "switched", step
	c.tell(event)
	return c.awaitMap(ctx, states[0].Epoch, event.Version)
}

// prepare has all ranks copy what is new to them, and waits until they have.
func (c *Coordinator) prepare(ctx context.Context, epoch, version uint64, next []balance.Placement) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	order := Order{Kind: Prepare, Version: version, Epoch: epoch, Map: next}
	return c.until(ctx, epoch, order, copyInterval, func(s State) bool { return s.PreparedVersion == version })
}

// hold keeps the group from beginning a coming pass, and returns that pass.
func (c *Coordinator) hold(ctx context.Context, epoch uint64) (uint64, error) {
	state, err := c.read(ctx, holder, false, false)
	if err != nil {
		return 0, err
	}
	step := state.Step + c.lead()
	if c.settings.Disabled.Hold {
		return step, nil
	}
	_, err = c.give(ctx, holder, Order{Kind: Hold, Step: step, Epoch: epoch})
	if err == nil || eris.Is(err, ErrFenced) || eris.Is(err, ErrInvalidState) {
		return step, err
	}
	// The hold may come into force yet: it is taken back for good.
	c.isSettled = false
	return 0, err
}

// armAll arms every rank for the pass, however often orders go unanswered.
func (c *Coordinator) armAll(ctx context.Context, epoch, version, step uint64) error {
	order := Order{Kind: Arm, Version: version, Step: step, Epoch: epoch}
	return c.until(ctx, epoch, order, pollInterval, func(s State) bool {
		return s.ArmedVersion == version && s.ArmedStep == step
	})
}

// release lets the group go.
func (c *Coordinator) release(ctx context.Context, rank int, epoch, step uint64) error {
	for ctx.Err() == nil {
		_, err := c.give(ctx, rank, Order{Kind: Release, Step: step, Epoch: epoch})
		if err == nil || eris.Is(err, ErrFenced) {
			return err
		}
		state, readErr := c.read(ctx, rank, false, false)
		if readErr == nil && (state.HeldStep != step || state.Epoch != epoch) {
			return nil
		}
		wait.For(ctx, pollInterval)
	}
	return ctx.Err()
}

// awaitMap waits until the group runs on the map; a group without work begins no pass.
func (c *Coordinator) awaitMap(ctx context.Context, epoch, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	for ctx.Err() == nil {
		// All ranks begin a pass together: one of them tells which map is in use.
		state, err := c.read(ctx, holder, false, false)
		if err == nil && (state.Epoch != epoch || state.MapVersion == version) {
			return nil
		}
		wait.For(ctx, mapInterval)
	}
	return nil
}

// delivery is one order to one rank.
type delivery struct {
	isGiven, isDone bool
	// state and err are what the rank said last.
	state State
	err   error
}

// until gives an order to every rank until its state shows the effect, which is looked for at an interval. It ends with
// an error when the group has another epoch, a later leader gives orders, or the context ends.
func (c *Coordinator) until(
	ctx context.Context, epoch uint64, order Order, interval time.Duration, isDone func(State) bool,
) error {
	deliveries := make([]delivery, c.settings.Shape.Ranks)
	told := time.Now()
	for {
		err := c.each(ctx, func(ctx context.Context, rank int) error {
			if deliveries[rank].isDone {
				return nil
			}
			return c.bring(ctx, rank, epoch, order, isDone, &deliveries[rank])
		})
		if err != nil {
			return err
		}
		waiting := waitingFor(deliveries)
		if waiting == nil {
			return nil
		}
		if now := time.Now(); now.Sub(told) > waitNotice {
			told = now
			c.tell(Event{Kind: "waiting", Epoch: epoch, Version: order.Version, Step: order.Step, Detail: fmt.Sprintf(
				"%s at rank %d: prepared %d, armed %d at %d, held %d, step %d, last error %v", order.Kind,
				waiting.state.Rank, waiting.state.PreparedVersion, waiting.state.ArmedVersion, waiting.state.ArmedStep,
				waiting.state.HeldStep, waiting.state.Step, waiting.err)})
		}
		if !wait.For(ctx, interval) {
			return eris.Wrapf(ctx.Err(), "%s of version %d", order.Kind, order.Version)
		}
	}
}

// waitingFor returns a delivery that is not done, or nil.
func waitingFor(deliveries []delivery) *delivery {
	for rank := range deliveries {
		if !deliveries[rank].isDone {
			return &deliveries[rank]
		}
	}
	return nil
}

// bring gives an order to a rank, unless it was answered already, and reads whether it has taken effect.
func (c *Coordinator) bring(
	ctx context.Context, rank int, epoch uint64, order Order, isDone func(State) bool, d *delivery,
) error {
	var after *State
	if !d.isGiven {
		after, d.err = c.give(ctx, rank, order)
		if eris.Is(d.err, ErrFenced) {
			return d.err
		}
		d.isGiven = d.err == nil
	}
	if after == nil {
		state, err := c.read(ctx, rank, false, false)
		if err != nil {
			// The rank is asked again.
			d.err = err
			return nil
		}
		after = &state
	}
	state := *after
	d.state = state
	if state.Epoch != epoch || !state.IsOpen {
		return eris.Errorf("rank %d is in epoch %d", rank, state.Epoch)
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
