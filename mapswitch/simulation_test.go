package mapswitch_test

// This file simulates a group of fake engines with the real coordinators, participants and fencing gates, on a
// simulated clock with seeded faults. Steps run like a collective operation of the engines: a step ends for a rank
// when all members of its layout have begun the step with the same list of members.

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/mapswitch"
)

const group = "drafts"

var errLost = errors.New("no answer")

type (
	event struct {
		at    time.Time
		order int
		run   func()
	}
	events []event

	engine struct {
		w             *simulation
		name          string
		checksFencing bool
		isAlive       bool
		frozen        time.Time
		number        uint64
		orders        uint64
		state         mapswitch.EngineState
		layouts       map[uint64]mapswitch.Layout
		// members holds the member list of each layout as a string.
		members map[uint64]string
		next    uint64
		inStep  bool
		isHeld  bool
	}

	stepKey struct{ series, step uint64 }

	// stepRun is a step of the group: the ranks that began it, by their list of members.
	stepRun struct {
		begun map[string][]*engine
		maps  map[string][]mapswitch.MapReference
		ended mapswitch.MapReference
	}

	sidecar struct {
		w       *simulation
		isAlive bool
		ranks   map[string]*rank
	}

	rank struct {
		participant *mapswitch.Participant
		gate        *fencing.Gate
		isBusy      bool
	}

	leader struct {
		w             *simulation
		coordinator   *mapswitch.Coordinator
		term          uint64
		isAlive       bool
		isPartitioned bool
		applied       int
		frozen        time.Time
	}

	simulation struct {
		rng         *rand.Rand
		overrides   mapswitch.TestOverrides
		options     mapswitch.Options
		now         time.Time
		queue       events
		count       int
		delay       time.Duration
		stepTime    time.Duration
		isFaulty    bool
		ranks       int
		engines     []*engine
		sidecars    []*sidecar
		leaders     []*leader
		log         []mapswitch.Record
		state       mapswitch.State
		term        uint64
		version     uint64
		stepRuns    map[stepKey]*stepRun
		endedSteps  uint64
		heldSteps   int
		results     []mapswitch.Result
		violation   string
		dropMessage func(kind string) bool
		// logDelay delays every proposal to the log.
		logDelay time.Duration
		// isOrderDelaySet makes the next run or release order reach its engine late, after a restart of the sidecar.
		isOrderDelaySet bool
	}
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(seed uint64, ranks, spares int, overrides mapswitch.TestOverrides) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), overrides: overrides, now: time.Unix(1000, 0), delay: time.Millisecond,
		stepTime: 4 * time.Millisecond, ranks: ranks, stepRuns: map[stepKey]*stepRun{},
		dropMessage: func(string) bool { return false },
		options:     mapswitch.Options{Group: group, ArmTimeout: time.Second, PrepareTimeout: 3 * time.Second},
	}
	for n := range ranks + spares {
		e := &engine{w: w, name: fmt.Sprintf("upstream-%03d", n), checksFencing: n < 2}
		w.engines = append(w.engines, e)
		e.start()
	}
	for n := 0; n < len(w.engines); n += 2 {
		w.sidecars = append(w.sidecars, &sidecar{w: w})
		w.sidecars[n/2].start()
	}
	w.elect()
	w.tick()
	return w
}

func (w *simulation) after(d time.Duration, f func()) {
	w.count++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.count, run: f})
}

func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && w.violation == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// post delivers a message. With faults it may be lost, duplicated, delayed or reordered.
func (w *simulation) post(kind string, f func()) {
	if w.dropMessage(kind) {
		return
	}
	if !w.isFaulty {
		w.after(w.delay, f)
		return
	}
	copies := []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[w.rng.IntN(10)]
	for range copies {
		late := time.Duration(w.rng.ExpFloat64() * float64(4*time.Millisecond))
		if w.rng.IntN(20) == 0 {
			late += time.Duration(w.rng.IntN(900)) * time.Millisecond
		}
		w.after(w.delay+late, f)
	}
}

