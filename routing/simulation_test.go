package routing_test

// simulation_test.go simulates in virtual time: upstreams with continuous batching and a prefix cache, entries with
// one picker each, and organisations with unequal demand. Tests and benchmarks use it to compare policies.

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"guavahitch.example/guavahitch/fairness"
	"guavahitch.example/guavahitch/retry"
	"guavahitch.example/guavahitch/routing"
	"guavahitch.example/guavahitch/wire"
)

const (
	modelUpstreams     = 12
	modelEntries       = 4
	modelSlots         = 16
	modelQueue         = 8 // calls that a sidecar queues beyond the slots before it refuses
	stepBase           = 15 * time.Millisecond
	stepPerRequest     = 600 * time.Microsecond
	prefillToken       = 80 * time.Microsecond
	prefillChunk       = 512
	cacheBlocks        = 1500 // holds the templates of all organisations
	smallCacheBlocks   = 200  // holds the templates of half of the organisations
	reportEvery        = 100 * time.Millisecond
	reportLag          = 500 * time.Millisecond
	lostEventShare     = 0.02 // share of the prefix cache events that reach no entry
	network            = time.Millisecond
	callerPatience     = 30 * time.Second
	slowFactor         = 2.0
	warmUp             = 20 * time.Second
	modelLength        = 140 * time.Second
	stallFrom          = 50 * time.Second
	stallUntil         = 100 * time.Second
	stallFactor        = 8.0
	lossAt             = 60 * time.Second
	lossDetectionDelay = time.Second // from the loss to the table without the lost upstreams
	lostRetryDelay     = 50 * time.Millisecond
)

// demand is each organisation's share of the offered load; all have the same weight.
var demand = []float64{0.30, 0.20, 0.12, 0.10, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02}

const (
	noFault fault = iota
	stall
	domainLoss
	smallCache
)

type (
	// block is one use of a cached block.
	block struct {
		hash uint64
		used int
	}

	// fault is the failure that a run simulates.
	fault int

	event struct {
		at  time.Duration
		seq int
		run func()
	}
	eventHeap []event

	call struct {
		organisation   int
		weight         float64
		prompt, output int
		hashes         []uint64
		arrivedAt      time.Duration
		prefilled      int
		done           int
		finished       bool
		onToken        func()
		onEnd          func()
		onCancel       func()
		onRefused      func() // nil when the upstream must queue the call
		onLost         func() // called when the upstream fails
		started        bool
	}

	engine struct {
		m        *model
		id       int
		slow     float64
		queue    []*call
		running  []*call
		stepping bool
		step     time.Duration
		cached   map[uint64]int
		clock    int
		reports  uint64
		events   uint64 // prefix cache events so far
		order    []block
		accepted int
		failed   bool
	}

	model struct {
		now         time.Duration
		seq         int
		events      eventHeap
		random      *rand.Rand // draws arrivals and calls, which are the same for all policies
		choices     *rand.Rand // draws the choices of policies and the lost events
		engines     []*engine
		entries     []*entry
		stalls      bool
		cacheBlocks int
		times       []float64
		firsts      []float64
		idleTimes   []float64 // times of the same calls, each alone on an idle upstream
		answered    []float64
		offered     []float64
	}

	// policy is a way to route calls: start initialises an entry, arrive handles a new call.
	policy struct {
		name   string
		fleet  int // number of entries; zero stands for modelEntries
		start  func(e *entry)
		arrive func(e *entry, c *call)
	}

	entry struct {
		m                   *model
		id                  int
		policy              policy
		reported            []int
		picker              *routing.Picker
		queue               *fairness.Queue
		settings            routing.Settings
		pumping             bool
		budget              *retry.Budget
		table               routing.Table
		hasSingleQueue      bool // one queue for all organisations
		ignoresOtherEntries bool // the picker does not know the number of entries
	}
)

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newModel(seed uint64) *model {
	m := &model{cacheBlocks: cacheBlocks, random: rand.New(rand.NewPCG(seed, 1)), choices: rand.New(rand.NewPCG(seed, 2)), answered: make([]float64, len(demand)), offered: make([]float64, len(demand))}
	for n := range modelUpstreams {
		e := &engine{m: m, id: n, slow: 1, cached: map[uint64]int{}}
		if n == 0 {
			e.slow = slowFactor
		}
		m.engines = append(m.engines, e)
	}
	return m
}

func (p policy) entries() int {
	if p.fleet > 0 {
		return p.fleet
	}
	return modelEntries
}

