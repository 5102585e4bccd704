package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/upstream"
)

func call(ctx context.Context, c *upstream.Client, url, body string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	response, err := c.Do(request)
	if err != nil {
		return "", err
	}
	answer, err := io.ReadAll(response.Body)
	return string(answer), err
}

// Sequential calls to one address must share a connection.
func TestClientKeepsConnections(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(append([]byte(r.URL.Path+" "), body...))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := upstream.NewClient(time.Second)
	for _, body := range []string{"a", "b", "c"} {
		answer, err := call(t.Context(), c, server.URL+"/give", body)
		require.NoError(t, err)
		require.Equal(t, "/give "+body, answer)
	}
	require.EqualValues(t, 1, opened.Load())
}

// A cancelled call must end at once, and its late response must not be taken as the response of the next call.
func TestClientCancellation(t *testing.T) {
	var calls atomic.Int32
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			<-release
		}
		_, _ = w.Write([]byte(r.URL.Path))
	}))
	defer server.Close()
	defer close(release)
	c := upstream.NewClient(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := call(ctx, c, server.URL+"/first", "")
	require.Error(t, err)
	answer, err := call(t.Context(), c, server.URL+"/second", "")
	require.NoError(t, err)
	require.Equal(t, "/second", answer)
}

// A context that ends while the response arrives must not make Do return neither a response nor an error.
func TestClientCancelledDuringResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	c := upstream.NewClient(time.Second)
	_, err := call(t.Context(), c, server.URL, "")
	require.NoError(t, err)
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, http.NoBody)
		require.NoError(t, err)
		response, err := c.Do(request)
		require.True(t, response != nil || err != nil)
	}
}
