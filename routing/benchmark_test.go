package routing_test

import (
	"fmt"
	"slices"
	"testing"
)

// heldOutSeeds are disjoint from 1 to 3, the seeds that the policy was tuned on.
var heldOutSeeds = []uint64{101, 102, 103}

// result summarises one policy at one load over all seeds.
type result struct {
	p50, p99, floor99, first99, answered, minFair float64
}

func percentile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(part*float64(len(values)-1))]
}

// measure runs a policy at a load for each seed and pools the results.
func measure(p policy, seeds []uint64, load float64, f fault) result {
	var times, firsts, idleTimes []float64
	r := result{minFair: 10}
	for _, seed := range seeds {
		perSecond := measureCapacity(seed)
		m := simulate(p, seed, load, perSecond, f)
		times = append(times, m.times...)
		firsts = append(firsts, m.firsts...)
		idleTimes = append(idleTimes, m.idleTimes...)
		offered, answered := 0.0, 0.0
		for n := range demand {
			offered += m.offered[n]
			answered += m.answered[n]
		}
		room := min(offered, offered/load)
		r.answered += answered / room / float64(len(seeds))
		for n, fair := range fairShares(m.offered, room) {
			r.minFair = min(r.minFair, m.answered[n]/fair)
		}
	}
	r.p50, r.p99 = percentile(times, 0.5), percentile(times, 0.99)
	r.first99, r.floor99 = percentile(firsts, 0.99), percentile(idleTimes, 0.99)
	return r
}

// fairShares divides room among demands of equal weight by max-min fairness.
func fairShares(offered []float64, room float64) []float64 {
	shares := make([]float64, len(offered))
	left, open := room, len(offered)
	order := make([]int, len(offered))
	for n := range order {
		order[n] = n
	}
	slices.SortFunc(order, func(a, b int) int { return int(offered[a] - offered[b]) })
	for _, n := range order {
		shares[n] = min(offered[n], left/float64(open))
		left -= shares[n]
		open--
	}
	return shares
}

func BenchmarkRouting(b *testing.B) {
	for _, load := range []float64{0.5, 0.8, 1.0, 1.5} {
		for _, p := range append(baselines(), guavahitch("guavahitch", func(*entry) {})) {
			b.Run(fmt.Sprintf("load=%.1f/policy=%s", load, p.name), func(b *testing.B) { report(b, p, load, noFault) })
		}
	}
}

// BenchmarkRoutingStall runs at load 0.8 while one upstream is eight times slower for 50 s.
func BenchmarkRoutingStall(b *testing.B) {
	for _, p := range append(baselines(), guavahitch("guavahitch", func(*entry) {})) {
		b.Run("load=0.8/policy="+p.name, func(b *testing.B) { report(b, p, 0.8, stall) })
	}
}

// BenchmarkRoutingDomainLoss runs at load 0.6 and loses a third of the upstreams for good. The slow upstream is among
// the lost ones, so the load on the others is about 0.86.
func BenchmarkRoutingDomainLoss(b *testing.B) {
	for _, p := range append(baselines(), guavahitch("guavahitch", func(*entry) {})) {
		b.Run("load=0.6/policy="+p.name, func(b *testing.B) { report(b, p, 0.6, domainLoss) })
	}
}

// BenchmarkRoutingSmallCache runs at load 0.8 with prefix caches that hold only a part of the prompt templates.
func BenchmarkRoutingSmallCache(b *testing.B) {
	blind := guavahitch("guavahitch-without-prefixes", func(e *entry) { e.settings.IgnorePrefixes = true })
	for _, p := range append(baselines(), blind, guavahitch("guavahitch", func(*entry) {})) {
		b.Run("load=0.8/policy="+p.name, func(b *testing.B) { report(b, p, 0.8, smallCache) })
	}
}

func report(b *testing.B, p policy, load float64, f fault) {
	for range b.N {
		r := measure(p, heldOutSeeds, load, f)
		b.ReportMetric(r.p50, "p50-ms")
		b.ReportMetric(r.p99, "p99-ms")
		b.ReportMetric(r.first99, "first-p99-ms")
		b.ReportMetric(r.floor99, "floor-p99-ms")
		b.ReportMetric(r.answered, "answered-share")
		b.ReportMetric(r.minFair, "min-fair-share")
	}
}