func (m *model) time() time.Time { return start.Add(m.now) }

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now + d, seq: m.seq, run: run})
}

func (m *model) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

// newCall draws a call: a prompt that begins with one of the organisation's templates, and an answer with a
// log-normal length.
func (m *model) newCall() *call {
	c := &call{arrivedAt: m.now, weight: 1}
	for u := m.random.Float64(); c.organisation < len(demand)-1 && u >= demand[c.organisation]; c.organisation++ {
		u -= demand[c.organisation]
	}
	if m.random.Float64() < 0.3 {
		c.weight = 3
	}
	template := m.random.IntN(4)
	shared := 6 + 2*template
	own := int(math.Exp(m.random.NormFloat64()*0.8+5.3)) + 1
	c.prompt = shared*routing.BlockTokens + min(own, 2000)
	c.output = min(int(math.Exp(m.random.NormFloat64()*0.9+4.2))+1, 600)
	hash := uint64(c.organisation*100+template) << 32
	for n := range c.prompt / routing.BlockTokens {
		hash = hash*0x9e3779b97f4a7c15 + uint64(n) + 1
		if n >= shared {
			hash ^= m.random.Uint64()
		}
		c.hashes = append(c.hashes, hash)
	}
	return c
}

func (g *engine) accept(c *call) {
	if g.failed {
		g.m.after(network, c.onLost)
		return
	}
	if c.onRefused != nil && len(g.running)+len(g.queue) >= modelSlots+modelQueue {
		g.m.after(network, c.onRefused)
		return
	}
	g.accepted++
	g.queue = append(g.queue, c)
	if !g.stepping {
		g.stepping = true
		g.next()
	}
}

// next admits calls to the batch and runs one step.
func (g *engine) next() {
	for len(g.running) < modelSlots && len(g.queue) > 0 {
		c := g.queue[0]
		g.queue = g.queue[1:]
		if c.finished {
			continue
		}
		c.prefilled = g.lookup(c)
		g.running = append(g.running, c)
	}
	if len(g.running) == 0 {
		g.stepping = false
		return
	}
	budget := prefillChunk
	for _, c := range g.running {
		chunk := min(budget, c.prompt-c.prefilled)
		c.prefilled += chunk
		budget -= chunk
	}
	batch := stepBase + stepPerRequest*time.Duration(len(g.running)) + prefillToken*time.Duration(prefillChunk-budget)
	g.step = time.Duration(float64(batch) * g.slowness())
	g.m.after(g.step, g.finishStep)
}

// slowness returns the factor on the step time. In a stall run, one upstream is slower for a while.
func (g *engine) slowness() float64 {
	if g.m.stalls && g.id == 1 && g.m.now > stallFrom && g.m.now < stallUntil {
		return stallFactor
	}
	return g.slow
}

// fail loses all calls that run or wait at the upstream.
func (g *engine) fail() {
	g.failed = true
	for _, c := range append(g.running, g.queue...) {
		if !c.finished {
			c.done, c.prefilled = 0, 0
			g.m.after(network, c.onLost)
		}
	}
	g.running, g.queue = nil, nil
}

func (g *engine) finishStep() {
	if g.failed {
		return
	}
	kept := g.running[:0]
	for _, c := range g.running {
		if c.finished {
			continue
		}
		if c.prefilled >= c.prompt {
			c.done++
			c.onToken()
		}
		if c.done >= c.output {
			c.finished = true
			g.m.after(network, c.onEnd)
			continue
		}
		kept = append(kept, c)
	}
	g.running = kept
	g.next()
}

// lookup returns the number of cached prompt tokens and stores the prompt's blocks. The least recently used blocks
// are evicted.
func (g *engine) lookup(c *call) int {
	g.events++
	change := routing.PrefixEvent{Upstream: upstreamName(g.id), Epoch: 1, Sequence: g.events}
	hits := 0
	for n, h := range c.hashes {
		g.clock++
		if _, ok := g.cached[h]; !ok {
			change.Stored = append(change.Stored, h)
		} else if hits == n {
			hits++
		}
		g.cached[h] = g.clock
		g.order = append(g.order, block{hash: h, used: g.clock})
	}
	for len(g.cached) > g.m.cacheBlocks {
		oldest := g.order[0]
		g.order = g.order[1:]
		if g.cached[oldest.hash] == oldest.used {
			delete(g.cached, oldest.hash)
			change.Removed = append(change.Removed, oldest.hash)
		}
	}
	if g.m.choices.Float64() > lostEventShare {
		g.m.after(reportLag, func() { g.m.publish(change) })
	}
	return min(hits*routing.BlockTokens, c.prompt-1)
}

