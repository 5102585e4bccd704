package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainWorker is a worker of a service without engines. It answers each request whole.
type plainWorker struct {
	cluster         *cluster
	service, id, ip string
	zone            string
	born            int64

	mutex sync.Mutex
	beat  uint64
	state string
	// onRequest is called for each request that the worker runs.
	onRequest func(w *plainWorker, id string)
}

func newPlainWorker(c *cluster, service, ip, zone string, onRequest func(w *plainWorker, id string)) (*plainWorker, error) {
	w := &plainWorker{
		cluster: c, service: service, ip: ip, zone: zone, born: time.Now().UnixMilli(), state: "ready", onRequest: onRequest,
		id: fmt.Sprintf("i-%s-%d", ip, time.Now().UnixMilli()),
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, workerPort))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	go w.sendHeartbeats()
	return w, nil
}

func (w *plainWorker) serve(writer http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Guavahitch-Attempt-Id")
	writer.Header().Set("Guavahitch-Attempt-Id", id)
	if r.Header.Get("Guavahitch-Expect-Instance") != w.id {
		writer.Header().Set("Guavahitch-Instance-Id", w.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if w.onRequest != nil {
		w.onRequest(w, id)
	}
	writer.Header().Set("Guavahitch-Server-Seal", "seal-"+id)
	fmt.Fprintf(writer, "answer to %s", id)
}

// sendHeartbeats announces the worker to control.
func (w *plainWorker) sendHeartbeats() {
	for {
		w.mutex.Lock()
		w.beat++
		body := map[string]any{
			"backend": w.service, "address": fmt.Sprintf("%s:%d", w.ip, workerPort), "zone": w.zone, "version": "v1", "slots": 6,
			"state": w.state, "coldRemainingMs": 0, "sequence": w.beat, "born": w.born,
		}
		w.mutex.Unlock()
		for n := range controls {
			status, _ := w.cluster.call(http.MethodPost, w.cluster.controlURL(rand.IntN(controls)+n)+"/instances/"+w.id+"/heartbeat", body)
			if status/100 == 2 {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// ask sends one request to an entry and returns the status and the body.
func (c *cluster) ask(client *http.Client, entry int, method, path, id string, deadline time.Duration) (int, string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", c.entries[entry].ip, frontPort, path), http.NoBody)
	if err != nil {
		return 0, ""
	}
	request.Host = "desk.example"
	request.Header.Set("Guavahitch-Attempt-Id", id)
	request.Header.Set("Guavahitch-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token key-1")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// configurationOfDesk is the configuration of a safe and an unsafe route to one service.
func configurationOfDesk(version int) map[string]any {
	routeOf := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "desk.example", "pathPrefix": prefix, "type": kind, "timeoutMs": 4000, "targetLatencyMs": 300,
			"priority": 2, "backend": "desk", "maxAttempts": attempts, "noAuth": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{routeOf("r-1", "/check/", "safe", 2), routeOf("r-2", "/order/", "unsafe", 2)},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "shop", "apiKeys": []any{"key-1"}, "priority": 1}},
	}
}
