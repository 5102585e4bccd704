package fairness_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/fairness"
)

func ExampleQueue() {
	weights := map[string]float64{"large": 1, "small": 1}
	queue := fairness.NewQueue(fairness.Settings{LimitsOf: func(organisation string) fairness.Limits {
		return fairness.Limits{Weight: weights[organisation]}
	}})
	now := time.Now()
	for range 3 {
		queue.Push(now, &fairness.Ticket{Organisation: "large", Cost: 10})
	}
	queue.Push(now, &fairness.Ticket{Organisation: "small", Cost: 10})
	for queue.Len() > 0 {
		fmt.Print(queue.Pop(now).Organisation, " ")
	}
	// Output: large small large large
}

func TestGateRefusesAsSoonAsTheStartIsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := fairness.NewGate(fairness.Settings{}, func(time.Time, *fairness.Ticket) bool { return false })
		began := time.Now()
		refused := gate.Acquire(context.Background(), &fairness.Ticket{
			Organisation: "a", LatestStart: began.Add(time.Second),
		})
		require.Equal(t, "overloaded", refused.Reason)
		require.Positive(t, refused.RetryAfter)
		require.Equal(t, time.Second+time.Millisecond, time.Since(began))
		require.Zero(t, gate.Len())
	})
}

func TestGateAdmitsWhenRoomComesFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var room atomic.Int64
		room.Store(1)
		gate := fairness.NewGate(fairness.Settings{}, func(time.Time, *fairness.Ticket) bool {
			if room.Load() == 0 {
				return false
			}
			room.Add(-1)
			return true
		})
		first := &fairness.Ticket{Organisation: "a"}
		require.Nil(t, gate.Acquire(context.Background(), first))
		admitted := make(chan bool)
		go func() { admitted <- gate.Acquire(context.Background(), &fairness.Ticket{Organisation: "b"}) == nil }()
		synctest.Wait()
		require.Equal(t, 1, gate.Len())
		room.Add(1)
		gate.Release(first, 0)
		require.True(t, <-admitted)
	})
}

func TestGateRemovesCancelledRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := fairness.NewGate(fairness.Settings{}, func(time.Time, *fairness.Ticket) bool { return false })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.Equal(t, "cancelled", gate.Acquire(ctx, &fairness.Ticket{Organisation: "a"}).Reason)
		require.Zero(t, gate.Len())
	})
}
