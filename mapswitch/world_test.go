package mapswitch_test

// A group of small fake engines under the real coordinators, participants and gates, on a simulated clock with
// seeded faults. Steps are counted as the engines' collective would run them: a step ends for a rank when all
// members of its layout have begun it with the same list of members.

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
		w       *world
		name    string
		checks  bool
		isAlive bool
		frozen  time.Time
		number  uint64
		orders  uint64
		state   mapswitch.EngineState
		layouts map[uint64]mapswitch.Layout
		// members are the lists of members of the layouts, as one text.
		members map[uint64]string
		next    uint64
		inStep  bool
		waited  bool
	}

	stepKey struct{ series, step uint64 }

	// run is one step of the group: the ranks that began it, by their list of members.
	run struct {
		begun map[string][]*engine
		maps  map[string][]mapswitch.MapReference
		ended mapswitch.MapReference
	}

	sidecar struct {
		w       *world
		isAlive bool
		ranks   map[string]*rank
	}

	rank struct {
		participant *mapswitch.Participant
		gate        *fencing.Gate
		isBusy      bool
	}

	leader struct {
		w           *world
		coordinator *mapswitch.Coordinator
		term        uint64
		isAlive     bool
		isCut       bool
		applied     int
		frozen      time.Time
	}

	world struct {
		rng      *rand.Rand
		seams    mapswitch.TestOverrides
		options  mapswitch.Options
		now      time.Time
		queue    events
		count    int
		delay    time.Duration
		stepTime time.Duration
		isFaulty bool
		ranks    int
		engines  []*engine
		sidecars []*sidecar
		leaders  []*leader
		log      []mapswitch.Record
		state    mapswitch.State
		term     uint64
		version  uint64
		runs     map[stepKey]*run
		ended    uint64
		waits    int
		results  []mapswitch.Result
		split    string
		lose     func(kind string) bool
		// logDelay is added to every commit.
		logDelay time.Duration
		// isTrapSet makes the next order reach its engine late, after a restart of the sidecar.
		isTrapSet bool
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

func newWorld(seed uint64, ranks, spares int, seams mapswitch.TestOverrides) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), seams: seams, now: time.Unix(1000, 0), delay: time.Millisecond,
		stepTime: 4 * time.Millisecond, ranks: ranks, runs: map[stepKey]*run{}, lose: func(string) bool { return false },
		options: mapswitch.Options{Group: group, ArmTimeout: time.Second, PrepareTimeout: 3 * time.Second},
	}
	for n := range ranks + spares {
		e := &engine{w: w, name: fmt.Sprintf("upstream-%03d", n), checks: n < 2}
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

func (w *world) after(d time.Duration, f func()) {
	w.count++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.count, run: f})
}

