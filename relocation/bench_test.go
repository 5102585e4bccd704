package relocation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/relocation"
)

const (
	// benchShifts is the number of changes of the demand in a trace.
	benchShifts = 10
	// benchStep is the time between two looks at the demand, benchDelay the time that a switch takes besides copying.
	benchStep  = 120 * time.Millisecond
	benchDelay = 200 * time.Millisecond
	// benchShare is the fraction of an even pass that is spent in experts, benchSlowdown that by which copies slow passes down.
	benchShare    = 0.85
	benchSlowdown = 0.15
	// benchMinSaving is the smallest saved part of the pass time for which a switch is made.
	benchMinSaving = 0.05
	benchMB        = 1 << 20
)

type (
	// trace is a demand that changes at intervals.
	trace struct {
		interval time.Duration
		demands  [][][]float64
	}

	// policy returns the next switch for the demand that is seen.
	policy func(group relocation.Group, costs relocation.Costs, outlook relocation.Outlook, now, change time.Time) (relocation.Choice, bool)
)

// newTrace returns a trace in which a share of the ranking of experts changes at each interval.
func newTrace(sets, experts int, share float64, interval time.Duration) trace {
	random := rand.New(rand.NewPCG(11, 13))
	t := trace{interval: interval, demands: [][][]float64{skewedLoad(sets, experts, random)}}
	for range benchShifts {
		last, next := t.demands[len(t.demands)-1], make([][]float64, sets)
		for set := range next {
			next[set] = append(next[set], last[set]...)
			var moved []int
			for e := range experts {
				if random.Float64() < share {
					moved = append(moved, e)
				}
			}
			for i, j := range random.Perm(len(moved)) {
				next[set][moved[i]] = last[set][moved[j]]
			}
		}
		t.demands = append(t.demands, next)
	}
	return t
}

// never keeps the map.
func never(relocation.Group, relocation.Costs, relocation.Outlook, time.Time, time.Time) (relocation.Choice, bool) {
	return relocation.Choice{}, false
}

// expecting goes by the intervals that were seen.
func expecting(group relocation.Group, costs relocation.Costs, outlook relocation.Outlook, now, _ time.Time) (relocation.Choice, bool) {
	return relocation.Choose(group, costs, outlook.Remaining(now))
}

// knowing knows when the demand changes, and takes the size of a switch that saves most until then.
func knowing(group relocation.Group, costs relocation.Costs, _ relocation.Outlook, now, change time.Time) (relocation.Choice, bool) {
	best := relocation.Choice{}
	leveller := balance.NewMapLeveller(group.Placements, group.Load, nil, group.Slots, group.Staging)
	for copies := 1; copies <= group.Staging; copies++ {
		leveller.Level(copies, group.Goal)
		result := leveller.Result()
		c := relocation.Choice{MapResult: result, Ready: costs.Delay + time.Duration(result.MaxMoved)*costs.Copy}
		c.Saving = relocation.Saving(group.ExpertShare, result.Before, result.After)
		c.Saved = time.Duration(c.Saving * float64(max(change.Sub(now)-c.Ready, 0)))
		c.Spent = time.Duration(costs.Slowdown * float64(time.Duration(result.MaxMoved)*costs.Copy))
		if c.Saved-c.Spent > best.Saved-best.Spent {
			best = c
			best.Placements = leveller.Placements()
		}
	}
	return best, best.Saving >= group.MinSaving
}

// meanPass plays a trace and returns the mean time of a pass over that of an even one, and the experts moved.
func (t trace) meanPass(group relocation.Group, costs relocation.Costs, seenAfter time.Duration, choose policy) (pass float64, moved int) {
	outlook := relocation.Outlook{}.WithStart(start)
	var next []balance.Placement
	var inForce, copiedAt time.Time
	now := start
	end := start.Add(time.Duration(len(t.demands)) * t.interval)
	steps := 0
	for at := -1; now.Before(end); now = now.Add(benchStep) {
		if n := int(now.Sub(start) / t.interval); n != at {
			at = n
			group.Load = t.demands[at]
			if at > 0 {
				outlook = outlook.WithChange(now)
			}
		}
		if next != nil && !now.Before(inForce) {
			group.Placements, next = next, nil
		}
		change := start.Add(time.Duration(at+1) * t.interval)
		isSeen := now.Sub(change.Add(-t.interval)) >= seenAfter
		if next == nil && isSeen {
			if c, isWorthMaking := choose(group, costs, outlook, now, change); isWorthMaking {
				next, inForce, moved = c.Placements, now.Add(c.Ready), moved+c.Moved
				copiedAt = now.Add(c.Ready - costs.Delay)
			}
		}
		slow := 1.0
		if now.Before(copiedAt) {
			slow += costs.Slowdown
		}
		pass += slow * relocation.PassTime(group.ExpertShare, relocation.MeanSkew(group.Placements, group.Load, nil))
		steps++
	}
	return pass / float64(steps), moved
}

// meanDemand returns the mean of all demands of the trace.
func (t trace) meanDemand() [][]float64 {
	mean := make([][]float64, len(t.demands[0]))
	for set := range mean {
		mean[set] = make([]float64, len(t.demands[0][set]))
		for _, demand := range t.demands {
			for e, weight := range demand[set] {
				mean[set][e] += weight / float64(len(t.demands))
			}
		}
	}
	return mean
}

// BenchmarkRelocation compares the mean time of a pass, over that of an even one, of a group that never moves experts, of
// one with the best map for the mean of all demands, of one that knows when the demand changes, and of one that goes by the
// intervals that it has seen.
func BenchmarkRelocation(b *testing.B) {
	const sets = 3
	for _, ranks := range []int{12, 24, 63, 129} {
		for _, gigabits := range []float64{10, 44, 180, 800} {
			for _, megabytes := range []float64{200, 780, 2200} {
				copyTime := time.Duration(megabytes * benchMB * 8 / (gigabits * 1e9) * float64(time.Second))
				b.Run(fmt.Sprintf("ranks=%d/Gbps=%v/MB=%v", ranks, gigabits, megabytes), func(b *testing.B) {
					for b.Loop() {
						benchmarkRelocation(b, ranks, sets, copyTime)
					}
				})
			}
		}
	}
}

func benchmarkRelocation(b *testing.B, ranks, sets int, copyTime time.Duration) {
	experts := 4 * ranks
	t := newTrace(sets, experts, 0.67, 3100*time.Millisecond)
	group := relocation.Group{
		Placements: dealt(ranks, sets, experts), Slots: 6, Staging: 4, ExpertShare: benchShare, Goal: 1.15, MinSaving: benchMinSaving,
	}
	costs := relocation.Costs{Copy: copyTime, Delay: benchDelay, Slowdown: benchSlowdown}
	stay, _ := t.meanPass(group, costs, 0, never)
	fixed := group
	leveller := balance.NewMapLeveller(group.Placements, t.meanDemand(), nil, group.Slots, experts)
	leveller.Level(experts*sets, 1)
	fixed.Placements = leveller.Placements()
	mean, _ := t.meanPass(fixed, costs, 0, never)
	known, _ := t.meanPass(group, costs, 0, knowing)
	own, moved := t.meanPass(group, costs, benchStep, expecting)
	b.ReportMetric(stay, "never")
	b.ReportMetric(mean, "best-fixed")
	b.ReportMetric(known, "knowing")
	b.ReportMetric(own, "guavahitch")
	b.ReportMetric(own/known, "over-knowing")
	b.ReportMetric(float64(moved), "moved")
}