func (w *simulation) tick() {
	for _, l := range w.leaders {
		if l.isAlive && w.now.After(l.frozen) {
			l.perform(l.coordinator.Tick(w.now))
		}
	}
	for _, s := range w.sidecars {
		for _, e := range w.engines {
			if r, isHere := s.ranks[e.name]; isHere {
				s.perform(e, r, r.participant.Tick(w.now))
			}
		}
	}
	w.after(5*time.Millisecond, w.tick)
}

// --- the replicated log and its leaders

func (w *simulation) elect() *leader {
	w.term++
	options := w.options
	options.Replica = fmt.Sprintf("control-%d", w.term)
	options.Overrides = w.overrides
	if n := len(w.leaders); n > 1 {
		w.leaders[n-2].isAlive = false
	}
	l := &leader{
		w: w, term: w.term, isAlive: true,
		coordinator: mapswitch.NewCoordinator(options, mapswitch.State{}, w.term),
	}
	w.leaders = append(w.leaders, l)
	l.catchUp()
	l.perform(l.coordinator.Start(w.now))
	return l
}

func (l *leader) catchUp() {
	for l.isAlive && l.applied < len(l.w.log) {
		l.applied++
		l.perform(l.coordinator.ReceiveCommitted(l.w.log[l.applied-1], l.w.now))
	}
}

func (w *simulation) commit(r mapswitch.Record) {
	if data, err := r.Encode(); err == nil {
		r, _ = mapswitch.DecodeRecord(data)
	}
	w.log = append(w.log, r)
	w.state, _ = w.state.Apply(r)
	for _, l := range w.leaders {
		if !l.isPartitioned {
			w.post("apply", l.catchUp)
		}
	}
}

func (l *leader) perform(o mapswitch.Output) {
	for _, r := range o.Propose {
		if !l.isPartitioned {
			l.w.after(l.w.logDelay, func() { l.w.post("propose", func() { l.w.commit(r) }) })
		}
	}
	for _, e := range o.Send {
		l.w.post(kindOf(e.Instruction), func() { l.w.deliver(e) })
	}
	l.w.results = append(l.w.results, o.Results...)
}

// kindOf returns the kind of an instruction, by which a benchmark chooses the message to lose.
func kindOf(i mapswitch.Instruction) string {
	if i.Arm.Sequence != 0 {
		return "arm"
	}
	return "instruction"
}

func (w *simulation) deliver(e mapswitch.Envelope) {
	i, err := mapswitch.InstructionFromWire(e.Instruction.ToWire())
	if err != nil {
		panic(err)
	}
	for _, s := range w.sidecars {
		if r, isHere := s.ranks[e.To.Name]; isHere {
			s.perform(w.engine(e.To.Name), r, r.participant.Receive(i, w.now))
		}
	}
}

// --- sidecars

func (s *sidecar) start() {
	s.isAlive = true
	s.ranks = map[string]*rank{}
	n := slices.Index(s.w.sidecars, s)
	for at, e := range s.w.engines[2*n : min(2*n+2, len(s.w.engines))] {
		p := mapswitch.NewParticipant(group, 2*n+at, e.name)
		p.Overrides = s.w.overrides
		g := fencing.NewGate(e.checksFencing)
		g.SkipReadBack = s.w.overrides.NoReadBack
		g.RaiseTerm(1)
		r := &rank{participant: p, gate: g}
		s.ranks[e.name] = r
		s.perform(e, r, p.Start(s.w.now))
	}
}

func (s *sidecar) perform(e *engine, r *rank, a mapswitch.Action) {
	if a.Status != nil {
		s.report(*a.Status)
	}
	if r.isBusy || (a.Order == nil && !a.Read) {
		return
	}
	r.isBusy = true
	order := fencing.Order{Lane: "map", IsRead: a.Read}
	if a.Order != nil {
		order.Kind, order.Token = string(a.Order.Kind), a.Order.Token
	}
	s.step(e, r, a.Order, r.gate.Begin(order))
}

