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

// ranks.go is a stand-in for the engines of an expert-parallel group: they run steps in lock-step, each on the
// expert map of its layout, and count the tokens that reach the replicas they hold. The popularity of the
// experts drifts.

const (
	// tokensPerStep is the number of tokens that a step brings to each layer.
	tokensPerStep = 4096
	// countWindow is the time that one window of counts covers.
	countWindow = time.Second
	// popularityExponent shapes the popularity of experts: the n-th is as popular as 1/n to this power.
	popularityExponent = 0.9
)

type (
	// RanksSettings describes a fake group.
	RanksSettings struct {
		Engines int
		Shape   expertmap.Shape
		Step    time.Duration
		// Drift is the time in which the popularity moves on by one expert; 0 for never.
		Drift time.Duration
		Seed  uint64
	}

	// Ranks is a group of fake engines behind one address.
	Ranks struct {
		settings RanksSettings
		mutex    sync.Mutex
		engines  []*rankEngine
		order    [][]int
		begun    time.Time
		splits   int
		skew     float64
		server   *http.Server
		address  string
		stopped  chan struct{}
	}

	rankEngine struct {
		state   mapswitch.EngineState
		layouts map[uint64]mapswitch.Layout
		maps    map[mapswitch.MapReference]expertmap.Map
		tokens  map[string]fencing.Token
		counts  ranks.EngineCounts
		window  []float64
		busy    time.Duration
		since   time.Time
		// isRetiring is true until the step from which on others hold the rank.
		isRetiring bool
		retireAt   uint64
	}
)

// NewRanks returns a group that is not started.
func NewRanks(settings RanksSettings) *Ranks {
	r := &Ranks{settings: settings, stopped: make(chan struct{}), begun: time.Now()}
	random := rand.New(rand.NewPCG(settings.Seed, 1))
	for range settings.Engines {
		r.engines = append(r.engines, r.newEngine(random.Uint64()>>1+1))
	}
	for range settings.Shape.Layers {
		r.order = append(r.order, random.Perm(settings.Shape.Experts))
	}
	return r
}

func (r *Ranks) newEngine(incarnation uint64) *rankEngine {
	return &rankEngine{
		state: mapswitch.EngineState{Incarnation: incarnation}, layouts: map[uint64]mapswitch.Layout{},
		maps: map[mapswitch.MapReference]expertmap.Map{}, tokens: map[string]fencing.Token{},
		window: make([]float64, r.settings.Shape.Layers*r.settings.Shape.Slots), since: time.Now(),
	}
}

// Start listens on the address, with port 0 for any, and runs steps until Stop.
func (r *Ranks) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ranks/{slot}", r.serve(func(e *rankEngine, _ *http.Request) any { return e.report() }))
	mux.HandleFunc("POST /ranks/{slot}", r.serve(r.carryOut))
	mux.HandleFunc("GET /ranks/{slot}/counts", r.serve(func(e *rankEngine, _ *http.Request) any { return e.counts }))
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	r.address = listener.Addr().String()
	go func() { _ = r.server.Serve(listener) }()
	go r.loop()
	return nil
}

// Address returns the address that the engines listen on.
func (r *Ranks) Address() string { return r.address }

// Stop ends the group.
func (r *Ranks) Stop() {
	close(r.stopped)
	_ = r.server.Close()
}

// MixedMapSteps returns how many steps ran on more than one map; it must stay 0.
func (r *Ranks) MixedMapSteps() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.splits
}

// Steps returns the last step begun, the version of the map it ran on, and the skew of its ranks.
func (r *Ranks) Steps() (step, version uint64, skew float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.engines[0]
	return e.state.Step, e.layouts[e.state.Layout].Map.Version, r.skew
}

// Restart restarts one engine: it loses its weights, layouts and promises, and has a new incarnation.
func (r *Ranks) Restart(slot int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.engines[slot] = r.newEngine(r.engines[slot].state.Incarnation + 1)
}

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

