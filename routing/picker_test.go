package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/routing"
	"guavahitch.example/guavahitch/wire"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func upstream(name string) routing.Upstream {
	return routing.Upstream{Name: name, Services: []string{"match"}, Capacity: 4, Epoch: 1}
}

func ExamplePicker() {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("levis-1"), upstream("levis-2").WithDraining(true)))
	now := time.Now()
	choice, refused := picker.Pick(now, routing.Request{Service: "match", PromptTokens: 200, OutputTokens: 100})
	fmt.Println(choice.Upstream.Name, refused == nil)
	choice.Attempt.FirstToken(now.Add(30 * time.Millisecond))
	choice.Attempt.Ended(now.Add(3 * time.Second))
	// Output: levis-1 true
}

func TestOwnDispatchesCountAtOnce(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1", Overcommit: -1})
	picker.Use(routing.Table{}.With(upstream("a"), upstream("b"), upstream("c")))
	counts := map[string]int{}
	for range 12 {
		choice, refused := picker.Pick(start, routing.Request{Service: "match"})
		require.Nil(t, refused)
		counts[choice.Upstream.Name]++
	}
	require.Equal(t, map[string]int{"a": 4, "b": 4, "c": 4}, counts)
	_, refused := picker.Pick(start, routing.Request{Service: "match"})
	require.Equal(t, "no-room", refused.Reason)
	require.Equal(t, outcome.NotRun, refused.Outcome)
	require.False(t, picker.HasRoom(start, "match"))
}

func TestNoDispatchAfterTableLease(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("a")).WithLease(start.Add(time.Second)))
	_, refused := picker.Pick(start.Add(time.Second), routing.Request{Service: "match"})
	require.Equal(t, "no-lease", refused.Reason)
}

func TestReportedLoadOfOtherEntriesCounts(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1", Overcommit: -1})
	picker.Use(routing.Table{}.With(upstream("a"), upstream("b")))
	picker.Observe(start, "a", 1, &wire.Load{Running: 4, Sequence: 2})
	picker.Observe(start, "a", 1, &wire.Load{Running: 0, Sequence: 1})
	picker.Observe(start, "b", 2, &wire.Load{Running: 4, Sequence: 3})
	for range 4 {
		choice, refused := picker.Pick(start, routing.Request{Service: "match"})
		require.Nil(t, refused)
		require.Equal(t, "b", choice.Upstream.Name)
	}
}

func TestLatestStartLeavesTimeForTheAnswer(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("a")))
	picker.Observe(start, "a", 1, &wire.Load{StepUs: 20_000, Sequence: 1})
	request := routing.Request{Service: "match", OutputTokens: 100}
	require.True(t, picker.LatestStart(start, request).IsZero())
	request.Deadline = start.Add(10 * time.Second)
	require.Equal(t, start.Add(8*time.Second), picker.LatestStart(start, request))
	request.OutputTokens = 100_000
	require.Equal(t, start.Add(5*time.Second), picker.LatestStart(start, request))
}

// The first token of an answer in one piece arrives with the last. Taken as a prefill time, it would make the
// predicted wait grow to the time of the whole answer.
func TestSinglePieceAnswersDoNotSetPrefillTime(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("a")))
	request := routing.Request{Service: "match", PromptTokens: 200, OutputTokens: 4096}
	wait := time.Duration(0)
	for n := range 20 {
		now := start.Add(time.Duration(n) * time.Minute)
		choice, refused := picker.Pick(now, request)
		require.Nil(t, refused)
		wait = choice.Wait
		choice.Attempt.FirstToken(now.Add(3 * time.Second))
		choice.Attempt.Ended(now.Add(3 * time.Second))
	}
	require.Less(t, wait, 100*time.Millisecond)
	choice, _ := picker.Pick(start.Add(time.Hour), request)
	require.InDelta(t, 3*time.Second, choice.Total, float64(time.Second), "uses the mean length, not the maximum")
}

// An upstream that has asked for backoff must get no work until then, whatever else happens, and if all have, the refusal
// says when the first backoff ends.
func TestUpstreamsThatAskForBackoff(t *testing.T) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(routing.Table{}.With(upstream("a"), upstream("b")))
	pick := func(at time.Duration) (string, *outcome.Error) {
		choice, refused := picker.Pick(start.Add(at), routing.Request{Service: "match"})
		if refused == nil {
			defer choice.Attempt.Ended(start.Add(at))
		}
		return choice.Upstream.Name, refused
	}
	first, _ := picker.Pick(start, routing.Request{Service: "match"})
	first.Attempt.BackOff(start, 20*time.Second)
	for range 10 {
		name, refused := pick(time.Second)
		require.Nil(t, refused)
		require.NotEqual(t, first.Upstream.Name, name)
	}
	second, _ := picker.Pick(start.Add(time.Second), routing.Request{Service: "match"})
	second.Attempt.BackOff(start.Add(time.Second), 5*time.Second)
	_, refused := pick(2 * time.Second)
	require.Equal(t, "backoff", refused.Reason)
	require.Equal(t, outcome.NotRun, refused.Outcome)
	require.InDelta(t, 5, refused.RetryAfter.Seconds(), 1.01)
	name, refused := pick(6 * time.Second)
	require.Nil(t, refused)
	require.Equal(t, second.Upstream.Name, name)
}
