// Package control implements the replicated control plane. It holds the state that the control replicas agree
// on (membership, the revisions of the inventory, idempotency keys, orders, quarantine and the records of
// decisions) and serves wire.Control over that state.
//
// A Server turns a request into a command and proposes it to the replicated log. State.Apply runs each
// committed command on every replica in log order. Apply depends on the log entry alone, so all replicas hold
// the same state. Data that is renewed often and may be lost with its leader, such as leases and loads, stays
// in the Server.
//
// This file holds the state and dispatches commands to their handlers.
package control

import (
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// smallStoreSealKeys is the number of keys per sealed segment in the stores of changes and records.
const smallStoreSealKeys = 8192

type (
	// Entry is one committed command with its position in the log and the time of its proposal.
	Entry struct {
		Index   uint64
		Term    uint64
		TimeMs  int64
		Command []byte
	}

	// StateSettings configure where a State keeps data that does not fit in memory.
	StateSettings struct {
		// Directory is the folder for answers, changes and records. If it is empty, they stay in memory.
		Directory string
		// Fetch reads a part of a segment from a peer when a snapshot names a segment that this replica lacks.
		// An empty part marks the end of the segment.
		Fetch func(name string, offset int64) ([]byte, error)
		// SealKeys overrides the number of keys per segment if it is set. It must be equal on all replicas.
		SealKeys int
	}

	// State is the replicated state machine. One goroutine calls Apply. All other methods are safe for
	// concurrent use.
	State struct {
		// TestOverrides disables safeguards. Tests set it before the first command.
		TestOverrides TestOverrides

		mutex sync.RWMutex
		// index, term and nowMs belong to the last applied entry. nowMs never decreases.
		index, term uint64
		nowMs       int64
		changed     chan struct{}

		configuration configuration
		members       *members
		claims        *claim.Store
		keys          *claim.Keys
		maps          groupMaps
		tracker       *quarantine.Tracker
		quarantined   map[string]*wire.Quarantine
		// quarantineVersion is the log index of the last change to the quarantine.
		quarantineVersion uint64
		records           *records
		waiters           map[claim.Key]*settleWaiter
		// storageErr is the error that made the stores unreadable. The replica must stop once it is set.
		storageErr error
	}

	// TestOverrides disables safeguards of the state, so that tests can show that their checks detect the faults
	// which the safeguards prevent.
	TestOverrides struct {
		// SkipRevisionCheck accepts a submission without comparing its expected revision.
		SkipRevisionCheck bool
		// SkipDeduplication treats every submission as new, also one whose change id is known.
		SkipDeduplication bool
		// SkipTermCheck accepts an in-force declaration from the leader of another term.
		SkipTermCheck bool
		// AllowRerun grants a key that another attempt already holds.
		AllowRerun bool
		// AllowBarred grants a key to an attempt that was proved not to have run and may never run.
		AllowBarred bool
	}
)

// NewState returns an empty state in memory.
func NewState() *State {
	s, err := OpenState(StateSettings{})
	if err != nil {
		panic(err)
	}
	return s
}

// OpenState returns an empty state over a data folder. The contents of the folder become visible through
// Restore and the log entries that follow the snapshot.
func OpenState(settings StateSettings) (*State, error) {
	s := &State{changed: make(chan struct{}), waiters: make(map[claim.Key]*settleWaiter)}
	changes, err := settings.open("changes", 0, smallStoreSealKeys)
	if err != nil {
		return nil, err
	}
	records, err := settings.open("records", recordRetention, smallStoreSealKeys)
	if err != nil {
		return nil, err
	}
	s.claims, err = settings.open("claims", claim.Retention, claim.DefaultSealKeys)
	if err != nil {
		return nil, err
	}
	s.configuration = configuration{changes: newChanges(changes)}
	s.records = newRecords(records)
	s.reset()
	return s, nil
}

// Reset empties the state, as OpenState returns it, for a log that is applied from its beginning. The contents of the data folder
// stay, since a snapshot may name them.
func (s *State) Reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, store := range s.stores() {
		store.Reset()
	}
	s.index, s.term, s.nowMs, s.quarantineVersion, s.storageErr = 0, 0, 0, 0, nil
	s.configuration = configuration{changes: s.configuration.changes}
	s.records.next = firstRecord
	s.reset()
	s.signal()
}

// reset clears the part of the state that is not kept in a store.
func (s *State) reset() {
	s.members = newMembers()
	s.keys = claim.NewKeys(s.claims)
	s.maps = groupMaps{}
	s.tracker = quarantine.NewTracker(quarantine.Settings{})
	s.quarantined = make(map[string]*wire.Quarantine)
}

// open returns the store with the given name.
func (s StateSettings) open(name string, retention time.Duration, sealKeys int) (*claim.Store, error) {
	settings := claim.Settings{Retention: retention, SealKeys: sealKeys}
	if s.SealKeys > 0 {
		settings.SealKeys = s.SealKeys
	}
	if s.Directory != "" {
		settings.Directory = filepath.Join(s.Directory, name)
	}
	if s.Fetch != nil {
		settings.Fetch = func(segment string, offset int64) ([]byte, error) {
			return s.Fetch(name+"/"+segment, offset)
		}
	}
	return claim.NewStore(settings)
}