func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && w.split == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// post carries a message: with faults it may be lost, doubled, late or overtaken.
func (w *world) post(kind string, f func()) {
	if w.lose(kind) {
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

func (w *world) tick() {
	for _, l := range w.leaders {
		if l.isAlive && w.now.After(l.frozen) {
			l.perform(l.coordinator.Tick(w.now))
		}
	}
	for _, s := range w.sidecars {
		for _, e := range w.engines {
			if r, isHere := s.ranks[e.name]; isHere {
				s.act(e, r, r.participant.Tick(w.now))
			}
		}
	}
	w.after(5*time.Millisecond, w.tick)
}

// --- the replicated log and its leaders

func (w *world) elect() *leader {
	w.term++
	options := w.options
	options.Replica = fmt.Sprintf("control-%d", w.term)
	options.Overrides = w.seams
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

func (w *world) commit(r mapswitch.Record) {
	if data, err := r.Encode(); err == nil {
		r, _ = mapswitch.DecodeRecord(data)
	}
	w.log = append(w.log, r)
	w.state, _ = w.state.Apply(r)
	for _, l := range w.leaders {
		if !l.isCut {
			w.post("apply", l.catchUp)
		}
	}
}

func (l *leader) perform(o mapswitch.Output) {
	for _, r := range o.Propose {
		if !l.isCut {
			l.w.after(l.w.logDelay, func() { l.w.post("propose", func() { l.w.commit(r) }) })
		}
	}
	for _, e := range o.Send {
		l.w.post(kindOf(e.Instruction), func() { l.w.deliver(e) })
	}
	l.w.results = append(l.w.results, o.Results...)
}

// kindOf names an instruction for the faults of the benchmark.
func kindOf(i mapswitch.Instruction) string {
	if i.Arm.Sequence != 0 {
		return "arm"
	}
	return "instruction"
}

func (w *world) deliver(e mapswitch.Envelope) {
	i, err := mapswitch.InstructionFromWire(e.Instruction.ToWire())
	if err != nil {
		panic(err)
	}
	for _, s := range w.sidecars {
		if r, isHere := s.ranks[e.To.Name]; isHere {
			s.act(w.engine(e.To.Name), r, r.participant.Receive(i, w.now))
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
		p.Overrides = s.w.seams
		g := fencing.NewGate(e.checks)
		g.SkipReadBack = s.w.seams.NoReadBack
		g.RaiseTerm(1)
		r := &rank{participant: p, gate: g}
		s.ranks[e.name] = r
		s.act(e, r, p.Start(s.w.now))
	}
}

func (s *sidecar) act(e *engine, r *rank, a mapswitch.Action) {
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

// step performs one step of the gate; the sidecar may be gone when the engine answers.
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
		report, err := e.take(step.Command, order)
		s.w.after(s.local(), func() {
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
	s.act(e, r, r.participant.ReceiveEngineState(decodeState(step.Report.State), s.w.now))
}

func (s *sidecar) orderDelay(e *engine, order *mapswitch.Order) time.Duration {
	if !s.w.isTrapSet || e.checks || order == nil || (order.Kind != mapswitch.RunLayout && order.Kind != mapswitch.ReleaseHold) {
		return s.local()
	}
	s.w.isTrapSet = false
	s.ranks = map[string]*rank{}
	s.w.after(time.Millisecond, s.start)
	return 150*time.Millisecond + s.w.upTo(140)
}

// local is the delay between a sidecar and its engine.
func (s *sidecar) local() time.Duration {
	if s.w.isFaulty && s.w.rng.IntN(12) == 0 {
		return s.w.upTo(120)
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

func (w *world) engine(name string) *engine {
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

func (e *engine) take(c *fencing.Command, order *mapswitch.Order) (fencing.Report, error) {
	if !e.isAlive || e.w.now.Before(e.frozen) {
		return fencing.Report{}, errLost
	}
	if c != nil && e.checks {
		if c.Number < e.number {
			return fencing.Report{}, errLost
		}
		e.number = c.Number
	}
	if c != nil && c.Order.Kind != "" {
		e.orders++
		e.obey(*order)
	}
	return fencing.Report{Number: e.number, Digest: e.orders, State: encodeState(e.state)}, nil
}

// obey carries an order out without asking whether it fits, as an engine that ignores numbers does.
func (e *engine) obey(o mapswitch.Order) {
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

// begin begins the next step unless a hold or the lack of a layout forbids it.
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
		if !e.waited {
			e.w.waits++
		}
		e.waited = true
		return
	}
	e.waited = false
	e.inStep = true
	e.state.Step = e.next
	e.w.begun(e, e.layouts[e.state.Layout])
}

// begun notes that a rank began a step and ends the step when all members of its list have begun it.
func (w *world) begun(e *engine, l mapswitch.Layout) {
	step := e.next
	at := stepKey{series: l.Series, step: step}
	r := w.runs[at]
	if r == nil {
		r = &run{begun: map[string][]*engine{}, maps: map[string][]mapswitch.MapReference{}}
		w.runs[at] = r
	}
	key := e.members[l.Sequence]
	r.begun[key] = append(r.begun[key], e)
	r.maps[key] = append(r.maps[key], l.Map)
	if len(r.begun[key]) < len(l.Members) {
		return
	}
	if len(slices.Compact(slices.Clone(r.maps[key]))) > 1 || (r.ended.Version != 0 && r.ended != l.Map) {
		w.split = fmt.Sprintf("step %d ran on maps %v and %v", step, r.maps[key], r.ended)
	}
	r.ended = l.Map
	w.ended++
	for _, m := range r.begun[key] {
		incarnation := m.state.Incarnation
		w.after(w.pause(m), func() {
			if m.inStep && m.state.Step == step && m.state.Incarnation == incarnation {
				m.inStep = false
				m.next = step + 1
				m.begin()
			}
		})
	}
}

// pause is the time of a step on a rank; a frozen rank ends it late.
func (w *world) pause(e *engine) time.Duration {
	if w.now.Before(e.frozen) {
		return e.frozen.Sub(w.now) + w.stepTime
	}
	return w.stepTime
}

// --- requests

func (w *world) present() []mapswitch.Candidate {
	var present []mapswitch.Candidate
	for _, e := range w.engines {
		if e.isAlive {
			present = append(present, mapswitch.Candidate{Name: e.name, Incarnation: e.state.Incarnation})
		}
	}
	return present
}

// request asks every leader for a new map over the engines that are present.
func (w *world) request() {
	seating := mapswitch.AssignRanks(w.state.InForce, w.ranks, w.present())
	if len(seating.Vacant) > 0 {
		return
	}
	for _, l := range w.leaders {
		if !l.isAlive {
			continue
		}
		w.version++
		l.perform(l.coordinator.Request(mapswitch.Switch{
			ChangeID: fmt.Sprintf("change-%d", w.version), Members: seating.Members, Stalled: seating.IsStalled,
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
