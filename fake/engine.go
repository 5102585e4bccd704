// Package fake provides fakes of the systems that guavahitch works with: a model engine, a plain service, and the
// engines of an expert-parallel group. They implement the real interfaces over HTTP. Package dev runs them on loopback,
// and tests use them to inject faults and to check what ran.
package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultTokens is the length of an answer, in tokens, when the request does not set max_tokens.
	defaultTokens = 16
)

type (
	// EngineSettings describes a fake engine.
	EngineSettings struct {
		Name  string
		Model string
		// Slots is the maximum number of requests in a batch.
		Slots int
		// Step is the duration of a decode step with one request; each further request in the batch adds PerRequest.
		Step       time.Duration
		PerRequest time.Duration
		// CrashWord crashes the engine when a prompt contains it; empty for none.
		CrashWord string
		// StepTime, when set, returns the duration of a step and replaces Step and PerRequest.
		StepTime func(running int) time.Duration
	}

	// Engine is a fake model engine with continuous batching, streaming, resumption and cancellation. Its answer depends
	// only on the prompt, so a test can detect an answer that belongs to another request or is incomplete.
	Engine struct {
		settings    EngineSettings
		mutex       sync.Mutex
		wake        *sync.Cond
		waiting     []*sequence
		running     []*sequence
		started     map[string]int
		steps       int64
		stepTime    time.Duration
		dead        bool
		stopped     bool
		paused      bool
		abortPrompt string
		server      *http.Server
		address     string
	}

	// sequence is one request in the engine. next is the index of the next word of the answer. cancelled is closed when
	// the client disconnects, and crashes is true when the request crashes the engine.
	sequence struct {
		id        string
		words     []string
		next      int
		tokens    chan string
		cancelled <-chan struct{}
		crashes   bool
	}

	// EngineLoad is the response of the engine to GET /load.
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
	e.wake = sync.NewCond(&e.mutex)
	return e
}

// Words returns the first words of the engine's answer to a prompt. They repeat a hash of the prompt and its words.
func Words(prompt string, count int) []string {
	source := append([]string{fmt.Sprintf("%016x", xxhash.Sum64String(prompt))}, strings.Fields(prompt)...)
	words := make([]string, count)
	for i := range words {
		words[i] = source[i%len(source)]
	}
	return words
}

// Start listens on the address and runs the engine until Stop is called. With port 0 the operating system chooses the
// port. A stopped or crashed engine can be started again.
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

// Address returns the address on which the engine listens.
func (e *Engine) Address() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.address
}

// Stop ends the engine and closes its connections in the middle of answers, as the crash of its process would.
func (e *Engine) Stop() {
	e.mutex.Lock()
	e.dead, e.stopped = true, true
	server := e.server
	for _, s := range append(e.waiting, e.running...) {
		close(s.tokens)
	}
	e.waiting, e.running = nil, nil
	e.wake.Broadcast()
	e.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Pause stalls the engine: it accepts connections but runs no steps until Resume is called.
func (e *Engine) Pause() { e.setPaused(true) }

// Resume ends the stall that Pause began.
func (e *Engine) Resume() { e.setPaused(false) }

// SetAbortPrompt makes the engine close the connection of each request whose first message is the prompt. An empty
// prompt turns this off.
func (e *Engine) SetAbortPrompt(prompt string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.abortPrompt = prompt
}

func (e *Engine) setPaused(paused bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.paused = paused
	e.wake.Broadcast()
}

// IsDead reports whether the engine was stopped or has crashed.
func (e *Engine) IsDead() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.dead
}

// Runs returns how many times the engine has started the request with the id.
func (e *Engine) Runs(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.started[id]
}

// TotalRuns returns how many times the engine has started a request, of any id.
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

// loop runs decode steps. Each step generates one token for every running request.
func (e *Engine) loop() {
	for {
		e.mutex.Lock()
		for (e.paused || len(e.running) == 0 && len(e.waiting) == 0) && !e.stopped {
			e.wake.Wait()
		}
		if e.stopped {
			e.mutex.Unlock()
			return
		}
		e.admit()
		running := len(e.running)
		killed := e.hasCrashing()
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

// admit moves waiting requests into the batch while there are free slots. It drops requests whose client has left.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if isClosed(s.cancelled) {
			close(s.tokens)
			continue
		}
		e.started[s.id]++
		e.running = append(e.running, s)
	}
}

func (e *Engine) hasCrashing() bool {
	for _, s := range e.running {
		if s.crashes {
			return true
		}
	}
	return false
}

// step adds one token to every request in the batch and removes the finished and cancelled ones.
func (e *Engine) step(duration time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.steps++
	e.stepTime = duration
	var unfinished []*sequence
	for _, s := range e.running {
		if isClosed(s.cancelled) {
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
		unfinished = append(unfinished, s)
	}
	e.running = unfinished
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
	w.Header().Set("X-Request-Id", s.id)
	if e.isAborted(&request) || !e.enqueue(s) {
		panic(http.ErrAbortHandler)
	}
	if request.Stream {
		e.stream(w, s, request.Model)
		return
	}
	e.respond(w, s, request.Model)
}

func (e *Engine) isAborted(request *chatRequest) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.abortPrompt != "" && request.Messages[0].Content == e.abortPrompt
}

// newSequence returns the sequence of a request. When the request asks to continue an assistant message, the sequence
// starts after the words of that message.
func newSequence(r *http.Request, request *chatRequest, crashWord string) *sequence {
	messages, generated := request.Messages, 0
	if last := messages[len(messages)-1]; request.Continue && last.Role == "assistant" {
		messages, generated = messages[:len(messages)-1], len(strings.Fields(last.Content))
	}
	prompt := messages[len(messages)-1].Content
	count := request.MaxTokens
	if count <= 0 {
		count = defaultTokens
	}
	return &sequence{
		id: r.Header.Get("X-Request-Id"), words: Words(prompt, count), next: min(generated, count),
		tokens: make(chan string, count+1), cancelled: r.Context().Done(),
		crashes: crashWord != "" && containsWord(messages, crashWord),
	}
}

// containsWord reports whether a message contains a word.
func containsWord(messages []chatMessage, word string) bool {
	return slices.ContainsFunc(messages, func(m chatMessage) bool { return strings.Contains(m.Content, word) })
}

func (e *Engine) enqueue(s *sequence) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.dead {
		return false
	}
	e.waiting = append(e.waiting, s)
	e.wake.Signal()
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
	e.abortIfIncomplete(s)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) respond(w http.ResponseWriter, s *sequence, model string) {
	var words []string
	for word := range s.tokens {
		words = append(words, word)
	}
	e.abortIfIncomplete(s)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newCompletion(s.id, model, words))
}

// abortIfIncomplete closes the connection when the sequence ended before its last word.
func (e *Engine) abortIfIncomplete(s *sequence) {
	if s.next < len(s.words) {
		panic(http.ErrAbortHandler)
	}
}
