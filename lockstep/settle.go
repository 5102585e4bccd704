package lockstep

import (
	"context"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wait"
)

// settle ends what an earlier leader, or a switch that failed, may have left: every rank gets an order with a
// token of this term, after which no earlier order has an effect; armed ranks are finished or disarmed while the
// group is held; then the group goes on.
func (c *Coordinator) settle(ctx context.Context, states []State) error {
	epoch := states[0].Epoch
	step, isArmed := firstArmed(states)
	if isArmed {
		if err := c.holdBefore(ctx, states, epoch, step); err != nil {
			return err
		}
	}
	if err := c.fenceOff(ctx, epoch); err != nil {
		return err
	}
	states, err := c.readAll(ctx, false, false)
	if err != nil {
		return err
	}
	if states[0].Epoch != epoch || !isWhole(states) {
		return nil
	}
	for rank, s := range states {
		if s.Held == 0 {
			continue
		}
		if err := c.release(ctx, rank, epoch, s.Held); err != nil {
			return err
		}
	}
	c.isSettled = true
	c.maps = nil
	c.tell(Event{Kind: "settled", Epoch: epoch, Version: states[0].Mapping})
	return nil
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
		if eris.Is(err, ErrFenced) || eris.Is(err, ErrUnfit) {
			return err
		}
		wait.For(ctx, pollInterval)
	}
	return ctx.Err()
}

// freeRank returns a rank that holds nothing.
func freeRank(states []State) int {
	for rank, s := range states {
		if s.Held == 0 {
			return rank
		}
	}
	return holder
}

// fenceOff disarms every rank with a token of this term.
func (c *Coordinator) fenceOff(ctx context.Context, epoch uint64) error {
	done := make([]bool, c.settings.Shape.Ranks)
	for {
		err := c.each(ctx, func(ctx context.Context, rank int) error {
			if done[rank] {
				return nil
			}
			return c.disarm(ctx, rank, epoch, &done[rank])
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

// disarm takes back what a rank is armed for, or sends it an order without effect.
func (c *Coordinator) disarm(ctx context.Context, rank int, epoch uint64, done *bool) error {
	state, err := c.read(ctx, rank, false, false)
	if err != nil {
		return nil
	}
	if state.Epoch != epoch {
		return eris.Errorf("rank %d is in epoch %d", rank, state.Epoch)
	}
	version := max(state.ArmedVersion, state.Prepared)
	if version == 0 {
		version = c.token()
	}
	_, err = c.give(ctx, rank, Order{Kind: Disarm, Version: version, Epoch: epoch})
	if eris.Is(err, ErrFenced) {
		return err
	}
	*done = err == nil || eris.Is(err, ErrUnfit) && state.ArmedVersion == 0
	return nil
}
