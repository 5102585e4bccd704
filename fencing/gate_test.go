package fencing_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/outcome"
)

// engine is a fake that executes orders in the order of their arrival.
type engine struct {
	mutex  sync.Mutex
	checks bool
	number uint64
	model  string
	orders int
	// failNextAnswer makes the next order fail after the engine executed it.
	failNextAnswer bool
}

func (e *engine) execute(c fencing.Command) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
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
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := fencing.Report{Digest: uint64(e.orders), State: []byte(e.model)}
	if e.checks {
		r.Number = e.number
	}
	return r
}

func (e *engine) send(_ context.Context, c fencing.Command) (fencing.Report, error) {
	if err := e.execute(c); err != nil {
		return fencing.Report{}, err
	}
	if e.failNextAnswer && c.Order.Kind != "" {
		e.failNextAnswer = false
		return fencing.Report{}, errors.New("connection lost")
	}
	return e.report(), nil
}

func (e *engine) read(context.Context) (fencing.Report, error) { return e.report(), nil }

func newExecutor(e *engine) (*fencing.Executor, *fencing.Gate) {
	gate := fencing.NewGate(e.checks)
	gate.RaiseTerm(1)
	executor := fencing.NewExecutor("ub-a-1", gate)
	executor.Send, executor.Read = e.send, e.read
	return executor, gate
}

func loadOrder(term, count uint64, model string) fencing.Order {
	return fencing.Order{
		Lane: "model", Kind: "load", Token: fencing.Token{Term: term, Count: count}, Payload: []byte(model),
	}
}

func ExampleExecutor() {
	e := &engine{checks: true}
	executor, _ := newExecutor(e)
	ctx := context.Background()
	report, err := executor.Execute(ctx, loadOrder(2, 1, "draft-v2"))
	fmt.Println(string(report.State), err)
	_, err = executor.Execute(ctx, loadOrder(1, 9, "draft-v1"))
	fmt.Println(e.model, err)
	// Output:
	// draft-v2 <nil>
	// draft-v2 order load at ub-a-1: lower token (NotRun): token 1.9
}

// Guards against a late order of an earlier sidecar that overwrites an order of the new one. The order is in flight
// while the sidecar restarts and arrives 200 ms later. Without read-backs the late order wins.
func TestLateOrderOfAnEarlierSidecar(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, isSkipped := range []bool{false, true} {
			t.Run(fmt.Sprintf("checks=%v/skipped=%v", checks, isSkipped), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := &engine{checks: checks, number: 7}
					late := fencing.Command{Number: 8, Order: loadOrder(2, 1, "old")}
					go func() {
						time.Sleep(200 * time.Millisecond)
						_ = e.execute(late)
					}()
					executor, gate := newExecutor(e)
					gate.SkipReadBack = isSkipped
					_, err := executor.Execute(t.Context(), loadOrder(2, 2, "new"))
					if checks && isSkipped {
						// The new sidecar starts at number 0, and the engine refuses its first order.
						require.Error(t, err)
						time.Sleep(time.Second)
						return
					}
					require.NoError(t, err)
					time.Sleep(time.Second)
					require.Equal(t, isSkipped, string(e.report().State) == "old")
				})
			})
		}
	}
}

// Guards against an order on unknown engine state: the answer to the previous order was lost.
func TestLostAnswerIsSettledBeforeTheNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{failNextAnswer: true}
		executor, _ := newExecutor(e)
		_, err := executor.Execute(t.Context(), loadOrder(2, 1, "a"))
		require.Equal(t, outcome.Unknown, outcome.FromError(err, "", "").Outcome)
		began := time.Now()
		_, err = executor.Execute(t.Context(), loadOrder(2, 2, "b"))
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(began), fencing.DefaultQuietPeriod)
	})
}

func TestNoOrderBeforeTheTermIsKnown(t *testing.T) {
	e := &engine{checks: true}
	gate := fencing.NewGate(true)
	executor := fencing.NewExecutor("ub-a-1", gate)
	executor.Send, executor.Read = e.send, e.read
	_, err := executor.Execute(context.Background(), loadOrder(2, 1, "a"))
	require.ErrorContains(t, err, "no term")
	require.NoError(t, executor.RaiseTerm(context.Background(), 3))
	_, err = executor.Execute(context.Background(), loadOrder(2, 1, "a"))
	require.ErrorContains(t, err, "lower token")
	_, err = executor.Execute(context.Background(), loadOrder(3, 1, "a"))
	require.NoError(t, err)
}

func TestTokensOrderByTermThenCount(t *testing.T) {
	require.True(t, fencing.Token{Term: 1, Count: 9}.Before(fencing.Token{Term: 2, Count: 1}))
	require.True(t, fencing.Token{Term: 2, Count: 1}.Before(fencing.Token{Term: 2, Count: 2}))
	require.False(t, fencing.Token{Term: 2, Count: 2}.Before(fencing.Token{Term: 2, Count: 2}))
	require.True(t, fencing.Token{}.IsZero())
}
