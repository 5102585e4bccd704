// Snapshots of the replicated state. A snapshot contains the small parts of the state and the values that are
// not sealed yet. It refers to sealed answers, changes and records by the names of their segments. A replica
// that lacks a segment fetches it from a peer by the Segments protocol.

package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

// snapshotVersion is the format version of a StateSnapshot.
const snapshotVersion = 1

// Snapshot returns the encoded state. It must be called between two calls of Apply. It panics if the stores
// cannot be read or written: such a replica must not truncate its log.
func (s *State) Snapshot() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	encoded, err := s.encode()
	if err != nil {
		panic(fmt.Sprintf("control: snapshot: %v", err))
	}
	return encoded
}

func (s *State) encode() ([]byte, error) {
	if s.storageErr != nil {
		return nil, s.storageErr
	}
	c := &s.configuration
	snapshot := &wire.StateSnapshot{
		Version: snapshotVersion, Index: s.index, Term: s.term, NowMs: s.nowMs,
		Revision: c.revision, InForce: c.inForce, NextRecord: s.records.next,
		Open: s.keys.Open(), View: s.members.view.Number(), Quarantined: s.allQuarantined(),
		Members: s.members.stored(), Fences: s.members.storedFences(), Floor: s.members.tokenFloor,
		Tracker: s.tracker.Snapshot(), Maps: s.maps.stored(), Verdicts: s.quarantineVersion,
	}
	for _, r := range c.recent {
		snapshot.Recent = append(snapshot.Recent, &wire.StoredRevision{Revision: r.revision, Inventory: r.inventory})
	}
	var err error
	if snapshot.Changes, err = c.changes.store.Snapshot(); err != nil {
		return nil, err
	}
	if snapshot.Records, err = s.records.store.Snapshot(); err != nil {
		return nil, err
	}
	if snapshot.Claims, err = s.claims.Snapshot(); err != nil {
		return nil, err
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore replaces the state by the state in a snapshot.
func (s *State) Restore(encoded []byte) error {
	snapshot := &wire.StateSnapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return eris.Wrap(err, "restore the control state")
	}
	if snapshot.Version != snapshotVersion {
		return eris.Errorf(
			"restore the control state: snapshot format %d is unknown, expected %d", snapshot.Version, snapshotVersion,
		)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.restoreStores(snapshot); err != nil {
		s.storageErr = err
		return err
	}
	s.storageErr = nil
	s.reset()
	s.index, s.term, s.nowMs = snapshot.Index, snapshot.Term, snapshot.NowMs
	s.records.next = snapshot.NextRecord
	s.restoreConfiguration(snapshot)
	s.members.restore(snapshot)
	s.keys.RestoreOpen(snapshot.Open)
	if err := s.maps.restore(snapshot.Maps); err != nil {
		s.storageErr = err
		return err
	}
	s.tracker.Restore(snapshot.Tracker)
	s.quarantineVersion = snapshot.Verdicts
	for _, q := range snapshot.Quarantined {
		s.quarantined[string(q.Fingerprint)] = q
	}
	s.signal()
	return nil
}

func (s *State) restoreStores(snapshot *wire.StateSnapshot) error {
	if snapshot.Changes == nil || snapshot.Records == nil || snapshot.Claims == nil {
		return eris.New("restore the control state: the snapshot lacks a store")
	}
	if err := s.configuration.changes.store.Restore(snapshot.Changes); err != nil {
		return err
	}
	if err := s.records.store.Restore(snapshot.Records); err != nil {
		return err
	}
	return s.claims.Restore(snapshot.Claims)
}

func (s *State) restoreConfiguration(snapshot *wire.StateSnapshot) {
	c := &s.configuration
	c.revision, c.inForce, c.recent, c.inventory = snapshot.Revision, snapshot.InForce, nil, nil
	for _, r := range snapshot.Recent {
		c.recent = append(c.recent, inventoryRevision{revision: r.Revision, inventory: r.Inventory})
		c.inventory = r.Inventory
	}
	c.computeDeltas()
}

// allQuarantined returns all quarantined fingerprints, including expired ones, in byte order.
func (s *State) allQuarantined() []*wire.Quarantine {
	list := make([]*wire.Quarantine, 0, len(s.quarantined))
	for _, fingerprint := range slices.Sorted(maps.Keys(s.quarantined)) {
		list = append(list, s.quarantined[fingerprint])
	}
	return list
}

func (m *members) stored() []*wire.StoredMember {
	names := make(map[string]bool)
	for name := range m.incarnations {
		names[name] = true
	}
	for name := range m.epochs {
		names[name] = true
	}
	list := make([]*wire.StoredMember, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		list = append(list, &wire.StoredMember{
			Name: name, Member: m.view.Member(name), Incarnation: m.incarnations[name], Epoch: m.epochs[name],
			Left: m.leftEpochs[name], DepartedMs: m.departedAtMs[name],
		})
	}
	return list
}

func (m *members) storedFences() []*wire.StoredFence {
	list := make([]*wire.StoredFence, 0, len(m.ordersByUpstream))
	for _, upstream := range slices.Sorted(maps.Keys(m.ordersByUpstream)) {
		f := m.ordersByUpstream[upstream]
		stored := &wire.StoredFence{Upstream: upstream, Token: f.lastToken}
		for _, open := range f.open {
			stored.Open = append(stored.Open, &wire.StoredOrder{Id: open.id, Order: open.order})
		}
		for _, id := range f.settledIDs {
			order := &wire.OrderRequest{FencingToken: f.settledTokens[id]}
			stored.Settled = append(stored.Settled, &wire.StoredOrder{Id: id, Order: order})
		}
		list = append(list, stored)
	}
	return list
}

func (m *members) restore(snapshot *wire.StateSnapshot) {
	for _, stored := range snapshot.Members {
		m.incarnations[stored.Name] = stored.Incarnation
		m.epochs[stored.Name] = stored.Epoch
		if stored.Left > 0 {
			m.leftEpochs[stored.Name] = stored.Left
		}
		if stored.DepartedMs > 0 {
			m.departedAtMs[stored.Name] = stored.DepartedMs
		}
		if stored.Member != nil {
			m.view.members[stored.Name] = stored.Member
		}
	}
	m.view.number, m.view.historyStart, m.tokenFloor = snapshot.View, snapshot.View, snapshot.Floor
	for _, stored := range snapshot.Fences {
		f := &upstreamOrders{lastToken: stored.Token, settledTokens: make(map[string]uint64)}
		for _, open := range stored.Open {
			f.open = append(f.open, openOrder{open.Id, open.Order})
		}
		for _, settled := range stored.Settled {
			f.addSettled(settled.Id, settled.Order.GetFencingToken())
		}
		m.ordersByUpstream[stored.Upstream] = f
	}
}

// Part returns a part of a segment by its name, such as "claims/NAME". The part is empty at the end of the
// segment.
func (s *State) Part(name string, offset int64) ([]byte, error) {
	store, segment, _ := strings.Cut(name, "/")
	switch store {
	case "changes":
		return s.configuration.changes.store.Part(segment, offset)
	case "records":
		return s.records.store.Part(segment, offset)
	case "claims":
		return s.claims.Part(segment, offset)
	default:
		return nil, eris.Errorf("no store has the name %q", store)
	}
}

// Segments serves wire.Segments over a state.
type Segments struct{ State *State }

// Read returns a part of a segment.
func (s Segments) Read(_ context.Context, request *wire.SegmentRequest) (*wire.SegmentReply, error) {
	data, err := s.State.Part(request.Name, request.Offset)
	if err != nil {
		return &wire.SegmentReply{Failure: refusal("segment", "missing", err.Error())}, nil
	}
	return &wire.SegmentReply{Data: data}, nil
}
