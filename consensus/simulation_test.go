package consensus_test

// A simulation with real cores and storages on in-memory disks, driven by a seeded schedule in virtual time.

import (
	"bytes"
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/wire"
)

const (
	simSegmentBytes    = 16 << 10
	simSnapshotEntries = 120
)

type (
	event struct {
		at       time.Time
		sequence int
		run      func()
	}

	eventQueue []event

	// setup selects the mechanisms that are switched off and the faults.
	setup struct {
		disabled        consensus.Mechanisms
		isDroppingSyncs bool
		// isSameIdentity gives all folders the same incarnation, so that a replica that lost its disk still counts as
		// the old one.
		isSameIdentity bool
		// nonFounders is the number of replicas that are not initial members of the group.
		nonFounders int
		// hasFreezes adds replicas that freeze, and power failures between the syncs of one write.
		hasFreezes bool
	}

	simulation struct {
		random       *rand.Rand
		now          time.Time
		queue        eventQueue
		sequence     int
		replicas     []*simReplica
		blocked      map[[2]string]bool
		isFaultless  bool
		setup        setup
		incarnations uint64
		err          error
		// crashes, replaced and installed count the crashes, replaced disks and installed snapshots.
		crashes, replaced, installed int
	}

	simReplica struct {
		*simulation
		id      string
		disk    *memoryDisk
		core    *consensus.Core
		storage *consensus.Storage
		// run counts the starts; events that were scheduled in earlier runs are dropped.
		run       int
		isUp      bool
		isSyncing bool
		// frozenUntil is the end of a freeze: until then the replica handles nothing.
		frozenUntil time.Time
		writes      []*consensus.Write
		state       map[string]string
		applied     uint64
		saved       uint64
		wake        time.Time
		// skew is the time by which the replica's wall clock is ahead. timeMs is the log time of the last
		// applied entry.
		skew     time.Duration
		timeMs   int64
		calls    map[uint64]*call
		reads    map[uint64]*call
		nextRead uint64
	}

	// call is an operation of a client that has no result yet.
	call struct {
		input simInput
		term  uint64
		done  func(output simOutput, isKnown, isRun bool)
	}

	simInput struct {
		Kind, Key, Value, Expect string
	}

	simOutput struct {
		Value     string
		IsSet     bool
		IsUnknown bool
	}
)

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].sequence < a[j].sequence
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(e any)   { *a = append(*a, e.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newSimulation(seed uint64, count int, b setup) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_000_000),
		blocked: map[[2]string]bool{}, setup: b,
	}
	for i := range count {
		r := &simReplica{simulation: s, id: fmt.Sprintf("r%d", i+1), disk: newMemoryDisk()}
		s.replicas = append(s.replicas, r)
	}
	for _, r := range s.replicas {
		r.start()
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now.Add(d), sequence: s.sequence, run: run})
}

func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// runFor runs the events of the given span of virtual time.
func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) && s.err == nil {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *simulation) replica(id string) *simReplica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (s *simulation) members() []consensus.Member {
	var members []consensus.Member
	for _, r := range s.replicas[:len(s.replicas)-s.setup.nonFounders] {
		members = append(members, consensus.Member{ID: r.id})
	}
	return members
}

// send delivers a message with loss, duplication, delay and reordering.
func (s *simulation) send(m *wire.ReplicaMessage) {
	copies := 1
	if !s.isFaultless && s.random.IntN(50) == 0 {
		copies = s.random.IntN(3)
	}
	for range copies {
		delay := s.between(200*time.Microsecond, 3*time.Millisecond)
		if !s.isFaultless && s.random.IntN(100) == 0 {
			delay = s.between(0, 150*time.Millisecond)
		}
		sent := proto.Clone(m).(*wire.ReplicaMessage)
		s.after(delay, func() { s.deliver(sent) })
	}
}

