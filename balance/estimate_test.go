package balance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
)

var oneLayer = expertmap.Shape{Ranks: 4, Experts: 4, Layers: 1, Slots: 2}

// feed adds one report a minute. The first expert has the load returned by of, the others 100, all with some noise.
func feed(t *testing.T, e *balance.Estimator, from, to int, of func(minute int) float64) {
	random := rand.New(rand.NewPCG(5, uint64(from)))
	for minute := from; minute < to; minute++ {
		tokens := []float64{of(minute), 100, 100, 100}
		for n := range tokens {
			tokens[n] *= 1 + 0.02*random.NormFloat64()
		}
		_, err := e.Add(balance.Report{
			Sequence: uint64(minute + 1), At: midnight.Add(time.Duration(minute) * time.Minute), Tokens: tokens,
		})
		require.NoError(t, err)
	}
}

func constant(load float64) func(int) float64 { return func(int) float64 { return load } }

func TestBurstsAreDistinguishedFromDrift(t *testing.T) {
	e := balance.NewEstimator(oneLayer)
	feed(t, e, 0, 30, constant(100))
	feed(t, e, 30, 34, constant(400))
	burst := e.Estimate()
	require.InDelta(t, 0.25, burst.Forecast[0], 0.02, "the forecast ignores a burst")
	require.Greater(t, burst.Current[0], 0.5, "the present load follows it at once")
	require.Greater(t, burst.Burst, 0.1)
	feed(t, e, 34, 60, constant(400))
	require.Greater(t, e.Estimate().Forecast[0], 0.4, "a load that stays is drift")
}

func TestFlippingLoadsAreAveragedAndDriftIsNot(t *testing.T) {
	flipping := balance.NewEstimator(oneLayer)
	feed(t, flipping, 0, 600, func(minute int) float64 { return []float64{50, 200}[minute/13%2] })
	require.Less(t, flipping.Estimate().LevelWeight, 0.5)
	drifting := balance.NewEstimator(oneLayer)
	feed(t, drifting, 0, 600, func(minute int) float64 { return 50 + float64(minute) })
	require.Greater(t, drifting.Estimate().LevelWeight, 0.8)
}

func TestSteadyLoadsAreAveragedOverManyCounts(t *testing.T) {
	e := balance.NewEstimator(oneLayer)
	estimated, newest := 0.0, 0.0
	random := rand.New(rand.NewPCG(8, 8))
	for minute := range 300 {
		tokens := []float64{100, 100, 100, 100}
		for n := range tokens {
			tokens[n] *= 1 + 0.05*random.NormFloat64()
		}
		_, err := e.Add(balance.Report{
			Sequence: uint64(minute + 1), At: midnight.Add(time.Duration(minute) * time.Minute), Tokens: tokens,
		})
		require.NoError(t, err)
		estimated += math.Abs(e.Estimate().Current[0] - 0.25)
		newest += math.Abs(tokens[0]/(tokens[0]+tokens[1]+tokens[2]+tokens[3]) - 0.25)
	}
	require.Less(t, estimated, 0.7*newest)
}

func TestSteadyDriftIsFollowedWithoutLag(t *testing.T) {
	e := balance.NewEstimator(oneLayer)
	load := func(minute int) float64 { return 100 + float64(minute)/4 }
	feed(t, e, 0, 400, load)
	truth := load(399) / (300 + load(399))
	// An average with a time constant of 30 minutes alone would lag by 30 minutes.
	lagging := load(369) / (300 + load(369))
	require.InDelta(t, truth, e.Estimate().Current[0], (truth-lagging)/2)
}

func TestOldRepeatedAndIncompleteReports(t *testing.T) {
	e := balance.NewEstimator(expertmap.Shape{Ranks: 2, Experts: 2, Layers: 2, Slots: 2})
	report := balance.Report{Sequence: 5, At: midnight, Tokens: []float64{1, 3, 0, 0}, Missing: []bool{false, true}}
	taken, err := e.Add(report)
	require.NoError(t, err)
	require.True(t, taken)
	require.Equal(t, 0.5, e.Estimate().Covered)
	taken, err = e.Add(report)
	require.NoError(t, err)
	require.False(t, taken)
	report.Sequence = 4
	taken, err = e.Add(report)
	require.NoError(t, err)
	require.False(t, taken)
	require.InDelta(t, 0.25, e.Estimate().Current[0], 1e-9)
	_, err = e.Add(balance.Report{Sequence: 6, Tokens: []float64{1}})
	require.ErrorContains(t, err, "Tokens has 1 entries")
}

func TestSlowRanksAreDistinguishedFromLoadedOnes(t *testing.T) {
	e := balance.NewEstimator(oneLayer)
	random := rand.New(rand.NewPCG(3, 3))
	for minute := range 60 {
		tokens := []float64{100, 180, 100, 100}
		times := []float64{100, 180, 100, 100}
		if minute >= 30 {
			times[2] = 100 / 0.7
		}
		for r := range times {
			times[r] *= 1 + 0.03*random.NormFloat64()
		}
		_, err := e.Add(balance.Report{
			Sequence: uint64(minute + 1), At: midnight.Add(time.Duration(minute) * time.Minute),
			Tokens: []float64{1, 1, 1, 1}, RankTime: times, RankTokens: tokens,
		})
		require.NoError(t, err)
		if minute == 29 {
			require.Equal(t, []float64{1, 1, 1, 1}, e.Estimate().Speeds, "rank 1 is loaded, not slow")
		}
	}
	speeds := e.Estimate().Speeds
	require.InDelta(t, 0.7, speeds[2], 0.05)
	require.Equal(t, 1.0, speeds[1])
}

func TestHintEvensOutRunningTokensBetweenReports(t *testing.T) {
	hint := balance.NewRankHint([]float64{1, 1, 0.5, 0})
	hint.Report([]int64{0, 100, 0, 0})
	placed := make([]int64, 4)
	for range 30 {
		placed[hint.Place(10)] += 10
	}
	require.Zero(t, placed[3], "a lost rank gets nothing")
	require.InDelta(t, placed[0], placed[1]+100, 20)
	require.InDelta(t, placed[0], placed[2]*2, 20)
	require.Equal(t, -1, balance.NewRankHint([]float64{0}).Place(1))
}
