package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/balance"
	_ "guavahitch.example/guavahitch/proptest"
)

// roundRobin assigns experts to ranks in turn.
func roundRobin(ranks, experts int) balance.Placement {
	p := make(balance.Placement, ranks)
	for e := range experts {
		p[e%ranks] = append(p[e%ranks], e)
	}
	return p
}

// unevenLoad returns loads of which few are large.
func unevenLoad(experts int, exponent float64, seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	load := make([]float64, experts)
	for i, e := range random.Perm(experts) {
		load[e] = 1000 / math.Pow(float64(i+1), exponent)
	}
	return load
}

// Three of the eight experts of a group of four ranks have most of the load; the free slots take replicas of them.
func ExampleLevelLayer() {
	load := []float64{90, 50, 40, 10, 10, 10, 10, 10}
	levelled := balance.LevelLayer(roundRobin(4, 8), load, nil, 4, 2, 1)
	fmt.Printf("busiest rank %.2f of the mean, then %.2f\n", levelled.Before, levelled.After)
	// Output:
	// busiest rank 1.74 of the mean, then 1.00
}

// Whatever the loads, every expert keeps a replica, and no rank holds more than its slots or more new experts than
// allowed.
func TestLevelLayerKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 12).Draw(t, "ranks")
		experts := ranks * rapid.IntRange(1, 6).Draw(t, "experts a rank")
		slots := experts/ranks + rapid.IntRange(0, 3).Draw(t, "free slots")
		spare := rapid.IntRange(0, 3).Draw(t, "spare")
		load := rapid.SliceOfN(rapid.Float64Range(0, 100), experts, experts).Draw(t, "load")
		present := roundRobin(ranks, experts)
		for range 3 {
			next := balance.LevelLayer(present, load, nil, slots, spare, 1)
			require.LessOrEqual(t, next.After, next.Before+1e-9)
			holders := make([]int, experts)
			for r, held := range next.Placement {
				require.LessOrEqual(t, len(held), slots)
				seen, newExperts := map[int]bool{}, 0
				for _, e := range held {
					require.False(t, seen[e], "expert %d twice on rank %d", e, r)
					seen[e] = true
					holders[e]++
					if !contains(present[r], e) {
						newExperts++
					}
				}
				require.LessOrEqual(t, newExperts, spare)
			}
			for e, count := range holders {
				require.Positive(t, count, "expert %d", e)
			}
			present = next.Placement
		}
	})
}

// Guards against changes that even out the other ranks but raise the busiest one. The loads come from a failure of
// the property test.
func TestLevelLayerNeverRaisesTheBusiestRank(t *testing.T) {
	load := []float64{1.375, 3.9375, 18.5, 0.5, 0.5}
	present := roundRobin(5, 5)
	for range 3 {
		next := balance.LevelLayer(present, load, nil, 2, 1, 1)
		require.LessOrEqual(t, next.After, next.Before)
		present = next.Placement
	}
}

func contains(list []int, e int) bool {
	for _, other := range list {
		if other == e {
			return true
		}
	}
	return false
}

// Loads as of requests about few topics are levelled within a few switches of few experts each.
func TestLevelLayerEvensSkewedDemand(t *testing.T) {
	for seed := range uint64(10) {
		load := unevenLoad(72, 0.7, seed)
		present := roundRobin(12, 72)
		for range 3 {
			present = balance.LevelLayer(present, load, nil, 8, 3, 1).Placement
		}
		require.Less(t, balance.LevelLayer(present, load, nil, 8, 3, 1).Before, 1.1, "seed %d", seed)
	}
}

// A rank that takes four times as long for a token loses most of its load.
func TestLevelLayerRelievesSlowRanks(t *testing.T) {
	load := unevenLoad(72, 0.7, 1)
	unitTimes := make([]float64, 12)
	for r := range unitTimes {
		unitTimes[r] = 1
	}
	unitTimes[3] = 4
	present := roundRobin(12, 72)
	before := balance.Skew(present, load, unitTimes)
	for range 3 {
		present = balance.LevelLayer(present, load, unitTimes, 8, 3, 1).Placement
	}
	require.Less(t, balance.Skew(present, load, unitTimes), 1.15, "from %.2f", before)
}

// BenchmarkLevelLayer levels one layer of a small, a medium and a large group.
func BenchmarkLevelLayer(b *testing.B) {
	for _, size := range []struct{ ranks, experts, slots int }{{12, 72, 8}, {63, 252, 5}, {128, 128, 2}} {
		b.Run(fmt.Sprintf("%dx%d", size.ranks, size.experts), func(b *testing.B) {
			load := unevenLoad(size.experts, 0.7, 1)
			after := 0.0
			for b.Loop() {
				after = balance.LevelLayer(roundRobin(size.ranks, size.experts), load, nil, size.slots, 3, 1).After
			}
			b.ReportMetric(after, "busiest/mean")
		})
	}
}
