// Revisions of the inventory. A submission names the revision that it expects to replace, so if two operators
// submit against the same revision, exactly one wins. Its change id makes a resend idempotent. The status of
// every change that reached the log is kept for ever.

package control

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

// States of a change.
const (
	StateAccepted = "accepted"
	StateInForce  = "in-force"
	StateRefused  = "refused"
	StateUnknown  = "unknown"
)

// Reasons of refused changes.
const (
	// ReasonLost means that another change already replaced the expected revision.
	ReasonLost = "lost"
	// ReasonFuture means that the expected revision does not exist yet.
	ReasonFuture = "future"
	// ReasonReused means that the change id was used before with different content.
	ReasonReused = "change-id-reused"
)

type configuration struct {
	revision  uint64
	inventory []byte
	// inForce is the newest revision that every leaseholder holds.
	inForce uint64
	changes *changes
	// recent holds the latest inventories, oldest first. Deltas are computed from them.
	recent []inventoryRevision
}

// inventoryRevision is one revision of the inventory with its delta to the newest revision.
type inventoryRevision struct {
	revision  uint64
	inventory []byte
	// delta turns this revision into the newest one. It is nil for the newest.
	delta *wire.InventoryDelta
}

// maxRecentRevisions is the number of inventories that are kept for deltas, including the newest.
const maxRecentRevisions = 4

// ContentHash returns a hash of a submission's expected revision and inventory. It distinguishes a resend from
// a different change under the same id.
func ContentHash(request *wire.SubmitRequest) []byte {
	digest := sha256.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], request.ExpectedRevision)
	digest.Write(number[:])
	digest.Write(request.Inventory)
	return digest.Sum(nil)
}

func (s *State) submit(replica string, request *wire.SubmitRequest, retentionMs int64) *wire.Result {
	known, failure := s.knownChange(request)
	if known != nil || failure != nil {
		return &wire.Result{Change: known, Failure: failure}
	}
	status := &wire.ChangeStatus{
		ChangeId: request.ChangeId, Operator: request.Operator, Term: s.term, Replica: replica, AcceptedMs: s.nowMs,
	}
	c := &s.configuration
	if request.ExpectedRevision == c.revision || s.TestOverrides.SkipRevisionCheck {
		c.revision++
		c.inventory = request.Inventory
		c.appendRecent()
		if retentionMs > 0 {
			s.claims.SetRetention(time.Duration(retentionMs) * time.Millisecond)
		}
		status.State, status.Revision = StateAccepted, c.revision
	} else {
		s.refuseChange(status, request.ExpectedRevision)
	}
	s.saveChange(status, ContentHash(request))
	s.record(replica, &wire.Record{
		Kind: "configuration", Subject: "revision " + strconv.FormatUint(request.ExpectedRevision+1, 10),
		Decision: status.State, Cause: request.Reason, Rule: "expected revision must be the newest",
		ChangeId: request.ChangeId, Alternatives: alternativesOf(status),
	})
	s.signal()
	return &wire.Result{Change: s.withInForce(status)}
}

func alternativesOf(status *wire.ChangeStatus) []*wire.Alternative {
	if status.Winner == "" {
		return nil
	}
	return []*wire.Alternative{{Name: "change " + status.Winner + " holds the revision"}}
}

func (s *State) refuseChange(status *wire.ChangeStatus, expected uint64) {
	status.State, status.AcceptedMs = StateRefused, 0
	status.Revision = s.configuration.revision
	if expected > s.configuration.revision {
		status.Reason = ReasonFuture
		return
	}
	status.Reason = ReasonLost
	status.Winner = s.configuration.changes.winner(expected + 1)
}

// knownChange answers a change id that was seen before. The same content gets the original answer, different
// content is refused. Both results are nil for a new change id.
func (s *State) knownChange(request *wire.SubmitRequest) (*wire.ChangeStatus, *wire.Failure) {
	if s.TestOverrides.SkipDeduplication {
		return nil, nil
	}
	stored, err := s.configuration.changes.get(request.ChangeId)
	if err != nil {
		s.failStorage("submit", err)
	}
	if stored == nil {
		return nil, nil
	}
	if string(stored.Content) != string(ContentHash(request)) {
		return nil, refusal("submit", ReasonReused, "the change id "+request.ChangeId+" belongs to another content")
	}
	return s.withInForce(stored.Status), nil
}

