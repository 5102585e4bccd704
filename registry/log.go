package registry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/wire"
)

// This file writes commands to the replicated log through its leader, and stores and reads configurations with them.

// Submit stores a configuration durably through the leader. A version that is not newer than the current one changes
// nothing and is no error. The error is a *route.Invalid if the configuration is refused. After any other error, the
// outcome is unknown.
func (r *Replica) Submit(ctx context.Context, source []byte) error {
	err := r.submitSource(ctx, source)
	r.countResult("submissions", err)
	return err
}

// countResult counts a call by its result, done or failed.
func (r *Replica) countResult(name string, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	r.settings.Scope.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}

func (r *Replica) submitSource(ctx context.Context, source []byte) error {
	configuration, err := r.settings.Parse(source)
	if err != nil {
		return err
	}
	current := r.state.newest()
	if current != nil && current.Version >= configuration.Version {
		return nil
	}
	compressed, err := compress(source)
	if err != nil {
		return err
	}
	if err := r.submit(ctx, &wire.RoutingDocument{Version: configuration.Version, Compressed: compressed}); err != nil {
		return err
	}
	r.settings.Log.WithField("version", configuration.Version).Info("configuration acknowledged")
	r.settings.Scope.Gauge("acknowledged_version").Update(float64(configuration.Version))
	return nil
}

func (r *Replica) submit(ctx context.Context, document *wire.RoutingDocument) error {
	node, leader, err := r.leader()
	if err != nil {
		return err
	}
	if leader != r.settings.ID {
		_, err := r.registryAt(leader).Submit(ctx, &wire.RoutingSubmitRequest{Document: document})
		return eris.Wrapf(err, "submit at %s", leader)
	}
	_, err = r.propose(ctx, node, &wire.RoutingCommand{Version: document.Version, Compressed: document.Compressed})
	return err
}

// leader returns the replicated log and the ID of the replica that leads it, as far as this replica knows. It returns
// ErrNoQuorum if the log is not open or no leader is known.
func (r *Replica) leader() (node *consensus.Node, id string, err error) {
	node = r.log.Node()
	if node == nil {
		return nil, "", ErrNoQuorum
	}
	id = node.Status().Leader
	if id == "" {
		return nil, "", ErrNoQuorum
	}
	return node, id, nil
}

// propose stores a command and returns the result of its application. Only the leader can. It returns ErrNoQuorum if the group
// lacks the required voters.
func (r *Replica) propose(ctx context.Context, node *consensus.Node, command *wire.RoutingCommand) ([]byte, error) {
	if !r.hasEnoughVoters(node.Status()) {
		return nil, ErrNoQuorum
	}
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, eris.Wrap(err, "encode the command")
	}
	return node.Propose(ctx, encoded)
}

// hasEnoughVoters reports whether the group has the voters that the tolerated disk losses require. After
// voterWaitTimeout, a leader accepts changes with fewer.
func (r *Replica) hasEnoughVoters(status consensus.Status) bool {
	voters := 0
	for _, member := range status.Members {
		if member.IsVoter {
			voters++
		}
	}
	since := r.leadingSince.Load()
	return voters >= r.requiredVoters() || since != nil && time.Since(*since) > voterWaitTimeout
}

// Newest returns the newest configuration that any replica has acknowledged, nil if there is none. It returns an error
// if the leader cannot confirm that the configuration is the newest.
func (r *Replica) Newest(ctx context.Context) (*wire.RoutingDocument, error) {
	document, err := r.readNewest(ctx)
	r.countResult("reads", err)
	return document, err
}

func (r *Replica) readNewest(ctx context.Context) (*wire.RoutingDocument, error) {
	node, leader, err := r.leader()
	if err != nil {
		return nil, err
	}
	if leader == r.settings.ID {
		if err := node.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return r.state.newest(), nil
	}
	reply, err := r.registryAt(leader).Newest(ctx, &wire.RoutingNewestRequest{})
	if err != nil {
		return nil, eris.Wrapf(err, "read at %s", leader)
	}
	return reply.Document, nil
}