// step performs one step of the gate. An answer is dropped if the sidecar has restarted in the meantime.
func (s *sidecar) step(e *engine, r *rank, order *mapswitch.Order, step fencing.Step) {
	if step.Result != 0 {
		s.end(e, r, step)
		return
	}
	isCurrent := func() bool { return s.ranks[e.name] == r }
	if step.Wait > 0 {
		s.w.after(step.Wait, func() {
			if isCurrent() {
				s.step(e, r, order, r.gate.Wake())
			}
		})
		return
	}
	s.w.after(s.orderDelay(e, order), func() {
		report, err := e.handleCommand(step.Command, order)
		s.w.after(s.localDelay(), func() {
			if isCurrent() {
				s.step(e, r, order, r.gate.Reply(report, err))
			}
		})
	})
}

func (s *sidecar) end(e *engine, r *rank, step fencing.Step) {
	r.isBusy = false
	if step.Result != fencing.Done {
		r.participant.EngineFailed(s.w.now)
		return
	}
	s.perform(e, r, r.participant.ReceiveEngineState(decodeState(step.Report.State), s.w.now))
}

func (s *sidecar) orderDelay(e *engine, order *mapswitch.Order) time.Duration {
	if !s.w.isOrderDelaySet || e.checksFencing || order == nil ||
		(order.Kind != mapswitch.RunLayout && order.Kind != mapswitch.ReleaseHold) {
		return s.localDelay()
	}
	s.w.isOrderDelaySet = false
	s.ranks = map[string]*rank{}
	s.w.after(time.Millisecond, s.start)
	return 150*time.Millisecond + s.w.randomMillis(140)
}

// localDelay returns the delay between a sidecar and its engine.
func (s *sidecar) localDelay() time.Duration {
	if s.w.isFaulty && s.w.rng.IntN(12) == 0 {
		return s.w.randomMillis(120)
	}
	return 100 * time.Microsecond
}

func (s *sidecar) report(status mapswitch.Status) {
	decoded, err := mapswitch.StatusFromWire(status.ToWire())
	if err != nil {
		panic(err)
	}
	for _, l := range s.w.leaders {
		s.w.post("status", func() {
			if l.isAlive && s.w.now.After(l.frozen) {
				l.perform(l.coordinator.Receive(decoded, s.w.now))
			}
		})
	}
}

// --- engines

func (w *simulation) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (e *engine) start() {
	e.isAlive = true
	e.state = mapswitch.EngineState{Incarnation: e.state.Incarnation + 1}
	e.members = map[uint64]string{}
	e.layouts, e.next, e.inStep, e.number, e.orders = map[uint64]mapswitch.Layout{}, 0, false, 0, 0
}

func (e *engine) handleCommand(c *fencing.Command, order *mapswitch.Order) (fencing.Report, error) {
	if !e.isAlive || e.w.now.Before(e.frozen) {
		return fencing.Report{}, errLost
	}
	if c != nil && e.checksFencing {
		if c.Number < e.number {
			return fencing.Report{}, errLost
		}
		e.number = c.Number
	}
	if c != nil && c.Order.Kind != "" {
		e.orders++
		e.execute(*order)
	}
	return fencing.Report{Number: e.number, Digest: e.orders, State: encodeState(e.state)}, nil
}

// execute carries out an order without checking whether it fits the state, like an engine without fencing.
func (e *engine) execute(o mapswitch.Order) {
	switch o.Kind {
	case mapswitch.LoadWeights:
		e.state.Weights = append(slices.Clone(e.state.Weights), o.Map.MapReference)
	case mapswitch.HoldStep:
		e.state.Hold = o.Hold
	case mapswitch.RunLayout:
		e.run(o.Layout)
	case mapswitch.ReleaseHold:
		e.state.Hold = mapswitch.Hold{}
	case mapswitch.Retire:
		e.state.Layout, e.state.Pending, e.state.Hold, e.inStep = 0, 0, mapswitch.Hold{}, false
	}
	e.begin()
}

