package lockstep

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wait"
)

// settle cleans up after an earlier leader or a failed switch. First every rank gets an order that changes nothing and
// carries a token of this term. After that no earlier order can take effect, so the armed versions that ranks report
// are final. Armed ranks are disarmed while this leader holds the group. Then all holds are released.
func (c *Coordinator) settle(ctx context.Context, epoch uint64) error {
	if err := c.raiseFences(ctx, epoch); err != nil {
		return err
	}
	states, err := c.readAllSince(ctx, time.Now())
	if err != nil {
		return err
	}
	if step, isArmed := firstArmed(states); isArmed && isComplete(states) {
		if err := c.disarmAll(ctx, states, epoch, step); err != nil {
			return err
		}
		if states, err = c.readAllSince(ctx, time.Now()); err != nil {
			return err
		}
	}
	if states[0].Epoch != epoch || !isComplete(states) {
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
	c.recordChange(states[0])
	c.maps = nil
	c.emit(Event{Kind: "settled", Epoch: epoch, Version: states[0].MapVersion})
	return nil
}

// disarmAll disarms all armed ranks while the group is held before the earliest pass that a rank is armed for.
func (c *Coordinator) disarmAll(ctx context.Context, states []State, epoch, step uint64) error {
	if err := c.holdBefore(ctx, states, epoch, step); err != nil {
		return err
	}
	return c.retryAll(ctx, func(ctx context.Context, rank int) (bool, error) {
		if states[rank].ArmedVersion == 0 {
			return true, nil
		}
		_, err := c.sendOrder(ctx, rank, Order{Kind: Disarm, Version: states[rank].ArmedVersion, Epoch: epoch})
		if eris.Is(err, ErrFenced) || eris.Is(err, ErrInvalidState) {
			return false, err
		}
		return err == nil, nil
	})
}

// firstArmed returns the earliest pass that a rank is armed for, and whether any rank is armed.
func firstArmed(states []State) (uint64, bool) {
	step, isArmed := uint64(0), false
	for _, s := range states {
		if s.ArmedVersion != 0 && (!isArmed || s.ArmedStep < step) {
			step, isArmed = s.ArmedStep, true
		}
	}
	return step, isArmed
}

// holdBefore prevents the group from beginning a pass that ranks are armed for. It places a hold of this term on a rank
// without one, because an earlier leader may still release its own hold. A pass that has already begun needs no hold;
// the rank then rejects the order and the states are read again.
func (c *Coordinator) holdBefore(ctx context.Context, states []State, epoch, step uint64) error {
	rank := rankWithoutHold(states)
	for ctx.Err() == nil {
		_, err := c.sendOrder(ctx, rank, Order{Kind: Hold, Step: step, Epoch: epoch})
		if err == nil {
			return nil
		}
		if eris.Is(err, ErrFenced) || eris.Is(err, ErrInvalidState) {
			return eris.Wrapf(err, "hold pass %d at rank %d, read at pass %d", step, rank, states[rank].Step)
		}
		wait.For(ctx, pollInterval)
	}
	return ctx.Err()
}

// rankWithoutHold returns a rank without a hold, or holdRank if all ranks have one.
func rankWithoutHold(states []State) int {
	for rank, s := range states {
		if s.HeldStep == 0 {
			return rank
		}
	}
	return holdRank
}

// raiseFences sends every rank an order of this term that changes nothing, so that the rank rejects earlier orders. The
// order disarms a version that no map has.
func (c *Coordinator) raiseFences(ctx context.Context, epoch uint64) error {
	return c.retryAll(ctx, func(ctx context.Context, rank int) (bool, error) {
		_, err := c.sendOrder(ctx, rank, Order{Kind: Disarm, Version: c.tokens.next(), Epoch: epoch})
		if eris.Is(err, ErrFenced) {
			return false, err
		}
		return err == nil || eris.Is(err, ErrInvalidState), nil
	})
}

// retryAll calls a function for each rank, and again every pollInterval for the ranks where it is not done.
func (c *Coordinator) retryAll(ctx context.Context, call func(ctx context.Context, rank int) (isDone bool, err error)) error {
	done := make([]bool, c.settings.Shape.Ranks)
	for {
		err := c.forEachRank(ctx, func(ctx context.Context, rank int) (err error) {
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
