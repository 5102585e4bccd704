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
		// Delay is the time that one call takes.
		Delay time.Duration
		// Before, when set, runs at the start of each call; tests use it to stall or to kill.
		Before func(reference string)
	}

	// Service is a stand-in for a ledger or order worker: POST runs a call that may not be repeated, GET
	// /references/{reference} tells whether a call with that reference has run.
	Service struct {
		settings ServiceSettings
		mutex    sync.Mutex
		runs     map[string]int
		server   *http.Server
		address  string
	}

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

// Start listens on the address, with port 0 for any, and serves until Stop.
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

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.address }

// Stop ends the service and cuts its connections.
func (s *Service) Stop() { _ = s.server.Close() }

// Runs returns how often a call with this reference has run.
func (s *Service) Runs(reference string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[reference]
}

// AllRuns returns how often each reference has run.
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
