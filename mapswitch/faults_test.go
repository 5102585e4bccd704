package mapswitch_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/mapswitch"
)

const (
	defaultSeeds = 20
	faultTime    = 6 * time.Second
	recoveryTime = 15 * time.Second
)

// seeds returns the number of seeded fault schedules to run: GUAVAHITCH_SEEDS if set, else defaultSeeds.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("GUAVAHITCH_SEEDS"), 10, 32); err == nil {
		return n
	}
	return defaultSeeds
}

// TestNoStepRunsOnTwoMapsUnderFaults checks with seeded faults that no step runs on two maps, and that every rank
// continues when the faults stop.
func TestNoStepRunsOnTwoMapsUnderFaults(t *testing.T) {
	ran, ended := 0, 0
	for seed := range seeds() {
		w := newSimulation(seed, 4, 2, mapswitch.TestOverrides{})
		w.runWithFaults(faultTime, true, allFaults)
		require.Empty(t, w.violation, "seed %d", seed)
		require.NoError(t, w.checkRecovery(), "seed %d", seed)
		for _, r := range w.results {
			ended++
			if r.Ending == mapswitch.Ran {
				ran++
			}
		}
	}
	t.Logf("%d seeds, %d switches ended, %d of them ran", seeds(), ended, ran)
}

// TestEachMechanismPreventsAViolation checks that the simulation detects a missing mechanism. Each mechanism is
// disabled under the faults that it protects against; with it, the same seed shows no violation.
func TestEachMechanismPreventsAViolation(t *testing.T) {
	for _, c := range []struct {
		name      string
		overrides mapswitch.TestOverrides
		isLossy   bool
		faults    []fault
	}{
		{"arm", mapswitch.TestOverrides{NoArm: true}, true, []fault{(*simulation).request}},
		{
			"durable decision",
			mapswitch.TestOverrides{NoDurableDecision: true},
			true,
			[]fault{(*simulation).killLeader, (*simulation).request},
		},
		{"term fence", mapswitch.TestOverrides{NoTermFence: true}, true, []fault{
			(*simulation).slowLog, (*simulation).electRival,
			(*simulation).request, (*simulation).request, (*simulation).request,
		}},
		{
			"read-back",
			mapswitch.TestOverrides{NoReadBack: true},
			false,
			[]fault{(*simulation).delayNextOrder, (*simulation).request, (*simulation).request},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(300) {
				if violation := violationUnder(seed, c.overrides, c.isLossy, c.faults); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					require.Empty(t, violationUnder(seed, mapswitch.TestOverrides{}, c.isLossy, c.faults), "with the mechanism, seed %d", seed)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

func violationUnder(seed uint64, overrides mapswitch.TestOverrides, isLossy bool, faults []fault) string {
	w := newSimulation(seed, 4, 2, overrides)
	w.runWithFaults(faultTime, isLossy, faults)
	return w.violation
}

// fault injects a fault or requests another map.
type fault func(*simulation)

// allFaults are the faults of TestNoStepRunsOnTwoMapsUnderFaults. Repeated entries are more frequent.
var allFaults = []fault{
	(*simulation).request, (*simulation).request, (*simulation).request,
	(*simulation).request, (*simulation).request, (*simulation).request,
	(*simulation).restartEngine, (*simulation).stallEngine, (*simulation).restartSidecar, (*simulation).delayNextOrder,
	(*simulation).killLeader, (*simulation).electRival, (*simulation).stallLeader, (*simulation).partitionLeader,
}

// runWithFaults runs the simulation with random faults for the given time. If lossy, messages are also lost,
// duplicated, delayed and reordered.
func (w *simulation) runWithFaults(d time.Duration, isLossy bool, faults []fault) {
	w.advance(50 * time.Millisecond)
	w.request()
	w.advance(100 * time.Millisecond)
	w.isFaulty = isLossy
	for end := w.now.Add(d); w.now.Before(end) && w.violation == ""; {
		w.advance(time.Duration(20+w.rng.IntN(150)) * time.Millisecond)
		faults[w.rng.IntN(len(faults))](w)
	}
	w.isFaulty = false
}

// randomMillis returns a random duration of whole milliseconds below the bound.
func (w *simulation) randomMillis(bound int) time.Duration {
	return time.Duration(w.rng.IntN(bound)) * time.Millisecond
}

func (w *simulation) randomEngine() *engine { return w.engines[w.rng.IntN(len(w.engines))] }

func (w *simulation) latestLeader() *leader { return w.leaders[len(w.leaders)-1] }

func (w *simulation) restartEngine() {
	e := w.randomEngine()
	e.isAlive = false
	w.after(w.randomMillis(400), e.start)
}

func (w *simulation) stallEngine() { w.randomEngine().frozen = w.now.Add(w.randomMillis(300)) }

func (w *simulation) restartSidecar() {
	s := w.sidecars[w.rng.IntN(len(w.sidecars))]
	s.ranks = map[string]*rank{}
	w.after(w.randomMillis(30), s.start)
}

func (w *simulation) delayNextOrder() { w.isOrderDelaySet = true }

func (w *simulation) killLeader() {
	w.latestLeader().isAlive = false
	w.after(w.randomMillis(200), w.electRival)
}

func (w *simulation) electRival() { w.elect() }

func (w *simulation) slowLog() { w.logDelay = 60 * time.Millisecond }

func (w *simulation) stallLeader() { w.latestLeader().frozen = w.now.Add(w.randomMillis(300)) }

func (w *simulation) partitionLeader() {
	w.latestLeader().isPartitioned = true
	w.after(w.randomMillis(200), w.electRival)
}

// checkRecovery ends the faults and returns an error if the ranks do not continue or a step ran on two maps.
func (w *simulation) checkRecovery() error {
	for _, e := range w.engines {
		if !e.isAlive {
			e.start()
		}
	}
	for _, s := range w.sidecars {
		if len(s.ranks) == 0 {
			s.start()
		}
	}
	w.advance(2 * time.Second)
	w.elect()
	w.advance(time.Second)
	for end := w.now.Add(recoveryTime); w.now.Before(end); {
		if mapswitch.AssignRanks(w.state.InForce, w.ranks, w.candidates()).IsChanged {
			w.request()
		}
		w.advance(time.Second)
	}
	w.request()
	w.advance(time.Second)
	before := w.endedSteps
	w.advance(time.Second)
	if w.violation != "" {
		return fmt.Errorf("after the faults ended: %s", w.violation)
	}
	if w.endedSteps < before+100 {
		return fmt.Errorf("only %d steps in the last second, state %+v", w.endedSteps-before, w.state)
	}
	if w.state.InForce.Map.Version != w.version {
		return fmt.Errorf("map %d in force, %d was requested", w.state.InForce.Map.Version, w.version)
	}
	return nil
}
