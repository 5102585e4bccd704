package dev_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/dev"
	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/fake"
)

// readyWriter closes ready when the ready line is written.
type readyWriter struct{ ready chan struct{} }

func (w *readyWriter) Write(data []byte) (int, error) {
	if bytes.HasPrefix(data, []byte("ready ")) {
		close(w.ready)
	}
	return len(data), nil
}

// system is a running Dev. base is the URL for callers, routed that for routed requests.
type system struct {
	t      *testing.T
	base   string
	routed string
}

func startSystem(t *testing.T) *system {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := dev.New(dev.Settings{Listen: "127.0.0.1:0", Operators: "127.0.0.1:0", Folder: filepath.Join(t.TempDir(), "new")}, log)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	out := &readyWriter{ready: make(chan struct{})}
	go func() { ended <- d.Run(ctx, out) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	<-out.ready
	return &system{t: t, base: "http://" + d.CallerAddress(), routed: "http://" + d.RoutedAddress()}
}

func (s *system) send(method, path, key, body string) (int, string) {
	request, err := http.NewRequest(method, s.base+path, strings.NewReader(body))
	require.NoError(s.t, err)
	request.Header.Set("Guavahitch-Organisation", "laurentides")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return response.StatusCode, string(text)
}

func (s *system) refusal(method, path, key, body string) (int, dispatch.RefusalError) {
	status, text := s.send(method, path, key, body)
	var refusal dispatch.Refusal
	require.NoError(s.t, json.Unmarshal([]byte(text), &refusal), text)
	return status, refusal.Error
}

const chatPath = "/v1/chat/completions"

// TestRequestsEndToEnd sends requests through an entry and a sidecar to the fake upstreams and checks answers and refusals.
func TestRequestsEndToEnd(t *testing.T) {
	s := startSystem(t)

	t.Run("chat is answered in one response", func(t *testing.T) {
		status, text := s.send("POST", chatPath, "", `{"model":"matching","messages":[{"role":"user","content":"mend a roof"}],"max_tokens":6}`)
		require.Equal(t, 200, status)
		require.Contains(t, text, strings.Join(fake.Words("mend a roof", 6), " "))
	})
	t.Run("chat is streamed to its end", func(t *testing.T) {
		status, text := s.send("POST", chatPath, "", `{"model":"matching","messages":[{"role":"user","content":"mend a roof"}],"max_tokens":6,"stream":true}`)
		require.Equal(t, 200, status)
		require.Equal(t, 7, strings.Count(text, "data: "))
		require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
	})
	t.Run("a retry gets the first answer", func(t *testing.T) {
		_, first := s.send("POST", "/ledger/entries", "k1", `{"hours":2}`)
		_, second := s.send("POST", "/ledger/entries", "k1", `{"hours":2}`)
		require.Contains(t, first, `"run":1`)
		require.Equal(t, first, second)
	})
	t.Run("the same key with another body is an error", func(t *testing.T) {
		status, refusal := s.refusal("POST", "/ledger/entries", "k1", `{"hours":3}`)
		require.Equal(t, 422, status)
		require.Equal(t, "key-reused", refusal.Reason)
	})
	t.Run("a call that must not be repeated needs a key", func(t *testing.T) {
		status, refusal := s.refusal("POST", "/ledger/entries", "", `{}`)
		require.Equal(t, 400, status)
		require.Equal(t, "key-missing", refusal.Reason)
	})
	t.Run("invalid input gets a 4xx with a reason", func(t *testing.T) {
		for body, reason := range map[string]string{
			`{`:                    "bad-json",
			`[]`:                   "bad-json",
			`{"messages":[]}`:      "bad-model",
			`{"model":"nope"}`:     "unknown-model",
			`{"model":"matching"}`: "bad-messages",
			`{"model":"matching","messages":[{"role":"user","content":"x"}],"max_tokens":0}`: "bad-max-tokens",
		} {
			status, refusal := s.refusal("POST", chatPath, "", body)
			require.Equal(t, 4, status/100, body)
			require.Equal(t, reason, refusal.Reason, body)
			require.Equal(t, "NotRun", refusal.Outcome)
		}
		status, refusal := s.refusal("GET", "/ledger/status/..%2f..%2fadmin", "", "")
		require.Equal(t, 400, status)
		require.Equal(t, "bad-path", refusal.Reason)
	})
	t.Run("a request that crashes engines is refused after two crashes", func(t *testing.T) {
		status, refusal := s.refusal("POST", chatPath, "", `{"model":"matching","messages":[{"role":"user","content":"crash-the-engine"}]}`)
		require.Equal(t, 502, status)
		require.Equal(t, "crashed-upstreams", refusal.Reason)
		status, refusal = s.refusal("POST", chatPath, "", `{"model":"matching","messages":[{"role":"user","content":"crash-the-engine"}]}`)
		require.Equal(t, 422, status)
		require.Equal(t, "deadly", refusal.Reason)
		require.Equal(t, "NotRun", refusal.Outcome)
	})
}

// TestRoutedRequests sends routed requests to a plain service and to a stream, with a valid key, an invalid key and an
// unknown path.
func TestRoutedRequests(t *testing.T) {
	s := startSystem(t)
	send := func(method, path, key string) (int, string) {
		request, err := http.NewRequest(method, s.routed+path, strings.NewReader("prompt"))
		require.NoError(t, err)
		request.Host = "dev.example"
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(text)
	}
	status, text := send(http.MethodGet, "/balance/7", "dev-key")
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"Organisation":"laurentides","Hours":12}`, text)
	status, text = send(http.MethodPost, "/draft/1", "dev-key")
	require.Equal(t, http.StatusOK, status)
	require.True(t, strings.HasPrefix(text, "id: 1\ndata: piece 1\n\n") && strings.HasSuffix(text, "piece 8\n\n"), text)
	status, _ = send(http.MethodGet, "/balance/7", "other")
	require.Equal(t, http.StatusUnauthorized, status)
	status, _ = send(http.MethodGet, "/nowhere/", "dev-key")
	require.Equal(t, http.StatusNotFound, status)
}
