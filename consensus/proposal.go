package consensus

// The calls that wait for an entry or a read barrier, and the errors that they may get instead.

import (
	"sync/atomic"

	"guavahitch.example/guavahitch/outcome"
)

// The states of a proposal.
const (
	callQueued int32 = iota
	callClaimed
	callWithdrawn
)

type (
	// proposal is a call that proposes a command or a change of membership and waits for its entry to be applied.
	proposal struct {
		step    string
		command []byte
		term    uint64
		// state records whether the control goroutine claimed the call first, or the caller withdrew it.
		state  atomic.Int32
		answer chan answer
	}

	answer struct {
		result []byte
		err    error
	}

	// readCall is a call that waits for a read barrier.
	readCall struct {
		answer chan error
	}
)

func newProposal(step string, command []byte) *proposal {
	return &proposal{step: step, command: command, answer: make(chan answer, 1)}
}

// claim marks the call as handled by the control goroutine. It returns false when the caller has withdrawn it.
func (p *proposal) claim() bool { return p.state.CompareAndSwap(callQueued, callClaimed) }

// withdraw withdraws the call. It returns false when the control goroutine has claimed it already.
func (p *proposal) withdraw() bool { return p.state.CompareAndSwap(callQueued, callWithdrawn) }

func (p *proposal) succeed(result []byte) { p.answer <- answer{result: result} }

func (p *proposal) fail(err error) { p.answer <- answer{err: err} }

// notLeader returns the error for a call to a replica that is not the leader.
func notLeader(step, peer, leader string) error {
	return outcome.Error{
		Step: step, Peer: peer, Outcome: outcome.NotRun, Reason: "not-leader", RetryAfter: retryAfter,
	}.WithCause(&NotLeaderError{Leader: leader})
}

// refused returns the error for a call that certainly had no effect.
func refused(step, peer, reason, detail string) error {
	return &outcome.Error{
		Step: step, Peer: peer, Outcome: outcome.NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter,
	}
}

// unknown returns the error for a call that may still take effect.
func unknown(step, peer, reason string) error {
	return &outcome.Error{
		Step: step, Peer: peer, Outcome: outcome.Unknown, Reason: reason, RetryAfter: retryAfter,
	}
}
