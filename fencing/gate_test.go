package fencing_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/outcome"
)

// engine is a fake that obeys orders after a delay, in the order in which they arrive.
type engine struct {
	checks bool
	number uint64
	model  string
	orders int
	// lose makes the next answer fail after the order was taken.
	lose bool
}

func (e *engine) take(c fencing.Command) error {
	if e.checks && c.Number < e.number {
		return errors.New("old number")
	}
	e.number = max(e.number, c.Number)
	if c.Order.Kind != "" {
		e.model = string(c.Order.Payload)
		e.orders++
	}
	return nil
}

func (e *engine) report() fencing.Report {
	r := fencing.Report{Digest: uint64(e.orders), State: []byte(e.model)}
	if e.checks {
		r.Number = e.number
	}
	return r
}

func (e *engine) send(_ context.Context, c fencing.Command) (fencing.Report, error) {
	if err := e.take(c); err != nil {
		return fencing.Report{}, err
	}
	if e.lose && c.Order.Kind != "" {
		e.lose = false
		return fencing.Report{}, errors.New("connection lost")
	}
	return e.report(), nil
}

func (e *engine) read(context.Context) (fencing.Report, error) { return e.report(), nil }

func newPort(e *engine) (*fencing.Executor, *fencing.Gate) {
	gate := fencing.NewGate(e.checks)
	gate.RaiseTerm(1)
	port := fencing.NewExecutor("ub-a-1", gate)
	port.Send, port.Read = e.send, e.read
	return port, gate
}

func load(term, count uint64, model string) fencing.Order {
	return fencing.Order{
		Lane: "model", Kind: "load", Token: fencing.Token{Term: term, Count: count}, Payload: []byte(model),
	}
}

func ExampleExecutor() {
	e := &engine{checks: true}
	port, _ := newPort(e)
	ctx := context.Background()
	report, err := port.Execute(ctx, load(2, 1, "draft-v2"))
	fmt.Println(string(report.State), err)
	_, err = port.Execute(ctx, load(1, 9, "draft-v1"))
	fmt.Println(e.model, err)
	// Output:
	// draft-v2 <nil>
	// draft-v2 order load at ub-a-1: lower token (NotRun): token 1.9
}

// An order that an earlier sidecar had under way must not undo one of the new sidecar.
func TestLateOrderOfAnEarlierSidecar(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, isSkipped := range []bool{false, true} {
			t.Run(fmt.Sprintf("checks=%v/skipped=%v", checks, isSkipped), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := &engine{checks: checks, number: 7}
					late := fencing.Command{Number: 8, Order: load(2, 1, "old")}
					go func() {
						time.Sleep(200 * time.Millisecond)
						_ = e.take(late)
					}()
					port, gate := newPort(e)
					gate.SkipReadBack = isSkipped
					_, err := port.Execute(t.Context(), load(2, 2, "new"))
					if checks && isSkipped {
						// The new sidecar does not know the engine's number.
						require.Error(t, err)
						time.Sleep(time.Second)
						return
					}
					require.NoError(t, err)
					time.Sleep(time.Second)
					require.Equal(t, isSkipped, e.model == "old")
				})
			})
		}
	}
}

func TestLostAnswerIsSettledBeforeTheNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{lose: true}
		port, _ := newPort(e)
		_, err := port.Execute(t.Context(), load(2, 1, "a"))
		require.Equal(t, outcome.Unknown, outcome.Of(err, "", "").Outcome)
		began := time.Now()
		_, err = port.Execute(t.Context(), load(2, 2, "b"))
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(began), fencing.DefaultQuietPeriod)
	})
}

func TestNoOrderBeforeATermIsHeard(t *testing.T) {
	e := &engine{checks: true}
	gate := fencing.NewGate(true)
	port := fencing.NewExecutor("ub-a-1", gate)
	port.Send, port.Read = e.send, e.read
	_, err := port.Execute(context.Background(), load(2, 1, "a"))
	require.ErrorContains(t, err, "no term")
	require.NoError(t, port.RaiseTerm(context.Background(), 3))
	_, err = port.Execute(context.Background(), load(2, 1, "a"))
	require.ErrorContains(t, err, "lower token")
	_, err = port.Execute(context.Background(), load(3, 1, "a"))
	require.NoError(t, err)
}

func TestTokensOrderByTermThenCount(t *testing.T) {
	require.True(t, fencing.Token{Term: 1, Count: 9}.Before(fencing.Token{Term: 2, Count: 1}))
	require.True(t, fencing.Token{Term: 2, Count: 1}.Before(fencing.Token{Term: 2, Count: 2}))
	require.False(t, fencing.Token{Term: 2, Count: 2}.Before(fencing.Token{Term: 2, Count: 2}))
	require.True(t, fencing.Token{}.IsZero())
}
