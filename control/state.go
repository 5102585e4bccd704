// Package control holds the state that the control replicas agree on, and the server of wire.Control over
// it: membership, the inventory and its revisions, idempotency keys, orders, quarantine and the records
// of every decision.
//
// A command's way: Server builds it, Propose puts it into the replicated log, and State.Apply runs it on
// every replica in the log's order. Apply depends on the entry alone, so every replica holds the same
// state. What is renewed often and may be lost with its leader, such as leases and loads, stays in the
// Server.
//
// This file holds the state and the dispatch of commands.
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

// sealFew is the number of changes or records that are sealed together.
const sealFew = 8192

type (
	// Entry is one committed command with its place in the log and the time of its proposal.
	Entry struct {
		Index   uint64
		Term    uint64
		TimeMs  int64
		Command []byte
	}

	// StateSettings say where a state keeps what is too much for memory.
	StateSettings struct {
		// Directory is the folder for answers, changes and records; empty keeps them in memory.
		Directory string
		// Fetch returns a part of a sealed file from a peer, for a snapshot that names it. An empty part
		// is the end.
		Fetch func(name string, offset int64) ([]byte, error)
		// SealKeys replaces the number of keys that are sealed together, when set. All replicas must agree.
		SealKeys int
	}

	// State is the replicated state. Apply is called by one goroutine; all other methods may be called by
	// any.
	State struct {
		// Switches turn mechanisms off. Tests set them before the first command.
		Switches Switches

		mutex sync.RWMutex
		// index, term and nowMs are those of the last entry; nowMs never runs backwards.
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
		// verdicts is the index of the last change of the quarantine.
		verdicts uint64
		records  *records
		waiting  map[claim.Key]*waiter
		// broken is why the stores cannot be read; the replica must stop.
		broken error
	}

	// Switches turn mechanisms of the state off, to show that the tests notice.
	Switches struct {
		// SkipExpected accepts a submission whatever its expected revision is.
		SkipExpected bool
		// ForgetChanges treats every submission as new.
		ForgetChanges bool
		// AnyTerm accepts evidence that a leader of another term gathered.
		AnyTerm bool
		// AllowRerun grants a key that is held already.
		AllowRerun bool
		// AllowBarred grants a key to an attempt that is proved not to have run.
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

// OpenState returns an empty state over a data folder. What the folder holds comes back by Restore and by
// the entries after it.
func OpenState(settings StateSettings) (*State, error) {
	s := &State{changed: make(chan struct{}), waiting: make(map[claim.Key]*waiter)}
	changes, err := settings.open("changes", 0, sealFew)
	if err != nil {
		return nil, err
	}
	records, err := settings.open("records", recordRetention, sealFew)
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

// reset empties what is not in a store.
func (s *State) reset() {
	s.members = newMembers()
	s.keys = claim.NewKeys(s.claims)
	s.maps = groupMaps{}
	s.tracker = quarantine.NewTracker(quarantine.Settings{})
	s.quarantined = make(map[string]*wire.Quarantine)
}

// open returns the store of a name.
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

// Apply runs one committed command and returns its result, a marshalled wire.Result. It panics when the
// stores cannot be read: the replicated log must then stop this replica.
func (s *State) Apply(e Entry) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.index, s.term = e.Index, e.Term
	s.nowMs = max(s.nowMs, e.TimeMs)
	command := &wire.Command{}
	result := &wire.Result{}
	if s.broken != nil {
		panic(s.broken)
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

// checkCommand refuses a command that lacks what it is about.
func checkCommand(command *wire.Command) *wire.Failure {
	isWhole := true
	switch body := command.Body.(type) {
	case *wire.Command_Announce:
		isWhole = body.Announce.GetMember().GetName() != ""
	case *wire.Command_Quarantine:
		isWhole = body.Quarantine.GetQuarantine() != nil
	case *wire.Command_Order:
		isWhole = body.Order.GetOrder() != nil
	}
	if !isWhole {
		return refusal("apply", ReasonInvalid, "the command is incomplete")
	}
	return nil
}

// record adds a durable record of a decision.
func (s *State) record(replica string, r *wire.Record) {
	next := proto.CloneOf(r)
	next.Term, next.Replica, next.TimeMs = s.term, replica, s.nowMs
	if next.Revision == 0 {
		next.Revision = s.configuration.revision
	}
	s.records.add(next, s.nowMs)
}

// signal wakes everyone who waits for a newer view, revision or quarantine.
func (s *State) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// fail stops the replica, whose stores cannot be read. Going on would answer otherwise than the other
// replicas do.
func (s *State) fail(step string, err error) {
	s.broken = eris.Wrap(err, step)
	panic(s.broken)
}

// Err returns why the replica must stop, or nil. A disk that cannot be written is reported before it does
// harm: what could not be sealed stays in memory.
func (s *State) Err() error {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if s.broken != nil {
		return s.broken
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

// Close closes the files.
func (s *State) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var failed error
	for _, store := range s.stores() {
		if err := store.Close(); err != nil {
			failed = err
		}
	}
	return failed
}

// Changed returns a channel that is closed at the next change of members, inventory or quarantine.
func (s *State) Changed() <-chan struct{} {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.changed
}

// Term returns the term of the last entry.
func (s *State) Term() uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.term
}

// Quarantined returns the fingerprints under suspicion or proved deadly, in the order of their bytes.
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

// MemoryBytes returns the memory that the sealed files of all stores hold.
func (s *State) MemoryBytes() int {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	total := 0
	for _, store := range s.stores() {
		total += store.MemoryBytes()
	}
	return total
}
