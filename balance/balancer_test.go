package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
)

// ExampleBalancer keeps one group balanced while its load drifts.
func ExampleBalancer() {
	store := balance.NewStoreLimiter(costs.StoreRate, 1, 10*time.Second)
	balancer := balance.NewBalancer(balance.DefaultRule(), balance.NewPlanner(costs), store)
	present, _ := expertmap.New("drafting", expertmap.Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 3})
	_ = balancer.AddGroup(present, balance.NewGroup(4, 8), midnight)
	for minute := range 20 {
		now := midnight.Add(time.Duration(minute) * time.Minute)
		hot := 100 + 40*float64(minute)
		_ = balancer.Report("drafting", balance.Report{
			Sequence: uint64(minute + 1), At: now, Tokens: []float64{hot, 100, 100, 100, 100, 100, 100, 100},
		})
		for _, decision := range balancer.Tick(now) {
			fmt.Printf("%d min: %s\n", minute, decision.Reason)
			if decision.Switch { // the switch protocol would run here
				_ = balancer.Switched(decision.Map, now.Add(10*time.Second))
			}
		}
	}
	// Output:
	// 0 min: settling after a start
	// 5 min: gain worth the cost
	// 6 min: gain not worth the cost
	// 7 min: gain worth the cost
	// 8 min: too soon after the last switch
	// 9 min: gain worth the cost
	// 10 min: too soon after the last switch
	// 12 min: gain worth the cost
	// 13 min: too soon after the last switch
	// 15 min: gain worth the cost
	// 16 min: too soon after the last switch
	// 18 min: gain worth the cost
	// 19 min: too soon after the last switch
}

// balancerOf returns a balancer with the given number of groups, all skewed and with fresh counts.
func balancerOf(t *testing.T, groups int, store balance.StoreLimiter) *balance.Balancer {
	rule := balance.DefaultRule()
	rule.SettleTime, rule.StartSpread = 0, 0
	b := balance.NewBalancer(rule, balance.NewPlanner(costs), store)
	s := skewedSituation(t, midnight)
	for n := range groups {
		name := fmt.Sprintf("group-%d", n)
		require.NoError(t, b.AddGroup(s.Present.WithGroup(name), s.Group, midnight))
		require.NoError(t, b.Report(name, balance.Report{Sequence: 1, At: midnight, Tokens: s.Estimate.Current}))
	}
	return b
}

func TestBalancerMovesOneGroupAtATime(t *testing.T) {
	b := balancerOf(t, 3, balance.NewStoreLimiter(costs.StoreRate, 1, time.Minute))
	moved := 0
	for _, d := range b.Tick(midnight) {
		if d.Switch && d.Chosen.Moves > 0 {
			moved++
		}
	}
	require.Equal(t, 1, moved)
	require.Empty(t, b.Tick(midnight.Add(time.Second)), "a group is decided on every 30 s")
}

func TestBalancerKeepsTheMapDuringFailuresAndSwitches(t *testing.T) {
	b := balancerOf(t, 1, balance.NewStoreLimiter(costs.StoreRate, 1, 0))
	require.NoError(t, b.FailureStarted("group-0"))
	first := b.Tick(midnight)
	require.Len(t, first, 1)
	require.Equal(t, balance.ReasonFailing, first[0].Reason)
	require.Empty(t, b.Tick(midnight.Add(30*time.Second)), "the same reason is not returned twice")
	require.NoError(t, b.FailureEnded("group-0", balance.NewGroup(small.Ranks, 8), midnight.Add(30*time.Second)))
	now := midnight.Add(60 * time.Second)
	decisions := b.Tick(now)
	require.Len(t, decisions, 1)
	require.True(t, decisions[0].Switch)
	now = now.Add(30 * time.Second)
	waiting := b.Tick(now)[0]
	require.Equal(t, balance.ReasonSwitching, waiting.Reason)
	require.False(t, waiting.IsDurable())
	require.NoError(t, b.SwitchAbandoned("group-0", now))
	now = now.Add(30 * time.Second)
	require.Equal(t, balance.ReasonInterval, b.Tick(now)[0].Reason)
	require.NoError(t, b.Switched(decisions[0].Map, now))
	require.NoError(t, b.Switched(decisions[0].Map, now), "a late repetition changes nothing")
	require.ErrorContains(t, b.FailureStarted("none"), `no group "none"`)
	b.RemoveGroup("group-0", now)
	require.Empty(t, b.Tick(now.Add(time.Hour)))
}
