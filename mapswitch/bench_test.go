package mapswitch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/mapswitch"
)

const (
	benchStep     = 30 * time.Millisecond
	benchElection = 1500 * time.Millisecond
)

// benchCase is a fault during a switch.
type benchCase struct {
	name      string
	allowance time.Duration
	// arrange sets up the fault just before the switch is requested.
	arrange func(*simulation)
}

var benchCases = []benchCase{
	{name: "fault=none", arrange: func(*simulation) {}},
	{name: "fault=lost-message", arrange: func(w *simulation) { w.dropMessage = loseFirst("arm") }},
	{name: "fault=lost-decision", arrange: func(w *simulation) {
		isArmed := false
		w.dropMessage = func(kind string) bool {
			isArmed = isArmed || kind == "arm"
			isLost := isArmed && kind == "instruction"
			if isLost {
				w.dropMessage = func(string) bool { return false }
			}
			return isLost
		}
	}},
	{name: "fault=lost-leader", arrange: loseLeader},
	{name: "fault=lost-leader-allowance=2500ms", allowance: 2500 * time.Millisecond, arrange: loseLeader},
	{name: "fault=none-allowance=2500ms", allowance: 2500 * time.Millisecond, arrange: func(*simulation) {}},
}

// loseFirst returns a function for simulation.dropMessage that loses only the first message of the kind.
func loseFirst(kind string) func(string) bool {
	isDone := false
	return func(sent string) bool {
		isLost := !isDone && sent == kind
		isDone = isDone || isLost
		return isLost
	}
}

// loseLeader kills the leader when it proposes the decision. At that point all ranks are armed and the decision is
// lost. Its successor is elected after benchElection, and the switch is then requested again.
func loseLeader(w *simulation) {
	lose := loseFirst("propose")
	w.dropMessage = func(kind string) bool {
		if !lose(kind) {
			return false
		}
		w.latestLeader().isAlive = false
		w.after(benchElection, func() {
			w.elect()
			w.after(10*time.Millisecond, w.request)
		})
		return true
	}
}

// BenchmarkSwitch measures on the simulated clock by how many steps a switch delays the group and how long it takes
// from the request until the last rank uses the new map. The case fault=none is the baseline for the faults.
func BenchmarkSwitch(b *testing.B) {
	for _, ranks := range []int{8, 32, 128} {
		for _, c := range benchCases {
			b.Run(fmt.Sprintf("ranks=%d/%s", ranks, c.name), func(b *testing.B) {
				var stalled, took float64
				for n := range b.N {
					s, d := measureSwitch(b, uint64(n), ranks, c)
					stalled += s
					took += d.Seconds() * 1000
				}
				b.ReportMetric(stalled/float64(b.N), "stalled-steps")
				b.ReportMetric(took/float64(b.N), "switch-ms")
			})
		}
	}
}

// measureSwitch returns the delay caused by a switch, as a number of steps, and the duration of the switch.
func measureSwitch(b *testing.B, seed uint64, ranks int, c benchCase) (float64, time.Duration) {
	w := newSimulation(seed, ranks, 0, mapswitch.TestOverrides{})
	w.stepTime = benchStep
	w.advance(10 * time.Millisecond)
	w.request()
	w.advance(2*time.Second + w.randomMillis(int(benchStep/time.Millisecond)))
	for _, l := range w.leaders {
		l.isAlive = false
	}
	w.options.Allowance = c.allowance
	w.elect()
	w.advance(500 * time.Millisecond)
	c.arrange(w)
	began, before := w.now, w.endedSteps
	w.request()
	for !w.isInUse(w.version) {
		w.advance(time.Millisecond)
		require.Less(b, w.now.Sub(began), time.Minute)
	}
	took := w.now.Sub(began)
	w.advance(10 * benchStep)
	require.Empty(b, w.violation)
	elapsed := float64(w.now.Sub(began)) / float64(benchStep)
	return max(0, elapsed-float64(w.endedSteps-before)-1), took
}

// isInUse reports whether every rank uses the map.
func (w *simulation) isInUse(version uint64) bool {
	for _, e := range w.engines {
		if e.state.Layout == 0 || e.layouts[e.state.Layout].Map.Version != version {
			return false
		}
	}
	return true
}
