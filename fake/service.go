package fake

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// ServiceSettings describes a fake plain service.
	ServiceSettings struct {
		Name string
		// Delay is the duration of a call.
		Delay time.Duration
		// Before, when set, is called at the start of each call. Tests use it to stall the call or to stop a process.
		Before func(reference string)
	}

	// Service is a fake of a plain service, such as a ledger, whose calls must not be repeated. Every path runs a call,
	// except GET /references/{reference}, which reports whether a call with the reference has run. The reference of a call
	// is its header Idempotency-Key, or X-Request-Id when that is missing.
	Service struct {
		settings ServiceSettings
		mutex    sync.Mutex
		runs     map[string]int
		server   *http.Server
		address  string
	}

	// receipt is the response to a call.
	receipt struct {
		Service   string `json:"service"`
		Reference string `json:"reference"`
		Run       int    `json:"run"`
		Body      string `json:"body"`
	}
)

// NewService returns a service that is not started.
func NewService(settings ServiceSettings) *Service {
	return &Service{settings: settings, runs: map[string]int{}}
}

// Start listens on the address and serves until Stop is called. With port 0 the operating system chooses the port.
func (s *Service) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /references/{reference}", s.lookup)
	mux.HandleFunc("/", s.call)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.address = listener.Addr().String()
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Address returns the address on which the service listens.
func (s *Service) Address() string { return s.address }

// Stop ends the service and closes its connections.
func (s *Service) Stop() { _ = s.server.Close() }

// Runs returns how many times a call with the reference has run.
func (s *Service) Runs(reference string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[reference]
}

// AllRuns returns how many times a call with each reference has run.
func (s *Service) AllRuns() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := map[string]int{}
	for reference, n := range s.runs {
		all[reference] = n
	}
	return all
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	reference := r.Header.Get("Idempotency-Key")
	if reference == "" {
		reference = r.Header.Get("X-Request-Id")
	}
	if s.settings.Before != nil {
		s.settings.Before(reference)
	}
	s.mutex.Lock()
	s.runs[reference]++
	run := s.runs[reference]
	s.mutex.Unlock()
	time.Sleep(s.settings.Delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(receipt{Service: s.settings.Name, Reference: reference, Run: run, Body: string(body)})
}

func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	if s.Runs(r.PathValue("reference")) == 0 {
		http.Error(w, `{"state":"not-found"}`, http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, `{"state":"ran"}`)
}
