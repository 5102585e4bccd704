package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
)

var small = expertmap.Shape{Ranks: 4, Experts: 8, Layers: 2, Slots: 3}

// skewedSituation returns a situation in which moves gain much.
func skewedSituation(t testing.TB, now time.Time) balance.Situation {
	present, err := expertmap.New("g", small)
	require.NoError(t, err)
	load := []float64{8, 1, 1, 1, 6, 1, 1, 1, 1, 1, 7, 1, 1, 1, 5, 1}
	return balance.Situation{
		Now: now, Present: present, Group: balance.NewGroup(small.Ranks, 8), StoreRate: costs.StoreRate,
		Estimate: balance.Estimate{At: now, Current: load, Forecast: load, Covered: 1, LevelWeight: 1},
	}
}

// settledDecider returns a decider whose settle time is over.
func settledDecider(rule balance.Rule) balance.Decider {
	return balance.NewDecider("g", rule, balance.NewPlanner(costs), midnight.Add(-time.Hour))
}

func ExampleDecider_Decide() {
	decision, _ := settledDecider(balance.DefaultRule()).Decide(skewedSituation(nil, midnight))
	record := decision.Record()
	fmt.Println(record.Kind, record.Subject, "-", record.Cause)
	for _, a := range record.Alternatives {
		fmt.Printf("%s: gain %.0f s, cost %.1f s\n", a.Name, a.Gain, a.Cost)
	}
	// Output:
	// map g - gain worth the cost
	// move 3 replicas (0.1 GB): gain 3979 s, cost 0.1 s
	// keep the map: gain 0 s, cost 0.0 s
	// change weights: gain 2274 s, cost 0.1 s
}

// Each case is the only reason against a switch: without it the same situation leads to one.
func TestDecideKeepsTheMap(t *testing.T) {
	const name = "g"
	rule := balance.DefaultRule()
	cases := []struct {
		reason  balance.Reason
		decider balance.Decider
		change  func(*balance.Situation)
	}{
		{balance.ReasonFailing, settledDecider(rule), func(s *balance.Situation) { s.Failing = true }},
		{balance.ReasonSwitching, settledDecider(rule), func(s *balance.Situation) { s.Switching = true }},
		{balance.ReasonStale, settledDecider(rule), func(s *balance.Situation) { s.Estimate.Covered = 0.5 }},
		{balance.ReasonStale, settledDecider(rule), func(s *balance.Situation) {
			s.Estimate.At = s.Now.Add(-5 * time.Minute)
		}},
		{balance.ReasonInterval, settledDecider(rule).WithSwitch(midnight.Add(-time.Minute)), nil},
		{balance.ReasonSettling, balance.NewDecider(name, rule, balance.NewPlanner(costs), midnight), nil},
		{balance.ReasonSettling, settledDecider(rule).WithFailureEnded(midnight.Add(-time.Minute)), nil},
		{balance.ReasonEven, settledDecider(rule), func(s *balance.Situation) {
			s.Estimate.Current = evenLoad()
			s.Estimate.Forecast = evenLoad()
		}},
	}
	for _, c := range cases {
		t.Run(string(c.reason), func(t *testing.T) {
			s := skewedSituation(t, midnight)
			if c.change != nil {
				c.change(&s)
			}
			decision, _ := c.decider.Decide(s)
			require.Equal(t, c.reason, decision.Reason)
			require.False(t, decision.Switch)
			require.Equal(t, balance.KindNotNow, decision.Record().Kind)
			require.NotEmpty(t, decision.Record().Figures)
			without, _ := settledDecider(rule).Decide(skewedSituation(t, midnight))
			require.True(t, without.Switch, "without the cause the group is rebalanced")
		})
	}
}

