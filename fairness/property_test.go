package fairness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/fairness"
	"guavahitch.example/guavahitch/outcome"
	_ "guavahitch.example/guavahitch/proptest"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// While all organisations have waiting requests, the service they get relative to their weights differs by at most
// one request of each.
func TestServiceIsFairWithinOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "organisations")
		weights := map[string]float64{}
		for n := range count {
			weights[fmt.Sprint(n)] = rapid.Float64Range(0.5, 8).Draw(t, "weight")
		}
		queue := fairness.NewQueue(fairness.Settings{LimitsOf: func(organisation string) fairness.Limits {
			return fairness.Limits{Weight: weights[organisation]}
		}})
		const maxCost = 50
		served := map[string]float64{}
		push := func(organisation string) {
			cost := float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			require.Nil(t, queue.Push(start, &fairness.Ticket{Organisation: organisation, Cost: cost}))
		}
		for n := range count {
			push(fmt.Sprint(n))
			push(fmt.Sprint(n))
		}
		for range rapid.IntRange(1, 100).Draw(t, "pops") {
			ticket := queue.Pop(start)
			served[ticket.Organisation] += ticket.Cost
			push(ticket.Organisation)
			for a := range weights {
				for b := range weights {
					gap := served[a]/weights[a] - served[b]/weights[b]
					require.LessOrEqual(t, gap, maxCost/weights[a]+maxCost/weights[b]+1e-6)
				}
			}
		}
	})
}

// Random sequences of all operations; every limit is checked after each.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := fairness.Limits{Running: 2, Queued: 4}
		queue := fairness.NewQueue(fairness.Settings{Limit: 10, LimitsOf: func(string) fairness.Limits { return limits }})
		now := start
		waiting, running := map[*fairness.Ticket]bool{}, map[*fairness.Ticket]bool{}
		count := func(in map[*fairness.Ticket]bool, organisation string) int {
			n := 0
			for ticket := range in {
				if ticket.Organisation == organisation {
					n++
				}
			}
			return n
		}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1:
				ticket := &fairness.Ticket{
					Organisation: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "organisation")),
					Weight:       float64(rapid.IntRange(1, 3).Draw(t, "weight")),
					Cost:         float64(rapid.IntRange(1, 100).Draw(t, "cost")),
					Value:        step,
					LatestStart:  now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "slack")) * time.Millisecond),
				}
				refused := queue.Push(now, ticket)
				if refused == nil {
					waiting[ticket] = true
					break
				}
				require.Equal(t, outcome.NotRun, refused.Outcome)
				require.Positive(t, refused.RetryAfter)
			case 2, 3:
				if ticket := queue.Pop(now); ticket != nil {
					require.True(t, waiting[ticket])
					delete(waiting, ticket)
					running[ticket] = true
				}
			case 4:
				ticket := oldest(running)
				switch {
				case ticket == nil:
				case rapid.Bool().Draw(t, "return"):
					queue.Requeue(ticket)
					waiting[ticket] = true
				default:
					queue.Release(ticket, float64(rapid.IntRange(0, 200).Draw(t, "actual")))
				}
				delete(running, ticket)
			default:
				if ticket := oldest(waiting); ticket != nil {
					require.True(t, queue.Remove(ticket))
					delete(waiting, ticket)
				}
			}
			for _, dropped := range queue.TakeDropped(now) {
				require.True(t, waiting[dropped.Ticket])
				require.Positive(t, dropped.Refusal.RetryAfter)
				delete(waiting, dropped.Ticket)
			}
			for ticket := range waiting {
				require.False(t, ticket.LatestStart.Before(now), "a request that cannot start in time must not wait")
			}
			require.Equal(t, len(waiting), queue.Len())
			require.LessOrEqual(t, queue.Len(), 10+1)
			require.LessOrEqual(t, queue.Organisations(), 5)
			for n := range 5 {
				require.LessOrEqual(t, count(running, fmt.Sprint(n)), limits.Running)
			}
		}
	})
}

func oldest(in map[*fairness.Ticket]bool) *fairness.Ticket {
	var first *fairness.Ticket
	for ticket := range in {
		if first == nil || ticket.Value.(int) < first.Value.(int) {
			first = ticket
		}
	}
	return first
}

func TestLeastWeightedIsShedFirst(t *testing.T) {
	queue := fairness.NewQueue(fairness.Settings{Limit: 3})
	push := func(organisation string, weight float64) *outcome.Error {
		return queue.Push(start, &fairness.Ticket{Organisation: organisation, Weight: weight, Cost: 10})
	}
	require.Nil(t, push("a", 1))
	require.Nil(t, push("a", 3))
	require.Nil(t, push("a", 3))
	require.Nil(t, push("a", 3))
	dropped := queue.TakeDropped(start)
	require.Len(t, dropped, 1)
	require.EqualValues(t, 1, dropped[0].Ticket.Weight)
	require.Equal(t, "overloaded", push("a", 3).Reason, "the new request ranks lowest")
	require.Nil(t, push("b", 1), "an organisation without waiting requests displaces the one with the most")
	require.Equal(t, "a", queue.TakeDropped(start)[0].Ticket.Organisation)
}

// serve grants a request every 10 ms and pushes a new one for each, so that the backlog stays constant.
func serve(queue *fairness.Queue, now time.Time, grants int) time.Time {
	for n := range grants {
		now = now.Add(10 * time.Millisecond)
		queue.Push(now, &fairness.Ticket{Organisation: "busy", Cost: 10, Value: n})
		queue.Pop(now)
	}
	return now
}

func TestRefusesAtOnceWhenStartWouldBeLate(t *testing.T) {
	queue := fairness.NewQueue(fairness.Settings{})
	for range 100 {
		queue.Push(start, &fairness.Ticket{Organisation: "busy", Cost: 10})
	}
	now := serve(queue, start, 200)
	require.InDelta(t, time.Second, queue.Wait("busy"), float64(50*time.Millisecond))
	late := &fairness.Ticket{Organisation: "busy", Cost: 10, LatestStart: now.Add(500 * time.Millisecond)}
	refused := queue.Push(now, late)
	require.Equal(t, "overloaded", refused.Reason)
	require.InDelta(t, 500*time.Millisecond, refused.RetryAfter, float64(100*time.Millisecond))
	other := &fairness.Ticket{Organisation: "other", Cost: 10, LatestStart: now.Add(500 * time.Millisecond)}
	require.Nil(t, queue.Push(now, other), "the wait is predicted per organisation")
	heavy := &fairness.Ticket{Organisation: "busy", Weight: 5, Cost: 10, LatestStart: now.Add(500 * time.Millisecond)}
	require.Nil(t, queue.Push(now, heavy), "requests of less weight are dropped")
	require.NotEmpty(t, queue.TakeDropped(now))
}

func TestRememberedOrganisationsAreBounded(t *testing.T) {
	queue := fairness.NewQueue(fairness.Settings{Limit: 1000})
	now := start
	for n := range 40_000 {
		now = now.Add(time.Millisecond)
		if queue.Push(now, &fairness.Ticket{Organisation: fmt.Sprint(n), Cost: 10}) == nil {
			queue.Release(queue.Pop(now), 1e6)
		}
		queue.TakeDropped(now)
	}
	require.LessOrEqual(t, queue.Organisations(), 16384+1)
}
