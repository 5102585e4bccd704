package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
)

// costs are used by all tests: experts of 44 MB, and 1.25 GB/s from the weight store.
var costs = balance.Costs{
	ExpertBytes: 44 << 20, StoreRate: 1.25e9, Pause: 100 * time.Millisecond, PausePerMove: 2 * time.Millisecond,
}

// problem is a generated input of the planner.
type problem struct {
	present expertmap.Map
	load    []float64
	group   balance.Group
}

func problems() *rapid.Generator[problem] {
	return rapid.Custom(func(t *rapid.T) problem {
		s := expertmap.Shape{
			Ranks: rapid.IntRange(2, 10).Draw(t, "ranks"), Layers: rapid.IntRange(1, 4).Draw(t, "layers"),
			Slots: rapid.IntRange(2, 4).Draw(t, "slots"),
		}
		s.Experts = rapid.IntRange(2, s.LayerSize()-s.Slots).Draw(t, "experts")
		m, err := expertmap.New("g", s)
		require.NoError(t, err)
		load := make([]float64, s.Layers*s.Experts)
		for n := range load {
			load[n] = math.Exp(rapid.Float64Range(-2, 2).Draw(t, "load"))
		}
		group := balance.NewGroup(s.Ranks, rapid.IntRange(1, 6).Draw(t, "staging"))
		for r := range group.Speeds {
			group.Speeds[r] = rapid.Float64Range(0.5, 1).Draw(t, "speed")
		}
		return problem{present: m, load: load, group: group}
	})
}

func TestPlanIsDeterministicAndWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := problems().Draw(t, "problem")
		planner := balance.NewPlanner(costs)
		planner.EvenShares = rapid.Bool().Draw(t, "even shares")
		plan, err := planner.Plan(p.present, p.load, p.group)
		require.NoError(t, err)
		again, err := planner.Plan(p.present, p.load, p.group)
		require.NoError(t, err)
		option := rapid.IntRange(0, len(plan.Options)-1).Draw(t, "option")
		built, err := plan.Build(option) // places every expert in every layer, or fails
		require.NoError(t, err)
		rebuilt, err := again.Build(option)
		require.NoError(t, err)
		require.Equal(t, built, rebuilt)

		moves, err := expertmap.Moves(p.present, built)
		require.NoError(t, err)
		require.LessOrEqual(t, len(moves), plan.Options[option].Moves)
		loads := make([]int, p.present.Shape().Ranks)
		for _, m := range moves {
			loads[m.Rank]++
			require.LessOrEqual(t, loads[m.Rank], p.group.Staging)
		}
		after := balance.Measure(built, p.load, p.group)
		require.LessOrEqual(t, after.Slowdown, plan.Present.Slowdown*1.0005, "weights are rounded to 1/65535")
	})
}

func ExamplePlanner() {
	present, _ := expertmap.New("drafting", expertmap.Shape{Ranks: 4, Experts: 4, Layers: 1, Slots: 2})
	load := []float64{70, 10, 10, 10}
	plan, _ := balance.NewPlanner(costs).Plan(present, load, balance.NewGroup(4, 8))
	for _, option := range plan.Options {
		fmt.Printf("%d moves: slowdown %.2f\n", option.Moves, option.Slowdown)
	}
	// Output:
	// 0 moves: slowdown 1.40
	// 1 moves: slowdown 1.07
	// 2 moves: slowdown 1.00
}

// logNormalLoad returns log-normal loads with a few hot experts, which differ from layer to layer.
func logNormalLoad(shape expertmap.Shape, seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	load := make([]float64, 0, shape.Layers*shape.Experts)
	for range shape.Layers * shape.Experts {
		load = append(load, math.Exp(random.NormFloat64()))
	}
	return load
}

// BenchmarkPlan makes one plan and the map of its last option. It starts from experts assigned round-robin, from a
// map that fitted the load half an hour of drift earlier, and from one that fitted before the topics shifted at noon.
func BenchmarkPlan(b *testing.B) {
	shape := expertmap.Shape{Ranks: 128, Experts: 128, Layers: 58, Slots: 2}
	dealt, err := expertmap.New("g", shape)
	require.NoError(b, err)
	group := balance.NewGroup(shape.Ranks, staging)
	noon := newTrace("noon", shape, 1)
	loads := map[int][]float64{}
	for _, minute := range []int{690, 719, 740} {
		loads[minute] = make([]float64, shape.Layers*shape.Experts)
		noon.next(minute, loads[minute], make([]float64, shape.Ranks))
	}
	planner := balance.NewPlanner(costs)
	fitted, err := balance.Pack(dealt, loads[690], group)
	require.NoError(b, err)
	for range 3 {
		fitted = lastOption(b, planner, fitted, loads[690], group)
	}
	starts := []struct {
		name    string
		present expertmap.Map
		load    []float64
	}{{"dealt", dealt, logNormalLoad(shape, 1)}, {"drifted", fitted, loads[719]}, {"shifted", fitted, loads[740]}}
	for _, start := range starts {
		b.Run("size=128x128/start="+start.name, func(b *testing.B) {
			var before, after runtime.MemStats
			var m expertmap.Map
			runtime.ReadMemStats(&before)
			started := processorTime(b)
			for b.Loop() {
				m = lastOption(b, planner, start.present, start.load, group)
			}
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/1000/float64(b.N), "ms")
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/1e6/float64(b.N), "MB")
			b.ReportMetric(balance.Measure(start.present, start.load, group).Skew, "skew-before")
			b.ReportMetric(balance.Measure(m, start.load, group).Skew, "skew-after")
		})
	}
}

