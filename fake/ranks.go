package fake

import (
	"cmp"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"guavahitch.example/guavahitch/expertmap"
	"guavahitch.example/guavahitch/fencing"
	"guavahitch.example/guavahitch/mapswitch"
	"guavahitch.example/guavahitch/ranks"
)

// ranks.go implements a fake of the engines of an expert-parallel group. The engines run every step together, each on
// the expert map of its layout, and count the tokens that their expert replicas receive. The popularity of the experts
// changes over time.

const (
	// tokensPerStep is the number of tokens that each layer processes in a step.
	tokensPerStep = 4096
	// countWindow is the duration of a counting window, the time over which an engine adds up tokens before it reports
	// them as counts.
	countWindow = time.Second
	// popularityExponent is the exponent of the Zipf distribution of expert popularity: the popularity of the n-th
	// expert is proportional to 1/n to this power.
	popularityExponent = 0.9
)

type (
	// RanksSettings describes a fake group.
	RanksSettings struct {
		// Engines is the number of engines, including spares.
		Engines int
		Shape   expertmap.Shape
		// Step is the duration of a step.
		Step time.Duration
		// Drift is the time after which the popularity moves on by one expert; 0 for never.
		Drift time.Duration
		Seed  uint64
	}

	// Ranks is a group of fake engines behind one address. An engine is identified by its slot, an index from 0.
	Ranks struct {
		settings RanksSettings
		mutex    sync.Mutex
		engines  []*rankEngine
		// byPopularity lists the experts of each layer from the most to the least popular at the start.
		byPopularity  [][]int
		startedAt     time.Time
		mixedMapSteps int
		skew          float64
		server        *http.Server
		address       string
		stopped       chan struct{}
	}

	// rankEngine is one engine of the group.
	rankEngine struct {
		state       mapswitch.EngineState
		layouts     map[uint64]mapswitch.Layout
		maps        map[mapswitch.MapReference]expertmap.Map
		tokens      map[string]fencing.Token
		counts      ranks.EngineCounts
		window      []float64
		busy        time.Duration
		windowStart time.Time
		// isRetiring is true from the order to retire until step retireAt, from which another engine has the rank.
		isRetiring bool
		retireAt   uint64
	}
)

// NewRanks returns a group that is not started.
func NewRanks(settings RanksSettings) *Ranks {
	r := &Ranks{settings: settings, stopped: make(chan struct{}), startedAt: time.Now()}
	random := rand.New(rand.NewPCG(settings.Seed, 1))
	for range settings.Engines {
		r.engines = append(r.engines, r.newEngine(random.Uint64()>>1+1))
	}
	for range settings.Shape.Layers {
		r.byPopularity = append(r.byPopularity, random.Perm(settings.Shape.Experts))
	}
	return r
}

func (r *Ranks) newEngine(incarnation uint64) *rankEngine {
	return &rankEngine{
		state: mapswitch.EngineState{Incarnation: incarnation}, layouts: map[uint64]mapswitch.Layout{},
		maps: map[mapswitch.MapReference]expertmap.Map{}, tokens: map[string]fencing.Token{},
		window: make([]float64, r.settings.Shape.Layers*r.settings.Shape.Slots), windowStart: time.Now(),
	}
}

// Start listens on the address and runs steps until Stop is called. With port 0 the operating system chooses the port.
func (r *Ranks) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ranks/{slot}", r.serve(func(e *rankEngine, _ *http.Request) any { return e.report() }))
	mux.HandleFunc("POST /ranks/{slot}", r.serve(r.execute))
	mux.HandleFunc("GET /ranks/{slot}/counts", r.serve(func(e *rankEngine, _ *http.Request) any { return e.counts }))
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	r.address = listener.Addr().String()
	go func() { _ = r.server.Serve(listener) }()
	go r.loop()
	return nil
}

// Address returns the address on which the engines listen.
func (r *Ranks) Address() string { return r.address }

// Stop ends the steps and closes the connections.
func (r *Ranks) Stop() {
	close(r.stopped)
	_ = r.server.Close()
}

// MixedMapSteps counts the times that an engine ran a step on another map than the step's layout; it must stay 0.
func (r *Ranks) MixedMapSteps() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mixedMapSteps
}

