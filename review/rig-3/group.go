package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	ranksOfGroup, setsOfGroup, expertsOfSet, placesOfRank, sparePlaces = 12, 3, 96, 11, 4

	slotsOfWorker = 12
	// copyTime is expertMb over linkMbps of the smallest deployment: 2,200 MB over 44,000 Mbit/s.
	copyTime = 400 * time.Millisecond
	// evenPass is the time of a pass whose ranks have the same work. Experts take expertShare of it.
	evenPass    = 45 * time.Millisecond
	expertShare = 0.85
	// tokensOfPass is the number of choices of an expert in a pass, set and running request.
	tokensOfPass   = 60
	eventsOfStream = 24
	// minLate and maxLate bound the time after which an order is carried out that got no answer.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
)

type (
	// armedMap is a map that takes effect with a pass.
	armedMap struct {
		Version uint64 `json:"version"`
		Step    uint64 `json:"step"`
	}

	// rank is a model worker. The mutex of its group guards its fields.
	rank struct {
		group  *group
		number int
		id     string
		ip     string
		born   int64

		beat     uint64
		sequence uint64
		// fence is the highest fencing token that was seen.
		fence                        uint64
		mapping, prepared, preparing uint64
		highest                      uint64
		maps                         map[uint64][][]int
		armed                        *armedMap
		held                         uint64
		counts                       []float64
		running                      int
		// server answers while the worker is up. incarnation counts its starts.
		server      *http.Server
		incarnation int
	}

	// group is a group of ranks that run all passes together.
	group struct {
		cluster *cluster
		record  *record
		mutex   sync.Mutex
		step    uint64
		ranks   []*rank
		// popularity holds the shares of the experts by set.
		popularity [][]float64
		// lateShare is the share of the orders that get no answer and are carried out late.
		lateShare float64
		passed    *sync.Cond
		switches  uint64
		late      int
		// epoch counts how often the group has opened. culprit is the ID of the rank that is down, empty while the group is open.
		epoch   uint64
		culprit string
		// brokenAt is when the group broke, opened the pass after which it opened last.
		brokenAt time.Time
		opened   uint64
		// onOrder is called for each order that arrives, outside of the mutex.
		onOrder func(r *rank, o *order, isLate bool)
	}

	order struct {
		Operation string    `json:"operation"`
		Version   uint64    `json:"version"`
		Step      uint64    `json:"step"`
		Epoch     *uint64   `json:"epoch"`
		Fence     *uint64   `json:"fence"`
		Expect    *uint64   `json:"expect"`
		Mapping   [][][]int `json:"mapping"`
	}
)

// newGroup starts a group of workers on the machines of the sidecars.
func newGroup(c *cluster, r *record) (*group, error) {
	g := &group{cluster: c, record: r, epoch: 1}
	g.passed = sync.NewCond(&g.mutex)
	for n, side := range c.sides {
		w := &rank{
			group: g, number: n, id: fmt.Sprintf("i-%d-%d", n, time.Now().UnixMilli()), ip: side.ip, born: time.Now().UnixMilli(),
			maps: map[uint64][][]int{}, counts: make([]float64, setsOfGroup*expertsOfSet),
		}
		w.maps[0] = mapZero(n)
		g.ranks = append(g.ranks, w)
	}
	g.shift(1)
	for _, w := range g.ranks {
		if err := w.start(); err != nil {
			return nil, err
		}
	}
	go g.runPasses()
	return g, nil
}

// start lets the worker listen and send heartbeats.
func (w *rank) start() error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip, workerPort))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.handler(), ReadHeaderTimeout: 10 * time.Second}
	w.group.mutex.Lock()
	w.server = server
	w.incarnation++
	incarnation := w.incarnation
	w.group.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.sendHeartbeats(incarnation)
	return nil
}

// mapZero assigns the experts in turn.
func mapZero(number int) [][]int {
	sets := make([][]int, setsOfGroup)
	for set := range sets {
		for expert := number; expert < expertsOfSet; expert += ranksOfGroup {
			sets[set] = append(sets[set], expert)
		}
	}
	return sets
}

