// Package registry distributes the routed configuration and the announcements of upstreams. Each control process runs a
// Replica, which keeps the newest configuration in a replicated log, receives announcements, and streams both to
// entries. Each entry runs a Follower, which keeps a stream to every replica and passes on configurations that are
// newer than its own. Replicas also run a Follower to receive announcements that were sent to other replicas.
package registry

import (
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

// state is the state machine of the replicated log. It holds the configuration with the highest version and is safe for
// concurrent use.
type state struct {
	mutex    sync.RWMutex
	document *wire.RoutingDocument
	// onChange is called with each newer configuration.
	onChange func(*wire.RoutingDocument)
}

// newest returns the configuration with the highest version, or nil if there is none.
func (s *state) newest() *wire.RoutingDocument {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.document
}

// apply applies one committed command and returns no result. Of two configurations with the same version, the first one
// is kept.
func (s *state) apply(command []byte) []byte {
	next := &wire.RoutingDocument{}
	if err := proto.Unmarshal(command, next); err != nil {
		// All replicas decode the same bytes, so all of them ignore the command.
		return nil
	}
	s.mutex.Lock()
	isNewer := s.document == nil || next.Version > s.document.Version
	if isNewer {
		s.document = next
	}
	s.mutex.Unlock()
	if isNewer {
		s.onChange(next)
	}
	return nil
}

// snapshot returns the encoded configuration, or nil if there is none.
func (s *state) snapshot() []byte {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if s.document == nil {
		return nil
	}
	data, err := proto.Marshal(s.document)
	if err != nil {
		panic(eris.Wrap(err, "encode the configuration"))
	}
	return data
}

// restore replaces the state by a snapshot.
func (s *state) restore(data []byte) error {
	var document *wire.RoutingDocument
	if len(data) > 0 {
		document = &wire.RoutingDocument{}
		if err := proto.Unmarshal(data, document); err != nil {
			return eris.Wrap(err, "decode the configuration")
		}
	}
	s.mutex.Lock()
	isNewer := document != nil && (s.document == nil || document.Version > s.document.Version)
	s.document = document
	s.mutex.Unlock()
	if isNewer {
		s.onChange(document)
	}
	return nil
}
