package consensus

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/wire"
)

// Restarter keeps a node open. A node that stepped aside, for example because its disk was full, takes no part in the group until
// its folder is opened again, which the Restarter does. Its methods are safe for concurrent use, except Check and Close.
type Restarter struct {
	// Open opens the node. The state machine must be as it was before its first command, since it is restored from the folder.
	Open func() (*Node, error)
	// ID is the ID of the replica, for the errors of calls while the node is not open.
	ID   string
	node atomic.Pointer[Node]
	// closing is a node that was closed and whose last write has not ended, nil if there is none.
	closing *Node
}

// Node returns the node, or nil while it is not open.
func (r *Restarter) Node() *Node { return r.node.Load() }

// Check opens the node if it is not open, and opens it again if it has stepped aside. It returns whether it opened one. The caller
// repeats it after an error.
func (r *Restarter) Check() (isOpened bool, err error) {
	if node := r.Node(); node != nil {
		if node.Status().Fault == "" {
			return false, nil
		}
		r.node.Store(nil)
		r.closing = node
		err = node.Close()
	}
	if r.closing != nil {
		select {
		case <-r.closing.Ended():
			r.closing = nil
		default:
			return false, errors.Join(err, eris.Errorf("replica %s waits for a disk write before it opens its folder again", r.ID))
		}
	}
	node, openErr := r.Open()
	if openErr != nil {
		return false, errors.Join(err, openErr)
	}
	r.node.Store(node)
	return true, err
}

// Close closes the node.
func (r *Restarter) Close() error {
	if node := r.Node(); node != nil {
		return node.Close()
	}
	return nil
}

// Status returns the status of the node. While it is not open, the replica is aside.
func (r *Restarter) Status() Status {
	if node := r.Node(); node != nil {
		return node.Status()
	}
	return Status{ID: r.ID, Role: roleAside}
}

// Step passes a message to the node, and drops it while that is not open.
func (r *Restarter) Step(m *wire.ReplicaMessage) {
	if node := r.Node(); node != nil {
		node.Step(m)
	}
}

// Propose calls Node.Propose. While the node is not open, the command is refused.
func (r *Restarter) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if node := r.Node(); node != nil {
		return node.Propose(ctx, command)
	}
	return nil, refused(stepPropose, r.ID, roleAside, "")
}

// ReadBarrier calls Node.ReadBarrier. While the node is not open, the read is refused.
func (r *Restarter) ReadBarrier(ctx context.Context) error {
	if node := r.Node(); node != nil {
		return node.ReadBarrier(ctx)
	}
	return refused(stepRead, r.ID, roleAside, "")
}