// shift gives a share of the demand to other experts.
func (g *group) shift(share float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	next := make([][]float64, setsOfGroup)
	for set := range next {
		next[set] = make([]float64, expertsOfSet)
		sum := 0.0
		for place, expert := range rand.Perm(expertsOfSet) {
			next[set][expert] = 1 / math.Pow(float64(place+1), 0.9)
			sum += next[set][expert]
		}
		for expert := range next[set] {
			next[set][expert] *= share / sum
			if g.popularity != nil {
				next[set][expert] += (1 - share) * g.popularity[set][expert]
			}
		}
	}
	g.popularity = next
}

// skew returns the load of the busiest rank divided by the mean, averaged over the sets.
func (g *group) skew() float64 {
	total := 0.0
	for set := range setsOfGroup {
		holders := make([]int, expertsOfSet)
		for _, w := range g.ranks {
			for _, e := range w.maps[w.mapping][set] {
				holders[e]++
			}
		}
		most := 0.0
		for _, w := range g.ranks {
			load := 0.0
			for _, e := range w.maps[w.mapping][set] {
				load += g.popularity[set][e] / float64(holders[e])
			}
			most = max(most, load)
		}
		total += most * ranksOfGroup
	}
	return total / setsOfGroup
}

// runPasses runs one pass after the other while requests run and no rank holds the next pass.
func (g *group) runPasses() {
	for {
		time.Sleep(g.pass())
	}
}

// pass begins the next pass, if it may begin, and returns how long it takes.
func (g *group) pass() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	next := g.step + 1
	running := 0
	for _, w := range g.ranks {
		running += w.running
		if w.held == next {
			return time.Millisecond
		}
	}
	if running == 0 || g.culprit != "" {
		return time.Millisecond
	}
	g.step = next
	hasSwitched := false
	for _, w := range g.ranks {
		if w.armed != nil && w.armed.Step <= next {
			w.mapping, w.armed, hasSwitched = w.armed.Version, nil, true
		}
	}
	if hasSwitched {
		g.switches++
	}
	g.checkMaps(next)
	for _, w := range g.ranks {
		for set := range setsOfGroup {
			for e, share := range g.popularity[set] {
				w.counts[set*expertsOfSet+e] += share * tokensOfPass * float64(w.running)
			}
		}
	}
	g.passed.Broadcast()
	return time.Duration(float64(evenPass) * (1 - expertShare + expertShare*g.skew()))
}

// checkMaps is the check of the rule MAP.
func (g *group) checkMaps(step uint64) {
	for _, w := range g.ranks {
		if w.mapping == g.ranks[0].mapping {
			continue
		}
		text := ""
		for _, other := range g.ranks {
			text += fmt.Sprintf(" %d", other.mapping)
		}
		g.record.breach("MAP: pass %d begins with maps%s", step, text)
		return
	}
}

func (w *rank) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", w.report)
	mux.HandleFunc("GET /picked", w.picked)
	mux.HandleFunc("POST /order", w.order)
	mux.HandleFunc("/", w.serve)
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (w *rank) describeGroup() map[string]any {
	state := "open"
	if w.group.culprit != "" {
		state = "broken"
	}
	return map[string]any{"name": "g1", "epoch": w.group.epoch, "rank": w.number, "state": state}
}

func (w *rank) report(writer http.ResponseWriter, _ *http.Request) {
	w.group.mutex.Lock()
	answer := map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": w.preparing != 0,
		"sequence": w.sequence, "queued": 0, "running": w.running, "kvUsed": 1000, "kvTotal": 280000, "handles": 0, "pace": 1.0,
		"group": w.describeGroup(), "size": ranksOfGroup, "born": w.born, "step": w.group.step, "mapping": w.mapping,
		"prepared": w.prepared, "armed": w.armed, "held": w.held,
	}
	w.group.mutex.Unlock()
	writeJSON(writer, answer)
}

