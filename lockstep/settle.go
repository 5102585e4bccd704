package lockstep

import (
	"context"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wait"
)

// settle ends what an earlier leader, or a switch that failed, may have left. Every rank gets an order with a token of
// this term that changes nothing, after which no earlier order has an effect; only then is it certain what is armed.
// Armed ranks are disarmed while this leader holds the group; then the group goes on.
func (c *Coordinator) settle(ctx context.Context, epoch uint64) error {
	if err := c.fenceOff(ctx, epoch); err != nil {
		return err
	}
	states, err := c.readAll(ctx, false, false)
	if err != nil {
		return err
	}
	if step, isArmed := firstArmed(states); isArmed && isWhole(states) {
		if err := c.disarmHeld(ctx, states, epoch, step); err != nil {
			return err
		}
		if states, err = c.readAll(ctx, false, false); err != nil {
			return err
		}
	}
	if states[0].Epoch != epoch || !isWhole(states) {
		return nil
	}
	for rank, s := range states {
		if s.HeldStep == 0 {
			continue
		}
		if err := c.release(ctx, rank, epoch, s.HeldStep); err != nil {
			return err
		}
	}
	c.isSettled = true
	c.maps = nil
	c.tell(Event{Kind: "settled", Epoch: epoch, Version: states[0].MapVersion})
	return nil
}

// disarmHeld takes back what ranks are armed for, while the group is held before the first pass of it.
func (c *Coordinator) disarmHeld(ctx context.Context, states []State, epoch, step uint64) error {
	if err := c.holdBefore(ctx, states, epoch, step); err != nil {
		return err
	}
	return c.insist(ctx, func(ctx context.Context, rank int) (bool, error) {
		if states[rank].ArmedVersion == 0 {
			return true, nil
		}
		_, err := c.give(ctx, rank, Order{Kind: Disarm, Version: states[rank].ArmedVersion, Epoch: epoch})
		if eris.Is(err, ErrFenced) || eris.Is(err, ErrInvalidState) {
			return false, err
		}
		return err == nil, nil
	})
}

// firstArmed returns the earliest pass that a rank is armed for.
func firstArmed(states []State) (uint64, bool) {
	step, isArmed := uint64(0), false
	for _, s := range states {
		if s.ArmedVersion != 0 && (!isArmed || s.ArmedStep < step) {
			step, isArmed = s.ArmedStep, true
		}
	}
	return step, isArmed
}

// holdBefore makes sure that the group does not begin a pass that ranks are armed for, by a hold of this term on a
// rank without one: an earlier leader may still let go the hold that it has. A pass that has begun needs no hold;
// the states are read again then.
func (c *Coordinator) holdBefore(ctx context.Context, states []State, epoch, step uint64) error {
	rank := freeRank(states)
	for ctx.Err() == nil {
		_, err := c.give(ctx, rank, Order{Kind: Hold, Step: step, Epoch: epoch})
		if err == nil {
			return nil
		}
		if eris.Is(err, ErrFenced) || eris.Is(err, ErrInvalidState) {
			return err
		}
		wait.For(ctx, pollInterval)
	}
	return ctx.Err()
}

// freeRank returns a rank that holds nothing.
func freeRank(states []State) int {
	for rank, s := range states {
		if s.HeldStep == 0 {
			return rank
		}
	}
	return holder
}

// fenceOff gives every rank an order of this term that changes nothing: a version that no map has is disarmed.
func (c *Coordinator) fenceOff(ctx context.Context, epoch uint64) error {
	return c.insist(ctx, func(ctx context.Context, rank int) (bool, error) {
		_, err := c.give(ctx, rank, Order{Kind: Disarm, Version: c.token(), Epoch: epoch})
		if eris.Is(err, ErrFenced) {
			return false, err
		}
		return err == nil || eris.Is(err, ErrInvalidState), nil
	})
}

// insist calls a function for each rank until it is done there.
func (c *Coordinator) insist(ctx context.Context, call func(ctx context.Context, rank int) (isDone bool, err error)) error {
	done := make([]bool, c.settings.Shape.Ranks)
	for {
		err := c.each(ctx, func(ctx context.Context, rank int) (err error) {
			if !done[rank] {
				done[rank], err = call(ctx, rank)
			}
			return err
		})
		if err != nil {
			return err
		}
		if allTrue(done) {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}
