package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Post sends a call to an address and returns the status and the body. The status is 0 if no whole answer came within a
// second.
func (r *Rig) Post(address, path string, body []byte) (int, []byte) {
	return r.call(http.MethodPost, address, path, body)
}

// Get reads a path at an address.
func (r *Rig) Get(address, path string) (int, []byte) {
	return r.call(http.MethodGet, address, path, nil)
}

func (r *Rig) call(method, address, path string, body []byte) (int, []byte) {
	status, answer := r.exchange(method, address, path, body)
	r.Record.Printf("%s %s at %s: %d", method, path, address, status)
	return status, answer
}

func (r *Rig) exchange(method, address, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// Configure sends a configuration to one control process after the other until one acknowledges it. It returns an error if
// none does within the time.
func (r *Rig) Configure(version int, configuration any, limit time.Duration) error {
	data, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	status, answer := 0, []byte(nil)
	isDone := Await(limit, func() bool {
		for n := range r.Controls {
			status, answer = r.Post(r.ControlAddress(n), "/config/replace", data)
			if status == http.StatusOK {
				r.Record.Printf("operator: version %d acknowledged by %s", version, r.Controls[n].Name)
				return true
			}
		}
		return false
	})
	if !isDone {
		return fmt.Errorf("version %d is not acknowledged: status %d %s", version, status, answer)
	}
	return nil
}

// Key is the key of the only tenant, Tenant its name.
const (
	Key    = "n2ctnfzs989anu6wsjnb"
	Tenant = "hule930"
	Host   = "ficu95.example"
)

// Plain returns a configuration with one plain service, which has an unsafe route /place/ and a safe route /status/.
func Plain(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": Host, "pathPrefix": prefix, "type": kind, "timeoutMs": 4000, "targetLatencyMs": 300,
			"priority": 2, "backend": "desk", "maxAttempts": attempts, "noAuth": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("r-place", "/place/", "unsafe", 1), route("r-status", "/status/", "safe", 2)},
		"services": []any{map[string]any{
			"name": "desk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []string{Key}, "priority": 1}},
	}
}
