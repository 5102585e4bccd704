// Package registry is the control side of routed traffic. A Replica holds the newest routed configuration in a
// replicated log, hears the announcements of upstreams, and streams both to entries. A Follower is the entry's
// side: it follows every replica and hands on what is newer than what it holds.
package registry

import (
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

// state is the replicated state: the configuration with the highest version. It is safe for concurrent use.
type state struct {
	mutex    sync.RWMutex
	document *wire.RoutingDocument
	// onChange is told of each newer configuration.
	onChange func(*wire.RoutingDocument)
}

// newest returns the held configuration, nil for none.
func (s *state) newest() *wire.RoutingDocument {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.document
}

// apply takes one committed command; it has no result. The first configuration of a version stays.
func (s *state) apply(command []byte) []byte {
	next := &wire.RoutingDocument{}
	if err := proto.Unmarshal(command, next); err != nil {
		// Every replica reads the same bytes, so all of them ignore the command.
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
