package registry

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/departure"
	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// This file stores the departures of upstreams in the replicated log. A departure is acknowledged only when it is stored,
// since the roster is lost with the process.

const (
	// departureTimeout bounds the storing of a batch of departures. After it, the upstream tries another replica.
	departureTimeout = 400 * time.Millisecond
	// maxBatchedDepartures bounds the departures of one log entry.
	maxBatchedDepartures = 1024
	// maxUnknownDepartures bounds the stored departures of upstreams that no replica knew, which anyone can send.
	maxUnknownDepartures = roster.MaxUnserved
)

type (
	// departureWriter stores departures in batches. Those that arrive while a batch is being stored wait for the next one, so
	// that many departures at once cost few log entries.
	departureWriter struct {
		// write stores one batch.
		write func(departures [][]byte) error

		mutex     sync.Mutex
		batches   []*departureBatch
		isWriting bool
	}

	// departureBatch is a batch of departures. err is set before done is closed.
	departureBatch struct {
		// departures are encoded by themselves, so that one that cannot be encoded fails alone.
		departures [][]byte
		done       chan struct{}
		err        error
	}
)

// store stores a departure and returns once it is in the log. After an error, the outcome is unknown.
func (w *departureWriter) store(ctx context.Context, d *wire.UpstreamDeparture) error {
	encoded, err := item.Encode(d)
	if err != nil {
		return eris.Wrap(err, "store the departure")
	}
	batch := w.add(encoded)
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "store the departure")
	}
}

// add adds a departure to the last batch that is not being stored, and starts to store the batches.
func (w *departureWriter) add(d []byte) *departureBatch {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	last := len(w.batches) - 1
	if last < 0 || len(w.batches[last].departures) >= maxBatchedDepartures {
		w.batches = append(w.batches, &departureBatch{done: make(chan struct{})})
		last++
	}
	batch := w.batches[last]
	batch.departures = append(batch.departures, d)
	if !w.isWriting {
		w.isWriting = true
		go w.writeBatches()
	}
	return batch
}

// writeBatches stores the batches one after the other until none is left.
func (w *departureWriter) writeBatches() {
	for batch := w.takeBatch(); batch != nil; batch = w.takeBatch() {
		batch.err = w.write(batch.departures)
		close(batch.done)
	}
}

// takeBatch removes and returns the first batch. If there is none, it records that nothing is being stored.
func (w *departureWriter) takeBatch() *departureBatch {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.batches) == 0 {
		w.isWriting = false
		return nil
	}
	batch := w.batches[0]
	w.batches = w.batches[1:]
	return batch
}

// storeDeparture returns once the departure of an upstream is in the replicated log. A departure that is already there is not
// written again.
func (r *Replica) storeDeparture(ctx context.Context, d *wire.UpstreamDeparture) error {
	if !d.AnyIncarnation && r.state.departed().Includes(decodeDeparture(d)) {
		return nil
	}
	err := r.departures.store(ctx, d)
	r.countResult("departures", err)
	return err
}

// writeDepartures stores departures through the leader.
func (r *Replica) writeDepartures(departures [][]byte) error {
	ctx, cancel := context.WithTimeout(r.ctx, departureTimeout)
	defer cancel()
	return r.depart(ctx, &wire.DepartureCommand{Departures: departures})
}

func (r *Replica) depart(ctx context.Context, command *wire.DepartureCommand) error {
	node, leader, err := r.leader()
	if err != nil {
		return err
	}
	if leader != r.settings.ID {
		_, err := r.registryAt(leader).Depart(ctx, &wire.DepartRequest{Command: command})
		return eris.Wrapf(err, "store departures at %s", leader)
	}
	_, err = r.propose(ctx, node, &wire.RoutingCommand{Departures: command})
	return err
}

// Depart stores departures. A replica that does not lead returns ErrNoQuorum.
func (i replicaService) Depart(ctx context.Context, request *wire.DepartRequest) (*wire.DepartReply, error) {
	if request.Command == nil || !i.replica.isLeader() {
		return nil, ErrNoQuorum
	}
	return &wire.DepartReply{}, i.replica.depart(ctx, request.Command)
}

// applyDepartures applies committed departures.
func (s *state) applyDepartures(command *wire.DepartureCommand, loggedMs int64) {
	departures := make([]departure.Departure, 0, len(command.Departures))
	for _, m := range item.DecodeAll[wire.UpstreamDeparture](s.items, kindDeparture, logOrigin, command.Departures) {
		d := decodeDeparture(m)
		if m.AnyIncarnation {
			d.Born = loggedMs
		}
		departures = append(departures, d)
	}
	s.mutex.Lock()
	var added []departure.Departure
	s.departures, added = s.departures.With(departures, loggedMs)
	s.mutex.Unlock()
	if len(added) > 0 {
		s.onDepartures(added)
	}
}

// departed returns the departures in the replicated state.
func (s *state) departed() departure.Set {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.departures
}

// hasDeparted reports whether an announcement is from before a departure of its incarnation.
func (s *state) hasDeparted(instance *roster.Instance) bool {
	d, isCovered := s.departed().Covering(instance.ID, instance.Born)
	if !isCovered {
		return false
	}
	return instance.State == roster.Ready || instance.State == roster.Draining && !d.IsDraining
}

// expireDepartures removes the departures that have expired at the present log time, if that is known.
func (r *Replica) expireDepartures() {
	node := r.log.Node()
	if node == nil {
		return
	}
	if logTimeMs, isKnown := node.LogTimeMs(); isKnown {
		r.state.expireDepartures(logTimeMs)
	}
}

func (s *state) expireDepartures(logTimeMs int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.departures = s.departures.WithoutExpired(logTimeMs)
}

// onDepartures records departures of the replicated log in the roster and sends them to the followers.
func (r *Replica) onDepartures(departures []departure.Departure) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	isChange := false
	for _, d := range departures {
		isChange = r.roster.Depart(d.ID, d.Born, departedState(d), now) || isChange
	}
	if isChange {
		r.notifyWatchers()
	}
}

// departedState returns the state of an upstream after its departure.
func departedState(d departure.Departure) roster.State {
	if d.IsDraining {
		return roster.Draining
	}
	return roster.Gone
}

func decodeDeparture(m *wire.UpstreamDeparture) departure.Departure {
	return departure.Departure{ID: m.Id, Born: m.Born, IsDraining: m.Draining, IsUnknown: m.Unknown}
}

// encodeDepartures returns the items for a snapshot.
func encodeDepartures(l *item.Log, set departure.Set) [][]byte {
	var messages []*wire.StoredDeparture
	for _, d := range set.All() {
		messages = append(messages, &wire.StoredDeparture{
			Id: d.ID, Born: d.Born, Draining: d.IsDraining, LoggedMs: d.LoggedMs, Unknown: d.IsUnknown,
		})
	}
	return item.EncodeAll(l, kindDeparture, (*wire.StoredDeparture).GetId, messages)
}

// decodeDepartures returns the departures of a snapshot.
func decodeDepartures(l *item.Log, items [][]byte) departure.Set {
	departures := make([]departure.Departure, 0, len(items))
	for _, m := range item.DecodeAll[wire.StoredDeparture](l, kindDeparture, snapshotOrigin, items) {
		departures = append(departures, departure.Departure{
			ID: m.Id, Born: m.Born, IsDraining: m.Draining, LoggedMs: m.LoggedMs, IsUnknown: m.Unknown,
		})
	}
	return departure.NewSet(departures)
}
