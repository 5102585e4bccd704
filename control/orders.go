// Orders to upstreams. Each order carries a fencing token that grows with every order to the same upstream and
// persists across leaders, so that an engine or its sidecar can refuse an order that a newer one replaced.

package control

import (
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

// maxOpenOrders limits the unsettled orders per upstream.
const maxOpenOrders = 64

type (
	// upstreamOrders holds the orders to one upstream.
	upstreamOrders struct {
		// lastToken is the fencing token of the newest order.
		lastToken uint64
		open      []openOrder
		// settledTokens maps the ids of the last settled orders to their fencing tokens. settledIDs lists the
		// ids, oldest first.
		settledTokens map[string]uint64
		settledIDs    []string
	}

	openOrder struct {
		id    string
		order *wire.OrderRequest
	}
)

// maxSettledOrders is the number of settled orders per upstream whose ids are kept to answer a repeated order.
const maxSettledOrders = 64

// order issues an order with the next fencing token. A repeated order id returns the open order, or the token
// alone if the order is settled.
func (s *State) order(replica string, command *wire.OrderCommand) *wire.Result {
	f := s.members.ordersByUpstream[command.Upstream]
	if f == nil {
		f = &upstreamOrders{lastToken: s.members.tokenFloor, settledTokens: make(map[string]uint64)}
		s.members.ordersByUpstream[command.Upstream] = f
	}
	for _, open := range f.open {
		if open.id == command.OrderId {
			return &wire.Result{Applied: true, Order: open.order}
		}
	}
	if token, ok := f.settledTokens[command.OrderId]; ok {
		return &wire.Result{Order: &wire.OrderRequest{FencingToken: token}}
	}
	if len(f.open) >= maxOpenOrders {
		return &wire.Result{Failure: refusal("order", "overloaded", "too many orders are open for "+command.Upstream)}
	}
	f.lastToken++
	order := proto.CloneOf(command.Order)
	order.FencingToken, order.Term = f.lastToken, s.term
	order.Epoch = s.members.epochs[command.Upstream]
	f.open = append(f.open, openOrder{command.OrderId, order})
	s.record(replica, &wire.Record{
		Kind: "order", Subject: command.Upstream, Decision: order.Kind, Cause: command.Cause,
		Rule: "fencing token " + strconv.FormatUint(f.lastToken, 10),
	})
	return &wire.Result{Applied: true, Order: order}
}

// orderSettled closes an open order and records its result.
func (s *State) orderSettled(replica string, done *wire.OrderSettled) *wire.Result {
	f := s.members.ordersByUpstream[done.Upstream]
	if f == nil {
		return &wire.Result{}
	}
	index := slices.IndexFunc(f.open, func(o openOrder) bool { return o.order.FencingToken == done.FencingToken })
	if index < 0 {
		return &wire.Result{}
	}
	f.addSettled(f.open[index].id, done.FencingToken)
	f.open = slices.Delete(slices.Clone(f.open), index, index+1)
	decision := "refused"
	if done.Accepted {
		decision = "carried out"
	}
	s.record(replica, &wire.Record{
		Kind: "order", Subject: done.Upstream, Decision: decision, Cause: done.Detail,
		Rule: "fencing token " + strconv.FormatUint(done.FencingToken, 10),
	})
	return &wire.Result{Applied: true}
}

func (f *upstreamOrders) addSettled(id string, token uint64) {
	f.settledTokens[id] = token
	f.settledIDs = append(f.settledIDs, id)
	if len(f.settledIDs) > maxSettledOrders {
		delete(f.settledTokens, f.settledIDs[0])
		f.settledIDs = slices.Clone(f.settledIDs[1:])
	}
}

// Orders returns the unsettled orders to an upstream, oldest first.
func (s *State) Orders(upstream string) []*wire.OrderRequest {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	f := s.members.ordersByUpstream[upstream]
	if f == nil {
		return nil
	}
	orders := make([]*wire.OrderRequest, 0, len(f.open))
	for _, open := range f.open {
		orders = append(orders, open.order)
	}
	return orders
}
