package mapswitch

import "guavahitch.example/guavahitch/fencing"

// This file defines the two messages of the protocol. Each carries a complete state and no deltas, so that the next
// message makes up for a lost one and a duplicate has no effect.

type (
	// Instruction carries the durable state to a rank, with the map to load and the layout to arm.
	Instruction struct {
		Group string
		Rank  int
		// Token is the fencing token, which increases with every instruction.
		Token   fencing.Token
		Replica string
		State   State
		// Prepare is the map whose weights the rank loads; version 0 means none.
		Prepare Map
		// Arm is the layout before whose first step the engine holds; sequence 0 means none.
		Arm Layout
		// ArmToken is the token of the arm. Instructions that repeat the arm carry the same ArmToken.
		ArmToken fencing.Token
	}

	// Status is the state of an engine as last read by its sidecar.
	Status struct {
		Group  string
		Member Member
		// Answers is the token of the latest instruction that the sidecar has accepted; zero if there is none.
		Answers fencing.Token
		// Term is the highest leader term that the sidecar has seen.
		Term uint64
		// Settled is the last decided sequence number that the sidecar has received.
		Settled uint64
		Engine  EngineState
	}

	// Envelope is an instruction with its destination.
	Envelope struct {
		To          Member
		Instruction Instruction
	}
)