// publish delivers a prefix cache event to all entries.
func (m *model) publish(change routing.PrefixEvent) {
	for _, e := range m.entries {
		if e.picker != nil {
			e.picker.ObservePrefix(change)
		}
	}
}

func (g *engine) report() {
	if g.failed {
		return
	}
	g.reports++
	load := &wire.Load{
		Running: int32(len(g.running)), Queued: int32(len(g.queue)), Capacity: modelSlots,
		StepUs: g.step.Microseconds(), Sequence: g.reports,
	}
	sampled := g.m.time()
	g.m.after(reportLag, func() {
		for _, e := range g.m.entries {
			e.reported[g.id] = int(load.Running + load.Queued)
			if e.picker != nil {
				e.picker.Observe(sampled, upstreamName(g.id), 1, load)
			}
		}
	})
	g.m.after(reportEvery, g.report)
}

func upstreamName(id int) string { return fmt.Sprintf("upstream-%02d", id) }

// send dispatches a call to an upstream. The caller cancels it after callerPatience.
func (m *model) send(c *call, to int, onFirst, onToken, onEnd func()) {
	c.onToken = func() {
		if c.done == 1 {
			onFirst()
			if c.arrivedAt > warmUp && !c.started {
				c.started = true
				m.firsts = append(m.firsts, float64(m.now-c.arrivedAt)/1e6)
			}
			return
		}
		onToken()
	}
	c.onEnd = func() {
		onEnd()
		if c.arrivedAt > warmUp {
			m.times = append(m.times, float64(m.now-c.arrivedAt)/1e6)
			m.idleTimes = append(m.idleTimes, float64(time.Duration(c.output)*(stepBase+stepPerRequest))/1e6)
			m.answered[c.organisation] += c.weight
		}
	}
	m.after(network, func() { m.engines[to].accept(c) })
	again := c.onCancel != nil
	c.onCancel = onEnd
	if again {
		return
	}
	m.after(c.arrivedAt+callerPatience-m.now, func() {
		if !c.finished {
			c.finished = true
			c.onCancel()
		}
	})
}

// offer schedules calls at exponential intervals, at the given rate in calls per second.
func (m *model) offer(rate float64) {
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		c := m.newCall()
		if m.now < modelLength {
			m.offer(rate)
		}
		if m.now > warmUp {
			m.offered[c.organisation] += c.weight
		}
		e := m.entries[m.random.IntN(len(m.entries))]
		e.policy.arrive(e, c)
	})
}

// measureCapacity returns the calls per second that the upstreams answer while every batch is full.
func measureCapacity(seed uint64) float64 {
	m := newModel(seed)
	answered := 0
	var refill func(g *engine)
	refill = func(g *engine) {
		c := m.newCall()
		c.onToken = func() {}
		c.onEnd = func() {
			if m.now > warmUp {
				answered++
			}
			refill(g)
		}
		g.accept(c)
	}
	for _, g := range m.engines {
		for range modelSlots + 2 {
			refill(g)
		}
	}
	m.run(modelLength)
	return float64(answered) / (modelLength - warmUp).Seconds()
}

// simulate runs a policy at a load relative to the capacity perSecond, in calls per second.
func simulate(p policy, seed uint64, load, perSecond float64, f fault) *model {
	m := newModel(seed)
	m.stalls = f == stall
	if f == smallCache {
		m.cacheBlocks = smallCacheBlocks
	}
	if f == domainLoss {
		m.loseDomain()
	}
	for n := range p.entries() {
		e := &entry{m: m, id: n, policy: p, reported: make([]int, modelUpstreams)}
		m.entries = append(m.entries, e)
		p.start(e)
	}
	for _, g := range m.engines {
		g.report()
	}
	m.offer(load * perSecond)
	m.run(modelLength + callerPatience)
	return m
}

// loseDomain fails a third of the upstreams, and removes them from the entries' tables after lossDetectionDelay.
func (m *model) loseDomain() {
	m.after(lossAt, func() {
		for n := 0; n < modelUpstreams; n += 3 {
			m.engines[n].fail()
		}
	})
	m.after(lossAt+lossDetectionDelay, func() {
		for _, e := range m.entries {
			for n := 0; n < modelUpstreams; n += 3 {
				e.reported[n] = math.MaxInt
				e.table = e.table.Without(upstreamName(n))
			}
			if e.picker != nil {
				e.picker.Use(e.table)
			}
		}
	})
}

