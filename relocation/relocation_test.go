package relocation_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/balance"
	_ "guavahitch.example/guavahitch/proptest"
	"guavahitch.example/guavahitch/relocation"
)

var start = time.Unix(1_700_000_000, 0)

// dealt assigns the experts of each set to the ranks in turn.
func dealt(ranks, sets, experts int) []balance.Placement {
	var placements []balance.Placement
	for range sets {
		placement := make(balance.Placement, ranks)
		for e := range experts {
			placement[e%ranks] = append(placement[e%ranks], e)
		}
		placements = append(placements, placement)
	}
	return placements
}

// skewedLoad returns loads of which few are large, by set.
func skewedLoad(sets, experts int, random *rand.Rand) [][]float64 {
	var load [][]float64
	for range sets {
		set := make([]float64, experts)
		for i, e := range random.Perm(experts) {
			set[e] = 1000 / math.Pow(float64(i+1), 1.3)
		}
		load = append(load, set)
	}
	return load
}

func uneven(sets int) relocation.Group {
	return relocation.Group{
		Placements: dealt(12, sets, 96), Load: skewedLoad(sets, 96, rand.New(rand.NewPCG(1, 2))),
		Slots: 11, Staging: 4, ExpertShare: 0.85, Goal: 1.1, MinSaving: 0.05,
	}
}

// Where a copy takes long, each rank copies one expert first; where it takes little, several at once.
func ExampleChoose() {
	for _, copyTime := range []time.Duration{400 * time.Millisecond, 10 * time.Millisecond} {
		choice, isWorthMaking := relocation.Choose(uneven(3), relocation.Costs{
			Copy: copyTime, Delay: 200 * time.Millisecond, Slowdown: 0.15,
		}, 3*time.Second)
		fmt.Println(choice.MaxMoved > 1, isWorthMaking)
	}
	// Output:
	// false true
	// true true
}

// Load pattern: the demand changes before the moves are done. A switch that cannot pay back is not made, and a small saving
// pays only where the demand lasts.
func TestSwitchThatCannotPayBack(t *testing.T) {
	costs := relocation.Costs{Copy: 400 * time.Millisecond, Delay: 200 * time.Millisecond, Slowdown: 0.15}
	for remaining, isWorth := range map[time.Duration]bool{
		0: false, 500 * time.Millisecond: false, 650 * time.Millisecond: false, 3 * time.Second: true, time.Minute: true,
	} {
		choice, isWorthMaking := relocation.Choose(uneven(3), costs, remaining)
		require.Equal(t, isWorth, isWorthMaking, "%v: %+v", remaining, choice.Saved)
	}
	costs.Pause = 2 * time.Second
	_, isWorthMaking := relocation.Choose(uneven(3), costs, 3*time.Second)
	require.False(t, isWorthMaking, "the group would stand still for too long")
}

// The chosen map is never less even than the present one, and keeps the bounds of ranks and sets.
func TestChoiceKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := uneven(rapid.IntRange(1, 4).Draw(t, "sets"))
		group.Load = skewedLoad(len(group.Placements), 96, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		costs := relocation.Costs{
			Copy: time.Duration(rapid.IntRange(1, 2000).Draw(t, "copy")) * time.Millisecond, Delay: 200 * time.Millisecond, Slowdown: 0.15,
		}
		remaining := time.Duration(rapid.IntRange(0, 9000).Draw(t, "remaining")) * time.Millisecond
		choice, isWorthMaking := relocation.Choose(group, costs, remaining)
		require.LessOrEqual(t, choice.After, choice.Before+1e-9)
		require.LessOrEqual(t, choice.MaxMoved, group.Staging*len(group.Placements))
		if isWorthMaking {
			require.InDelta(t, choice.After, relocation.MeanSkew(choice.Placements, group.Load, nil), 1e-9)
		}
	})
}

