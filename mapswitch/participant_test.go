package mapswitch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/mapswitch"
)

var (
	start      = time.Unix(1000, 0)
	soleMember = []mapswitch.Member{{Rank: 0, Name: "ub-a-1", Incarnation: 7}}
	firstMap   = mapswitch.NewMap(1, []byte("first"))
)

// layoutOf returns a layout with the sole member, in series 2.
func layoutOf(sequence, step uint64) mapswitch.Layout {
	return mapswitch.Layout{Sequence: sequence, Series: 2, Step: step, Map: firstMap.MapReference, Members: soleMember}
}

// armFor returns an instruction to arm for the layout.
func armFor(s mapswitch.State, l mapswitch.Layout, count uint64) mapswitch.Instruction {
	token := fencing.Token{Term: s.Term, Count: count}
	return mapswitch.Instruction{Group: group, Token: token, State: s, Arm: l, ArmToken: token}
}

// runInstruction passes the instruction to a participant whose engine has the given state, and returns the resulting
// action.
func runInstruction(p *mapswitch.Participant, i mapswitch.Instruction, e mapswitch.EngineState) mapswitch.Action {
	e.Incarnation = soleMember[0].Incarnation
	e.Weights = []mapswitch.MapReference{firstMap.MapReference}
	p.Start(start)
	p.ReceiveEngineState(e, start)
	p.Receive(i, start)
	return p.ReceiveEngineState(e, start)
}

// An engine stores only one pending layout. If it armed for the next layout before the pending one was in use, it
// would skip the pending one.
func TestArmWaitsUntilThePendingLayoutIsInUse(t *testing.T) {
	state := mapswitch.State{Term: 1, Sequence: 3, InForce: layoutOf(3, 100)}
	p := mapswitch.NewParticipant(group, 0, "ub-a-1")
	action := runInstruction(p, armFor(state, layoutOf(4, 120), 9), mapswitch.EngineState{Step: 90, Layout: 2, Pending: 3})
	require.Nil(t, action.Order)
	action = runInstruction(p, armFor(state, layoutOf(4, 120), 9), mapswitch.EngineState{Step: 101, Layout: 3})
	require.Equal(t, mapswitch.HoldStep, action.Order.Kind)
}

// After a restart a sidecar does not know for which arm its engine holds: the engine may hold for a newer arm than the
// one in the instruction, or may not store the token. The sidecar must not move such a hold to a later step.
func TestHoldIsNotMovedByAnEarlierArm(t *testing.T) {
	state := mapswitch.State{Term: 1, Sequence: 3, InForce: layoutOf(3, 100)}
	held := func(token fencing.Token) mapswitch.EngineState {
		return mapswitch.EngineState{Step: 110, Layout: 3, Hold: mapswitch.Hold{Sequence: 4, Step: 120, Token: token}}
	}
	for name, token := range map[string]fencing.Token{"later": {Term: 2, Count: 1}, "not kept": {}} {
		p := mapswitch.NewParticipant(group, 0, "ub-a-1")
		action := runInstruction(p, armFor(state, layoutOf(4, 150), 9), held(token))
		require.Nil(t, action.Order, name)
	}
	p := mapswitch.NewParticipant(group, 0, "ub-a-1")
	action := runInstruction(p, armFor(state, layoutOf(4, 150), 9), held(fencing.Token{Term: 1, Count: 8}))
	require.Equal(t, mapswitch.HoldStep, action.Order.Kind)
}

// A status that answers no instruction must not count as an acknowledgement. It would otherwise distort the measured
// acknowledgement time and delay the switch.
func TestStatusWithoutInstructionDoesNotDelayTheSwitch(t *testing.T) {
	c := mapswitch.NewCoordinator(mapswitch.Options{Group: group}, mapswitch.State{}, 1)
	record := c.Start(start).Propose[0]
	engine := mapswitch.EngineState{Incarnation: 7, Step: 10, Weights: []mapswitch.MapReference{firstMap.MapReference}}
	c.Receive(mapswitch.Status{Group: group, Member: soleMember[0], Term: 1, Engine: engine}, start)
	c.ReceiveCommitted(record, start)
	out := c.Request(mapswitch.Switch{ChangeID: "a", Map: firstMap, Members: soleMember}, start)
	// Step 10, plus ten steps of 20 ms for four acknowledgements of 50 ms, plus three steps.
	require.EqualValues(t, 23, out.Send[len(out.Send)-1].Instruction.Arm.Step)
}

func TestEachSequenceIsDecidedOnce(t *testing.T) {
	state, verdict := mapswitch.State{}.Apply(mapswitch.Record{Term: 1, Takeover: true})
	require.Equal(t, mapswitch.Applied, verdict)
	run := mapswitch.Record{Term: 1, Sequence: 2, Run: true, Layout: layoutOf(2, 3)}
	state, verdict = state.Apply(run)
	require.Equal(t, mapswitch.Applied, verdict)
	after := func(r mapswitch.Record) mapswitch.Verdict {
		_, v := state.Apply(r)
		return v
	}
	require.Equal(t, mapswitch.Decided, after(run), "a repeated record does nothing")
	require.Equal(t, mapswitch.Decided, after(mapswitch.Record{Term: 1, Sequence: 2}), "the first decision holds")
	require.Equal(t, mapswitch.Fenced, after(mapswitch.Record{Term: 2, Sequence: 3}), "a leader takes over first")
	early := mapswitch.Record{Term: 1, Sequence: 3, Run: true, Layout: layoutOf(3, 3)}
	require.Equal(t, mapswitch.Invalid, after(early), "steps do not go back within a series")
	founded := layoutOf(3, 1)
	founded.Series, founded.Members = 3, []mapswitch.Member{{Rank: 0, Name: "ub-a-1", Incarnation: 8}}
	require.Equal(t, mapswitch.Applied, after(mapswitch.Record{Term: 1, Sequence: 3, Run: true, Layout: founded}))
	state, _ = state.Apply(mapswitch.Record{Term: 2, Takeover: true})
	require.Equal(t, mapswitch.Fenced, after(mapswitch.Record{Term: 1, Sequence: 4}))
}

func TestAssignRanksKeepsRanksAndFillsThemWithSpares(t *testing.T) {
	inForce := mapswitch.Layout{Members: []mapswitch.Member{
		{Rank: 0, Name: "a", Incarnation: 1}, {Rank: 1, Name: "b", Incarnation: 1}, {Rank: 2, Name: "c", Incarnation: 1},
	}}
	assignment := mapswitch.AssignRanks(inForce, 3, []mapswitch.Candidate{
		{Name: "d", Incarnation: 1}, {Name: "c", Incarnation: 1}, {Name: "a", Incarnation: 2},
	})
	require.Equal(t, []mapswitch.Member{
		{Rank: 0, Name: "a", Incarnation: 2}, {Rank: 1, Name: "d", Incarnation: 1}, {Rank: 2, Name: "c", Incarnation: 1},
	}, assignment.Members)
	require.True(t, assignment.IsChanged)
	require.True(t, assignment.IsStalled)
	require.Equal(t, []int{1}, mapswitch.AssignRanks(inForce, 3, []mapswitch.Candidate{{Name: "c", Incarnation: 1}, {Name: "a", Incarnation: 1}}).Vacant)
	require.False(t, mapswitch.AssignRanks(inForce, 3, []mapswitch.Candidate{
		{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 1},
	}).IsChanged)
}
