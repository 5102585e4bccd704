package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the time between two heartbeats of a worker.
	heartbeatInterval = 1200 * time.Millisecond
	// workTime is how long a request runs at a worker.
	workTime = 15 * time.Millisecond
)

// run is a request that a worker has run.
type run struct {
	attempt string
	at      time.Time
}

// worker is a sound worker of a plain service.
type worker struct {
	record   *record
	controls []string
	service  string
	id       string
	zone     string
	address  string
	born     int64
	client   *http.Client
	server   *http.Server
	stopped  chan struct{}
	// group holds the fields of the group in heartbeats, nil for a plain worker.
	group map[string]any

	mutex    sync.Mutex
	sequence int
	runs     []run
}

// newWorker starts a worker at an address. It announces itself from then on.
func newWorker(d *deployment, service, zone, address string) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := describeWorker(d, service, zone, address)
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: startTimeout}
	go func() { _ = w.server.Serve(listener) }()
	go w.announce()
	return w, nil
}

// describeWorker returns a worker that neither listens nor announces itself yet.
func describeWorker(d *deployment, service, zone, address string) *worker {
	return &worker{
		record: d.record, controls: d.controlAddresses(), service: service, zone: zone, address: address,
		id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), stopped: make(chan struct{}),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// announce sends heartbeats until the worker stops.
func (w *worker) announce() {
	for {
		w.heartbeat()
		select {
		case <-w.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat to a machine, and to the next one if that does not acknowledge it within a second.
func (w *worker) heartbeat() {
	w.mutex.Lock()
	w.sequence++
	fields := map[string]any{
		"backend": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	}
	maps.Copy(fields, w.group)
	body, _ := json.Marshal(fields)
	w.mutex.Unlock()
	for _, i := range rand.Perm(len(w.controls)) {
		response, err := w.client.Post("http://"+w.controls[i]+"/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// serve runs a request.
func (w *worker) serve(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("Guavahitch-Attempt-Id")
	writer.Header().Set("Guavahitch-Attempt-Id", attempt)
	if expected := request.Header.Get("Guavahitch-Expect-Instance"); expected != "" && expected != w.id {
		writer.Header().Set("Guavahitch-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.mutex.Lock()
	w.runs = append(w.runs, run{attempt: attempt, at: time.Now()})
	w.mutex.Unlock()
	w.record.add("worker %s in %s runs %s", w.id, w.zone, attempt)
	time.Sleep(workTime)
	answer := fmt.Sprintf("answer to %s of %d bytes", attempt, len(body))
	writer.Header().Set("Guavahitch-Server-Seal", "seal-"+attempt)
	writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(writer, answer)
}

// runsSince returns the requests that began to run after a time.
func (w *worker) runsSince(since time.Time) []run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var found []run
	for _, r := range w.runs {
		if r.at.After(since) {
			found = append(found, r)
		}
	}
	return found
}

// stop ends the worker.
func (w *worker) stop() {
	close(w.stopped)
	_ = w.server.Close()
}
