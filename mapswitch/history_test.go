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
	plainSeeds = 20
	faultTime  = 6 * time.Second
	healTime   = 15 * time.Second
)

// seeds returns the number of schedules to run: GUAVAHITCH_SEEDS, else a few.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("GUAVAHITCH_SEEDS"), 10, 32); err == nil {
		return n
	}
	return plainSeeds
}

// TestHistory checks over seeded faults that no step runs on two maps, and that every rank goes on when the
// faults stop.
func TestHistory(t *testing.T) {
	ran, lived := 0, 0
	for seed := range seeds() {
		w := newWorld(seed, 4, 2, mapswitch.TestOverrides{})
		w.suffer(faultTime, true, allFaults)
		require.Empty(t, w.split, "seed %d", seed)
		require.NoError(t, w.heal(), "seed %d", seed)
		for _, r := range w.results {
			lived++
			if r.Ending == mapswitch.Ran {
				ran++
			}
		}
	}
	t.Logf("%d seeds, %d switches ended, %d of them ran", seeds(), lived, ran)
}

// TestMechanismsAreNeeded checks that the history check notices when a mechanism is missing. Each one is
// switched off under the faults that it is meant for.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, c := range []struct {
		name    string
		seams   mapswitch.TestOverrides
		isLossy bool
		faults  []fault
	}{
		{"arm", mapswitch.TestOverrides{NoArm: true}, true, []fault{(*world).request}},
		{"durable decision", mapswitch.TestOverrides{NoDurableDecision: true}, true, []fault{(*world).killLeader, (*world).request}},
		{"term fence", mapswitch.TestOverrides{NoTermFence: true}, true, []fault{(*world).slowLog, (*world).rivalLeader, (*world).request, (*world).request, (*world).request}},
		{"read-back", mapswitch.TestOverrides{NoReadBack: true}, false, []fault{(*world).trapSidecar, (*world).request, (*world).request}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(300) {
				if split := splitUnder(seed, c.seams, c.isLossy, c.faults); split != "" {
					t.Logf("seed %d: %s", seed, split)
					require.Empty(t, splitUnder(seed, mapswitch.TestOverrides{}, c.isLossy, c.faults), "with the mechanism, seed %d", seed)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

func splitUnder(seed uint64, seams mapswitch.TestOverrides, isLossy bool, faults []fault) string {
	w := newWorld(seed, 4, 2, seams)
	w.suffer(faultTime, isLossy, faults)
	return w.split
}

// fault is one thing that goes wrong, or a request for another map.
type fault func(*world)

// allFaults are the faults of the history check, in proportion.
var allFaults = []fault{
	(*world).request, (*world).request, (*world).request, (*world).request, (*world).request, (*world).request,
	(*world).restartEngine, (*world).stallEngine, (*world).restartSidecar, (*world).trapSidecar,
	(*world).killLeader, (*world).rivalLeader, (*world).stallLeader, (*world).cutLeader,
}

// suffer runs the world under faults, if lossy with lost, doubled, late and overtaking messages throughout.
func (w *world) suffer(d time.Duration, isLossy bool, faults []fault) {
	w.advance(50 * time.Millisecond)
	w.request()
	w.advance(100 * time.Millisecond)
	w.isFaulty = isLossy
	for end := w.now.Add(d); w.now.Before(end) && w.split == ""; {
		w.advance(time.Duration(20+w.rng.IntN(150)) * time.Millisecond)
		faults[w.rng.IntN(len(faults))](w)
	}
	w.isFaulty = false
}

// upTo returns a time below the bound, in milliseconds.
func (w *world) upTo(bound int) time.Duration {
	return time.Duration(w.rng.IntN(bound)) * time.Millisecond
}

func (w *world) anEngine() *engine { return w.engines[w.rng.IntN(len(w.engines))] }

func (w *world) latest() *leader { return w.leaders[len(w.leaders)-1] }

func (w *world) restartEngine() {
	e := w.anEngine()
	e.isAlive = false
	w.after(w.upTo(400), e.start)
}

func (w *world) stallEngine() { w.anEngine().frozen = w.now.Add(w.upTo(300)) }

func (w *world) restartSidecar() {
	s := w.sidecars[w.rng.IntN(len(w.sidecars))]
	s.ranks = map[string]*rank{}
	w.after(w.upTo(30), s.start)
}

func (w *world) trapSidecar() { w.isTrapSet = true }

func (w *world) killLeader() {
	w.latest().isAlive = false
	w.after(w.upTo(200), w.rivalLeader)
}

func (w *world) rivalLeader() { w.elect() }

func (w *world) slowLog() { w.logDelay = 60 * time.Millisecond }

func (w *world) stallLeader() { w.latest().frozen = w.now.Add(w.upTo(300)) }

func (w *world) cutLeader() {
	w.latest().isCut = true
	w.after(w.upTo(200), w.rivalLeader)
}

// heal ends the faults and returns an error when a rank does not go on or a step runs on two maps.
func (w *world) heal() error {
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
	for end := w.now.Add(healTime); w.now.Before(end); {
		if mapswitch.AssignRanks(w.state.InForce, w.ranks, w.present()).IsChanged {
			w.request()
		}
		w.advance(time.Second)
	}
	w.request()
	w.advance(time.Second)
	before := w.ended
	w.advance(time.Second)
	if w.split != "" {
		return fmt.Errorf("after the faults: %s", w.split)
	}
	if w.ended < before+100 {
		return fmt.Errorf("%d steps in the last second, state %+v", w.ended-before, w.state)
	}
	if w.state.InForce.Map.Version != w.version {
		return fmt.Errorf("map %d in force, %d was asked for", w.state.InForce.Map.Version, w.version)
	}
	return nil
}