func (w *rank) picked(writer http.ResponseWriter, r *http.Request) {
	w.group.mutex.Lock()
	answer := map[string]any{"step": w.group.step, "epoch": w.group.epoch}
	if r.URL.Query().Has("lists") {
		answer["mapping"] = map[string]any{"version": w.mapping, "experts": w.maps[w.mapping]}
	} else {
		counts := make([]uint32, len(w.counts))
		for n, count := range w.counts {
			counts[n] = uint32(count)
		}
		answer["counts"] = counts
	}
	w.group.mutex.Unlock()
	writeJSON(writer, answer)
}

// order receives an order. A share of them gets no answer and is carried out late.
func (w *rank) order(writer http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	o := &order{}
	if err != nil || json.Unmarshal(data, o) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	g := w.group
	g.mutex.Lock()
	isLate := rand.Float64() < g.lateShare
	onOrder := g.onOrder
	g.mutex.Unlock()
	if onOrder != nil {
		onOrder(w, o, isLate)
	}
	if !isLate {
		status := w.carryOut(o)
		g.record.note("rank %d: %s version %d step %d: %d", w.number, o.Operation, o.Version, o.Step, status)
		writer.WriteHeader(status)
		return
	}
	delay := minLate + time.Duration(rand.Int64N(int64(maxLate-minLate)))
	g.record.note("rank %d: %s version %d step %d: no answer, carried out in %v", w.number, o.Operation, o.Version, o.Step, delay)
	go func() {
		time.Sleep(delay)
		status := w.carryOut(o)
		g.mutex.Lock()
		g.late++
		g.mutex.Unlock()
		g.record.note("rank %d: %s version %d step %d: carried out late: %d", w.number, o.Operation, o.Version, o.Step, status)
	}()
	select {
	case <-r.Context().Done():
	case <-time.After(minLate):
	}
	panic(http.ErrAbortHandler)
}

// carryOut carries an order out, or refuses it, and returns the status.
func (w *rank) carryOut(o *order) int {
	g := w.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if o.Epoch != nil && *o.Epoch != g.epoch {
		return http.StatusConflict
	}
	if o.Expect != nil && *o.Expect != w.sequence {
		return http.StatusConflict
	}
	if o.Fence != nil {
		if g.cluster.requiresFence && *o.Fence < w.fence {
			return http.StatusPreconditionFailed
		}
		w.fence = max(w.fence, *o.Fence)
	}
	status := w.change(o)
	if status == http.StatusAccepted {
		w.sequence++
	}
	return status
}