// processorTime returns the processor time of this process, so that the load of the machine does not distort
// measurements.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// lastOption returns the map of the option with the most moves.
func lastOption(b *testing.B, p balance.Planner, m expertmap.Map, load []float64, group balance.Group) expertmap.Map {
	plan, err := p.Plan(m, load, group)
	require.NoError(b, err)
	m, err = plan.Build(len(plan.Options) - 1)
	require.NoError(b, err)
	return m
}

func TestMemoryLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := problems().Draw(t, "problem")
		s := p.present.Shape()
		p.group.Capacity = make([]int, s.Ranks)
		least := (s.Experts + s.Ranks - 1) / s.Ranks * s.Layers
		for r := range p.group.Capacity {
			p.group.Capacity[r] = rapid.IntRange(min(least+s.Layers, s.Layers*s.Slots), s.Layers*s.Slots).Draw(t, "capacity")
		}
		packed, err := balance.Pack(p.present, p.load, p.group)
		if err != nil {
			t.Skip("memory too small for every expert")
		}
		plan, err := balance.NewPlanner(costs).Plan(packed, p.load, p.group)
		require.NoError(t, err)
		built, err := plan.Build(len(plan.Options) - 1)
		require.NoError(t, err)
		held := make([]int, s.Ranks)
		for n, e := range built.Placed() {
			if e != expertmap.Empty {
				held[n/s.Slots%s.Ranks]++
			}
		}
		for r := range held {
			require.LessOrEqual(t, held[r], p.group.Capacity[r])
		}
	})
}

func TestReplicasSpreadOverFailureDomains(t *testing.T) {
	shape := expertmap.Shape{Ranks: 12, Experts: 12, Layers: 128, Slots: 2}
	present, err := expertmap.New("g", shape)
	require.NoError(t, err)
	group := balance.NewGroup(shape.Ranks, 100)
	var domains []string
	for r := range shape.Ranks {
		domains = append(domains, []string{"levis", "rimouski", "saguenay"}[r*3/shape.Ranks])
	}
	// movedIntoOneDomain counts the experts that received a replica and have several, all in one failure domain.
	movedIntoOneDomain := func(group balance.Group) int {
		load := logNormalLoad(shape, 4)
		for n := range load {
			load[n] *= load[n]
		}
		plan, err := balance.NewPlanner(costs).Plan(present, load, group)
		require.NoError(t, err)
		built, err := plan.Build(len(plan.Options) - 1)
		require.NoError(t, err)
		moves, err := expertmap.Moves(present, built)
		require.NoError(t, err)
		count := 0
		for _, m := range moves {
			seen := map[string]bool{}
			replicas := built.Replicas(m.Layer, m.Expert)
			for _, r := range replicas {
				seen[domains[r.Rank]] = true
			}
			if len(seen) == 1 && len(replicas) > 1 {
				count++
			}
		}
		return count
	}
	without := movedIntoOneDomain(group)
	group.Domains = domains
	with := movedIntoOneDomain(group)
	t.Logf("experts moved and in one failure domain: %d without domains, %d with", without, with)
	require.Less(t, with, without/2)
}

func TestSoleReplicasAreExchanged(t *testing.T) {
	present, err := expertmap.New("g", expertmap.Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 2})
	require.NoError(t, err)
	load := []float64{8, 1, 1, 1, 7, 1, 1, 1} // rank 0 holds experts 0 and 4, and no slot is spare
	plan, err := balance.NewPlanner(costs).Plan(present, load, balance.NewGroup(4, 8))
	require.NoError(t, err)
	built, err := plan.Build(len(plan.Options) - 1)
	require.NoError(t, err)
	moves, err := expertmap.Moves(present, built)
	require.NoError(t, err)
	require.Len(t, moves, 2)
	require.InDelta(t, 9*4/21.0, balance.Measure(built, load, balance.NewGroup(4, 8)).Slowdown, 1e-9)
}

func TestWeightsEvenOutWithoutAMove(t *testing.T) {
	shape := expertmap.Shape{Ranks: 4, Experts: 4, Layers: 1, Slots: 2}
	present, err := expertmap.New("g", shape)
	require.NoError(t, err)
	load := []float64{30, 10, 10, 10}
	planner := balance.NewPlanner(costs)
	weighted, err := planner.Plan(present, load, balance.NewGroup(4, 8))
	require.NoError(t, err)
	planner.EvenShares = true
	evenShares, err := planner.Plan(present, load, balance.NewGroup(4, 8))
	require.NoError(t, err)
	require.Zero(t, weighted.Options[0].Moves)
	require.InDelta(t, 1, weighted.Options[0].Slowdown, 0.01)
	require.InDelta(t, evenShares.Present.Slowdown, evenShares.Options[0].Slowdown, 1e-9)
	require.Greater(t, evenShares.Options[0].Slowdown, 1.3)
}

func TestPlanEmptiesLostRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := problems().Draw(t, "problem")
		s := p.present.Shape()
		lost := rapid.IntRange(0, s.Ranks-1).Draw(t, "lost")
		p.group.Speeds[lost] = 0
		plan, err := balance.NewPlanner(costs).Plan(p.present, p.load, p.group)
		require.NoError(t, err, "the slots of the other ranks hold all experts")
		built, err := plan.Build(rapid.IntRange(0, len(plan.Options)-1).Draw(t, "option"))
		require.NoError(t, err)
		for layer := range s.Layers {
			for slot := range s.Slots {
				require.Equal(t, expertmap.Empty, built.Expert(layer, lost, slot))
			}
		}
	})
}