func (e *engine) run(l mapswitch.Layout) {
	e.layouts[l.Sequence] = l
	e.members[l.Sequence] = fmt.Sprint(l.Members)
	e.state.Pending = l.Sequence
	e.state.Hold = mapswitch.Hold{}
	if (l.Stalled || e.state.Layout == 0) && e.next < l.Step {
		e.next = l.Step
		e.inStep = false
	}
}

// begin begins the next step unless the engine holds or has no layout.
func (e *engine) begin() {
	if !e.isAlive || e.inStep {
		return
	}
	if e.state.Pending != 0 && e.next >= e.layouts[e.state.Pending].Step {
		e.state.Layout, e.state.Pending = e.state.Pending, 0
	}
	if e.state.Layout == 0 {
		return
	}
	if e.state.Hold.Sequence != 0 && e.next >= e.state.Hold.Step {
		if !e.isHeld {
			e.w.heldSteps++
		}
		e.isHeld = true
		return
	}
	e.isHeld = false
	e.inStep = true
	e.state.Step = e.next
	e.w.beginStep(e, e.layouts[e.state.Layout])
}

// beginStep records that a rank began a step, and ends the step when all members of its list have begun it. It records
// a violation if members used different maps.
func (w *simulation) beginStep(e *engine, l mapswitch.Layout) {
	step := e.next
	at := stepKey{series: l.Series, step: step}
	r := w.stepRuns[at]
	if r == nil {
		r = &stepRun{begun: map[string][]*engine{}, maps: map[string][]mapswitch.MapReference{}}
		w.stepRuns[at] = r
	}
	key := e.members[l.Sequence]
	r.begun[key] = append(r.begun[key], e)
	r.maps[key] = append(r.maps[key], l.Map)
	if len(r.begun[key]) < len(l.Members) {
		return
	}
	if len(slices.Compact(slices.Clone(r.maps[key]))) > 1 || (r.ended.Version != 0 && r.ended != l.Map) {
		w.violation = fmt.Sprintf("step %d ran on maps %v and %v", step, r.maps[key], r.ended)
	}
	r.ended = l.Map
	w.endedSteps++
	for _, m := range r.begun[key] {
		incarnation := m.state.Incarnation
		w.after(w.stepDuration(m), func() {
			if m.inStep && m.state.Step == step && m.state.Incarnation == incarnation {
				m.inStep = false
				m.next = step + 1
				m.begin()
			}
		})
	}
}

// stepDuration returns the duration of a step on a rank. A frozen rank finishes only after it resumes.
func (w *simulation) stepDuration(e *engine) time.Duration {
	if w.now.Before(e.frozen) {
		return e.frozen.Sub(w.now) + w.stepTime
	}
	return w.stepTime
}

// --- requests

func (w *simulation) candidates() []mapswitch.Candidate {
	var present []mapswitch.Candidate
	for _, e := range w.engines {
		if e.isAlive {
			present = append(present, mapswitch.Candidate{Name: e.name, Incarnation: e.state.Incarnation})
		}
	}
	return present
}

// request requests a switch to a new map from every leader that is alive, with the available engines as members.
func (w *simulation) request() {
	assignment := mapswitch.AssignRanks(w.state.InForce, w.ranks, w.candidates())
	if len(assignment.Vacant) > 0 {
		return
	}
	for _, l := range w.leaders {
		if !l.isAlive {
			continue
		}
		w.version++
		l.perform(l.coordinator.Request(mapswitch.Switch{
			ChangeID: fmt.Sprintf("change-%d", w.version), Members: assignment.Members, Stalled: assignment.IsStalled,
			Map: mapswitch.NewMap(w.version, fmt.Appendf(nil, "placement %d", w.version)),
		}, w.now))
	}
}

func encodeState(s mapswitch.EngineState) []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeState(data []byte) mapswitch.EngineState {
	var s mapswitch.EngineState
	if err := json.Unmarshal(data, &s); err != nil {
		panic(err)
	}
	return s
}