func TestSlowdownJumpOverridesTheInterval(t *testing.T) {
	// decideAgain returns the reason of a decision one minute after a switch. The slowdown is that of before the
	// switch (back), or the one that the switch expected.
	decideAgain := func(rule balance.Rule, back bool) balance.Reason {
		s := skewedSituation(t, midnight)
		decision, d := settledDecider(rule).Decide(s)
		require.True(t, decision.Switch)
		d = d.WithSwitch(midnight)
		s = skewedSituation(t, midnight.Add(time.Minute))
		if !back {
			s.Present = decision.Map
		}
		decision, _ = d.Decide(s)
		return decision.Reason
	}
	rule := balance.DefaultRule()
	require.Equal(t, balance.ReasonGain, decideAgain(rule, true))
	require.Equal(t, balance.ReasonInterval, decideAgain(rule, false))
	rule.SlowdownJump = 100
	require.Equal(t, balance.ReasonInterval, decideAgain(rule, true))
}

func TestMovesAreSearchedAtMostEveryPlanInterval(t *testing.T) {
	rule := balance.DefaultRule()
	rule.MinInterval = 0
	moves := func(after time.Duration) int {
		rule.SlowdownJump = 100
		_, d := settledDecider(rule).Decide(skewedSituation(t, midnight))
		decision, _ := d.Decide(skewedSituation(t, midnight.Add(after)))
		require.True(t, decision.Switch)
		return decision.Chosen.Moves
	}
	require.Zero(t, moves(time.Minute), "weights only")
	require.Positive(t, moves(rule.PlanInterval))
}

// evenLoad returns loads that are almost even, so that no map can gain anything.
func evenLoad() []float64 {
	load := make([]float64, small.Layers*small.Experts)
	for n := range load {
		load[n] = 1 + float64(n%2)*1e-4
	}
	return load
}

func TestOperatorWeightsChangeTheDecision(t *testing.T) {
	shape := expertmap.Shape{Ranks: 8, Experts: 32, Layers: 8, Slots: 5}
	present, err := expertmap.New("g", shape)
	require.NoError(t, err)
	load := logNormalLoad(shape, 2)
	s := balance.Situation{
		Now: midnight, Present: present, Group: balance.NewGroup(shape.Ranks, 100), StoreRate: costs.StoreRate / 2000,
		Estimate: balance.Estimate{At: midnight, Current: load, Forecast: load, Covered: 1},
	}
	moveAverse, _ := settledDecider(balance.DefaultRule().WithWeights(1, 4)).Decide(s)
	skewAverse, _ := settledDecider(balance.DefaultRule().WithWeights(4, 1)).Decide(s)
	require.True(t, skewAverse.Switch)
	require.Less(t, moveAverse.Chosen.Bytes, skewAverse.Chosen.Bytes)
}

func TestNoSwitchWithoutAnAchievableGain(t *testing.T) {
	shape := expertmap.Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 2}
	present, err := expertmap.New("g", shape)
	require.NoError(t, err)
	s := skewedSituation(t, midnight)
	s.Present = present
	s.Estimate.Current = []float64{8, 1, 1, 1, 1, 1, 1, 1}
	s.Estimate.Forecast = s.Estimate.Current
	decision, _ := settledDecider(balance.DefaultRule()).Decide(s)
	require.Equal(t, balance.ReasonCost, decision.Reason)
	require.Len(t, decision.Alternatives, 2)
}

// maxSwitchesPerMinute lets 24 badly skewed groups decide each minute after a start of control. It returns the
// largest number of switches that start in the same minute.
func maxSwitchesPerMinute(t *testing.T, rule balance.Rule, store balance.StoreLimiter) int {
	deciders := make([]balance.Decider, 24)
	for n := range deciders {
		deciders[n] = balance.NewDecider(fmt.Sprintf("group-%d", n), rule, balance.NewPlanner(costs), midnight)
	}
	done := make([]bool, len(deciders))
	most := 0
	for minute := range 30 {
		now, begun := midnight.Add(time.Duration(minute)*time.Minute), 0
		for n, d := range deciders {
			if done[n] {
				continue
			}
			s := skewedSituation(t, now)
			s.StoreRate = store.RateFor(fmt.Sprint(n), now)
			decision, next := d.Decide(s)
			deciders[n] = next
			if decision.Switch && decision.Chosen.Moves > 0 {
				store = store.WithLoad(fmt.Sprint(n), now, decision.Chosen.LoadTime)
				done[n] = true
				begun++
			}
		}
		most = max(most, begun)
	}
	return most
}

