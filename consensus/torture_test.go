package consensus_test

// Runs puts, compare-and-sets and reads under random faults, and checks the histories for linearizability.

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/consensus"
)

const (
	defaultSeeds = 20
	seedsName    = "GUAVAHITCH_SEEDS"
	clients      = 4
	simKeys      = 4
	opTimeout    = 600 * time.Millisecond
	checkTimeout = 60 * time.Second
	// violationTimeout bounds the check of a history that is expected to be wrong: after it, the next seed is
	// tried, which may show the violation sooner.
	violationTimeout = 2 * time.Second
)

var simModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(simInput).Key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, key := range sortedKeys(byKey) {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() any { return simOutput{} },
	Step: func(state, input, output any) (bool, any) {
		old, in, out := state.(simOutput), input.(simInput), output.(simOutput)
		next := old
		if in.Kind == "put" || in.Kind == "cas" && old.Value == in.Expect {
			next = simOutput{Value: in.Value, IsSet: true}
		}
		return out.IsUnknown || out == old, next
	},
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// workload runs clients on a simulation and records the history of their operations.
type workload struct {
	*simulation
	history []porcupine.Operation
	answers int
	unknown int
	value   int
	isOver  bool
	seen    []string
}

func (w *workload) begin() {
	w.seen = make([]string, simKeys)
	for client := range clients {
		w.after(w.between(0, 50*time.Millisecond), func() { w.next(client) })
	}
}

func (w *workload) next(client int) {
	if w.isOver {
		return
	}
	r := w.replicas[w.random.IntN(len(w.replicas))]
	if !r.isUp || r.core.Status().Role != "leader" {
		w.after(w.between(time.Millisecond, 10*time.Millisecond), func() { w.next(client) })
		return
	}
	w.call(client, r, w.randomInput())
}

func (w *workload) randomInput() simInput {
	w.value++
	key := w.random.IntN(simKeys)
	input := simInput{Key: fmt.Sprint("k", key), Value: fmt.Sprint(w.value)}
	switch w.random.IntN(4) {
	case 0:
		input.Kind = "put"
	case 1:
		input.Kind, input.Expect = "cas", w.seen[key]
	default:
		input.Kind, input.Value = "get", ""
	}
	return input
}

// call runs one operation. An operation that is known not to have run is left out of the history, so a false claim
// shows up as a value that was never written. An operation with an unknown outcome may take effect at any later time.
func (w *workload) call(client int, r *simReplica, input simInput) {
	start, isDone := w.now, false
	finish := func(output simOutput, isKnown, isRun bool) {
		if isDone {
			return
		}
		isDone = true
		end := w.now
		if !isKnown {
			output, end = simOutput{IsUnknown: true}, time.UnixMilli(1<<50)
		}
		if isKnown || isRun {
			w.history = append(w.history, porcupine.Operation{
				ClientId: client, Input: input, Output: output,
				Call: start.UnixNano(), Return: end.UnixNano(),
			})
		}
		if isKnown {
			w.answers++
			w.seen[int(input.Key[1]-'0')] = output.Value
		} else if isRun {
			w.unknown++
		}
		w.after(w.between(time.Millisecond, 15*time.Millisecond), func() { w.next(client) })
	}
	isRun := input.Kind != "get"
	if !r.submit(&call{input: input, done: finish}) {
		finish(simOutput{}, false, false)
		return
	}
	w.after(opTimeout, func() { finish(simOutput{}, false, isRun) })
}

func (w *workload) check(tb testing.TB, budget time.Duration) porcupine.CheckResult {
	tb.Helper()
	return porcupine.CheckOperationsTimeout(simModel, w.history, budget)
}

// torture runs a workload with random faults for some seconds of virtual time.
func torture(seed uint64, b setup) *workload {
	w := &workload{simulation: newSimulation(seed, 3+2*int(seed%2), b)}
	for _, r := range w.replicas {
		r.disk.isDroppingSyncs = b.isDroppingSyncs
	}
	w.begin()
	w.runFor(2 * time.Second)
	for w.now.Before(time.UnixMilli(1_000_000).Add(14*time.Second)) && w.err == nil {
		w.fault()
		w.runFor(w.between(50*time.Millisecond, 600*time.Millisecond))
	}
	w.stopFaults()
	return w
}

// stopFaults ends the faults, restarts all replicas, runs on until they have caught up, and then stops the clients.
func (w *workload) stopFaults() {
	w.isFaultless = true
	clear(w.blocked)
	for _, r := range w.replicas {
		r.restart()
	}
	w.runFor(6 * time.Second)
	w.isOver = true
	w.runFor(2 * time.Second)
}

func (w *workload) fault() {
	r := w.replicas[w.random.IntN(len(w.replicas))]
	if w.random.IntN(2) == 0 {
		// Faults of the leader have the most effects.
		for _, other := range w.replicas {
			if other.isUp && other.core.Status().Role == "leader" {
				r = other
			}
		}
	}
	if w.setup.hasFreezes && w.random.IntN(4) == 0 {
		r.frozenUntil = w.now.Add(w.between(100*time.Millisecond, time.Second))
		return
	}
	switch w.random.IntN(8) {
	case 0, 1:
		w.isolate(r)
	case 2:
		w.blockOneWay(r)
	case 3:
		clear(w.blocked)
	case 4, 5:
		w.crashFor(r, w.between(10*time.Millisecond, 1500*time.Millisecond))
	case 6:
		w.replaceDisk(r)
	case 7:
		_ = r.isUp && r.core.Transfer(w.now, "") == nil
	}
}

func (w *workload) isolate(r *simReplica) {
	clear(w.blocked)
	for _, other := range w.replicas {
		w.blocked[[2]string{r.id, other.id}] = true
		w.blocked[[2]string{other.id, r.id}] = true
	}
}

func (w *workload) blockOneWay(r *simReplica) {
	clear(w.blocked)
	for _, other := range w.replicas {
		if w.random.IntN(2) == 0 {
			w.blocked[[2]string{r.id, other.id}] = true
		}
	}
}

// crashFor crashes a replica for some time, unless that would leave less than a majority up.
func (w *workload) crashFor(r *simReplica, d time.Duration) {
	down := 1
	for _, other := range w.replicas {
		if !other.isUp {
			down++
		}
	}
	if down > len(w.replicas)/2 {
		return
	}
	r.crash()
	w.after(d, r.restart)
}

// replaceDisk crashes a replica and empties its disk, unless an earlier loss is not repaired yet. Right after the
// repair another replica crashes for a second.
func (w *workload) replaceDisk(r *simReplica) {
	if !w.isRepaired() {
		return
	}
	r.crash()
	r.replaced++
	isDroppingSyncs := r.disk.isDroppingSyncs
	r.disk = newMemoryDisk()
	r.disk.isDroppingSyncs = isDroppingSyncs
	w.after(w.between(10*time.Millisecond, 300*time.Millisecond), r.restart)
	w.after(400*time.Millisecond, func() { w.crashAfterRepair(r) })
}

func (w *workload) crashAfterRepair(repaired *simReplica) {
	if w.isFaultless {
		return
	}
	if !w.isRepaired() {
		w.after(5*time.Millisecond, func() { w.crashAfterRepair(repaired) })
		return
	}
	for _, r := range w.replicas {
		if r != repaired && r.isUp {
			w.crashFor(r, time.Second)
			return
		}
	}
}

// isRepaired reports whether every replica is up and its membership lists exactly the current incarnations of all
// replicas, as voters.
func (w *workload) isRepaired() bool {
	for _, r := range w.replicas {
		if !r.isUp {
			return false
		}
		status := r.core.Status()
		if len(status.Members) != len(w.replicas) {
			return false
		}
		for _, member := range status.Members {
			other := w.replica(member.ID)
			if !member.IsVoter || !other.isUp || other.core.Status().Incarnation != member.Incarnation {
				return false
			}
		}
	}
	return true
}

func seeds(tb testing.TB) uint64 {
	tb.Helper()
	text := os.Getenv(seedsName)
	if text == "" {
		return defaultSeeds
	}
	count, err := strconv.ParseUint(text, 10, 32)
	require.NoError(tb, err)
	return count
}

// regressionSeeds are seeds beyond the default ones that have shown a fault.
var regressionSeeds = []uint64{203}

func TestTorture(t *testing.T) { testTorture(t, setup{}) }

func TestTortureWithFreezes(t *testing.T) { testTorture(t, setup{hasFreezes: true}) }

func testTorture(t *testing.T, b setup) {
	t.Helper()
	var crashes, replaced, installed int
	run := slices.Clone(regressionSeeds)
	for seed := uint64(1); seed <= seeds(t); seed++ {
		run = append(run, seed)
	}
	for _, seed := range run {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			w := torture(seed, b)
			require.NoError(t, w.err)
			require.Equal(t, porcupine.Ok, w.check(t, checkTimeout), "the history of %d answers is not linearizable", w.answers)
			require.Greater(t, w.answers, 300)
			require.True(t, w.isRepaired(), "a lost disk was not replaced")
			for _, r := range w.replicas {
				require.Equal(t, w.replicas[0].stateText(), r.stateText())
			}
			crashes, replaced, installed = crashes+w.crashes, replaced+w.replaced, installed+w.installed
		})
	}
	t.Logf("%d crashes, %d disks replaced, %d snapshots received", crashes, replaced, installed)
	require.Positive(t, crashes)
	require.Positive(t, replaced)
	require.Positive(t, installed)
}

// TestTortureIsDeterministic guards against seeds that do not reproduce a failure.
func TestTortureIsDeterministic(t *testing.T) {
	first, second := torture(3, setup{}), torture(3, setup{})
	require.Equal(t, first.history, second.history)
}

// TestTortureDetectsMissingMechanisms guards against a torture test that finds no violations: with one mechanism
// switched off at a time, some seed must give a history that is not linearizable.
func TestTortureDetectsMissingMechanisms(t *testing.T) {
	const enough = 60
	for _, b := range []struct {
		name  string
		setup setup
	}{
		{"sync", setup{isDroppingSyncs: true}},
		{"incarnation", setup{isSameIdentity: true}},
		{"read-barrier", setup{disabled: consensus.Mechanisms{ReadBarrier: true}}},
		{"sync-gate", setup{disabled: consensus.Mechanisms{SyncGate: true}}},
	} {
		t.Run("without="+b.name, func(t *testing.T) {
			for seed := uint64(1); seed <= enough; seed++ {
				if torture(seed, b.setup).check(t, violationTimeout) == porcupine.Illegal {
					t.Logf("seed %d gave a wrong history", seed)
					return
				}
			}
			require.Fail(t, "no seed gave a wrong history without the mechanism")
		})
	}
}
