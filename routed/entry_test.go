package routed_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/fake"
	"guavahitch.example/guavahitch/forward"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/routed"
)

var testHeaders = forward.Headers{
	RequestID: "X-Request", Deadline: "X-Deadline", Seal: "X-Seal", NotExecuted: "X-Not-Executed",
	ExpectInstance: "X-Expect", Organisation: "X-Organisation", LastEvent: "Last-Event-Id",
	Culprit: "X-Culprit",
}

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := fake.FreeAddress()
	require.NoError(t, err)
	return address
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// parse returns a configuration with one streaming route, for any text.
func parse([]byte) (*route.Configuration, error) {
	return &route.Configuration{
		Version:  1,
		Services: []route.Service{{Name: "matching"}},
		Routes: []route.Route{{
			Name: "r", Host: "bank.test", Prefix: "/match/", Kind: route.Stream, Timeout: 10 * time.Second, Attempts: 2, IsResumable: true,
			Split: []route.Share{{Service: "matching", Weight: 1}},
		}},
	}, nil
}

// stream answers with one event, and with a second one when end is closed.
func stream(end <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request", r.Header.Get("X-Request"))
		w.Header().Set("X-Seal", "s")
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-end
		fmt.Fprint(w, "id: 2\ndata: b\n\n")
	}
}

func startControl(t testing.TB) *registry.Replica {
	t.Helper()
	replica, _ := startStoppableControl(t)
	return replica
}

// startStoppableControl starts a control group of one replica, and returns a function that stops it before the test ends.
func startStoppableControl(t testing.TB) (replica *registry.Replica, stop func()) {
	t.Helper()
	id := freeAddress(t)
	replica, err := registry.Open(registry.Settings{
		ID: id, Seeds: []string{id}, Folder: t.TempDir(), IsFounding: true, Parse: parse, Log: quietLog(),
	})
	require.NoError(t, err)
	server := &http.Server{Addr: id, Handler: replica.Handler()}
	go func() { _ = server.ListenAndServe() }()
	stop = sync.OnceFunc(func() {
		_ = server.Close()
		replica.Close()
	})
	t.Cleanup(stop)
	require.Eventually(t, func() bool { return replica.Submit(t.Context(), nil) == nil }, 10*time.Second, 20*time.Millisecond)
	return replica, stop
}

// newEntry returns an entry that follows the replica.
func newEntry(t testing.TB, listen string, replica *registry.Replica, settings forward.Settings) *routed.Entry {
	return newEntryWithGrace(t, listen, replica, settings, 8*time.Second)
}

func newEntryWithGrace(
	t testing.TB, listen string, replica *registry.Replica, settings forward.Settings, grace time.Duration,
) *routed.Entry {
	seeds := replica.Seeds()
	return routed.NewEntry(routed.EntrySettings{
		Listen: listen, Readiness: freeAddress(t), ReadinessPath: "/ready", Parse: parse, Grace: grace, Log: quietLog(),
		Seeds: func() []string { return seeds }, Forward: settings,
	})
}

// Guards against a graceful stop that cuts off streams. The entry stops while a stream is under way, and the stream
// must still reach its last event.
func TestGracefulStopFinishesStreams(t *testing.T) {
	end := make(chan struct{})
	address := freeAddress(t)
	upstream := &http.Server{Addr: address, Handler: stream(end)}
	go func() { _ = upstream.ListenAndServe() }()
	defer upstream.Close()
	replica := startControl(t)
	replica.Announce(t.Context(), roster.Instance{ID: "u1", Born: 1, Service: "matching", Address: address, State: roster.Ready})

	front := freeAddress(t)
	entry := newEntry(t, front, replica, forward.Settings{Headers: testHeaders, StreamIdleTimeout: 9 * time.Second})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- entry.Run(ctx) }()
	require.Eventually(t, entry.IsReady, 10*time.Second, 5*time.Millisecond)

	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/match/x", http.NoBody)
	require.NoError(t, err)
	request.Host = "bank.test"
	request.Header.Set("X-Request", "q1")
	var response *http.Response
	require.Eventually(t, func() bool {
		response, err = http.DefaultClient.Do(request)
		return err == nil && response.StatusCode == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "id: 1\n", first)

	stop()
	require.Eventually(t, func() bool { return !entry.IsReady() }, 10*time.Second, time.Millisecond)
	time.AfterFunc(3*time.Second, func() { close(end) })
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Contains(t, string(rest), "data: b")
	require.NoError(t, <-done)
}
