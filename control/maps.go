// The expert maps of the groups: the durable state of the switch protocol, and the contents of the maps in
// use. The leader's coordinators read the applied records from here, whichever leader proposed them.

package control

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/mapswitch"
	"guavahitch.example/guavahitch/wire"
)

const (
	// recordsKept is the number of applied records of a group that coordinators can read.
	recordsKept = 256
	// contentsKept is the number of versions of a map that are kept beside the one in force.
	contentsKept = 2
)

type (
	// groupMaps holds the maps of all groups by name.
	groupMaps map[string]*groupMap

	groupMap struct {
		state    mapswitch.State
		contents []*wire.MapContent
		// recent are the last applied records; applied counts all.
		recent  []mapswitch.Record
		applied uint64
	}
)

func (m groupMaps) of(group string) *groupMap {
	if m[group] == nil {
		m[group] = &groupMap{}
	}
	return m[group]
}

// record applies one record of the switch protocol.
func (m groupMaps) record(s *State, replica string, encoded []byte) *wire.Result {
	r, err := mapswitch.DecodeRecord(encoded)
	if err != nil {
		return &wire.Result{Failure: refusal("map", ReasonInvalid, err.Error())}
	}
	g := m.of(r.Group)
	next, verdict := g.state.Apply(r)
	if verdict != mapswitch.Applied {
		return &wire.Result{Failure: refusal("map", verdict.String(), "")}
	}
	g.state = next
	g.applied++
	g.recent = append(g.recent, r)
	if len(g.recent) > recordsKept {
		g.recent = slices.Clone(g.recent[1:])
	}
	g.dropContents()
	if !r.Takeover {
		s.record(replica, mapRecord(r))
	}
	s.signal()
	return &wire.Result{Applied: true}
}

// mapRecord returns the durable explanation of a decided switch.
func mapRecord(r mapswitch.Record) *wire.Record {
	decision := "abandoned"
	if r.Run {
		decision = fmt.Sprintf("map version %d runs from step %d", r.Layout.Map.Version, r.Layout.Step)
	}
	return &wire.Record{
		Kind: "switch", Subject: r.Group, Decision: decision, Cause: r.Cause, ChangeId: r.ChangeID,
		Rule: "a switch runs when every rank has promised to wait for its decision",
	}
}

// content keeps the content of a version of a map.
func (m groupMaps) content(c *wire.MapContent) *wire.Result {
	g := m.of(c.Group)
	isSame := func(kept *wire.MapContent) bool { return kept.Version == c.Version }
	if !slices.ContainsFunc(g.contents, isSame) {
		g.contents = append(g.contents, c)
		g.dropContents()
	}
	return &wire.Result{Applied: true}
}

// dropContents forgets the oldest contents that are not in force.
func (g *groupMap) dropContents() {
	for n := 0; n < len(g.contents) && len(g.contents) > contentsKept+1; {
		if g.contents[n].Version == g.state.InForce.Map.Version {
			n++
			continue
		}
		g.contents = slices.Delete(g.contents, n, n+1)
	}
}

func (m groupMaps) stored() []*wire.StoredMap {
	var list []*wire.StoredMap
	for _, name := range slices.Sorted(maps.Keys(m)) {
		g := m[name]
		list = append(list, &wire.StoredMap{Group: name, State: g.state.ToWire(), Contents: g.contents, Applied: g.applied})
	}
	return list
}

func (m groupMaps) restore(list []*wire.StoredMap) error {
	for _, stored := range list {
		state, err := mapswitch.StateFromWire(stored.State)
		if err != nil {
			return eris.Wrapf(err, "restore the map of %s", stored.Group)
		}
		m[stored.Group] = &groupMap{state: state, contents: stored.Contents, applied: stored.Applied}
	}
	return nil
}

// MapState returns the durable state of a group's map and how many records led to it.
func (s *State) MapState(group string) (state mapswitch.State, applied uint64) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	g := s.maps[group]
	if g == nil {
		return mapswitch.State{}, 0
	}
	return g.state, g.applied
}

// MapRecords returns the records of a group that were applied after the first so many. It reports false when
// some of them are no longer kept.
func (s *State) MapRecords(group string, after uint64) ([]mapswitch.Record, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	g := s.maps[group]
	if g == nil || after >= g.applied {
		return nil, true
	}
	missing := g.applied - after
	if missing > uint64(len(g.recent)) {
		return nil, false
	}
	return slices.Clone(g.recent[uint64(len(g.recent))-missing:]), true
}

// MapContent returns the content of a version of a group's map, or nil.
func (s *State) MapContent(group string, version uint64) []byte {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	g := s.maps[group]
	if g == nil {
		return nil
	}
	for _, c := range g.contents {
		if c.Version == version {
			return c.Content
		}
	}
	return nil
}

// ProposeMapRecord puts a record of the switch protocol into the log.
func (s *Server) ProposeMapRecord(ctx context.Context, r mapswitch.Record) error {
	encoded, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = s.propose(ctx, &wire.Command{Body: &wire.Command_MapRecord{MapRecord: encoded}})
	return err
}

// ProposeMapContent puts the content of a map into the log, so that every later leader can hand it out.
func (s *Server) ProposeMapContent(ctx context.Context, c *wire.MapContent) error {
	_, err := s.propose(ctx, &wire.Command{Body: &wire.Command_MapContent{MapContent: c}})
	return err
}