// change makes the change of an order. The mutex of the group is held.
func (w *rank) change(o *order) int {
	next := w.group.step + 1
	switch o.Operation {
	case "prepare":
		return w.prepare(o)
	case "arm":
		if w.armed != nil && w.armed.Version == o.Version && w.armed.Step == o.Step {
			return http.StatusOK
		}
		if w.prepared != o.Version || o.Version == 0 || o.Step < next || w.mapping == o.Version {
			return http.StatusConflict
		}
		w.armed = &armedMap{Version: o.Version, Step: o.Step}
	case "disarm":
		if w.mapping == o.Version {
			return http.StatusConflict
		}
		if w.armed == nil || w.armed.Version != o.Version {
			return http.StatusOK
		}
		w.armed = nil
	case "hold":
		if w.held == o.Step {
			return http.StatusOK
		}
		if o.Step < next || w.held != 0 {
			return http.StatusConflict
		}
		w.held = o.Step
	case "go":
		if w.held != o.Step {
			return http.StatusOK
		}
		w.held = 0
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// prepare begins to copy the experts that are new to the rank.
func (w *rank) prepare(o *order) int {
	if o.Version == w.preparing || o.Version == w.prepared {
		return http.StatusOK
	}
	if o.Version <= w.highest || w.armed != nil || len(o.Mapping) != setsOfGroup {
		return http.StatusConflict
	}
	mine := make([][]int, setsOfGroup)
	added := 0
	for set := range mine {
		if len(o.Mapping[set]) != ranksOfGroup || len(o.Mapping[set][w.number]) > placesOfRank {
			return http.StatusConflict
		}
		mine[set] = o.Mapping[set][w.number]
		fresh := countNew(w.maps[w.mapping][set], mine[set])
		if fresh > sparePlaces {
			return http.StatusConflict
		}
		added += fresh
	}
	w.highest, w.preparing = o.Version, o.Version
	w.maps[o.Version] = mine
	go w.finishCopy(o.Version, time.Duration(added)*copyTime/setsOfGroup)
	return http.StatusAccepted
}

func countNew(held, next []int) int {
	has := map[int]bool{}
	for _, e := range held {
		has[e] = true
	}
	added := 0
	for _, e := range next {
		if !has[e] {
			added++
		}
	}
	return added
}

func (w *rank) finishCopy(version uint64, after time.Duration) {
	time.Sleep(after)
	w.group.mutex.Lock()
	defer w.group.mutex.Unlock()
	if w.preparing == version {
		w.preparing, w.prepared = 0, version
	}
}

// serve runs a stream: one event a pass.
func (w *rank) serve(writer http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Guavahitch-Attempt-Id")
	if id != "" {
		writer.Header().Set("Guavahitch-Attempt-Id", id)
	}
	w.group.mutex.Lock()
	own := w.id
	w.group.mutex.Unlock()
	if expected := r.Header.Get("Guavahitch-Expect-Instance"); expected != "" && expected != own {
		writer.Header().Set("Guavahitch-Instance-Id", own)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	g := w.group
	g.mutex.Lock()
	if w.running >= slotsOfWorker {
		g.mutex.Unlock()
		writer.Header().Set("Guavahitch-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	g.mutex.Unlock()
	defer func() {
		g.mutex.Lock()
		w.running--
		g.mutex.Unlock()
	}()
	last := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Guavahitch-Server-Seal", "seal-"+id)
	for event := last + 1; event <= eventsOfStream; event++ {
		switch w.awaitPass(r) {
		case callerGone:
			return
		case groupBroken:
			w.giveUp(writer, event > last+1)
			return
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s %d\n\n", event, id, event)
		if http.NewResponseController(writer).Flush() != nil {
			return
		}
	}
}

// awaitPass waits for the next pass.
func (w *rank) awaitPass(r *http.Request) waitResult {
	g := w.group
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.Context().Done():
			g.mutex.Lock()
			g.passed.Broadcast()
			g.mutex.Unlock()
		case <-stop:
		}
	}()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	began, epoch := g.step, g.epoch
	for g.step == began {
		switch {
		case r.Context().Err() != nil:
			return callerGone
		case g.epoch != epoch || g.culprit != "" && time.Since(g.brokenAt) >= stallTime:
			return groupBroken
		}
		g.passed.Wait()
	}
	if r.Context().Err() != nil {
		return callerGone
	}
	return passBegan
}

// sendHeartbeats announces an incarnation of the worker to the control processes in turn.
func (w *rank) sendHeartbeats(incarnation int) {
	for {
		w.group.mutex.Lock()
		if w.incarnation != incarnation {
			w.group.mutex.Unlock()
			return
		}
		w.beat++
		body := map[string]any{
			"backend": "llm", "address": fmt.Sprintf("%s:%d", w.ip, workerPort), "zone": "z1", "version": "v1", "slots": slotsOfWorker,
			"state": "ready", "coldRemainingMs": 0, "stage": "colocated",
			"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": w.beat, "born": w.born,
			"group": w.describeGroup(), "size": ranksOfGroup,
		}
		id := w.id
		w.group.mutex.Unlock()
		for n := range controls {
			status, _ := w.group.cluster.call(http.MethodPost,
				w.group.cluster.controlURL(rand.IntN(controls)+n)+"/instances/"+id+"/heartbeat", body)
			if status/100 == 2 {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}
