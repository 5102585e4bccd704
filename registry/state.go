// Package registry distributes the routed configuration and the announcements of upstreams. Each control process runs a
// Replica, which keeps the newest configuration in a replicated log, receives announcements, and streams both to
// entries. Each entry runs a Follower, which keeps a stream to every replica and passes on configurations that are
// newer than its own. Replicas also run a Follower to receive announcements that were sent to other replicas.
package registry

import (
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/departure"
	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/wire"
)

const (
	// logOrigin and snapshotOrigin name items of the replicated log and of snapshots.
	logOrigin      = "log"
	snapshotOrigin = "snapshot"
)

// errUnknownCommand reports a command that holds nothing that this release knows.
var errUnknownCommand = errors.New("the command is not known")

// state is the state machine of the replicated log. It holds the configuration with the highest version, the evacuated
// domains, and the departures of upstreams. It is safe for concurrent use.
type state struct {
	mutex       sync.RWMutex
	document    *wire.RoutingDocument
	evacuations evacuations
	departures  departure.Set
	// items records commands and departures that are left out.
	items *item.Log
	// onChange is called with each newer configuration, onEvacuations after each change of the evacuated domains, and
	// onDepartures with the departures that were added.
	onChange      func(*wire.RoutingDocument)
	onEvacuations func()
	onDepartures  func([]departure.Departure)
}

// reset empties the state, for a log that is applied from its beginning.
func (s *state) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.document, s.evacuations, s.departures = nil, evacuations{}, departure.Set{}
}

// newest returns the configuration with the highest version, or nil if there is none.
func (s *state) newest() *wire.RoutingDocument {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.document
}

// apply applies one committed command. The result is an encoded wire.EvacuateReply for an order, and nil for any
// other command.
func (s *state) apply(entry consensus.Entry) []byte {
	command := &wire.RoutingCommand{}
	if err := proto.Unmarshal(entry.Command, command); err != nil {
		// All replicas decode the same bytes, so all of them ignore the command.
		s.items.LeaveOut(kindCommand, logOrigin, eris.Wrapf(err, "decode the command at index %d", entry.Index))
		return nil
	}
	if command.Evacuation != nil {
		return s.applyEvacuation(command.Evacuation, entry.TimeMs)
	}
	if command.Departures != nil {
		s.applyDepartures(command.Departures, entry.TimeMs)
		return nil
	}
	if command.Version == 0 && len(command.Compressed) == 0 {
		s.items.LeaveOut(kindCommand, logOrigin, eris.Wrapf(errUnknownCommand, "apply index %d", entry.Index))
		return nil
	}
	s.applyDocument(&wire.RoutingDocument{Version: command.Version, Compressed: command.Compressed})
	return nil
}

// applyDocument applies a configuration. Of two with the same version, the first one is kept.
func (s *state) applyDocument(next *wire.RoutingDocument) {
	s.mutex.Lock()
	isNewer := s.document == nil || next.Version > s.document.Version
	if isNewer {
		s.document = next
	}
	s.mutex.Unlock()
	if isNewer {
		s.onChange(next)
	}
}

// snapshot returns the encoded state, or nil if it is empty.
func (s *state) snapshot() []byte {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	held := &wire.RoutingSnapshot{
		Version: s.document.GetVersion(), Compressed: s.document.GetCompressed(), Evacuations: s.evacuations.encode(),
		Departures: encodeDepartures(s.items, s.departures),
	}
	data, err := proto.Marshal(held)
	if err != nil {
		panic(eris.Wrap(err, "encode the state"))
	}
	return data
}

// restore replaces the state by a snapshot.
func (s *state) restore(data []byte) error {
	held := &wire.RoutingSnapshot{}
	if err := proto.Unmarshal(data, held); err != nil {
		return eris.Wrap(err, "decode the state")
	}
	var document *wire.RoutingDocument
	if len(held.Compressed) > 0 {
		document = &wire.RoutingDocument{Version: held.Version, Compressed: held.Compressed}
	}
	s.mutex.Lock()
	isNewer := document != nil && (s.document == nil || document.Version > s.document.Version)
	s.document = document
	s.evacuations = decodeStoredEvacuations(held.Evacuations)
	s.departures = decodeDepartures(s.items, held.Departures)
	departures := s.departures.All()
	s.mutex.Unlock()
	if isNewer {
		s.onChange(document)
	}
	s.onEvacuations()
	s.onDepartures(departures)
	return nil
}
