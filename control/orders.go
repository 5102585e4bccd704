// Orders to upstreams. Each carries a fencing token that grows with every order to the upstream and
// survives every leader, so that an engine or its sidecar can refuse an order that was overtaken.

package control

import (
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

// openOrderLimit is the most orders to one upstream that are not settled.
const openOrderLimit = 64

type (
	fence struct {
		token uint64
		open  []openOrder
		// last is the id of the newest settled order with its token.
		settled map[string]uint64
		order   []string
	}

	openOrder struct {
		id    string
		order *wire.OrderRequest
	}
)

// settledOrderLimit is the number of settled orders whose ids are remembered per upstream.
const settledOrderLimit = 64

func (s *State) order(replica string, command *wire.OrderCommand) *wire.Result {
	f := s.members.fences[command.Upstream]
	if f == nil {
		f = &fence{token: s.members.floor, settled: make(map[string]uint64)}
		s.members.fences[command.Upstream] = f
	}
	for _, open := range f.open {
		if open.id == command.OrderId {
			return &wire.Result{Applied: true, Order: open.order}
		}
	}
	if token, ok := f.settled[command.OrderId]; ok {
		return &wire.Result{Order: &wire.OrderRequest{FencingToken: token}}
	}
	if len(f.open) >= openOrderLimit {
		return &wire.Result{Failure: refusal("order", "overloaded", "too many orders are open for "+command.Upstream)}
	}
	f.token++
	order := proto.CloneOf(command.Order)
	order.FencingToken, order.Term = f.token, s.term
	order.Epoch = s.members.epochs[command.Upstream]
	f.open = append(f.open, openOrder{command.OrderId, order})
	s.record(replica, &wire.Record{
		Kind: "order", Subject: command.Upstream, Decision: order.Kind, Cause: command.Cause,
		Rule: "fencing token " + strconv.FormatUint(f.token, 10),
	})
	return &wire.Result{Applied: true, Order: order}
}

func (s *State) orderSettled(replica string, done *wire.OrderSettled) *wire.Result {
	f := s.members.fences[done.Upstream]
	if f == nil {
		return &wire.Result{}
	}
	place := slices.IndexFunc(f.open, func(o openOrder) bool { return o.order.FencingToken == done.FencingToken })
	if place < 0 {
		return &wire.Result{}
	}
	f.remember(f.open[place].id, done.FencingToken)
	f.open = slices.Delete(slices.Clone(f.open), place, place+1)
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

func (f *fence) remember(id string, token uint64) {
	f.settled[id] = token
	f.order = append(f.order, id)
	if len(f.order) > settledOrderLimit {
		delete(f.settled, f.order[0])
		f.order = slices.Clone(f.order[1:])
	}
}

// Orders returns the orders to an upstream that are not settled, oldest first.
func (s *State) Orders(upstream string) []*wire.OrderRequest {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	f := s.members.fences[upstream]
	if f == nil {
		return nil
	}
	orders := make([]*wire.OrderRequest, 0, len(f.open))
	for _, open := range f.open {
		orders = append(orders, open.order)
	}
	return orders
}
