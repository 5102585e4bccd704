package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyMark is in the body of the request that crashes workers.
	deadlyMark = "deadly"
	// streamWorkers is the number of workers of the streaming service, downTime how long one that has crashed is away.
	streamWorkers = 8
	downTime      = 2500 * time.Millisecond
	// eventTime is the time between two events. A deadly request crashes its worker at crashEvent, which is cut off within.
	eventTime    = 50 * time.Millisecond
	streamEvents = 16
	crashEvent   = 9
	// deadlyInterval is the time after which the deadly request comes again, deadlyTime how long it does.
	deadlyInterval = 1500 * time.Millisecond
	deadlyTime     = 40 * time.Second
	// contactTime is the bound contactMs.
	contactTime = 3 * time.Second
	// allowedRetries is how many retries may reach workers later than contactTime after the third crash.
	allowedRetries = 3
)

type (
	// crashes holds when deadly requests reached workers and when these crashed, and how many other requests ran there then.
	crashes struct {
		mutex   sync.Mutex
		reached []time.Time
		crashed []time.Time
		lost    int
	}

	// streamWorker is a worker of a streaming service that a deadly request crashes.
	streamWorker struct {
		*worker
		crashes *crashes
		isSound bool

		mutex    sync.Mutex
		running  int
		hasEnded bool
		ended    chan struct{}
	}
)

// deadlyCase sends, beside others, a request that crashes each worker that runs it, a few events after its stream has begun. It
// breaks BUDGET if the request still reaches workers more than allowedRetries times later than contactMs after the third crash.
func deadlyCase(r *record, hasTrouble bool) (outcome, error) {
	d, err := newDeployment(deploymentSettings{zones: []string{"zone-a", "zone-b", "zone-c"}, entries: 3, requireFence: true}, r)
	if err != nil {
		return invalid, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return invalid, err
	}
	o, c := newOperator(d), newClient(d)
	if err := o.configure(streamConfiguration(7)); err != nil {
		return invalid, err
	}
	all, stop := &crashes{}, make(chan struct{})
	var workers sync.WaitGroup
	for i := range streamWorkers {
		address := d.address() + ":8080"
		workers.Go(func() { runStreamWorkers(d, d.settings.zones[i%3], address, all, !hasTrouble, stop) })
	}
	defer workers.Wait()
	defer close(stop)
	if !c.awaitAnswers("/stream/1") {
		return invalid, nil
	}
	var others sync.WaitGroup
	until := time.Now().Add(deadlyTime)
	for range 4 {
		others.Go(func() {
			for time.Now().Before(until) {
				c.send(http.MethodPost, "/stream/1", "sound")
				time.Sleep(eventTime)
			}
		})
	}
	for time.Now().Before(until) {
		began := time.Now()
		c.send(http.MethodPost, "/stream/2", deadlyMark)
		time.Sleep(deadlyInterval - min(time.Since(began), deadlyInterval))
	}
	others.Wait()
	return all.judge(r, hasTrouble), nil
}

// judge counts the retries that reached workers too late.
func (c *crashes) judge(r *record, hasTrouble bool) outcome {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	late := 0
	if len(c.crashed) >= 3 {
		for _, at := range c.reached {
			if at.After(c.crashed[2].Add(contactTime)) {
				late++
			}
		}
	}
	r.add("the request reached workers %d times and crashed %d; %d times later than contactMs after the third crash; %d other requests were cut off",
		len(c.reached), len(c.crashed), late, c.lost)
	switch {
	case late > allowedRetries && len(c.crashed) >= 3:
		return broken
	case len(c.reached) == 0 || hasTrouble && len(c.crashed) == 0:
		return invalid
	default:
		return kept
	}
}

// awaitAnswers sends requests until one is answered by every entry.
func (c *client) awaitAnswers(path string) bool {
	until := time.Now().Add(startTimeout)
	for served := 0; served < 2*len(c.entries); {
		if time.Now().After(until) {
			return false
		}
		if c.send(http.MethodPost, path, "sound") == http.StatusOK {
			served++
		} else {
			served = 0
		}
	}
	return true
}

// runStreamWorkers runs one worker after the other at an address. The next one starts some time after the last one has crashed.
func runStreamWorkers(d *deployment, zone, address string, all *crashes, isSound bool, stop chan struct{}) {
	for n := 1; ; n++ {
		w, err := newStreamWorker(d, zone, address, all, isSound)
		if err != nil {
			d.record.add("worker at %s: %v", address, err)
			return
		}
		select {
		case <-stop:
			w.end()
			return
		case <-w.ended:
		}
		select {
		case <-stop:
			return
		case <-time.After(downTime):
		}
	}
}

func newStreamWorker(d *deployment, zone, address string, all *crashes, isSound bool) (*streamWorker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &streamWorker{worker: describeWorker(d, "stream", zone, address), crashes: all, isSound: isSound, ended: make(chan struct{})}
	w.server = &http.Server{Handler: http.HandlerFunc(w.stream), ReadHeaderTimeout: startTimeout}
	go func() { _ = w.server.Serve(listener) }()
	go w.announce()
	return w, nil
}

// stream runs a request as a stream of events.
func (w *streamWorker) stream(writer http.ResponseWriter, request *http.Request) {
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
	isDeadly := strings.Contains(string(body), deadlyMark)
	if isDeadly {
		w.record.add("deadly request %s reaches worker %s", attempt, w.id)
		w.crashes.mutex.Lock()
		w.crashes.reached = append(w.crashes.reached, time.Now())
		w.crashes.mutex.Unlock()
	}
	w.mutex.Lock()
	w.running++
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		w.running--
		w.mutex.Unlock()
	}()
	writer.Header().Set("Guavahitch-Server-Seal", "seal-"+attempt)
	writer.Header().Set("Content-Type", "text/event-stream")
	var last int
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
	for n, event := 1, last+1; event <= streamEvents; n, event = n+1, event+1 {
		if request.Context().Err() != nil {
			return
		}
		fmt.Fprintf(writer, "id: %d\ndata: event %d", event, event)
		_ = http.NewResponseController(writer).Flush()
		if isDeadly && !w.isSound && (n == crashEvent || event == streamEvents) {
			w.crash()
			return
		}
		_, _ = io.WriteString(writer, "\n\n")
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(eventTime)
	}
}

// crash ends the worker at once: all its connections break off.
func (w *streamWorker) crash() {
	w.mutex.Lock()
	others := w.running - 1
	w.mutex.Unlock()
	if w.end() {
		w.record.add("worker %s crashes with %d other requests", w.id, others)
		w.crashes.mutex.Lock()
		defer w.crashes.mutex.Unlock()
		w.crashes.crashed = append(w.crashes.crashed, time.Now())
		w.crashes.lost += others
	}
}

// end ends the worker, and reports whether it had not ended before.
func (w *streamWorker) end() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.hasEnded {
		return false
	}
	w.hasEnded = true
	close(w.stopped)
	_ = w.server.Close()
	close(w.ended)
	return true
}

// streamConfiguration returns a configuration with one resumable streaming route.
func streamConfiguration(version int) map[string]any {
	c := plainConfiguration(version)
	c["routes"] = []any{map[string]any{
		"name": "r-stream", "hostname": host, "pathPrefix": "/stream/", "type": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400,
		"priority": 1, "backend": "stream", "maxAttempts": 2, "noAuth": false, "sticky": false, "resumable": true, "gapTargetMs": 120,
	}}
	c["services"] = []any{map[string]any{
		"name": "stream", "healthPath": "/health", "maxConnections": 408, "protocol": "h1", "tls": false,
	}}
	return c
}