// immediate is a policy that sends each call at once to the upstream that choose returns.
func immediate(name string, choose func(e *entry) int) policy {
	nothing := func() {}
	return policy{name: name, start: func(*entry) {}, arrive: func(e *entry, c *call) {
		c.onLost = func() { e.m.after(lostRetryDelay, func() { e.policy.arrive(e, c) }) }
		e.m.send(c, choose(e), nothing, nothing, nothing)
	}}
}

func baselines() []policy {
	return []policy{
		immediate("random", func(e *entry) int { return e.m.choices.IntN(modelUpstreams) }),
		immediate("least-reported", func(e *entry) int {
			best := e.m.choices.IntN(modelUpstreams)
			for n := range e.reported {
				if e.reported[n] < e.reported[best] {
					best = n
				}
			}
			return best
		}),
		immediate("power-of-two", func(e *entry) int {
			a, b := e.m.choices.IntN(modelUpstreams), e.m.choices.IntN(modelUpstreams)
			if e.reported[b] < e.reported[a] {
				return b
			}
			return a
		}),
	}
}

// guavahitch is the policy of this package with fair admission; adjust changes an entry before its picker is created.
func guavahitch(name string, adjust func(e *entry)) policy {
	return policy{
		name: name,
		start: func(e *entry) {
			e.settings = routing.Settings{
				Entry: fmt.Sprintf("entry-%d", e.id), Seed: uint64(e.id), OnCapacityFreed: e.schedulePump,
			}
			adjust(e)
			e.picker = routing.NewPicker(e.settings)
			e.queue = fairness.NewQueue(fairness.Settings{})
			table := routing.Table{}
			if !e.ignoresOtherEntries {
				table = table.WithEntries(e.policy.entries())
			}
			for n := range modelUpstreams {
				table = table.With(routing.Upstream{Name: upstreamName(n), Services: []string{"match"}, Capacity: modelSlots, Epoch: 1})
			}
			e.table = table
			e.picker.Use(table)
			e.budget = retry.NewBudget(0.1, 5, 100)
		},
		arrive: func(e *entry, c *call) {
			t := &fairness.Ticket{
				Organisation: fmt.Sprint(c.organisation), Weight: c.weight, Cost: float64(c.prompt)/10 + meanOutput,
				LatestStart: start.Add(c.arrivedAt + callerPatience - expectedRun), Value: c,
			}
			if e.hasSingleQueue {
				t.Organisation = "all"
			}
			e.budget.RecordFirstAttempt(e.m.time())
			e.queue.Push(e.m.time(), t)
			e.pump()
		},
	}
}

const (
	meanOutput  = 100
	expectedRun = 15 * time.Second
)

// schedulePump runs pump after the current event, because the picker calls it in the middle of its own work.
func (e *entry) schedulePump() {
	if !e.pumping {
		e.pumping = true
		e.m.after(0, e.pump)
	}
}

func (e *entry) pump() {
	e.pumping = false
	e.queue.TakeDropped(e.m.time())
	for e.queue.Head() != nil {
		c := e.queue.Head().Value.(*call)
		choice, refused := e.picker.Pick(e.m.time(), routing.Request{
			Service: "match", PromptTokens: c.prompt, OutputTokens: meanOutput, PrefixHashes: c.hashes,
			Deadline: start.Add(c.arrivedAt + callerPatience),
		})
		if refused != nil {
			return
		}
		t := e.queue.Pop(e.m.time())
		c.onLost = func() {
			choice.Attempt.Failed(e.m.time())
			if e.budget.Spend(e.m.time()) {
				e.queue.Requeue(t)
			} else {
				c.finished = true
				e.queue.Release(t, 0)
			}
			e.schedulePump()
		}
		c.onRefused = func() {
			if !c.finished {
				e.queue.Requeue(t)
			}
			choice.Attempt.Refused(e.m.time())
			e.schedulePump()
		}
		var to int
		fmt.Sscanf(choice.Upstream.Name, "upstream-%d", &to)
		e.m.send(c, to,
			func() { choice.Attempt.FirstToken(e.m.time()) },
			func() { choice.Attempt.Tokens(e.m.time(), 1) },
			func() {
				e.queue.Release(t, float64(c.prompt)/10+float64(c.done))
				choice.Attempt.Ended(e.m.time())
			})
	}
}