// carryOut carries out one order and reports.
func (r *Ranks) carryOut(e *rankEngine, request *http.Request) any {
	var order ranks.EngineOrder
	if json.NewDecoder(request.Body).Decode(&order) == nil {
		e.tokens[order.Lane] = order.Token
		e.obey(order.Order)
	}
	return e.report()
}

func (e *rankEngine) obey(o mapswitch.Order) {
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

// retireIfDue leaves the group when the step has come from which on others hold the rank.
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

// step lets the members of the layout in use, or of the one that is founded, run one step together. A rank that
// waits for a decision, or is missing, keeps all waiting.
func (r *Ranks) step() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	layout, members := r.next()
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
			r.splits++
		}
		e.retireIfDue()
	}
	r.count(layout, members)
}

// next returns the layout of the next step and its members by rank, or nil while some rank is not ready. Of an
// old layout and the one that follows it the old one runs as long as it can.
func (r *Ranks) next() (mapswitch.Layout, []*rankEngine) {
	var candidates []mapswitch.Layout
	for _, e := range r.engines {
		l := e.following()
		isSame := func(c mapswitch.Layout) bool { return c.Sequence == l.Sequence }
		if l.Sequence != 0 && !slices.ContainsFunc(candidates, isSame) {
			candidates = append(candidates, l)
		}
	}
	slices.SortFunc(candidates, func(a, b mapswitch.Layout) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, layout := range candidates {
		if members := r.ready(layout); members != nil {
			return layout, members
		}
	}
	return mapswitch.Layout{}, nil
}

// ready returns the members of a layout by rank when all of them can run their next step on it.
func (r *Ranks) ready(layout mapswitch.Layout) []*rankEngine {
	members := make([]*rankEngine, len(layout.Members))
	for rank, m := range layout.Members {
		for slot, e := range r.engines {
			if ranks.EngineName(upstreamOf(m.Name), slot) == m.Name && e.state.Incarnation == m.Incarnation {
				members[rank] = e
			}
		}
		e := members[rank]
		if e == nil || e.following().Sequence != layout.Sequence || e.isHeld() {
			return nil
		}
	}
	return members
}

// isHeld reports whether the engine has promised not to begin its next step.
func (e *rankEngine) isHeld() bool {
	return e.state.Hold.Sequence != 0 && e.state.Step+1 >= e.state.Hold.Step
}

// following returns the layout that the engine's next step runs on.
func (e *rankEngine) following() mapswitch.Layout {
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

func upstreamOf(engine string) string {
	for n := len(engine) - 1; n >= 0; n-- {
		if engine[n] == '/' {
			return engine[:n]
		}
	}
	return engine
}

// count adds the tokens of one step to the windows of the ranks.
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
	r.close(layout, members, busy)
}

// close notes the skew of a step and closes windows that are over.
func (r *Ranks) close(layout mapswitch.Layout, members []*rankEngine, busy []float64) {
	latest, sum := 0.0, 0.0
	for _, tokens := range busy {
		latest, sum = max(latest, tokens), sum+tokens
	}
	r.skew = latest * float64(len(busy)) / sum
	now := time.Now()
	for rank, e := range members {
		e.busy += time.Duration(busy[rank] * float64(time.Microsecond))
		if now.Sub(e.since) < countWindow {
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
		e.busy, e.since = 0, now
	}
}

// popularity returns the part of the tokens of a layer that each expert gets now.
func (r *Ranks) popularity(layer int) []float64 {
	experts := r.settings.Shape.Experts
	moved := 0
	if r.settings.Drift > 0 {
		moved = int(time.Since(r.begun) / r.settings.Drift)
	}
	popularity := make([]float64, experts)
	sum := 0.0
	for place, expert := range r.order[layer] {
		popularity[expert] = 1 / math.Pow(float64((place+moved)%experts+1), popularityExponent)
		sum += popularity[expert]
	}
	for expert := range popularity {
		popularity[expert] /= sum
	}
	return popularity
}
