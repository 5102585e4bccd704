package balance_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/expertmap"
	"guavahitch.example/guavahitch/measure"
)

var (
	// seedSet selects the days of BenchmarkRebalance: those on which the rules were tuned, or those held out.
	seedSet = flag.String("seeds", "held-out", "days of BenchmarkRebalance: tuned or held-out")
	// plotFolder is where BenchmarkRebalance writes a plot of the first day of each trace; no plots when empty.
	plotFolder = os.Getenv("GUAVAHITCH_PLOTS")
)

var (
	seeds  = map[string][]uint64{"tuned": {1, 2, 3}, "held-out": {1001, 1002, 1003}}
	shapes = []struct {
		name  string
		shape expertmap.Shape
		seeds int
	}{
		{"8x32", expertmap.Shape{Ranks: 8, Experts: 32, Layers: 58, Slots: 5}, 2},
		{"32x64", expertmap.Shape{Ranks: 32, Experts: 64, Layers: 58, Slots: 3}, 1},
		{"128x128", expertmap.Shape{Ranks: 128, Experts: 128, Layers: 58, Slots: 2}, 1},
	}
	// skewAverseRule and moveAverseRule are the rules of the policies guavahitch-tuulai and guavahitch-laurentides.
	skewAverseRule = balance.DefaultRule().WithWeights(4, 1)
	moveAverseRule = balance.DefaultRule().WithWeights(1, 4)
	policyNames    = []string{
		"never", "every-15-min", "threshold", "guavahitch-tuulai", "guavahitch-laurentides", "oracle",
	}
)

// policyFor returns a policy by its name, except the oracle.
func policyFor(name string, shape expertmap.Shape) policy {
	switch name {
	case "every-15-min":
		return &repackPolicy{interval: 15}
	case "threshold":
		return &repackPolicy{interval: 5, threshold: 1.25}
	case "guavahitch-tuulai":
		return newDeciderPolicy(shape, skewAverseRule)
	case "guavahitch-laurentides":
		return newDeciderPolicy(shape, moveAverseRule)
	default:
		return neverPolicy{}
	}
}

// dayResults replays one day under all policies, in parallel on all processors.
func dayResults(kind string, shape expertmap.Shape, seed uint64) map[string]result {
	recording := record(kind, shape, seed)
	results := map[string]result{}
	var mutex sync.Mutex
	var jobs []func()
	for _, name := range policyNames[:len(policyNames)-1] {
		jobs = append(jobs, func() {
			r := replay(recording, policyFor(name, shape))
			mutex.Lock()
			results[name] = r
			mutex.Unlock()
		})
	}
	inParallel(jobs)
	results["oracle"] = bestOracle(recording, results["guavahitch-tuulai"])
	return results
}

// bestOracle returns the best of several schedules with perfect foresight that move and pause no more than budget. If
// there is none, it returns a schedule without moves.
func bestOracle(recording *recordedTrace, budget result) result {
	weigh := 2
	for float64(minutesADay/weigh)*costs.Pause.Seconds() > 0.9*budget.pauses.Seconds() && weigh < 60 {
		weigh++
	}
	const move = 24
	prices := []float64{1e-4, 3e-4, 1e-3, 3e-3}
	found := make([]result, len(prices))
	var jobs []func()
	for n, price := range prices {
		jobs = append(jobs, func() { found[n] = oracleDay(recording, weigh, move, price) })
	}
	inParallel(jobs)
	var best *result
	for n, r := range found {
		if r.bytes <= budget.bytes && r.pauses <= budget.pauses && (best == nil || r.mean() < best.mean()) {
			best = &found[n]
		}
	}
	if best == nil {
		const tooDear = 1e9
		return oracleDay(recording, weigh, move, tooDear)
	}
	return *best
}

// oracleDay replays a day under one schedule. The interval of moves is rounded up to a multiple of the interval of
// weight changes.
func oracleDay(recording *recordedTrace, weigh, move int, price float64) result {
	move = (move + weigh - 1) / weigh * weigh
	return replay(recording, &oraclePolicy{
		recordedTrace: recording, weightInterval: weigh, moveInterval: move, price: price,
	})
}

// inParallel runs jobs, as many at a time as there are processors.
func inParallel(jobs []func()) {
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, job := range jobs {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			job()
			<-slots
		}()
	}
	group.Wait()
}

// BenchmarkRebalance replays days of drifting load under each policy. A day has one sample a minute, which stands for
// all steps of that minute.
func BenchmarkRebalance(b *testing.B) {
	for _, kind := range traceKinds {
		for _, s := range shapes {
			var days []map[string]result
			for _, name := range policyNames {
				b.Run(fmt.Sprintf("trace=%s/size=%s/policy=%s", kind, s.name, name), func(b *testing.B) {
					for days == nil {
						for _, seed := range seeds[*seedSet][:s.seeds] {
							days = append(days, dayResults(kind, s.shape, seed))
						}
						if plotFolder != "" {
							plotDay(b, fmt.Sprintf("%s-%s", kind, s.name), days[0])
						}
					}
					report(b, days, name)
				})
			}
		}
	}
}

// report adds the means over the days of one policy.
func report(b *testing.B, days []map[string]result, name string) {
	var mean, p99, bytes, pauses, lost float64
	for _, d := range days {
		r := d[name]
		mean += r.mean()
		p99 += r.p99()
		bytes += float64(r.bytes) / 1e9
		pauses += r.pauses.Seconds()
		lost += r.lost / r.asked
	}
	n := float64(len(days))
	b.ReportMetric(mean/n, "skew-mean")
	b.ReportMetric(p99/n, "skew-p99")
	b.ReportMetric(bytes/n, "moved-GB")
	b.ReportMetric(pauses/n, "pause-s")
	b.ReportMetric(lost/n, "lost-share")
	b.ReportMetric(0, "ns/op")
}

// plotDay writes the plot of a day under all policies.
func plotDay(b *testing.B, name string, results map[string]result) {
	const minutes = 5
	var days []measure.Day
	for _, policy := range policyNames {
		r := results[policy]
		day := measure.Day{Policy: policy}
		for at := 0; at+minutes <= len(r.skews); at += minutes {
			sum := 0.0
			for _, s := range r.skews[at : at+minutes] {
				sum += s
			}
			day.Skew = append(day.Skew, sum/minutes)
			day.MovedGB = append(day.MovedGB, r.moved[at+minutes-1])
		}
		days = append(days, day)
	}
	require.NoError(b, os.MkdirAll(plotFolder, 0o755))
	file, err := os.Create(filepath.Join(plotFolder, "rebalance-"+name+".svg"))
	require.NoError(b, err)
	require.NoError(b, measure.PlotDay(file, "trace and size "+name, days))
	require.NoError(b, file.Close())
}
