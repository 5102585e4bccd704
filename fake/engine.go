// Package fake holds small stand-ins for the systems outside guavahitch: a model engine, a plain service
// and a weight store. The dev verb runs them on loopback, and tests use them at the interfaces.
package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultTokens is the length of an answer whose request names none, in tokens.
	defaultTokens = 16
)

type (
	// EngineSettings describes a fake engine.
	EngineSettings struct {
		Name  string
		Model string
		// Slots is the number of requests that the engine batches at once.
		Slots int
		// Step is the time of a decode step with one request, and PerRequest what each further one adds.
		Step       time.Duration
		PerRequest time.Duration
		// CrashWord kills the engine when a prompt holds it; empty for none.
		CrashWord string
		// StepTime overrides the time of a step when it is set.
		StepTime func(running int) time.Duration
	}

	// Engine is a stand-in for a model engine: it batches continuously, streams, resumes and cancels, and
	// its answer depends on the prompt alone, so that a test can tell a crossed or cut answer.
	Engine struct {
		settings EngineSettings
		mutex    sync.Mutex
		arrived  *sync.Cond
		waiting  []*sequence
		running  []*sequence
		started  map[string]int
		steps    int64
		stepTime time.Duration
		dead     bool
		stopped  bool
		paused   bool
		breakOff string
		server   *http.Server
		address  string
	}

	sequence struct {
		id     string
		words  []string
		next   int
		tokens chan string
		gone   <-chan struct{}
		deadly bool
	}

	// EngineLoad is the engine's answer to GET /load.
	EngineLoad struct {
		Running       int   `json:"running"`
		Queued        int   `json:"queued"`
		RunningTokens int64 `json:"running_tokens"`
		Capacity      int   `json:"capacity"`
		StepUs        int64 `json:"step_us"`
	}
)

// NewEngine returns an engine that is not started.
func NewEngine(settings EngineSettings) *Engine {
	e := &Engine{settings: settings, started: map[string]int{}}
	e.arrived = sync.NewCond(&e.mutex)
	return e
}

// Words returns the words of the answer to a prompt.
func Words(prompt string, count int) []string {
	source := append([]string{fmt.Sprintf("%016x", xxhash.Sum64String(prompt))}, strings.Fields(prompt)...)
	words := make([]string, count)
	for i := range words {
		words[i] = source[i%len(source)]
	}
	return words
}

// Start listens on the address, with port 0 for any, and runs the engine until Stop.
func (e *Engine) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mutex.Lock()
	e.address = listener.Addr().String()
	e.dead, e.stopped = false, false
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: 5 * time.Second}
	server := e.server
	e.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	go e.loop()
	return nil
}

// Address returns the address that the engine listens on.
func (e *Engine) Address() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.address
}

// Stop ends the engine and cuts its connections, as a killed process would.
func (e *Engine) Stop() {
	e.mutex.Lock()
	e.dead, e.stopped = true, true
	server := e.server
	for _, s := range append(e.waiting, e.running...) {
		close(s.tokens)
	}
	e.waiting, e.running = nil, nil
	e.arrived.Broadcast()
	e.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Pause stalls the engine: it accepts connections and runs no steps until Resume.
func (e *Engine) Pause() { e.setPaused(true) }

// Resume ends a Pause.
func (e *Engine) Resume() { e.setPaused(false) }

// SetAbortPrompt makes the engine cut the connection of each request whose prompt is this one; empty for none.
func (e *Engine) SetAbortPrompt(prompt string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.breakOff = prompt
}

func (e *Engine) setPaused(paused bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.paused = paused
	e.arrived.Broadcast()
}

// IsDead reports whether the engine has stopped or was killed by a request.
func (e *Engine) IsDead() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.dead
}

// Runs returns how often the engine has started the request with this id.
func (e *Engine) Runs(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.started[id]
}

