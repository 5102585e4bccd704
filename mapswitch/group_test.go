package mapswitch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/mapswitch"
)

// newRunningGroup returns a simulation without faults in which the group runs steps.
func newRunningGroup(ranks, spares int) *simulation {
	w := newSimulation(1, ranks, spares, mapswitch.TestOverrides{})
	w.advance(50 * time.Millisecond)
	w.request()
	w.advance(time.Second)
	return w
}

// stepsWithin returns the number of steps that the group completes in the given time.
func (w *simulation) stepsWithin(d time.Duration) uint64 {
	before := w.endedSteps
	w.advance(d)
	return w.endedSteps - before
}

func TestGroupLosesAndGainsARank(t *testing.T) {
	w := newRunningGroup(4, 0)
	lost := w.engines[3]
	lost.isAlive = false
	require.LessOrEqual(t, w.stepsWithin(time.Second), uint64(1), "a step needs every rank")

	w.ranks = 3
	w.request()
	require.Greater(t, w.stepsWithin(time.Second), uint64(100))
	require.Len(t, w.state.InForce.Members, 3)

	lost.start()
	w.ranks = 4
	w.request()
	w.advance(time.Second)
	require.Greater(t, w.stepsWithin(time.Second), uint64(100))
	require.Len(t, w.state.InForce.Members, 4)
	require.Empty(t, w.violation)
}

func TestSpareTakesThePlaceOfADeadRank(t *testing.T) {
	w := newRunningGroup(4, 1)
	w.engines[1].isAlive = false
	w.advance(100 * time.Millisecond)
	w.request()
	require.Greater(t, w.stepsWithin(time.Second), uint64(100))
	require.Equal(t, "upstream-004", w.state.InForce.Members[1].Name)

	// The replaced engine returns as a spare and runs no step.
	w.engines[1].start()
	w.advance(time.Second)
	require.Zero(t, w.engines[1].state.Step)
	require.Empty(t, w.violation)
}

// A running rank that is replaced retires: it exports its KV cache, stops running steps and can
// join the group again later.
func TestReplacedRankRetires(t *testing.T) {
	w := newRunningGroup(2, 1)
	replaced := w.engines[0]
	layout := w.state.InForce
	members := []mapswitch.Member{{Rank: 0, Name: "upstream-002", Incarnation: 1}, layout.Members[1]}
	leader := w.latestLeader()
	w.version++
	leader.perform(leader.coordinator.Request(mapswitch.Switch{
		ChangeID: "replace", Map: mapswitch.NewMap(w.version, []byte("placement")), Members: members,
	}, w.now))
	w.advance(2 * time.Second)
	require.Equal(t, members, w.state.InForce.Members)
	require.Greater(t, w.stepsWithin(time.Second), uint64(100))
	require.Zero(t, replaced.state.Layout, "the replaced engine has retired")
	w.request()
	require.Greater(t, w.stepsWithin(time.Second), uint64(100))
	require.Empty(t, w.violation)
}

func TestRequestsDuringASwitch(t *testing.T) {
	w := newRunningGroup(4, 0)
	w.results = nil
	for range 3 {
		w.request()
	}
	w.advance(time.Second)
	endings := map[string]mapswitch.Ending{}
	for _, r := range w.results {
		endings[r.Switch.ChangeID] = r.Ending
	}
	require.Equal(t, map[string]mapswitch.Ending{
		"change-2": mapswitch.Ran, "change-3": mapswitch.Superseded, "change-4": mapswitch.Ran,
	}, endings)
	require.Equal(t, w.version, w.state.InForce.Map.Version)
}
