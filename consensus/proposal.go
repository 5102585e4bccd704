package consensus

// Calls that wait for an entry to be applied, and the refusals that they may get instead.

import (
	"sync/atomic"

	"guavahitch.example/guavahitch/outcome"
)

const (
	callQueued int32 = iota
	callTaken
	callDropped
)

type (
	// proposal is a command, or a change of membership, on its way through the log.
	proposal struct {
		step    string
		command []byte
		term    uint64
		// state tells whether the control goroutine has taken the call, or the caller has left before.
		state  atomic.Int32
		answer chan answer
	}

	answer struct {
		result []byte
		err    error
	}

	// readCall waits for a read barrier.
	readCall struct {
		answer chan error
	}
)

func newProposal(step string, command []byte) *proposal {
	return &proposal{step: step, command: command, answer: make(chan answer, 1)}
}

// take reports whether the caller still waits, and binds it to the outcome from then on.
func (p *proposal) take() bool { return p.state.CompareAndSwap(callQueued, callTaken) }

// drop reports whether the call was taken back before it was looked at.
func (p *proposal) drop() bool { return p.state.CompareAndSwap(callQueued, callDropped) }

func (p *proposal) succeed(result []byte) { p.answer <- answer{result: result} }

func (p *proposal) fail(err error) { p.answer <- answer{err: err} }

func notLeader(step, peer, leader string) error {
	return outcome.Error{
		Step: step, Peer: peer, Outcome: outcome.NotRun, Reason: "not-leader", RetryAfter: retryAfter,
	}.WithCause(&NotLeaderError{Leader: leader})
}

func refused(step, peer, reason, detail string) error {
	return &outcome.Error{
		Step: step, Peer: peer, Outcome: outcome.NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter,
	}
}

func unknown(step, peer, reason string) error {
	return &outcome.Error{
		Step: step, Peer: peer, Outcome: outcome.Unknown, Reason: reason, RetryAfter: retryAfter,
	}
}