// The outlook is what remains of longer intervals; without any it is as long as the demand has lasted.
func TestOutlook(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	o := relocation.Outlook{}.WithStart(at(0))
	require.Equal(t, 5*time.Second, o.Remaining(at(1)))
	require.Equal(t, 20*time.Second, o.Remaining(at(20)))
	o = o.WithChange(at(20))
	require.Equal(t, 5*time.Second, o.Remaining(at(20)), "the time before the first change is no interval")
	o = o.WithChange(at(23)).WithChange(at(26))
	require.Equal(t, 2*time.Second, o.Remaining(at(27)))
	require.Equal(t, 10*time.Second, o.Remaining(at(36)), "the changes have ended")
	for n := range 20 {
		o = o.WithChange(at(36 + float64(n)))
	}
	require.LessOrEqual(t, o.Remaining(at(55)), time.Second, "old intervals are forgotten")
}

// Whatever part of a report belongs to the earlier demand, what is left is the new demand.
func TestReportAcrossAChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		earlier, next := skewedLoad(2, 96, random), skewedLoad(2, 96, random)
		part := rapid.Float64Range(0, 0.6).Draw(t, "earlier part")
		recent := make([][]float64, len(next))
		for set := range next {
			for e := range next[set] {
				recent[set] = append(recent[set], part*earlier[set][e]+(1-part)*next[set][e])
			}
		}
		rest := relocation.WithoutEarlier(recent, earlier)
		require.Less(t, distance(rest, next), 0.1)
		if part > 0.3 {
			require.Greater(t, distance(recent, next), 0.2, "the report as it is misleads")
		}
	})
}

func distance(a, b [][]float64) float64 {
	sum := 0.0
	for set := range a {
		for e := range a[set] {
			sum += math.Abs(a[set][e]/relocation.Total(a) - b[set][e]/relocation.Total(b))
		}
	}
	return sum
}

// Copies that each take long and copies that wait long for each other must be told apart: a constant part is no reason to
// copy fewer experts at once.
func TestCopyTimes(t *testing.T) {
	expected := 35 * time.Millisecond
	overheads := relocation.NewCopyTimes(expected)
	for range 10 {
		overheads = overheads.WithSwitch(1, 190*time.Millisecond)
	}
	require.Less(t, overheads.PerExpert(), 95*time.Millisecond, "most of it is no copying")
	require.Greater(t, overheads.Overhead(), 95*time.Millisecond)
	slow := relocation.NewCopyTimes(expected)
	for n := range 10 {
		slow = slow.WithSwitch(1+n%3, time.Duration(20+400*(1+n%3))*time.Millisecond)
	}
	require.InDelta(t, 0.4, slow.PerExpert().Seconds(), 0.05)
	require.Less(t, slow.Overhead(), 100*time.Millisecond)
}

// Load pattern: a large group with fast copies, whose switches take long besides. Guards against a small switch that leaves a rest
// which no further switch is worth: it must be taken along where its copies take less than it saves.
func TestNoRestIsLeftForGood(t *testing.T) {
	costs := relocation.Costs{Copy: 35 * time.Millisecond, Delay: 350 * time.Millisecond, Slowdown: 0.15}
	for seed := range uint64(20) {
		group := relocation.Group{
			Placements: dealt(63, 8, 126), Load: skewedLoad(8, 126, rand.New(rand.NewPCG(seed, 3))),
			Slots: 4, Staging: 2, ExpertShare: 0.85, Goal: 1.15, MinSaving: 0.05,
		}
		choice, isWorthMaking := relocation.Choose(group, costs, 5*time.Second)
		require.True(t, isWorthMaking)
		for isWorthMaking {
			group.Placements = choice.Placements
			choice, isWorthMaking = relocation.Choose(group, costs, 5*time.Second)
		}
		leveller := balance.NewMapLeveller(group.Placements, group.Load, nil, group.Slots, group.Staging)
		for copies := 1; copies <= 3; copies++ {
			leveller.Level(copies, group.Goal)
		}
		rest := relocation.Saving(group.ExpertShare, relocation.MeanSkew(group.Placements, group.Load, nil), leveller.Result().After)
		require.Less(t, rest, 0.02, "seed %d", seed)
	}
}
