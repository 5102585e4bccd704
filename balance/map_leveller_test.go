package balance_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/balance"
)

// Whatever the loads, no rank gets more new experts in all layers than allowed, no layer becomes less even, and a larger
// bound never gives a less even map.
func TestMapLevellerKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 10).Draw(t, "ranks")
		experts := ranks * rapid.IntRange(1, 5).Draw(t, "experts a rank")
		slots := experts/ranks + rapid.IntRange(0, 3).Draw(t, "free slots")
		layers := rapid.IntRange(1, 4).Draw(t, "layers")
		maxNew := rapid.IntRange(0, 3).Draw(t, "new a layer")
		present, load := make([]balance.Placement, layers), make([][]float64, layers)
		for n := range present {
			present[n] = roundRobin(ranks, experts)
			load[n] = rapid.SliceOfN(rapid.Float64Range(0, 100), experts, experts).Draw(t, "load")
		}
		leveller := balance.NewMapLeveller(present, load, nil, slots, maxNew)
		for maxTotal := range 4 {
			leveller.Level(maxTotal, 1)
			result := leveller.Result()
			require.LessOrEqual(t, result.After, result.Before+1e-9)
			moved := make([]int, ranks)
			for n, placement := range leveller.Placements() {
				holders := make([]int, experts)
				for r, held := range placement {
					require.LessOrEqual(t, len(held), slots)
					newExperts := 0
					for _, e := range held {
						holders[e]++
						if !contains(present[n][r], e) {
							newExperts++
						}
					}
					require.LessOrEqual(t, newExperts, maxNew)
					moved[r] += newExperts
				}
				for e, count := range holders {
					require.Positive(t, count, "expert %d", e)
				}
				require.LessOrEqual(t, balance.Skew(placement, load[n], nil), balance.Skew(present[n], load[n], nil)+1e-9)
			}
			for _, count := range moved {
				require.LessOrEqual(t, count, maxTotal)
				require.LessOrEqual(t, count, result.MaxMoved)
			}
		}
	})
}

// One new expert on each rank of all layers together must go where it helps most: to the popular expert of the least even
// layer.
func TestMapLevellerBeginsWithTheLeastEvenLayer(t *testing.T) {
	even := make([]float64, 24)
	uneven := make([]float64, 24)
	for e := range even {
		even[e], uneven[e] = 10, 10
	}
	even[0], uneven[0] = 20, 200
	present := []balance.Placement{roundRobin(12, 24), roundRobin(12, 24)}
	leveller := balance.NewMapLeveller(present, [][]float64{even, uneven}, nil, 3, 2)
	leveller.Level(1, 1.2)
	result := leveller.Result()
	require.Less(t, balance.Skew(leveller.Placements()[1], uneven, nil), 1.4)
	require.Equal(t, 1, result.MaxMoved)
}
