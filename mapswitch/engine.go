package mapswitch

import (
	"slices"

	"guavahitch.example/guavahitch/fencing"
)

// What a participant needs of an engine: a state that can be read back, and five orders.

const (
	// LoadWeights starts to load the weights of Map; the engine reports them in Weights when they are present.
	LoadWeights OrderKind = "map-load"
	// HoldStep makes the engine begin no step from Hold.Step on.
	HoldStep OrderKind = "map-hold"
	// RunLayout makes Layout follow at its step and lifts the hold.
	RunLayout OrderKind = "map-run"
	// ReleaseHold lifts the hold; the engine goes on with the layouts it has.
	ReleaseHold OrderKind = "map-release"
	// Retire makes the engine export its KV cache where it can, stop its steps and forget its layouts.
	Retire OrderKind = "map-retire"
)

type (
	// OrderKind names an order to an engine.
	OrderKind string

	// Hold is the promise of an engine not to begin a step before a switch is decided.
	Hold struct {
		// Sequence is the number of the undecided switch; 0 stands for no hold.
		Sequence uint64
		// Step is the first step that the engine does not begin.
		Step uint64
		// Token is that of the arm; zero when the engine does not keep it.
		Token fencing.Token
	}

	// EngineState is what an engine reports of itself.
	EngineState struct {
		// Incarnation is new with every start of the engine.
		Incarnation uint64
		// Step is the last step begun; 0 for none.
		Step uint64
		// Layout is the sequence of the layout in use, Pending that of the one that follows; 0 for none.
		Layout, Pending uint64
		Hold            Hold
		// Weights are the maps whose weights are present, Loading those on the way.
		Weights, Loading []MapReference
	}

	// Order is one order to an engine. The gate of package fencing carries it out.
	Order struct {
		Kind   OrderKind
		Token  fencing.Token
		Map    Map
		Hold   Hold
		Layout Layout
	}
)

// Newest returns the sequence of the latest layout that the engine uses or will use.
func (e EngineState) Newest() uint64 { return max(e.Layout, e.Pending) }

// HasWeights reports whether the weights of the map are present.
func (e EngineState) HasWeights(m MapReference) bool { return slices.Contains(e.Weights, m) }