// After a start of control all groups may be skewed. Without StartSpread and the store limiter they would all switch
// in the same minute.
func TestSwitchesAreSpreadAfterAStart(t *testing.T) {
	rule := balance.DefaultRule()
	withoutSpread := rule
	withoutSpread.StartSpread, withoutSpread.SettleTime = 0, 0
	wideStore := balance.NewStoreLimiter(24*costs.StoreRate, 24, 0)
	narrowStore := balance.NewStoreLimiter(costs.StoreRate, 2, 10*time.Second)
	require.Equal(t, 24, maxSwitchesPerMinute(t, withoutSpread, wideStore),
		"with both mechanisms off all groups switch at once")
	require.LessOrEqual(t, maxSwitchesPerMinute(t, rule, wideStore), 10, "the spread alone")
	require.Equal(t, 1, maxSwitchesPerMinute(t, withoutSpread, narrowStore), "the store alone")
	require.Equal(t, 1, maxSwitchesPerMinute(t, rule, narrowStore))
}

func TestMarginKeepsNoiseFromSwitching(t *testing.T) {
	switches := func(margin float64) int {
		rule := balance.DefaultRule().WithWeights(1, 4)
		rule.Margin = margin
		return int(replay(record("day", small, 1), newDeciderPolicy(small, rule)).switches)
	}
	require.Less(t, switches(6), switches(0)*3/4)
}

func TestLostRankIsEmptiedAtAnyCost(t *testing.T) {
	s := skewedSituation(t, midnight)
	s.Group.Speeds[2] = 0
	s.StoreRate = 0
	decision, _ := settledDecider(balance.DefaultRule().WithWeights(1, 1e6)).Decide(s)
	require.Equal(t, balance.ReasonLostRank, decision.Reason)
	require.True(t, decision.Switch)
	for layer := range small.Layers {
		for slot := range small.Slots {
			require.Equal(t, expertmap.Empty, decision.Map.Expert(layer, 2, slot))
		}
	}
}

// A group that lost a rank runs no steps and counts nothing, so the decision to empty the rank must not wait for
// fresh counts.
func TestLostRankIsEmptiedWithoutFreshCounts(t *testing.T) {
	lost := func(s balance.Situation) balance.Situation {
		s.Group.Speeds[2] = 0
		return s
	}
	s := lost(skewedSituation(t, midnight))
	s.Estimate.At = midnight.Add(-time.Hour)
	decision, _ := settledDecider(skewAverseRule).WithFailureEnded(midnight).Decide(s)
	require.Equal(t, balance.ReasonLostRank, decision.Reason)

	s = lost(skewedSituation(t, midnight))
	s.Estimate = balance.NewEstimator(small).Estimate()
	decision, _ = settledDecider(skewAverseRule).Decide(s)
	require.True(t, decision.Switch, "a group without any counts is repaired too")

	fresh := balance.NewDecider("g", skewAverseRule, balance.NewPlanner(costs), midnight)
	decision, _ = fresh.Decide(lost(skewedSituation(t, midnight)))
	require.Equal(t, balance.ReasonSettling, decision.Reason, "after a start ranks may not be known yet")
}

func TestDecisionsAreDeterministic(t *testing.T) {
	first, _ := settledDecider(skewAverseRule).Decide(skewedSituation(t, midnight))
	second, _ := settledDecider(skewAverseRule).Decide(skewedSituation(t, midnight))
	require.Equal(t, first, second)
}
