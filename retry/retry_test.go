package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/outcome"
	_ "guavahitch.example/guavahitch/proptest"
	"guavahitch.example/guavahitch/retry"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func ExampleDecide() {
	budget := retry.NewBudget(0.1, 1, 10)
	lost := &outcome.Error{Step: "dispatch", Outcome: outcome.Unknown, Reason: "silent"}
	fmt.Println(retry.Decide(start, retry.Attempt{Number: 1, Repeatable: false, Failure: lost}, budget).Retry)
	fmt.Println(retry.Decide(start, retry.Attempt{Number: 1, Repeatable: true, Failure: lost}, budget).Retry)
	// Output:
	// false
	// true
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		floor := rapid.Float64Range(0, 5).Draw(t, "floor")
		burst := rapid.Float64Range(0, 20).Draw(t, "burst")
		budget := retry.NewBudget(ratio, floor, burst)
		now, first, spent := start, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				budget.RecordFirstAttempt(now)
				first++
			} else if budget.Spend(now) {
				spent++
			}
			allowed := burst + ratio*float64(first) + floor*now.Sub(start).Seconds()
			require.LessOrEqual(t, float64(spent), allowed+1e-6)
		}
	})
}

func TestNonRepeatableIsTriedAgainOnlyWhenProvedNotRun(t *testing.T) {
	budget := retry.NewBudget(1, 100, 100)
	for _, o := range []outcome.Outcome{outcome.NotRun, outcome.Ran, outcome.Unknown} {
		failure := &outcome.Error{Outcome: o, Reason: "failed"}
		decision := retry.Decide(start, retry.Attempt{Number: 1, Failure: failure}, budget)
		require.Equal(t, o == outcome.NotRun, decision.Retry)
	}
}

func TestFinalFailureReturnsAtOnceWithRetryAdvice(t *testing.T) {
	failure := &outcome.Error{Outcome: outcome.NotRun, Reason: "draining"}
	attempt := retry.Attempt{Number: 1, Repeatable: true, Failure: failure, Deadline: start.Add(time.Second), Expected: 2 * time.Second}
	decision := retry.Decide(start, attempt, retry.NewBudget(1, 100, 100))
	require.False(t, decision.Retry)
	require.Zero(t, decision.Wait)
	require.Positive(t, decision.Final.RetryAfter)
}

func TestHedgeOnlyRepeatableWithRoom(t *testing.T) {
	hedge := &retry.Hedge{}
	for n := range 2000 {
		hedge.Observe(time.Duration(n%100+1) * time.Millisecond)
	}
	after, ok := hedge.After(start, time.Time{}, true, true)
	require.True(t, ok)
	require.InDelta(t, 95, after.Milliseconds(), 15)
	_, ok = hedge.After(start, time.Time{}, false, true)
	require.False(t, ok)
	_, ok = hedge.After(start, time.Time{}, true, false)
	require.False(t, ok)
	_, ok = hedge.After(start, start.Add(after), true, true)
	require.False(t, ok)
}

func TestDeadlineShrinksAtEachHop(t *testing.T) {
	deadline := start.Add(time.Second)
	left, ok := retry.NextHopTimeout(start, deadline)
	require.True(t, ok)
	require.Equal(t, 980*time.Millisecond, left)
	require.Equal(t, start.Add(left), retry.DeadlineFromTimeout(start, left))
	_, ok = retry.NextHopTimeout(start.Add(time.Second), deadline)
	require.False(t, ok)
	require.True(t, retry.DeadlineFromTimeout(start, 0).IsZero())
}
