package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The shape of the expert maps, and the times of the engines.
const (
	mapSets, mapExperts, mapPlacements, mapSpare = 4, 48, 8, 3
	// passTime is how long a pass takes, copyTime how long a rank copies one expert.
	passTime = 30 * time.Millisecond
	copyTime = 15 * time.Millisecond
	// passesPerEvent is the number of passes of one event of a stream, requestEvents the number of its events.
	passesPerEvent = 2
	requestEvents  = 4
	// reportLag is the age that the configuration names for reports.
	reportLag = 200
)

type (
	// group is a group of model workers that run each pass together. Its ranks behave as the pages say.
	group struct {
		record       *record
		name         string
		requireFence bool
		// lateShare is the share of the orders that get no answer and are carried out later.
		lateShare float64
		// lateTime returns how much later an order is carried out.
		lateTime func() time.Duration
		// rearmed signals that a rank was armed by an order that is carried out late.
		rearmed chan struct{}
		ranks   []*rank
		stopped chan struct{}

		mutex   sync.Mutex
		step    uint64
		running int
		// topic rotates the experts that are in demand.
		topic int
		// mixed counts the passes that began while two ranks had different maps.
		mixed int
		wake  *sync.Cond
	}

	// rank is one model worker.
	rank struct {
		group    *group
		number   int
		worker   *worker
		server   *http.Server
		version  uint64
		experts  [][]int
		highest  uint64
		fence    uint64
		sequence uint64
		counts   []uint64
		// prepared is the map that was copied or is being copied until copied.
		prepared        uint64
		preparedExperts [][]int
		copied          time.Time
		armed           uint64
		armedStep       uint64
		held            uint64
	}

	// order is the body of a call to a worker.
	order struct {
		Operation string    `json:"operation"`
		Version   uint64    `json:"version"`
		Step      uint64    `json:"step"`
		Epoch     uint64    `json:"epoch"`
		Fence     uint64    `json:"fence"`
		Expect    *uint64   `json:"expect"`
		Mapping   [][][]int `json:"mapping"`
	}
)

// groupEpoch is the epoch of all groups, which form once.
const groupEpoch = 1

// newGroup starts a group whose ranks listen at the addresses.
func newGroup(d *deployment, name string, addresses []string) (*group, error) {
	g := &group{
		record: d.record, name: name, requireFence: d.settings.requireFence, stopped: make(chan struct{}),
		rearmed: make(chan struct{}, 1),
	}
	g.wake = sync.NewCond(&g.mutex)
	for i, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		r := &rank{group: g, number: i, counts: make([]uint64, mapSets*mapExperts)}
		for range mapSets {
			var experts []int
			for e := i; e < mapExperts; e += len(addresses) {
				experts = append(experts, e)
			}
			r.experts = append(r.experts, experts)
		}
		r.worker = describeWorker(d, "model", d.settings.zones[i%len(d.settings.zones)], address)
		r.worker.group = map[string]any{
			"group": map[string]any{"name": name, "epoch": groupEpoch, "rank": i, "state": "open"}, "size": len(addresses),
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /report", r.report)
		mux.HandleFunc("GET /picked", r.picked)
		mux.HandleFunc("POST /order", r.receive)
		mux.HandleFunc("/", r.generate)
		r.server = &http.Server{Handler: mux, ReadHeaderTimeout: startTimeout}
		go func() { _ = r.server.Serve(listener) }()
		go r.worker.announce()
		g.ranks = append(g.ranks, r)
	}
	go g.loop()
	return g, nil
}

// stop ends the ranks.
func (g *group) stop() {
	close(g.stopped)
	g.mutex.Lock()
	g.wake.Broadcast()
	g.mutex.Unlock()
	for _, r := range g.ranks {
		close(r.worker.stopped)
		_ = r.server.Close()
	}
}

// loop runs passes while requests run.
func (g *group) loop() {
	for {
		select {
		case <-g.stopped:
			return
		case <-time.After(passTime):
		}
		g.mutex.Lock()
		if g.running > 0 && !g.isHeld(g.step+1) {
			g.begin()
		}
		g.mutex.Unlock()
	}
}