// Steps returns the last step begun, the version of the map that it ran on, and the skew of its ranks. It reads the
// state of the engine in slot 0.
func (r *Ranks) Steps() (step, version uint64, skew float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.engines[0]
	return e.state.Step, e.layouts[e.state.Layout].Map.Version, r.skew
}

// Restart restarts the engine in a slot. The engine loses its weights, layouts and holds, and gets a new incarnation.
func (r *Ranks) Restart(slot int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.engines[slot] = r.newEngine(r.engines[slot].state.Incarnation + 1)
}

// serve returns a handler that calls answer for the engine in the slot of the path and sends the result as JSON.
func (r *Ranks) serve(answer func(*rankEngine, *http.Request) any) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		slot, err := strconv.Atoi(request.PathValue("slot"))
		if err != nil || slot < 0 || slot >= len(r.engines) {
			http.NotFound(w, request)
			return
		}
		r.mutex.Lock()
		text, _ := json.Marshal(answer(r.engines[slot], request))
		r.mutex.Unlock()
		_, _ = w.Write(text)
	}
}

func (e *rankEngine) report() ranks.EngineReport {
	return ranks.EngineReport{Tokens: e.tokens, State: e.state}
}

// execute executes the order in the request and returns the resulting state of the engine.
func (r *Ranks) execute(e *rankEngine, request *http.Request) any {
	var order ranks.EngineOrder
	if json.NewDecoder(request.Body).Decode(&order) == nil {
		e.tokens[order.Lane] = order.Token
		e.apply(order.Order)
	}
	return e.report()
}

// apply changes the engine's state as the order says.
func (e *rankEngine) apply(o mapswitch.Order) {
	switch o.Kind {
	case mapswitch.LoadWeights:
		if m, err := expertmap.Decode(o.Map.Content); err == nil && !e.state.HasWeights(o.Map.MapReference) {
			e.maps[o.Map.MapReference] = m
			e.state.Weights = append(e.state.Weights, o.Map.MapReference)
		}
	case mapswitch.HoldStep:
		e.state.Hold = o.Hold
	case mapswitch.RunLayout:
		e.layouts[o.Layout.Sequence] = o.Layout
		e.state.Pending = o.Layout.Sequence
		e.state.Hold = mapswitch.Hold{}
	case mapswitch.ReleaseHold:
		e.state.Hold = mapswitch.Hold{}
	case mapswitch.Retire:
		e.retireAt = o.Layout.Step
		if o.Layout.Stalled {
			e.retireAt = 0
		}
		e.isRetiring = true
		e.retireIfDue()
	}
}

// retireIfDue removes a retiring engine from the group when the next step is one in which another engine has the rank.
func (e *rankEngine) retireIfDue() {
	if !e.isRetiring || e.state.Layout != 0 && e.state.Step+1 < e.retireAt {
		return
	}
	e.state.Layout, e.state.Pending, e.state.Hold = 0, 0, mapswitch.Hold{}
	e.isRetiring = false
}

func (r *Ranks) loop() {
	ticker := time.NewTicker(r.settings.Step)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
			r.step()
		}
	}
}

// step runs one step of all members of the layout in use, or of the first layout of a new group. It does nothing when a
// rank is missing or holds the step until a decision.
func (r *Ranks) step() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	layout, members := r.nextStep()
	if members == nil {
		return
	}
	for _, e := range members {
		if e.state.Pending == layout.Sequence {
			e.state.Layout, e.state.Pending = layout.Sequence, 0
		}
	}
	for _, e := range members {
		e.state.Step = max(e.state.Step+1, layout.Step)
		if e.layouts[e.state.Layout].Map != layout.Map {
			r.mixedMapSteps++
		}
		e.retireIfDue()
	}
	r.count(layout, members)
}