// Apply runs one committed command and returns a marshalled wire.Result. It panics if the stores cannot be
// read. The replicated log must then stop this replica.
func (s *State) Apply(e Entry) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.index, s.term = e.Index, e.Term
	s.nowMs = max(s.nowMs, e.TimeMs)
	command := &wire.Command{}
	result := &wire.Result{}
	if s.storageErr != nil {
		panic(s.storageErr)
	}
	if err := proto.Unmarshal(e.Command, command); err != nil {
		result.Failure = refusal("apply", ReasonInvalid, err.Error())
	} else if failure := checkCommand(command); failure != nil {
		result.Failure = failure
	} else {
		result = s.run(command)
	}
	result.Term = e.Term
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

// run passes a command to the handler of its type.
func (s *State) run(command *wire.Command) *wire.Result {
	switch body := command.Body.(type) {
	case *wire.Command_Announce:
		return s.announce(command.Replica, body.Announce)
	case *wire.Command_Departure:
		return s.depart(command.Replica, body.Departure)
	case *wire.Command_Submit:
		return s.submit(command.Replica, body.Submit, command.RetentionMs)
	case *wire.Command_InForce:
		return s.inForce(command.Replica, body.InForce)
	case *wire.Command_Claim:
		return s.claim(body.Claim)
	case *wire.Command_Settle:
		return s.settle(command.Replica, body.Settle)
	case *wire.Command_Death:
		return s.death(command.Replica, body.Death)
	case *wire.Command_Clear:
		return s.clear(command.Replica, body.Clear)
	case *wire.Command_MapRecord:
		return s.maps.record(s, command.Replica, body.MapRecord)
	case *wire.Command_MapContent:
		return s.maps.content(body.MapContent)
	case *wire.Command_Quarantine:
		return s.quarantine(command.Replica, body.Quarantine)
	case *wire.Command_Record:
		s.record(command.Replica, body.Record)
		return &wire.Result{Applied: true}
	case *wire.Command_Order:
		return s.order(command.Replica, body.Order)
	case *wire.Command_OrderSettled:
		return s.orderSettled(command.Replica, body.OrderSettled)
	default:
		return &wire.Result{Failure: refusal("apply", "unknown-command", "")}
	}
}

// checkCommand refuses a command whose required fields are missing.
func checkCommand(command *wire.Command) *wire.Failure {
	isComplete := true
	switch body := command.Body.(type) {
	case *wire.Command_Announce:
		isComplete = body.Announce.GetMember().GetName() != ""
	case *wire.Command_Quarantine:
		isComplete = body.Quarantine.GetQuarantine() != nil
	case *wire.Command_Order:
		isComplete = body.Order.GetOrder() != nil
	}
	if !isComplete {
		return refusal("apply", ReasonInvalid, "the command is incomplete")
	}
	return nil
}

// record stores the durable record of a decision.
func (s *State) record(replica string, r *wire.Record) {
	next := proto.CloneOf(r)
	next.Term, next.Replica, next.TimeMs = s.term, replica, s.nowMs
	if next.Revision == 0 {
		next.Revision = s.configuration.revision
	}
	s.records.add(next, s.nowMs)
}

// signal wakes the callers that wait for a newer view, revision, revision in force, quarantine or map state.
func (s *State) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// failStorage stops a replica that cannot read its stores. If it continued, its answers would differ from those
// of the other replicas.
func (s *State) failStorage(step string, err error) {
	s.storageErr = eris.Wrap(err, step)
	panic(s.storageErr)
}

// Err returns the reason why the replica must stop, or nil. It also reports a failed write to disk early:
// values that could not be sealed stay in memory, so nothing is lost yet.
func (s *State) Err() error {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if s.storageErr != nil {
		return s.storageErr
	}
	for _, store := range s.stores() {
		if err := store.Err(); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) stores() []*claim.Store {
	return []*claim.Store{s.configuration.changes.store, s.records.store, s.claims}
}

// Close closes the files of all stores and returns the error of the last store that failed.
func (s *State) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var closeErr error
	for _, store := range s.stores() {
		if err := store.Close(); err != nil {
			closeErr = err
		}
	}
	return closeErr
}

// Changed returns a channel that is closed at the next change of the members, the inventory, the revision in force,
// the quarantine or the state of a map.
func (s *State) Changed() <-chan struct{} {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.changed
}

// Term returns the term of the last applied entry.
func (s *State) Term() uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.term
}

// Quarantined returns the unexpired fingerprints that are suspected or proved to crash engines, in byte order.
func (s *State) Quarantined() []*wire.Quarantine {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.quarantinedLocked()
}

func (s *State) quarantinedLocked() []*wire.Quarantine {
	list := make([]*wire.Quarantine, 0, len(s.quarantined))
	for _, fingerprint := range slices.Sorted(maps.Keys(s.quarantined)) {
		if q := s.quarantined[fingerprint]; q.ExpiresMs == 0 || q.ExpiresMs > s.nowMs {
			list = append(list, q)
		}
	}
	return list
}

// MemoryBytes returns the memory that the sealed segments of all stores use.
func (s *State) MemoryBytes() int {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	total := 0
	for _, store := range s.stores() {
		total += store.MemoryBytes()
	}
	return total
}