func (g *group) isHeld(step uint64) bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.held != 0 && r.held <= step })
}

// begin begins the next pass. Armed ranks switch to their maps first. The mutex is held.
func (g *group) begin() {
	g.step++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.version, r.experts = r.armed, r.preparedExperts
			r.armed, r.armedStep, r.prepared = 0, 0, 0
		}
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.mixed++
			g.record.add("MAP: pass %d of %s begins while rank 0 has version %d and rank %d version %d", g.step, g.name, g.ranks[0].version, r.number, r.version)
			break
		}
	}
	for _, r := range g.ranks {
		for set := range mapSets {
			for range 40 {
				// A few experts get most of the tokens.
				e := (g.topic*7 + set*5 + int(rand.ExpFloat64()*4)) % mapExperts
				r.counts[set*mapExperts+e]++
			}
		}
	}
	g.wake.Broadcast()
}

// generate runs a request as a stream of events.
func (r *rank) generate(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("Guavahitch-Attempt-Id")
	w.Header().Set("Guavahitch-Attempt-Id", attempt)
	if expected := request.Header.Get("Guavahitch-Expect-Instance"); expected != "" && expected != r.worker.id {
		w.Header().Set("Guavahitch-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	w.Header().Set("Guavahitch-Server-Seal", "seal-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	g := r.group
	g.mutex.Lock()
	g.running++
	begun := g.step
	g.record.add("rank %d of %s runs %s from pass %d", r.number, g.name, attempt, begun+1)
	g.mutex.Unlock()
	defer func() {
		g.mutex.Lock()
		g.running--
		g.mutex.Unlock()
	}()
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= requestEvents; event++ {
		g.mutex.Lock()
		for g.step < begun+uint64(passesPerEvent*(event-last)) {
			select {
			case <-g.stopped:
				g.mutex.Unlock()
				return
			default:
			}
			g.wake.Wait()
		}
		g.mutex.Unlock()
		if request.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", event, event, attempt)
		_ = http.NewResponseController(w).Flush()
	}
}

// report answers with the state of the rank.
func (r *rank) report(w http.ResponseWriter, _ *http.Request) {
	g := r.group
	g.mutex.Lock()
	state := map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": r.sequence, "queued": 0, "running": g.running, "kvUsed": 0, "kvTotal": 372000, "handles": 0,
		"group": map[string]any{"name": g.name, "epoch": groupEpoch, "rank": r.number, "state": "open"}, "size": len(g.ranks),
		"born": r.worker.born, "step": g.step, "mapping": r.version, "pace": 1.0,
	}
	if r.isPrepared() {
		state["prepared"] = r.prepared
	}
	if r.armed != 0 {
		state["armed"] = map[string]any{"version": r.armed, "step": r.armedStep}
	}
	if r.held != 0 {
		state["held"] = r.held
	}
	g.mutex.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// picked answers with the counts of the experts, or with the maps.
func (r *rank) picked(w http.ResponseWriter, request *http.Request) {
	g := r.group
	g.mutex.Lock()
	answer := map[string]any{"step": g.step, "epoch": groupEpoch}
	if request.URL.Query().Has("lists") {
		answer["mapping"] = map[string]any{"version": r.version, "experts": r.experts}
		if r.isPrepared() {
			answer["prepared"] = map[string]any{"version": r.prepared, "experts": r.preparedExperts}
		}
	} else {
		answer["counts"] = slices.Clone(r.counts)
	}
	g.mutex.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// receive receives an order. A share of the orders gets no answer and is carried out later.
func (r *rank) receive(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	var o order
	if err != nil || json.NewDecoder(bytes.NewReader(body)).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := r.group
	if late := g.drawLate(); late > 0 {
		time.AfterFunc(late, func() {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			status := r.carryOut(o)
			g.record.add("rank %d of %s carries out late: %s version %d step %d: %d at pass %d", r.number, g.name, o.Operation, o.Version, o.Step, status, g.step)
			if o.Operation == "arm" && status == http.StatusAccepted && g.running == 0 {
				select {
				case g.rearmed <- struct{}{}:
				default:
				}
			}
		})
		<-request.Context().Done()
		return
	}
	g.mutex.Lock()
	status := r.carryOut(o)
	g.record.add("rank %d of %s: %s version %d step %d fence %d: %d at pass %d", r.number, g.name, o.Operation, o.Version, o.Step, o.Fence, status, g.step)
	g.mutex.Unlock()
	writeJSON(w, status, map[string]any{"sequence": r.sequence})
}

// drawLate returns how much later the next order is carried out, 0 for one that is carried out and answered at once.
func (g *group) drawLate() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if rand.Float64() >= g.lateShare {
		return 0
	}
	return g.lateTime()
}

// isPrepared reports whether the copy of the prepared map is complete.
func (r *rank) isPrepared() bool { return r.prepared != 0 && !time.Now().Before(r.copied) }

// carryOut carries out an order and returns the status of the answer. The mutex of the group is held.
func (r *rank) carryOut(o order) int {
	g := r.group
	if o.Epoch != 0 && o.Epoch != groupEpoch || o.Expect != nil && *o.Expect != r.sequence {
		return http.StatusConflict
	}
	if g.requireFence && o.Fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = max(r.fence, o.Fence)
	hasBegun := o.Step <= g.step
	switch o.Operation {
	case "prepare":
		return r.prepare(o)
	case "arm":
		if r.armed == o.Version && r.armedStep == o.Step {
			return http.StatusOK
		}
		if hasBegun || r.prepared != o.Version || !r.isPrepared() {
			return http.StatusConflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armed != o.Version {
			return http.StatusOK
		}
		r.armed, r.armedStep = 0, 0
	case "hold":
		if r.held == o.Step {
			return http.StatusOK
		}
		if hasBegun || r.held != 0 {
			return http.StatusConflict
		}
		r.held = o.Step
	case "go":
		if r.held != o.Step {
			return http.StatusOK
		}
		r.held = 0
	default:
		return http.StatusBadRequest
	}
	r.sequence++
	return http.StatusAccepted
}

// prepare begins to copy the experts of a map that are new to the rank.
func (r *rank) prepare(o order) int {
	if len(o.Mapping) != mapSets {
		return http.StatusBadRequest
	}
	var own [][]int
	most := 0
	for set, placement := range o.Mapping {
		if len(placement) != len(r.group.ranks) || len(placement[r.number]) > mapPlacements {
			return http.StatusBadRequest
		}
		own = append(own, placement[r.number])
		fresh := 0
		for _, e := range placement[r.number] {
			if !slices.Contains(r.experts[set], e) {
				fresh++
			}
		}
		most = max(most, fresh)
	}
	if r.prepared == o.Version && reflect.DeepEqual(r.preparedExperts, own) {
		return http.StatusOK
	}
	if o.Version <= r.highest || r.armed != 0 || most > mapSpare {
		return http.StatusConflict
	}
	r.highest, r.prepared, r.preparedExperts = o.Version, o.Version, own
	r.copied = time.Now().Add(time.Duration(most) * copyTime)
	r.sequence++
	return http.StatusAccepted
}

// modelConfiguration returns a configuration with one route to a model.
func modelConfiguration(version int) map[string]any {
	c := plainConfiguration(version)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "r-chat", "hostname": host, "pathPrefix": "/chat/", "type": "streaming", "timeoutMs": 8000, "targetLatencyMs": 500,
		"priority": 1, "backend": "model", "maxAttempts": 2, "noAuth": false, "sticky": true, "resumable": true, "gapTargetMs": 120,
	})
	c["services"] = append(c["services"].([]any), map[string]any{
		"name": "model", "healthPath": "/health", "maxConnections": 348, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 12, "kvCapacityTokens": 372000, "kvBytes": 96256, "linkMbps": 180000.0, "stride": 1, "models": []any{map[string]any{"name": "m"}},
			"step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036, "read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512,
			"report_lag_ms": reportLag, "loadsPerS": 0.0, "loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 835, "answer": 139},
			"sets": mapSets, "experts": mapExperts, "placements": mapPlacements, "spare": mapSpare, "expertMb": 337.0, "expertShare": 0.85, "form_ms": 600.0,
		},
	})
	return c
}
