package consensus

// Node is a replica that a program embeds.

import (
	"context"
	"sync"
	"time"

	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/wire"
)

const retryAfter = 100 * time.Millisecond

// Node is one running replica. This first version keeps its log in memory and leads a group of one.
type Node struct {
	settings Settings
	mutex    sync.Mutex
	isClosed bool
	index    uint64
	lastMs   int64
}

// Open starts the replica.
func Open(settings Settings) (*Node, error) {
	return &Node{settings: settings}, nil
}

// Propose appends a command to the log and returns the result of its application.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isClosed || ctx.Err() != nil {
		return nil, &outcome.Error{Step: "propose", Outcome: outcome.NotRun, Reason: "closed"}
	}
	n.index++
	n.lastMs = max(n.lastMs, time.Now().UnixMilli())
	return n.settings.Apply(Entry{Index: n.index, Term: 1, Command: command, TimeMs: n.lastMs}), nil
}

// ReadBarrier returns when the state machine holds every command that was answered before the call.
func (n *Node) ReadBarrier(context.Context) error { return nil }

// Step takes a message from another replica.
func (n *Node) Step(*wire.ReplicaMessage) {}

// Status returns what the replica knows of itself and its group.
func (n *Node) Status() Status {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return Status{
		ID: n.settings.ID, Term: 1, Leader: n.settings.ID, Role: "leader", Members: n.settings.Members,
		Commit: n.index, Applied: n.index,
	}
}

// AddLearner adds a replica that receives the log and does not vote.
func (n *Node) AddLearner(context.Context, Member) error { return n.cannot() }

// Promote makes a learner a voter once it has caught up.
func (n *Node) Promote(context.Context, Member) error { return n.cannot() }

// Remove takes a replica out of the group.
func (n *Node) Remove(context.Context, Member) error { return n.cannot() }

// TransferLeadership makes another voter the leader.
func (n *Node) TransferLeadership(context.Context, string) error { return n.cannot() }

// Close hands leadership over and stops the replica.
func (n *Node) Close() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isClosed = true
	return nil
}

func (n *Node) cannot() error {
	return &outcome.Error{Step: "member", Outcome: outcome.NotRun, Reason: "unsupported"}
}
