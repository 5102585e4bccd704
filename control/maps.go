// The expert maps of the groups: the durable state of the switch protocol and the contents of the maps in use.
// The coordinators on the leader read the applied records from here, whichever leader proposed them.

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
	// maxRecentRecords is the number of applied records per group that coordinators can read.
	maxRecentRecords = 256
	// maxSpareContents is the number of map versions whose contents are kept in addition to the one in force.
	maxSpareContents = 2
)

type (
	// groupMaps holds the state of each group's map by group name.
	groupMaps map[string]*groupMap

	groupMap struct {
		state    mapswitch.State
		contents []*wire.MapContent
		// recent holds the last applied records. applied counts all of them.
		recent  []mapswitch.Record
		applied uint64
	}
)

// getOrCreate returns the state of a group's map and creates it for a new group.
func (m groupMaps) getOrCreate(group string) *groupMap {
	if m[group] == nil {
		m[group] = &groupMap{}
	}
	return m[group]
}

// record applies one record of the switch protocol. It stores the record of a decision, except for a takeover by
// a new leader.
func (m groupMaps) record(s *State, replica string, encoded []byte) *wire.Result {
	r, err := mapswitch.DecodeRecord(encoded)
	if err != nil {
		return &wire.Result{Failure: refusal("map", ReasonInvalid, err.Error())}
	}
	g := m.getOrCreate(r.Group)
	next, verdict := g.state.Apply(r)
	if verdict != mapswitch.Applied {
		return &wire.Result{Failure: refusal("map", verdict.String(), "")}
	}
	g.state = next
	g.applied++
	g.recent = append(g.recent, r)
	if len(g.recent) > maxRecentRecords {
		g.recent = slices.Clone(g.recent[1:])
	}
	g.dropContents()
	if !r.Takeover {
		s.record(replica, mapRecord(r))
	}
	s.signal()
	return &wire.Result{Applied: true}
}

// mapRecord returns the durable record that explains a decided switch.
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

// content stores the content of a map version unless it is known.
func (m groupMaps) content(c *wire.MapContent) *wire.Result {
	g := m.getOrCreate(c.Group)
	isSame := func(kept *wire.MapContent) bool { return kept.Version == c.Version }
	if !slices.ContainsFunc(g.contents, isSame) {
		g.contents = append(g.contents, c)
		g.dropContents()
	}
	return &wire.Result{Applied: true}
}

// dropContents removes the oldest contents that are not in force, down to the limit.
func (g *groupMap) dropContents() {
	for n := 0; n < len(g.contents) && len(g.contents) > maxSpareContents+1; {
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

// MapState returns the durable state of a group's map and the number of records applied to it.
func (s *State) MapState(group string) (state mapswitch.State, applied uint64) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	g := s.maps[group]
	if g == nil {
		return mapswitch.State{}, 0
	}
	return g.state, g.applied
}

// MapRecords returns the records of a group that were applied after the first `after` records. It returns false
// if some of them are no longer kept.
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

// ProposeMapRecord proposes a record of the switch protocol to the log.
func (s *Server) ProposeMapRecord(ctx context.Context, r mapswitch.Record) error {
	encoded, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = s.propose(ctx, &wire.Command{Body: &wire.Command_MapRecord{MapRecord: encoded}})
	return err
}

// ProposeMapContent proposes the content of a map to the log, so that every later leader can distribute it.
func (s *Server) ProposeMapContent(ctx context.Context, c *wire.MapContent) error {
	_, err := s.propose(ctx, &wire.Command{Body: &wire.Command_MapContent{MapContent: c}})
	return err
}