// TotalRuns returns how many requests the engine has started.
func (e *Engine) TotalRuns() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	total := 0
	for _, n := range e.started {
		total += n
	}
	return total
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /load", e.load)
	return mux
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	load := EngineLoad{
		Running: len(e.running), Queued: len(e.waiting), Capacity: e.settings.Slots, StepUs: e.stepTime.Microseconds(),
	}
	for _, s := range e.running {
		load.RunningTokens += int64(s.next)
	}
	e.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(load)
}

// loop runs decode steps: each step gives one token to every running request.
func (e *Engine) loop() {
	for {
		e.mutex.Lock()
		for (e.paused || len(e.running) == 0 && len(e.waiting) == 0) && !e.stopped {
			e.arrived.Wait()
		}
		if e.stopped {
			e.mutex.Unlock()
			return
		}
		e.admit()
		running := len(e.running)
		killed := e.hasDeadly()
		e.mutex.Unlock()
		if killed {
			e.Stop()
			return
		}
		duration := e.durationOf(running)
		time.Sleep(duration)
		e.step(duration)
	}
}

func (e *Engine) durationOf(running int) time.Duration {
	if e.settings.StepTime != nil {
		return e.settings.StepTime(running)
	}
	return e.settings.Step + time.Duration(max(running-1, 0))*e.settings.PerRequest
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if isClosed(s.gone) {
			close(s.tokens)
			continue
		}
		e.started[s.id]++
		e.running = append(e.running, s)
	}
}

func (e *Engine) hasDeadly() bool {
	for _, s := range e.running {
		if s.deadly {
			return true
		}
	}
	return false
}

func (e *Engine) step(duration time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.steps++
	e.stepTime = duration
	var still []*sequence
	for _, s := range e.running {
		if isClosed(s.gone) {
			close(s.tokens)
			continue
		}
		if s.next < len(s.words) {
			s.tokens <- s.words[s.next]
			s.next++
		}
		if s.next >= len(s.words) {
			close(s.tokens)
			continue
		}
		still = append(still, s)
	}
	e.running = still
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Messages) == 0 {
		http.Error(w, `{"error":"bad request"}`, http.StatusBadRequest)
		return
	}
	s := newSequence(r, &request, e.settings.CrashWord)
	if e.breaksOff(&request) || !e.enqueue(s) {
		panic(http.ErrAbortHandler)
	}
	if request.Stream {
		e.stream(w, s, request.Model)
		return
	}
	e.whole(w, s, request.Model)
}

func (e *Engine) breaksOff(request *chatRequest) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.breakOff != "" && request.Messages[0].Content == e.breakOff
}

func newSequence(r *http.Request, request *chatRequest, deadlyWord string) *sequence {
	messages, done := request.Messages, 0
	if last := messages[len(messages)-1]; request.Continue && last.Role == "assistant" {
		messages, done = messages[:len(messages)-1], len(strings.Fields(last.Content))
	}
	prompt := messages[len(messages)-1].Content
	count := request.MaxTokens
	if count <= 0 {
		count = defaultTokens
	}
	return &sequence{
		id: r.Header.Get("X-Request-Id"), words: Words(prompt, count), next: min(done, count),
		tokens: make(chan string, count+1), gone: r.Context().Done(),
		deadly: deadlyWord != "" && strings.Contains(prompt, deadlyWord),
	}
}

func (e *Engine) enqueue(s *sequence) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.dead {
		return false
	}
	e.waiting = append(e.waiting, s)
	e.arrived.Signal()
	return true
}

func (e *Engine) stream(w http.ResponseWriter, s *sequence, model string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	for word := range s.tokens {
		text, _ := json.Marshal(newChunk(s.id, model, word+" "))
		fmt.Fprintf(w, "data: %s\n\n", text)
		flusher.Flush()
	}
	e.abortIfCut(s)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) whole(w http.ResponseWriter, s *sequence, model string) {
	var words []string
	for word := range s.tokens {
		words = append(words, word)
	}
	e.abortIfCut(s)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newCompletion(s.id, model, words))
}

// abortIfCut breaks the connection when the sequence ended before its last word.
func (e *Engine) abortIfCut(s *sequence) {
	if s.next < len(s.words) {
		panic(http.ErrAbortHandler)
	}
}
