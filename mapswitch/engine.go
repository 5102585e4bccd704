package mapswitch

import (
	"slices"

	"guavahitch.example/guavahitch/fencing"
)

// This file defines the interface between a participant and its engine: a state that can be read back, and five
// orders.

const (
	// LoadWeights starts loading the weights of Map. The engine lists the map in Weights once they are loaded.
	LoadWeights OrderKind = "map-load"
	// HoldStep stops the engine from beginning Hold.Step and any later step.
	HoldStep OrderKind = "map-hold"
	// RunLayout makes the engine change to Layout at its first step and lifts the hold.
	RunLayout OrderKind = "map-run"
	// ReleaseHold lifts the hold. The engine continues with the layouts it has.
	ReleaseHold OrderKind = "map-release"
	// Retire makes the engine export its KV cache if it supports that, stop running steps and drop its layouts.
	Retire OrderKind = "map-retire"
)

type (
	// OrderKind names an order to an engine.
	OrderKind string

	// Hold is the promise of an engine not to begin a step until a switch is decided.
	Hold struct {
		// Sequence is the number of the undecided switch; 0 means no hold.
		Sequence uint64
		// Step is the first step that the engine must not begin.
		Step uint64
		// Token is the token of the arm; zero if the engine does not store it.
		Token fencing.Token
	}

	// EngineState is the state that an engine reports.
	EngineState struct {
		// Incarnation must be higher after every start of the engine, because the coordinator detects restarts by that.
		Incarnation uint64
		// Step is the last step begun; 0 means none.
		Step uint64
		// Layout is the sequence number of the layout in use, Pending that of the next one; 0 means none.
		Layout, Pending uint64
		Hold            Hold
		// Weights are the maps whose weights are loaded, Loading those whose weights are being loaded.
		Weights, Loading []MapReference
	}

	// Order is an order to an engine, which the gate of package fencing executes. Kind tells which of Map, Hold and
	// Layout is set.
	Order struct {
		Kind   OrderKind
		Token  fencing.Token
		Map    Map
		Hold   Hold
		Layout Layout
	}
)

// Newest returns the sequence number of the latest layout that the engine uses or will use.
func (e EngineState) Newest() uint64 { return max(e.Layout, e.Pending) }

// HasWeights reports whether the weights of the map are loaded.
func (e EngineState) HasWeights(m MapReference) bool { return slices.Contains(e.Weights, m) }
