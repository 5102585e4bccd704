// The store of changes to the inventory: the status of each change by its id, and the winning change of each
// revision.

package control

import (
	"encoding/binary"
	"strconv"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

// changes stores three kinds of values: the status of a change by its id, the id of the winning change by
// revision, and the time at which a revision came into force.
type changes struct {
	store *claim.Store
}

func newChanges(store *claim.Store) *changes {
	return &changes{store: store}
}

func (c *changes) get(id string) (*wire.StoredChange, error) {
	data, err := c.store.Get(claim.KeyOf("change", id), 0)
	if data == nil || err != nil {
		return nil, err
	}
	stored := &wire.StoredChange{}
	return stored, proto.Unmarshal(data, stored)
}

func (c *changes) put(stored *wire.StoredChange, nowMs int64) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(stored)
	if err != nil {
		return
	}
	status := stored.Status
	c.store.Put(claim.KeyOf("change", status.ChangeId), data, nowMs)
	if status.State == StateAccepted {
		c.store.Put(revisionKey("winner", status.Revision), []byte(status.ChangeId), nowMs)
	}
}

// winner returns the id of the change that was accepted as the revision, or the empty string.
func (c *changes) winner(revision uint64) string {
	id, err := c.store.Get(revisionKey("winner", revision), 0)
	if err != nil {
		return ""
	}
	return string(id)
}

// markInForce stores the time at which the revisions from first to last came into force.
func (c *changes) markInForce(first, last uint64, nowMs int64) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(nowMs))
	for revision := first; revision <= last; revision++ {
		c.store.Put(revisionKey("in-force", revision), encoded[:], nowMs)
	}
}

func (c *changes) inForceMs(revision uint64) int64 {
	encoded, err := c.store.Get(revisionKey("in-force", revision), 0)
	if err != nil || len(encoded) != 8 {
		return 0
	}
	return int64(binary.BigEndian.Uint64(encoded))
}

func revisionKey(kind string, revision uint64) claim.Key {
	return claim.KeyOf(kind, strconv.FormatUint(revision, 10))
}