func (s *simulation) deliver(m *wire.ReplicaMessage) {
	to := s.replica(m.To)
	if to == nil || !to.isUp || s.blocked[[2]string{m.From, m.To}] {
		return
	}
	if s.now.Before(to.frozenUntil) {
		to.at(to.frozenUntil.Sub(s.now), func() { s.deliver(m) })
		return
	}
	to.core.Step(s.now, m)
	to.flush()
}

func (s *simulation) incarnation() uint64 {
	if s.setup.isSameIdentity {
		return 7
	}
	s.incarnations++
	return 1000 + s.incarnations
}

// start opens the replica's storage and starts a core from the recovered state.
func (r *simReplica) start() {
	storage, recovered, err := consensus.OpenStorage(r.disk.disk(), consensus.StorageSettings{
		ID: r.id, Incarnation: r.incarnation, SegmentBytes: simSegmentBytes,
	})
	if err != nil {
		r.err = fmt.Errorf("%s does not open: %w", r.id, err)
		return
	}
	r.run++
	r.isUp, r.isSyncing, r.writes = true, false, nil
	r.storage, r.state = storage, map[string]string{}
	r.calls, r.reads = map[uint64]*call{}, map[uint64]*call{}
	r.applied = recovered.Snapshot.Index
	r.saved = recovered.Snapshot.Index
	r.restore()
	r.core = consensus.NewCore(r.now, consensus.CoreSettings{
		ID: r.id, Address: r.id, InitialMembers: r.members(), Seed: r.random.Uint64(),
		Heartbeat: 20 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond,
		RetainedBytes: 4 << 10, IsAutoReplacing: true, Disabled: r.setup.disabled,
		WallClock: func(now time.Time) time.Duration { return time.Duration(now.UnixNano()) + r.skew },
	}, recovered)
	r.wake = time.Time{}
	r.flush()
}

func (r *simReplica) restore() {
	state, err := r.storage.State()
	if err == nil && state != nil {
		err = json.Unmarshal(state, &r.state)
	}
	if err != nil {
		r.err = fmt.Errorf("%s does not restore: %w", r.id, err)
	}
}

// crash stops the replica and discards its unsynced data.
func (r *simReplica) crash() {
	if !r.isUp {
		return
	}
	r.isUp = false
	r.run++
	r.crashes++
	r.fail(r.calls, true)
	r.fail(r.reads, false)
	r.disk.losePower(r.random)
}

func (r *simReplica) fail(calls map[uint64]*call, isRun bool) {
	for _, id := range sortedKeys(calls) {
		calls[id].done(simOutput{}, false, isRun)
	}
	clear(calls)
}

// at runs f after a delay, unless the replica was stopped or restarted in the meantime.
func (r *simReplica) at(d time.Duration, f func()) {
	run := r.run
	r.after(d, func() {
		switch {
		case r.run != run || !r.isUp:
		case r.now.Before(r.frozenUntil):
			r.at(r.frozenUntil.Sub(r.now), f)
		default:
			f()
		}
	})
}

func (r *simReplica) flush() {
	for isFirst := true; r.isUp && r.err == nil && (isFirst || r.core.HasMore()); isFirst = false {
		r.execute(r.core.TakeEffects())
	}
	if !r.isUp || r.err != nil {
		return
	}
	r.save()
	if due := r.core.Deadline(); !due.Equal(r.wake) {
		r.wake = due
		r.at(max(0, due.Sub(r.now)), func() {
			if r.wake.Equal(due) {
				r.wake = time.Time{}
				r.core.Tick(r.now)
				r.flush()
			}
		})
	}
}

func (r *simReplica) execute(e consensus.Effects) {
	for _, m := range e.Messages {
		r.send(m)
	}
	if e.Write != nil {
		r.writes = append(r.writes, e.Write)
		r.startSync()
	}
	for _, c := range e.Chunks {
		if data, isThere, err := r.storage.ReadChunk(c.Message.Index, c.Message.IndexTerm, c.Offset); err == nil && isThere {
			c.Message.Chunk.Data = data
			r.send(c.Message)
		}
	}
	if e.Restore {
		r.installed++
		r.state = map[string]string{}
		r.restore()
		r.applied = r.core.Status().Applied
		r.saved = r.applied
	}
	for _, entry := range e.Committed {
		r.apply(entry)
	}
	for _, read := range e.Reads {
		c := r.reads[read.ID]
		delete(r.reads, read.ID)
		value, isSet := r.state[c.input.Key]
		c.done(simOutput{Value: value, IsSet: isSet}, !read.IsLost, false)
	}
	if e.IsLeadershipLost {
		r.fail(r.calls, true)
	}
}

