package daemon_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/daemon"
	"guavahitch.example/guavahitch/engine"
)

// noticeEngine is an engine that answers calls, asks for backoff, or says that it leaves.
type noticeEngine struct {
	address string
	// retryAfter is the Retry-After of its refusals in seconds, 0 to answer calls.
	retryAfter atomic.Int64
	isLeaving  atomic.Bool
	// rateLimit is the limit that it names in requests a second, 0 for none.
	rateLimit atomic.Int64
	calls     atomic.Int64
}

func (c *cluster) addNoticeEngine(name string) *noticeEngine {
	listener, err := net.Listen("tcp", loopback)
	require.NoError(c.t, err)
	m := &noticeEngine{address: listener.Addr().String()}
	server := &http.Server{Handler: m}
	go func() { _ = server.Serve(listener) }()
	c.t.Cleanup(func() { _ = server.Close() })
	c.addSidecar(name, m.address, "model", "m", 16)
	return m
}

// ServeHTTP answers a call or a request for the load.
func (m *noticeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.isLeaving.Load() {
		w.Header().Set(engine.HeaderLeaving, "1")
	}
	if limit := m.rateLimit.Load(); limit > 0 {
		w.Header().Set(engine.HeaderRateLimit, strconv.FormatInt(limit, 10))
	}
	if r.Method == http.MethodGet {
		fmt.Fprint(w, `{"capacity":16,"step_us":1000}`)
		return
	}
	m.calls.Add(1)
	if seconds := m.retryAfter.Load(); seconds > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprint(w, `{"choices":[{"message":{"content":"done"}}]}`)
}

// ask sends requests one after the other and returns the statuses.
func (c *cluster) ask(client *http.Client, address string, count int) map[int]int {
	statuses := map[int]int{}
	for n := range count {
		got := send(client, address, chatPath, "", chatBody(fmt.Sprint("ask ", n), 1, false))
		require.NoError(c.t, got.err)
		statuses[got.status]++
	}
	return statuses
}

// An engine that asks for backoff, or says that it leaves, must get no further calls through the chat
// interface; the calls go on to the other engine, and are refused with the time until the first backoff ends if there is none.
func TestEnginesThatRefuseQueuedOrLeave(t *testing.T) {
	c := newCluster(t, 1)
	closing, leaving := c.addNoticeEngine("up-1"), c.addNoticeEngine("up-2")
	entry := c.addEntry("entry-1")
	c.awaitRoom(entry, "m", 2)
	client := &http.Client{}
	t.Cleanup(client.CloseIdleConnections)
	address := entry.CallerAddress()

	closing.retryAfter.Store(4)
	require.Equal(t, map[int]int{200: 20}, c.ask(client, address, 20))
	require.EqualValues(t, 1, closing.calls.Load())
	askedAt := time.Now()

	leaving.retryAfter.Store(30)
	c.ask(client, address, 1)
	require.Equal(t, map[int]int{503: 5}, c.ask(client, address, 5))
	got := send(client, address, chatPath, "", chatBody("refused", 1, false))
	refusal, err := refusalOf(got.body)
	require.NoError(t, err)
	require.Equal(t, "NotRun", refusal.Outcome)
	require.Equal(t, "backoff", refusal.Reason)
	require.InDelta(t, 4000, refusal.RetryAfterMs, 2100)
	require.EqualValues(t, 1, closing.calls.Load())

	closing.retryAfter.Store(0)
	require.Eventually(t, func() bool { return c.ask(client, address, 1)[200] == 1 }, waitTimeout, 50*time.Millisecond)
	require.Greater(t, time.Since(askedAt), 3*time.Second)

	closing.isLeaving.Store(true)
	leaving.retryAfter.Store(0)
	require.Equal(t, map[int]int{200: 1}, c.ask(client, address, 1))
	before := closing.calls.Load()
	require.NotEqual(t, 200, c.ask(client, address, 1)[200])
	require.Equal(t, before, closing.calls.Load())
	closing.isLeaving.Store(false)
	require.Eventually(t, func() bool { return c.ask(client, address, 1)[200] == 1 }, waitTimeout, 50*time.Millisecond,
		"an engine that no longer says so has started again")
}

// Guards against calls of the chat interface beyond the limit that an engine names for all entries together. They go on to the
// other engine, and are refused with a time to come back if that names a limit too, until it names none any more.
func TestEngineGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	const limit, length = 2, 4 * time.Second
	c := newCluster(t, 1)
	limited, other := c.addNoticeEngine("up-1"), c.addNoticeEngine("up-2")
	entries := []*daemon.Process{c.addEntry("entry-1"), c.addEntry("entry-2")}
	client := &http.Client{}
	t.Cleanup(client.CloseIdleConnections)
	for _, entry := range entries {
		c.awaitRoom(entry, "m", 2)
	}
	limited.rateLimit.Store(limit)
	run := func() map[int]int {
		statuses := map[int]int{}
		for start, n := time.Now(), 0; time.Since(start) < length; n++ {
			for status, count := range c.ask(client, entries[n%2].CallerAddress(), 1) {
				statuses[status] += count
			}
			time.Sleep(20 * time.Millisecond)
		}
		return statuses
	}
	before := limited.calls.Load()
	statuses := run()
	t.Logf("one engine limited: %v", statuses)
	require.Len(t, statuses, 1)
	require.NotZero(t, statuses[http.StatusOK])
	allowed := 1.5*limit*length.Seconds() + 5
	require.LessOrEqual(t, float64(limited.calls.Load()-before), allowed)

	other.rateLimit.Store(limit)
	c.ask(client, entries[0].CallerAddress(), 1)
	before, beforeOther := limited.calls.Load(), other.calls.Load()
	statuses = run()
	t.Logf("both engines limited: %v", statuses)
	require.LessOrEqual(t, float64(limited.calls.Load()-before), allowed)
	require.LessOrEqual(t, float64(other.calls.Load()-beforeOther), allowed)
	require.GreaterOrEqual(t, float64(statuses[http.StatusOK]), limit*length.Seconds())
	require.NotZero(t, statuses[http.StatusServiceUnavailable])
	got := send(client, entries[0].CallerAddress(), chatPath, "", chatBody("refused", 1, false))
	if got.status != http.StatusOK {
		refusal, err := refusalOf(got.body)
		require.NoError(t, err)
		require.Equal(t, "NotRun", refusal.Outcome)
		require.Positive(t, refusal.RetryAfterMs)
	}

	limited.rateLimit.Store(0)
	require.Eventually(t, func() bool { return c.ask(client, entries[0].CallerAddress(), 10)[http.StatusOK] == 10 }, waitTimeout, 50*time.Millisecond)
}
