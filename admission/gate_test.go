package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/admission"
	"guavahitch.example/guavahitch/outcome"
	_ "guavahitch.example/guavahitch/proptest"
)

var (
	start  = time.Unix(1000, 0)
	limits = admission.Limits{Running: 2, Queued: 2, Barred: 4, Entries: 3, Keep: time.Minute}
)

func startRequest(g *admission.Gate, entry, sequence int) admission.StartRequest {
	return admission.StartRequest{
		ID:    admission.AttemptID{Request: fmt.Sprintf("r-%d-%d", entry, sequence), Attempt: 1},
		Epoch: g.Epoch(), Entry: fmt.Sprintf("entry-%d", entry), Sequence: uint64(sequence),
		Deadline: start.Add(time.Hour), Repeatable: sequence%2 == 0,
	}
}

func ExampleGate() {
	gate := admission.NewGate("levis-1", 7, limits)
	id := admission.AttemptID{Request: "r-1", Attempt: 1}
	fmt.Println(gate.Cancel(start, 7, id, "entry-1", 1))
	_, refusal := gate.Start(start, admission.StartRequest{ID: id, Epoch: 7, Entry: "entry-1", Sequence: 1, Deadline: start.Add(time.Second)})
	fmt.Println(refusal)
	// Output:
	// NotRun
	// admit at levis-1: barred (NotRun)
}

// outcomeChecker drives a gate and records the outcomes that it reports, to detect later contradictions.
type outcomeChecker struct {
	gate   *admission.Gate
	now    time.Time
	sent   []admission.StartRequest
	notRun map[admission.AttemptID]bool
	ran    map[admission.AttemptID]bool
	runs   []*admission.Call
}

func (w *outcomeChecker) check(t *rapid.T, id admission.AttemptID, known outcome.Outcome) {
	switch known {
	case outcome.NotRun:
		if w.ran[id] {
			t.Fatalf("%v was reported NotRun but had run", id)
		}
		w.notRun[id] = true
	case outcome.Ran:
		if !w.ran[id] {
			t.Fatalf("%v was reported Ran but had not run", id)
		}
	}
}

func (w *outcomeChecker) start(t *rapid.T, request admission.StartRequest) {
	if _, refusal := w.gate.Start(w.now, request); refusal != nil {
		w.check(t, request.ID, refusal.Outcome)
	}
}

func (w *outcomeChecker) release(t *rapid.T) {
	call, expired := w.gate.Next(w.now)
	for _, late := range expired {
		w.check(t, late.Request.ID, outcome.NotRun)
	}
	if call == nil {
		return
	}
	if w.notRun[call.Request.ID] {
		t.Fatalf("%v runs after it was reported NotRun", call.Request.ID)
	}
	if w.ran[call.Request.ID] {
		t.Fatalf("%v runs twice", call.Request.ID)
	}
	w.ran[call.Request.ID] = true
	w.runs = append(w.runs, call)
}

func (w *outcomeChecker) end() {
	if len(w.runs) > 0 {
		w.gate.End(w.now, w.runs[0].Request.ID)
		w.runs = w.runs[1:]
	}
}

// TestNotRunIsFinal starts, repeats, cancels and forgets attempts of several entries in random order on a gate that
// remembers only a few. An attempt reported NotRun must never run, and no attempt may run twice.
func TestNotRunIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &outcomeChecker{
			gate: admission.NewGate("u", 1, limits), now: start, notRun: map[admission.AttemptID]bool{}, ran: map[admission.AttemptID]bool{},
		}
		sequence := 0
		pick := func() admission.StartRequest { return w.sent[rapid.IntRange(0, len(w.sent)-1).Draw(t, "which")] }
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 6).Draw(t, "action"); {
			case action == 0 || len(w.sent) == 0:
				sequence++
				next := startRequest(w.gate, rapid.IntRange(1, 5).Draw(t, "entry"), sequence)
				w.sent = append(w.sent, next)
				w.start(t, next)
			case action == 1:
				w.start(t, pick())
			case action == 2:
				cancelled := pick()
				w.check(t, cancelled.ID, w.gate.Cancel(w.now, cancelled.Epoch, cancelled.ID, cancelled.Entry, cancelled.Sequence))
			case action == 3:
				w.release(t)
			case action == 4:
				w.end()
			case action == 5:
				w.gate.Forget(pick().ID)
			default:
				w.now = w.now.Add(2 * time.Minute)
				w.gate.Expire(w.now)
			}
		}
	})
}