// nextStep returns the layout of the next step and its members by rank, or nil members while some rank is not ready.
// While both an old layout and its successor can run, the old one runs.
func (r *Ranks) nextStep() (mapswitch.Layout, []*rankEngine) {
	var candidates []mapswitch.Layout
	for _, e := range r.engines {
		l := e.nextLayout()
		isSame := func(c mapswitch.Layout) bool { return c.Sequence == l.Sequence }
		if l.Sequence != 0 && !slices.ContainsFunc(candidates, isSame) {
			candidates = append(candidates, l)
		}
	}
	slices.SortFunc(candidates, func(a, b mapswitch.Layout) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, layout := range candidates {
		if members := r.readyMembers(layout); members != nil {
			return layout, members
		}
	}
	return mapswitch.Layout{}, nil
}

// readyMembers returns the members of a layout by rank if all of them can run their next step on it, else nil.
func (r *Ranks) readyMembers(layout mapswitch.Layout) []*rankEngine {
	members := make([]*rankEngine, len(layout.Members))
	for rank, m := range layout.Members {
		for slot, e := range r.engines {
			if ranks.EngineName(upstreamOf(m.Name), slot) == m.Name && e.state.Incarnation == m.Incarnation {
				members[rank] = e
			}
		}
		e := members[rank]
		if e == nil || e.nextLayout().Sequence != layout.Sequence || e.isHeld() {
			return nil
		}
	}
	return members
}

// isHeld reports whether a hold forbids the engine to begin its next step.
func (e *rankEngine) isHeld() bool {
	return e.state.Hold.Sequence != 0 && e.state.Step+1 >= e.state.Hold.Step
}

// nextLayout returns the layout of the engine's next step, or the zero layout when the engine has none.
func (e *rankEngine) nextLayout() mapswitch.Layout {
	pending, hasPending := e.layouts[e.state.Pending]
	isDue := e.state.Layout == 0 || e.state.Step+1 >= pending.Step || pending.Stalled
	if hasPending && e.state.Pending != 0 && isDue {
		return pending
	}
	if e.state.Layout == 0 {
		return mapswitch.Layout{}
	}
	return e.layouts[e.state.Layout]
}

// upstreamOf returns the name of the upstream in an engine's name, which is the part before the last slash.
func upstreamOf(engine string) string {
	for n := len(engine) - 1; n >= 0; n-- {
		if engine[n] == '/' {
			return engine[:n]
		}
	}
	return engine
}

// count adds the tokens of one step to the counting windows of the ranks.
func (r *Ranks) count(layout mapswitch.Layout, members []*rankEngine) {
	shape := r.settings.Shape
	m := members[0].maps[layout.Map]
	if m.IsZero() {
		return
	}
	shares := m.Shares()
	busy := make([]float64, shape.Ranks)
	for layer := range shape.Layers {
		popularity := r.popularity(layer)
		for rank, e := range members {
			for slot := range shape.Slots {
				expert := m.Expert(layer, rank, slot)
				if expert == expertmap.Empty {
					continue
				}
				tokens := tokensPerStep * popularity[expert] * shares[shape.Index(layer, rank, slot)]
				e.window[layer*shape.Slots+slot] += tokens
				busy[rank] += tokens
			}
		}
	}
	r.finishStep(layout, members, busy)
}

// finishStep records the skew of a step and ends the counting windows that are over.
func (r *Ranks) finishStep(layout mapswitch.Layout, members []*rankEngine, busy []float64) {
	latest, sum := 0.0, 0.0
	for _, tokens := range busy {
		latest, sum = max(latest, tokens), sum+tokens
	}
	r.skew = latest * float64(len(busy)) / sum
	now := time.Now()
	for rank, e := range members {
		e.busy += time.Duration(busy[rank] * float64(time.Microsecond))
		if now.Sub(e.windowStart) < countWindow {
			continue
		}
		counted := make([]uint32, len(e.window))
		for n, tokens := range e.window {
			counted[n] = uint32(tokens)
			e.window[n] = 0
		}
		e.counts = ranks.EngineCounts{
			Sequence: e.counts.Sequence + 1, Layout: layout.Sequence, Tokens: counted, BusyUs: e.busy.Microseconds(),
		}
		e.busy, e.windowStart = 0, now
	}
}

// popularity returns the fraction of a layer's tokens that each expert receives at present.
func (r *Ranks) popularity(layer int) []float64 {
	experts := r.settings.Shape.Experts
	moved := 0
	if r.settings.Drift > 0 {
		moved = int(time.Since(r.startedAt) / r.settings.Drift)
	}
	popularity := make([]float64, experts)
	sum := 0.0
	for place, expert := range r.byPopularity[layer] {
		popularity[expert] = 1 / math.Pow(float64((place+moved)%experts+1), popularityExponent)
		sum += popularity[expert]
	}
	for expert := range popularity {
		popularity[expert] /= sum
	}
	return popularity
}
