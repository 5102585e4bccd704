package registry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/evacuation"
	"guavahitch.example/guavahitch/wire"
)

// This file stores the orders to evacuate failure domains in the replicated log, and sends the set of evacuated domains to
// the entries.

type (
	// Evacuation is an order of an operator.
	Evacuation struct {
		Domain string
		// IsFinish withdraws the order to evacuate the domain.
		IsFinish bool
	}

	// evacuations is the set of evacuated domains in the replicated state.
	evacuations struct {
		set evacuation.Set
		// loggedMs holds the time of the log entry of each order, in milliseconds since 1970. It is equal on all
		// replicas, and is stored in snapshots.
		loggedMs map[string]int64
	}
)

// encode returns the message for a snapshot, or nil before the first order.
func (e evacuations) encode() *wire.StoredEvacuations {
	if e.set.Revision() == 0 {
		return nil
	}
	stored := &wire.StoredEvacuations{Revision: e.set.Revision()}
	for _, o := range e.set.Orders() {
		stored.Orders = append(stored.Orders, &wire.StoredEvacuation{
			Domain: o.Domain, Revision: o.Revision, StartedMs: e.loggedMs[o.Domain],
		})
	}
	return stored
}

func decodeStoredEvacuations(stored *wire.StoredEvacuations) evacuations {
	now := time.Now()
	next := evacuations{loggedMs: map[string]int64{}}
	orders := make([]evacuation.Order, 0, len(stored.GetOrders()))
	for _, o := range stored.GetOrders() {
		next.loggedMs[o.Domain] = o.StartedMs
		orders = append(orders, evacuation.Order{
			Domain: o.Domain, Revision: o.Revision, Started: startTime(o.StartedMs, now),
		})
	}
	next.set = evacuation.NewSet(stored.GetRevision(), orders)
	return next
}

// startTime returns the start of an order by the wall clock of this replica, or now if that clock is behind. It is used until
// the replica knows the log time. A replayed order must not appear to be new, since a drain that begins again sends requests
// to the domain.
func startTime(loggedMs int64, now time.Time) time.Time {
	if logged := time.UnixMilli(loggedMs); logged.Before(now) {
		return logged
	}
	return now
}

// applyEvacuation applies a committed order and returns the encoded reply.
func (s *state) applyEvacuation(order *wire.EvacuationCommand, loggedMs int64) []byte {
	s.mutex.Lock()
	var isChanged bool
	if order.Finish {
		s.evacuations.set, isChanged = s.evacuations.set.WithFinish(order.Domain)
	} else {
		s.evacuations.set, isChanged = s.evacuations.set.WithStart(order.Domain, startTime(loggedMs, time.Now()))
	}
	if s.evacuations.loggedMs == nil {
		s.evacuations.loggedMs = map[string]int64{}
	}
	switch {
	case isChanged && order.Finish:
		delete(s.evacuations.loggedMs, order.Domain)
	case isChanged:
		s.evacuations.loggedMs[order.Domain] = loggedMs
	}
	reply := &wire.EvacuateReply{Revision: s.evacuations.set.Revision(), Changed: isChanged}
	s.mutex.Unlock()
	if isChanged {
		s.onEvacuations()
	}
	data, err := proto.Marshal(reply)
	if err != nil {
		panic(eris.Wrap(err, "encode the result of an order"))
	}
	return data
}

// evacuated returns the set of evacuated domains.
func (s *state) evacuated() evacuation.Set {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.evacuations.set
}

// evacuatedAt returns the set of evacuated domains with starts on the local clock, given the log time of now.
func (s *state) evacuatedAt(now time.Time, logTimeMs int64) evacuation.Set {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	orders := s.evacuations.set.Orders()
	for i, o := range orders {
		age := time.Duration(logTimeMs-s.evacuations.loggedMs[o.Domain]) * time.Millisecond
		orders[i].Started = now.Add(-max(age, 0))
	}
	return evacuation.NewSet(s.evacuations.set.Revision(), orders)
}

// Evacuated returns the set of evacuated domains as far as this replica has applied the log. The age of an order is measured by
// the log time, which does not depend on the wall clocks.
func (r *Replica) Evacuated() evacuation.Set {
	set := r.state.evacuated()
	if set.IsEmpty() {
		return set
	}
	if node := r.log.Node(); node != nil {
		if logTimeMs, isKnown := node.LogTimeMs(); isKnown {
			return r.state.evacuatedAt(time.Now(), logTimeMs)
		}
	}
	return set
}

// Evacuate stores an order durably through the leader and returns the revision of the set after it, and whether it changed the
// set. After an error, the outcome is unknown, and the order may be sent again.
func (r *Replica) Evacuate(ctx context.Context, order Evacuation) (revision uint64, isChanged bool, err error) {
	reply, err := r.evacuate(ctx, &wire.EvacuationCommand{Domain: order.Domain, Finish: order.IsFinish})
	r.countResult("evacuation_orders", err)
	if err != nil {
		return 0, false, err
	}
	return reply.Revision, reply.Changed, nil
}

func (r *Replica) evacuate(ctx context.Context, order *wire.EvacuationCommand) (*wire.EvacuateReply, error) {
	node, leader, err := r.leader()
	if err != nil {
		return nil, err
	}
	if leader != r.settings.ID {
		reply, err := r.registryAt(leader).Evacuate(ctx, &wire.EvacuateRequest{Order: order})
		return reply, eris.Wrapf(err, "evacuate at %s", leader)
	}
	result, err := r.propose(ctx, node, &wire.RoutingCommand{Evacuation: order})
	if err != nil {
		return nil, err
	}
	reply := &wire.EvacuateReply{}
	return reply, eris.Wrap(proto.Unmarshal(result, reply), "decode the result of the order")
}

// Evacuate stores an order. A replica that does not lead returns ErrNoQuorum.
func (i replicaService) Evacuate(ctx context.Context, request *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	if request.Order == nil || !i.replica.isLeader() {
		return nil, ErrNoQuorum
	}
	return i.replica.evacuate(ctx, request.Order)
}

// onEvacuations records a change of the evacuated domains and sends it to the followers.
func (r *Replica) onEvacuations() {
	set := r.state.evacuated()
	r.settings.Scope.Gauge("evacuated_domains").Update(float64(len(set.Orders())))
	r.mutex.Lock()
	r.notifyWatchers()
	r.mutex.Unlock()
}

// encodeEvacuations returns the message for a frame, or nil before the first order. The message holds the age of each order
// in place of its start, so that the clocks of the processes need not agree.
func encodeEvacuations(set evacuation.Set, now time.Time) *wire.EvacuationSet {
	if set.Revision() == 0 {
		return nil
	}
	message := &wire.EvacuationSet{Revision: set.Revision()}
	for _, o := range set.Orders() {
		message.Orders = append(message.Orders, &wire.EvacuationOrder{
			Domain: o.Domain, Revision: o.Revision, AgeMs: now.Sub(o.Started).Milliseconds(),
		})
	}
	return message
}

// decodeEvacuations returns the set of a message, with the start of each order on the local clock.
func decodeEvacuations(message *wire.EvacuationSet, now time.Time) evacuation.Set {
	orders := make([]evacuation.Order, 0, len(message.Orders))
	for _, o := range message.Orders {
		orders = append(orders, evacuation.Order{
			Domain: o.Domain, Revision: o.Revision, Started: heartbeatTime(o.AgeMs, now),
		})
	}
	return evacuation.NewSet(message.Revision, orders)
}
