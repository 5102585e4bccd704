package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// host is the host of all routes.
	host = "review.example"
	// apiKey is the key of the only tenant.
	apiKey = "key-of-the-review"
	// clientDeadline is how long a client waits.
	clientDeadline = 8 * time.Second
)

// client sends single requests to the entries in turn, each on a new connection.
type client struct {
	record  *record
	entries []*machine
	http    *http.Client
	sent    atomic.Int64
}

func newClient(d *deployment) *client {
	return &client{
		record: d.record, entries: d.entries,
		http: &http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// send sends a request and returns the status of the response, 0 without one.
func (c *client) send(method, path, body string) int {
	entry := c.entries[c.sent.Add(1)%int64(len(c.entries))]
	attempt := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(method, "http://"+entry.frontAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Guavahitch-Attempt-Id", attempt)
	request.Header.Set("Guavahitch-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+apiKey)
	response, err := c.http.Do(request)
	if err != nil {
		c.record.add("client: %s at %s: %v", attempt, entry.name, err)
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	c.record.add("client: %s at %s: %s %q", attempt, entry.name, describe(response.StatusCode, err), text)
	return response.StatusCode
}

// awaitService sends requests until one is answered by every entry.
func (c *client) awaitService(path string) bool {
	until := time.Now().Add(startTimeout)
	for served := 0; served < 2*len(c.entries); {
		if time.Now().After(until) {
			return false
		}
		if c.send(http.MethodGet, path, "") == http.StatusOK {
			served++
		} else {
			served = 0
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// plainConfiguration returns a configuration with one safe route to a plain service.
func plainConfiguration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-lookup", "hostname": host, "pathPrefix": "/lookup/", "type": "safe", "timeoutMs": 1000, "targetLatencyMs": 100,
			"priority": 2, "backend": "desk", "maxAttempts": 2, "noAuth": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{
			"name": "desk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []any{apiKey}, "priority": 1}},
	}
}