func (r *simReplica) startSync() {
	if r.isSyncing || len(r.writes) == 0 {
		return
	}
	r.isSyncing = true
	writes := r.writes
	r.writes = nil
	r.at(r.between(300*time.Microsecond, 4*time.Millisecond), func() {
		r.isSyncing = false
		r.sync(writes)
		if r.isUp {
			r.startSync()
		}
	})
}

func (r *simReplica) sync(writes []*consensus.Write) {
	if !r.isFaultless && r.random.IntN(400) == 0 {
		r.schedulePowerLoss()
	}
	for _, w := range writes {
		if err := r.storage.Write(w); err != nil {
			r.powerLost(err)
			return
		}
	}
	if err := r.storage.Sync(); err != nil {
		r.powerLost(err)
		return
	}
	r.core.Synced(r.now, writes[len(writes)-1].Sequence)
	r.flush()
}

// schedulePowerLoss makes the power fail at one of the next syncs.
func (r *simReplica) schedulePowerLoss() {
	r.disk.isFailing = true
	if r.setup.hasFreezes {
		r.disk.syncsLeft = r.random.IntN(5)
	}
}

func (r *simReplica) powerLost(error) {
	r.crash()
	r.after(r.between(50*time.Millisecond, time.Second), func() { r.restart() })
}

func (r *simReplica) restart() {
	if !r.isUp {
		r.start()
	}
}

func (r *simReplica) apply(e *wire.LogEntry) {
	r.applied, r.timeMs = e.Index, e.TimeMs
	if e.Kind != wire.EntryKind_ENTRY_KIND_COMMAND {
		return
	}
	var input simInput
	_ = json.Unmarshal(e.Data, &input)
	output := step(r.state, input)
	if c := r.calls[e.Index]; c != nil && c.term == e.Term {
		delete(r.calls, e.Index)
		c.done(output, true, true)
	}
}

// step applies one operation to the state machine.
func step(state map[string]string, input simInput) simOutput {
	old, isSet := state[input.Key]
	if input.Kind == "put" || input.Kind == "cas" && old == input.Expect {
		state[input.Key] = input.Value
	}
	return simOutput{Value: old, IsSet: isSet}
}

func (r *simReplica) save() {
	if r.applied < r.saved+simSnapshotEntries || r.core.IsSendingSnapshot() {
		return
	}
	state, _ := json.Marshal(r.state)
	size, err := r.storage.SaveSnapshot(r.core.SnapshotInfoAt(r.applied), state)
	if err != nil {
		r.powerLost(err)
		return
	}
	r.saved = r.applied
	r.core.SnapshotSaved(r.applied, size)
	r.flush()
}

// submit starts an operation, and returns false when the replica does not lead.
func (r *simReplica) submit(c *call) bool {
	if r.now.Before(r.frozenUntil) {
		r.at(r.frozenUntil.Sub(r.now), func() {
			if !r.submit(c) {
				c.done(simOutput{}, false, false)
			}
		})
		return true
	}
	if c.input.Kind == "get" {
		r.nextRead++
		r.reads[r.nextRead] = c
		r.core.Read(r.now, r.nextRead)
		r.flush()
		return true
	}
	data, _ := json.Marshal(c.input)
	index, term, isAppended := r.core.Propose(r.now, [][]byte{data})
	if isAppended {
		c.term = term
		r.calls[index] = c
	}
	r.flush()
	return isAppended
}

func (r *simReplica) stateText() string {
	data, _ := json.Marshal(r.state)
	return string(bytes.TrimSpace(data))
}
