package registry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/wait"
	"guavahitch.example/guavahitch/wire"
)

// This file tells when a replica that has started, or has opened its log again after a fault, holds everything that was acknowledged
// before. Until then its log may lack committed entries or replay them, so followers receive no configuration, no evacuations and no
// new upstreams from it: an entry that has restarted, too, would act on an older state.

const (
	// catchUpInterval is the pause between two attempts to catch up.
	catchUpInterval = 50 * time.Millisecond
	// catchUpTimeout bounds one attempt.
	catchUpTimeout = 800 * time.Millisecond
	// appliedPollInterval is the time between two checks of what has been applied.
	appliedPollInterval = 5 * time.Millisecond
)

// catchUp retries until the node has caught up, is replaced or the replica closes.
func (r *Replica) catchUp(node *consensus.Node) {
	for r.ctx.Err() == nil && r.log.Node() == node {
		if r.tryCatchUp(node) == nil {
			r.caughtUp.Store(node)
			r.settings.Log.Info("replica has caught up")
			r.mutex.Lock()
			r.notifyWatchers()
			r.mutex.Unlock()
			return
		}
		wait.For(r.ctx, catchUpInterval)
	}
}

// tryCatchUp returns nil once the node has applied what was acknowledged before the call.
func (r *Replica) tryCatchUp(node *consensus.Node) error {
	ctx, cancel := context.WithTimeout(r.ctx, catchUpTimeout)
	defer cancel()
	index, err := r.readIndex(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if node.Status().Applied >= index {
			return nil
		}
		wait.For(ctx, appliedPollInterval)
	}
	return eris.Wrapf(ctx.Err(), "apply up to index %d", index)
}

// caughtUpNode returns the open node if it has caught up, or nil. What is read of the state between two calls that return the same
// node is not older than what was acknowledged before that node was opened.
func (r *Replica) caughtUpNode() *consensus.Node {
	if node := r.log.Node(); node != nil && r.caughtUp.Load() == node {
		return node
	}
	return nil
}

// readIndex returns an index of the log that covers everything acknowledged before the call.
func (r *Replica) readIndex(ctx context.Context) (uint64, error) {
	node, leader, err := r.leader()
	if err != nil {
		return 0, err
	}
	if leader == r.settings.ID {
		if err := node.ReadBarrier(ctx); err != nil {
			return 0, err
		}
		return node.Status().Applied, nil
	}
	reply, err := r.registryAt(leader).ReadIndex(ctx, &wire.ReadIndexRequest{})
	if err != nil {
		return 0, eris.Wrapf(err, "read the index at %s", leader)
	}
	return reply.Index, nil
}

// ReadIndex returns the read index. A replica that does not lead returns ErrNoQuorum.
func (i replicaService) ReadIndex(ctx context.Context, _ *wire.ReadIndexRequest) (*wire.ReadIndexReply, error) {
	if !i.replica.isLeader() {
		return nil, ErrNoQuorum
	}
	index, err := i.replica.readIndex(ctx)
	if err != nil {
		return nil, err
	}
	return &wire.ReadIndexReply{Index: index}, nil
}
