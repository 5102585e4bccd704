package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// Arrival is a request that reached a worker.
	Arrival struct {
		ID   string
		At   time.Time
		IsOK bool
	}

	// Worker is a stand-in of a worker of a plain service.
	Worker struct {
		ID      string
		Service string
		Address string
		// Work is the time of a request.
		Work time.Duration
		// Handle, when set, answers the requests that the worker runs.
		Handle http.HandlerFunc

		rig      *Rig
		born     int64
		server   *http.Server
		stopped  chan struct{}
		mutex    sync.Mutex
		sequence int
		arrivals []Arrival
		isSilent bool
	}
)

// StartWorker starts a worker on a host of its own and its heartbeats.
func (r *Rig) StartWorker(id, service string) (*Worker, error) {
	listener, err := net.Listen("tcp", r.NewHost()+":0")
	if err != nil {
		return nil, err
	}
	w := &Worker{
		ID: id, Service: service, Address: listener.Addr().String(), Work: 20 * time.Millisecond, rig: r,
		born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	return w, nil
}

// Stop ends the worker.
func (w *Worker) Stop() {
	w.Silence()
	_ = w.server.Close()
	w.rig.Record.Printf("worker %s exits", w.ID)
}

// Silence ends the heartbeats.
func (w *Worker) Silence() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.isSilent {
		w.isSilent = true
		close(w.stopped)
	}
}

// beat sends a heartbeat at each interval, to one control process after the other until one acknowledges it.
func (w *Worker) beat() {
	for n := 0; ; n++ {
		body := w.NextHeartbeat("ready")
		for k := range w.rig.Controls {
			if status, _ := w.rig.Post(w.rig.ControlAddress((n+k)%len(w.rig.Controls)), w.HeartbeatPath(), body); status == http.StatusOK {
				break
			}
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(HeartbeatTime):
		}
	}
}

// HeartbeatPath returns the path of the worker's heartbeats.
func (w *Worker) HeartbeatPath() string { return "/instances/" + w.ID + "/heartbeat" }

// NextHeartbeat returns the body of the next heartbeat.
func (w *Worker) NextHeartbeat(state string) []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"backend": w.Service, "address": w.Address, "zone": "z", "version": "v1", "slots": 6, "state": state,
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	})
	return body
}

// Deregister tells control that the worker leaves, and returns which control process acknowledged that and when.
func (w *Worker) Deregister() (by string, at time.Time, isDone bool) {
	w.Silence()
	for n := range w.rig.Controls {
		status, _ := w.rig.Post(w.rig.ControlAddress(n), "/instances/"+w.ID+"/deregister", nil)
		if status == http.StatusOK {
			by, at = w.rig.Controls[n].Name, time.Now()
			w.rig.Record.Printf("worker %s: its departure is acknowledged by %s", w.ID, by)
			return by, at, true
		}
	}
	return "", time.Time{}, false
}

// Arrivals returns the requests that reached the worker and were not answered with 421.
func (w *Worker) Arrivals() []Arrival {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]Arrival{}, w.arrivals...)
}

func (w *Worker) serve(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Guavahitch-Instance-Id", w.ID)
	if request.URL.Path == "/health" {
		return
	}
	id := request.Header.Get("Guavahitch-Attempt-Id")
	writer.Header().Set("Guavahitch-Attempt-Id", id)
	if expected := request.Header.Get("Guavahitch-Expect-Instance"); expected != "" && expected != w.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mutex.Lock()
	w.arrivals = append(w.arrivals, Arrival{ID: id, At: time.Now()})
	w.mutex.Unlock()
	w.rig.Record.Printf("worker %s runs %s", w.ID, id)
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	if w.Handle != nil {
		w.Handle(writer, request)
		return
	}
	time.Sleep(w.Work)
	writer.Header().Set("Guavahitch-Server-Seal", w.ID+"."+id)
	fmt.Fprintf(writer, "%s did %s", w.ID, id)
}

// Redirect changes the address that the heartbeats name.
func (w *Worker) Redirect(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.Address = address
}
