package consensus_test

// Real cores and real storages on disks in memory, driven by one seeded schedule in virtual time.

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
	simSegmentBytes = 16 << 10
	simSnapshotSpan = 120
)

type (
	event struct {
		at       time.Time
		sequence int
		run      func()
	}

	agenda []event

	// setup switches mechanisms off and chooses the faults.
	setup struct {
		core           consensus.Mechanisms
		isLyingDisk    bool
		isSameIdentity bool
		// strangers is the number of replicas that do not found the group.
		strangers int
		// isHarsh adds frozen replicas, and power lost between the syncs of one write.
		isHarsh bool
	}

	simulation struct {
		random   *rand.Rand
		now      time.Time
		agenda   agenda
		sequence int
		replicas []*simReplica
		blocked  map[[2]string]bool
		isCalm   bool
		setup    setup
		drawn    uint64
		err      error
		// What the schedule brought about.
		crashes, replaced, installed int
	}

	simReplica struct {
		*simulation
		id      string
		disk    *memoryDisk
		core    *consensus.Core
		storage *consensus.Storage
		// run counts starts; events of earlier runs are void.
		run       int
		isUp      bool
		isSyncing bool
		// thaw is the end of a freeze: until then nothing is handled.
		thaw    time.Time
		writes  []*consensus.Write
		state   map[string]string
		applied uint64
		saved   uint64
		wake    time.Time
		// skew is how far the replica's wall clock is ahead; timeMs is that of the last entry applied.
		skew     time.Duration
		timeMs   int64
		calls    map[uint64]*call
		reads    map[uint64]*call
		nextRead uint64
	}

	// call is a client's operation on its way.
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

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].sequence < a[j].sequence
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(e any)   { *a = append(*a, e.(event)) }
func (a *agenda) Pop() any {
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
	heap.Push(&s.agenda, event{at: s.now.Add(d), sequence: s.sequence, run: run})
}

func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// runFor lets virtual time pass.
func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.agenda) > 0 && !s.agenda[0].at.After(end) && s.err == nil {
		e := heap.Pop(&s.agenda).(event)
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
	for _, r := range s.replicas[:len(s.replicas)-s.setup.strangers] {
		members = append(members, consensus.Member{ID: r.id})
	}
	return members
}

// send carries a message with loss, duplication, delay and reordering.
func (s *simulation) send(m *wire.ReplicaMessage) {
	copies := 1
	if !s.isCalm && s.random.IntN(50) == 0 {
		copies = s.random.IntN(3)
	}
	for range copies {
		delay := s.between(200*time.Microsecond, 3*time.Millisecond)
		if !s.isCalm && s.random.IntN(100) == 0 {
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
	if s.now.Before(to.thaw) {
		to.at(to.thaw.Sub(s.now), func() { s.deliver(m) })
		return
	}
	to.core.Step(s.now, m)
	to.flush()
}

func (s *simulation) incarnation() uint64 {
	if s.setup.isSameIdentity {
		return 7
	}
	s.drawn++
	return 1000 + s.drawn
}

// start opens the replica's storage and goes on from what it holds.
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
		ID: r.id, Address: r.id, Founders: r.members(), Seed: r.random.Uint64(),
		Heartbeat: 20 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond,
		RetainedBytes: 4 << 10, IsAutoReplacing: true, Without: r.setup.core,
		Wall: func(now time.Time) time.Duration { return time.Duration(now.UnixNano()) + r.skew },
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

// crash stops the replica and loses what it had not synced.
func (r *simReplica) crash() {
	if !r.isUp {
		return
	}
	r.isUp = false
	r.run++
	r.crashes++
	r.fail(r.calls, true)
	r.fail(r.reads, false)
	r.disk.lose(r.random)
}

func (r *simReplica) fail(calls map[uint64]*call, isRun bool) {
	for _, id := range sortedKeys(calls) {
		calls[id].done(simOutput{}, false, isRun)
	}
	clear(calls)
}

// at runs f later, unless the replica was started anew meanwhile.
func (r *simReplica) at(d time.Duration, f func()) {
	run := r.run
	r.after(d, func() {
		switch {
		case r.run != run || !r.isUp:
		case r.now.Before(r.thaw):
			r.at(r.thaw.Sub(r.now), f)
		default:
			f()
		}
	})
}

func (r *simReplica) flush() {
	for isFirst := true; r.isUp && r.err == nil && (isFirst || r.core.HasMore()); isFirst = false {
		r.carryOut(r.core.Take())
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

func (r *simReplica) carryOut(e consensus.Effects) {
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
	if !r.isCalm && r.random.IntN(400) == 0 {
		r.loseAt()
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

// loseAt makes the power fail with one of the next syncs.
func (r *simReplica) loseAt() {
	r.disk.isFailing = true
	if r.setup.isHarsh {
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

// step is the state machine.
func step(state map[string]string, input simInput) simOutput {
	old, isSet := state[input.Key]
	if input.Kind == "put" || input.Kind == "cas" && old == input.Expect {
		state[input.Key] = input.Value
	}
	return simOutput{Value: old, IsSet: isSet}
}

func (r *simReplica) save() {
	if r.applied < r.saved+simSnapshotSpan || r.core.IsSendingSnapshot() {
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

// submit starts an operation and reports false when the replica does not lead.
func (r *simReplica) submit(c *call) bool {
	if r.now.Before(r.thaw) {
		r.at(r.thaw.Sub(r.now), func() {
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