func TestDrainingGateFinishesAdmittedAttempts(t *testing.T) {
	gate := admission.NewGate("u", 1, limits)
	_, refusal := gate.Start(start, startRequest(gate, 1, 1))
	require.Nil(t, refusal)
	gate.Drain()
	_, refusal = gate.Start(start, startRequest(gate, 1, 2))
	require.Equal(t, admission.ReasonDraining, refusal.Reason)
	call, _ := gate.Next(start)
	require.NotNil(t, call)
	require.False(t, gate.IsIdle(start))
	gate.End(start, call.Request.ID)
	call.Answer.Finish(nil)
	call.Answer.Abandon()
	require.True(t, gate.IsIdle(start))
}

// Guards against a planned stop that ends while the last answer is on its way to its entry.
func TestDrainWaitsUntilTheAnswerHasReachedItsEntry(t *testing.T) {
	gate := admission.NewGate("u", 1, limits)
	_, refusal := gate.Start(start, startRequest(gate, 1, 1))
	require.Nil(t, refusal)
	gate.Drain()
	call, _ := gate.Next(start)
	gate.End(start, call.Request.ID)
	call.Answer.Finish(nil)
	_ = read(t, call.Answer, 0)
	require.False(t, gate.IsIdle(start.Add(900*time.Millisecond)), "it was fetched, but not released")
	require.True(t, gate.IsIdle(start.Add(time.Second)), "an entry that is gone does not hold up the stop")
	gate.Forget(call.Request.ID)
	require.True(t, gate.IsIdle(start))
}

func TestEntryOnAnOldInventoryIsRefused(t *testing.T) {
	gate := admission.NewGate("u", 1, limits)
	gate.RequireRevision(5)
	frozen := startRequest(gate, 1, 1)
	frozen.Revision = 4
	_, refusal := gate.Start(start, frozen)
	require.Equal(t, admission.ReasonRevision, refusal.Reason)
	require.Equal(t, outcome.NotRun, refusal.Outcome)
	current := startRequest(gate, 1, 2)
	current.Revision = 5
	_, refusal = gate.Start(start, current)
	require.Nil(t, refusal)
}

func TestAloneAttemptRunsAlone(t *testing.T) {
	gate := admission.NewGate("u", 1, limits)
	_, _ = gate.Start(start, startRequest(gate, 1, 1))
	running, _ := gate.Next(start)
	trial := startRequest(gate, 1, 2)
	trial.Alone = true
	_, refusal := gate.Start(start, trial)
	require.Nil(t, refusal)
	waiting, _ := gate.Next(start)
	require.Nil(t, waiting, "a trial waits for the others to end")
	gate.End(start, running.Request.ID)
	alone, _ := gate.Next(start)
	require.Equal(t, trial.ID, alone.Request.ID)
	_, refusal = gate.Start(start, startRequest(gate, 1, 3))
	require.Nil(t, refusal)
	waiting, _ = gate.Next(start)
	require.Nil(t, waiting, "others wait for the trial to end")
}

func TestNewEpochRefusesAttemptsOfTheOld(t *testing.T) {
	gate := admission.NewGate("u", 1, limits)
	old := startRequest(gate, 1, 1)
	gate.NewEpoch(2)
	_, refusal := gate.Start(start, old)
	require.Equal(t, admission.ReasonEpoch, refusal.Reason)
	require.Equal(t, outcome.Unknown, refusal.Outcome, "an earlier copy may have run")
	require.Equal(t, outcome.Unknown, gate.Cancel(start, 1, old.ID, old.Entry, old.Sequence))
}

// Guards against a call that runs twice. The gate begins a new epoch while an attempt runs, and the entry, which has
// learned the new epoch, asks for the attempt again.
func TestAttemptOfAnOldEpochIsNotReleasedAgain(t *testing.T) {
	gate := admission.NewGate("levis-1", 7, limits)
	request := startRequest(gate, 0, 1)
	_, refusal := gate.Start(start, request)
	require.Nil(t, refusal)
	released, _ := gate.Next(start)
	require.Equal(t, request.ID, released.Request.ID)
	for entry := 1; gate.Epoch() == 7; entry++ {
		_, refusal := gate.Start(start, startRequest(gate, entry, 2))
		require.Nil(t, refusal)
		other, _ := gate.Next(start)
		gate.End(start, other.Request.ID)
	}
	request.Epoch = gate.Epoch()
	again, refusal := gate.Start(start, request)
	require.Nil(t, refusal)
	require.Equal(t, admission.Running, again.State)
	next, _ := gate.Next(start)
	require.Nil(t, next, "the attempt is released a second time")
}
