package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// continuedEvents is the part of a chat stream that comes before the engine breaks off.
const continuedEvents = "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n"

// addBrokenEngine adds an engine that breaks off each stream after its first event, and answers calls that continue one with
// the function.
func (c *cluster) addBrokenEngine(name string, continueStream http.HandlerFunc) {
	listener, err := net.Listen("tcp", loopback)
	require.NoError(c.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprint(w, `{"capacity":16,"step_us":1000}`)
			return
		}
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), "continue_final_message") {
			continueStream(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, continuedEvents)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(listener) }()
	c.t.Cleanup(func() { _ = server.Close() })
	c.addSidecar(name, listener.Addr().String(), "model", "m", 16)
}

// Guards against a chat stream that has begun and broken off, and into which the answer of the next engine is written although it
// does not continue the stream. The stream must not look complete.
func TestAnswersThatDoNotContinueAChat(t *testing.T) {
	const text = "the engine is broken"
	for name, form := range map[string]struct {
		status            int
		contentType, body string
	}{
		"internal error":         {500, "application/json", `{"error":"` + text + `"}`},
		"error as events":        {500, "text/event-stream", "data: " + text + "\n\n"},
		"bad request":            {400, "application/json", `{"error":"` + text + `"}`},
		"redirection":            {302, "text/plain", text},
		"success in JSON":        {200, "application/json", `{"error":"` + text + `"}`},
		"text in place of event": {200, "text/event-stream", text},
		"no events":              {200, "text/event-stream", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1)
			for _, upstream := range []string{"up-1", "up-2"} {
				c.addBrokenEngine(upstream, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Type", form.contentType)
					w.WriteHeader(form.status)
					fmt.Fprint(w, form.body)
				})
			}
			entry := c.addEntry("entry-1")
			c.awaitRoom(entry, "m", 2)
			client := &http.Client{}
			t.Cleanup(client.CloseIdleConnections)
			got := send(client, entry.CallerAddress(), chatPath, "", chatBody("continue", 4, true))
			require.Error(t, got.err, "the stream looks complete: %s", got.body)
			require.True(t, strings.HasPrefix(got.body, continuedEvents), got.body)
			require.NotContains(t, got.body, text)
		})
	}
}
