package mapswitch

import "guavahitch.example/guavahitch/fencing"

// The two messages of the protocol. Both tell a whole state in place of a change, so that a lost one is made
// good by the next and a repeated one does nothing.

type (
	// Instruction tells a rank the durable state and what is wanted next.
	Instruction struct {
		Group string
		Rank  int
		// Token grows with every instruction.
		Token   fencing.Token
		Replica string
		State   State
		// Prepare is the map whose weights the rank should hold; version 0 for none.
		Prepare Map
		// Arm is the layout to arm for; sequence 0 for none.
		Arm Layout
		// ArmToken is the token of the arm, which repeated instructions share.
		ArmToken fencing.Token
	}

	// Status is the state of an engine as its sidecar read it.
	Status struct {
		Group  string
		Member Member
		// Answers is the token of the latest instruction; zero when none asked for the status.
		Answers fencing.Token
		// Term is the highest that the sidecar has seen.
		Term uint64
		// Settled is the last decided sequence number that the sidecar knows.
		Settled uint64
		Engine  EngineState
	}

	// Envelope is an instruction with the member it is meant for.
	Envelope struct {
		To          Member
		Instruction Instruction
	}
)
