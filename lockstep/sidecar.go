package lockstep

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/wire"
)

// engineTimeout is the sidecar's timeout for the engine's answer to an order. It is shorter than the coordinator's
// orderTimeout, so that the coordinator learns in time that the engine did not answer.
const engineTimeout = 25 * time.Millisecond

// Results of an order on the wire.
const (
	resultDone   = 1
	resultUnfit  = 2
	resultFenced = 3
)

type (
	// Sidecar serves the Lockstep protocol in the sidecar of one rank. It forwards reads and orders to the engine and
	// makes no decisions. It implements wire.Lockstep.
	Sidecar struct {
		// State returns the state of the engine.
		State func(ctx context.Context, withCounts, withPlacement bool) (State, error)
		// Order sends an order to the engine and returns the same errors as Engine.Give.
		Order func(ctx context.Context, order Order) error
	}

	// Remote is the coordinator's client of a Sidecar.
	Remote struct{ Client wire.Lockstep }
)

// Observe returns the state of the engine.
func (c Sidecar) Observe(ctx context.Context, request *wire.LockstepObserveRequest) (*wire.LockstepObservation, error) {
	s, err := c.State(ctx, request.Counts, request.Placement)
	if err != nil {
		return nil, twirp.WrapError(twirp.Unavailable.Error("engine not read"), err)
	}
	return observationOf(s), nil
}

func observationOf(s State) *wire.LockstepObservation {
	return &wire.LockstepObservation{
		Born: s.Born, Epoch: s.Epoch, Open: s.IsOpen, Rank: int32(s.Rank), Size: int32(s.Size), Step: s.Step,
		Mapping: s.MapVersion, Prepared: s.PreparedVersion, ArmedVersion: s.ArmedVersion, ArmedStep: s.ArmedStep,
		Held: s.HeldStep, Pace: s.Pace, Counts: s.Counts, Placement: expertListsOf(s.Placement),
		Running: int32(s.Running), Waiting: int32(s.Waiting),
	}
}

func stateOf(o *wire.LockstepObservation) State {
	return State{
		Born: o.Born, Epoch: o.Epoch, IsOpen: o.Open, Rank: int(o.Rank), Size: int(o.Size), Step: o.Step,
		MapVersion: o.Mapping, PreparedVersion: o.Prepared, ArmedVersion: o.ArmedVersion, ArmedStep: o.ArmedStep,
		HeldStep: o.Held, Pace: o.Pace, Counts: o.Counts, Placement: placementOf(o.Placement),
		Running: int(o.Running), Waiting: int(o.Waiting),
	}
}

// Give sends an order to the engine. The outcome holds the engine's state after the order if that could be read.
func (c Sidecar) Give(ctx context.Context, request *wire.LockstepOrder) (*wire.LockstepOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	err := c.Order(ctx, orderOf(request))
	switch {
	case err == nil:
		return &wire.LockstepOutcome{Result: resultDone, After: c.after(ctx)}, nil
	case errors.Is(err, ErrInvalidState):
		return &wire.LockstepOutcome{Result: resultUnfit, Detail: err.Error()}, nil
	case errors.Is(err, ErrFenced):
		return &wire.LockstepOutcome{Result: resultFenced, Detail: err.Error()}, nil
	default:
		return nil, twirp.WrapError(twirp.Unavailable.Error("order not answered"), err)
	}
}

// after returns the state of the engine after an order. When the read fails, it returns nil and the sender of the order
// reads the state itself.
func (c Sidecar) after(ctx context.Context) *wire.LockstepObservation {
	s, err := c.State(ctx, false, false)
	if err != nil {
		return nil
	}
	return observationOf(s)
}

// IsAnswer reports whether an error of a Remote was returned by the Sidecar. For other errors the Sidecar could not be
// reached.
func IsAnswer(err error) bool {
	var failure twirp.Error
	isFailure := errors.As(err, &failure) && failure.Code() == twirp.Unavailable
	return isFailure || errors.Is(err, ErrFenced) || errors.Is(err, ErrInvalidState)
}

// Read returns the state of the rank.
func (r Remote) Read(ctx context.Context, withCounts, withPlacement bool) (State, error) {
	o, err := r.Client.Observe(ctx, &wire.LockstepObserveRequest{Counts: withCounts, Placement: withPlacement})
	if err != nil {
		return State{}, eris.Wrap(err, "observe")
	}
	return stateOf(o), nil
}

// Give sends an order to the rank and returns the state of the rank after the order, nil when that state was not read.
func (r Remote) Give(ctx context.Context, order Order) (*State, error) {
	outcome, err := r.Client.Give(ctx, messageOf(order))
	if err != nil {
		return nil, eris.Wrapf(err, "order %s", order.Kind)
	}
	switch outcome.Result {
	case resultDone:
		if outcome.After == nil {
			return nil, nil
		}
		after := stateOf(outcome.After)
		return &after, nil
	case resultFenced:
		return nil, eris.Wrap(ErrFenced, outcome.Detail)
	default:
		return nil, eris.Wrap(ErrInvalidState, outcome.Detail)
	}
}

// withEncodedMap returns the order with its map encoded, so that it is encoded once for all ranks. If that fails, the map
// is encoded for each rank, and the call of the rank returns the error.
func (o Order) withEncodedMap() Order {
	if encoded, err := proto.Marshal(mapMessageOf(o.Map)); err == nil {
		o.encodedMap = encoded
	}
	return o
}

func messageOf(order Order) *wire.LockstepOrder {
	m := &wire.LockstepOrder{}
	if order.encodedMap == nil {
		m = mapMessageOf(order.Map)
	}
	m.Kind, m.Version, m.Step = string(order.Kind), order.Version, order.Step
	m.Epoch, m.Fence = order.Epoch, order.Fence
	// Marshalling copies unknown fields as they are, and the receiver decodes them as the map.
	m.ProtoReflect().SetUnknown(order.encodedMap)
	return m
}

// mapMessageOf returns an order with the fields of a map alone.
func mapMessageOf(sets []balance.Placement) *wire.LockstepOrder {
	m := &wire.LockstepOrder{Sets: int32(len(sets))}
	for _, set := range sets {
		m.Placement = append(m.Placement, expertListsOf(set)...)
	}
	return m
}

// orderOf converts a message to an order. The message lists the placements of all sets one after another, each with
// one entry per rank.
func orderOf(m *wire.LockstepOrder) Order {
	order := Order{Kind: Kind(m.Kind), Version: m.Version, Step: m.Step, Epoch: m.Epoch, Fence: m.Fence}
	if m.Sets <= 0 {
		return order
	}
	all := placementOf(m.Placement)
	ranks := len(all) / int(m.Sets)
	for set := range int(m.Sets) {
		order.Map = append(order.Map, balance.Placement(all[set*ranks:(set+1)*ranks]))
	}
	return order
}

func expertListsOf(placement [][]int) []*wire.LockstepExperts {
	lists := make([]*wire.LockstepExperts, 0, len(placement))
	for _, experts := range placement {
		list := &wire.LockstepExperts{Experts: make([]uint32, 0, len(experts))}
		for _, e := range experts {
			list.Experts = append(list.Experts, uint32(e))
		}
		lists = append(lists, list)
	}
	return lists
}

func placementOf(lists []*wire.LockstepExperts) [][]int {
	placement := make([][]int, 0, len(lists))
	for _, list := range lists {
		experts := make([]int, 0, len(list.Experts))
		for _, e := range list.Experts {
			experts = append(experts, int(e))
		}
		placement = append(placement, experts)
	}
	return placement
}