// withInForce returns the current status of a change. An accepted change is in force once its revision or a
// later one is in force.
func (s *State) withInForce(status *wire.ChangeStatus) *wire.ChangeStatus {
	if status.State == StateAccepted && status.Revision <= s.configuration.inForce {
		status = proto.CloneOf(status)
		status.State = StateInForce
		status.InForceMs = s.configuration.changes.inForceMs(status.Revision)
	}
	return status
}

func (s *State) saveChange(status *wire.ChangeStatus, content []byte) {
	s.configuration.changes.put(&wire.StoredChange{Status: status, Content: content}, s.nowMs)
}

// appendRecent adds the newest inventory to the recent ones and recomputes the deltas.
func (c *configuration) appendRecent() {
	c.recent = append(c.recent, inventoryRevision{revision: c.revision, inventory: c.inventory})
	if len(c.recent) > maxRecentRevisions {
		c.recent = append([]inventoryRevision(nil), c.recent[1:]...)
	}
	c.computeDeltas()
}

// computeDeltas computes the delta from each recent inventory to the newest.
func (c *configuration) computeDeltas() {
	for n := range c.recent[:max(0, len(c.recent)-1)] {
		c.recent[n].delta = lease.NewDelta(c.recent[n].revision, c.recent[n].inventory, c.inventory)
	}
}

// fill adds to the reply the current inventory for a process that holds the given revision: nothing if it is up
// to date, a delta if one is known and shorter than half of the inventory, otherwise the full inventory.
func (c *configuration) fill(reply *wire.WatchReply, held uint64) {
	reply.Revision, reply.InForce = c.revision, c.inForce
	if held == c.revision {
		return
	}
	for _, r := range c.recent {
		if r.revision == held && r.delta != nil && len(r.delta.Insert) < len(c.inventory)/2 {
			reply.Delta = r.delta
			return
		}
	}
	reply.Inventory = c.inventory
}

// inForce records that every process holds a revision or has no lease. A declaration is valid only in the term
// of the leader that made it, because another leader may have granted leases since.
func (s *State) inForce(replica string, declared *wire.InForce) *wire.Result {
	c := &s.configuration
	if declared.Term != s.term && !s.TestOverrides.SkipTermCheck {
		return &wire.Result{Failure: refusal("in-force", "stale-term", "")}
	}
	if declared.Revision <= c.inForce || declared.Revision > c.revision {
		return &wire.Result{}
	}
	c.changes.markInForce(c.inForce+1, declared.Revision, s.nowMs)
	c.inForce = declared.Revision
	cause := "every process acknowledged it"
	if len(declared.Expired) > 0 {
		cause = "every process acknowledged it or lost its lease"
	}
	s.record(replica, &wire.Record{
		Kind: "configuration", Subject: "revision " + strconv.FormatUint(declared.Revision, 10), Decision: StateInForce,
		Cause: cause, Rule: "no process may act on an older revision", Revision: declared.Revision,
		ChangeId: c.changes.winner(declared.Revision),
	})
	s.signal()
	return &wire.Result{Applied: true}
}

// Change returns the status of a change by its id.
func (s *State) Change(id string) *wire.ChangeStatus {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	stored, err := s.configuration.changes.get(id)
	if err != nil {
		return &wire.ChangeStatus{ChangeId: id, Failure: storageFailure("change", err)}
	}
	if stored == nil {
		return &wire.ChangeStatus{ChangeId: id, State: StateUnknown}
	}
	return s.withInForce(stored.Status)
}

// Revision returns the newest accepted revision and its inventory.
func (s *State) Revision() (uint64, []byte) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.configuration.revision, s.configuration.inventory
}

// InForce returns the newest revision that is in force in all processes.
func (s *State) InForce() uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.configuration.inForce
}
