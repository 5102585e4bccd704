package mapswitch_test

import (
	"fmt"
	"time"

	"guavahitch.example/guavahitch/mapswitch"
)

// Two ranks move to a map. The example performs the coordinator's output by direct calls, without a network.
func ExampleCoordinator() {
	now := time.Unix(0, 0)
	members := []mapswitch.Member{{Rank: 0, Name: "ub-a-1", Incarnation: 1}, {Rank: 1, Name: "ub-a-2", Incarnation: 1}}
	ranks := map[string]*mapswitch.Participant{}
	engines := map[string]*mapswitch.EngineState{}
	for _, m := range members {
		ranks[m.Name] = mapswitch.NewParticipant("drafts", m.Rank, m.Name)
		engines[m.Name] = &mapswitch.EngineState{Incarnation: m.Incarnation}
	}
	leader := mapswitch.NewCoordinator(mapswitch.Options{Group: "drafts", Replica: "control-1"}, mapswitch.State{}, 1)

	var perform func(mapswitch.Output)
	var act func(string, mapswitch.Action)
	act = func(name string, a mapswitch.Action) {
		if a.Order != nil {
			fmt.Println(name, a.Order.Kind)
			*engines[name] = execute(*engines[name], *a.Order)
		}
		if a.Order != nil || a.Read {
			act(name, ranks[name].ReceiveEngineState(*engines[name], now))
		}
		if a.Status != nil {
			perform(leader.Receive(*a.Status, now))
		}
	}
	perform = func(o mapswitch.Output) {
		for _, r := range o.Propose {
			perform(leader.ReceiveCommitted(r, now))
		}
		for _, e := range o.Send {
			act(e.To.Name, ranks[e.To.Name].Receive(e.Instruction, now))
		}
		for _, r := range o.Results {
			fmt.Println(r.Switch.ChangeID, r.Ending, "from step", r.Layout.Step)
		}
	}
	perform(leader.Start(now))
	perform(leader.Request(mapswitch.Switch{
		ChangeID: "map-1", Map: mapswitch.NewMap(1, []byte("placement")), Members: members,
	}, now))
	fmt.Println(leader.IsIdle(), engines["ub-a-1"].Pending, engines["ub-a-2"].Pending)
	// Output:
	// ub-a-1 map-load
	// ub-a-2 map-load
	// ub-a-1 map-hold
	// ub-a-2 map-hold
	// ub-a-1 map-run
	// ub-a-2 map-run
	// map-1 ran from step 3
	// true 2 2
}

// execute returns the state of an engine after the order. Loading takes no time.
func execute(e mapswitch.EngineState, o mapswitch.Order) mapswitch.EngineState {
	switch o.Kind {
	case mapswitch.LoadWeights:
		e.Weights = append(e.Weights, o.Map.MapReference)
	case mapswitch.HoldStep:
		e.Hold = o.Hold
	case mapswitch.RunLayout:
		e.Pending = o.Layout.Sequence
		e.Hold = mapswitch.Hold{}
	case mapswitch.ReleaseHold:
		e.Hold = mapswitch.Hold{}
	case mapswitch.Retire:
		e.Layout, e.Pending, e.Hold = 0, 0, mapswitch.Hold{}
	}
	return e
}
