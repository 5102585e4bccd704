package registry_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
)

// warningTimeout is the time within which an operator has to learn that configurations do not arrive.
const warningTimeout = 5 * time.Second

// lines holds log lines. It is safe for concurrent use.
type lines struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(line)
}

// count returns the number of lines that hold all of the words.
func (l *lines) count(words ...string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for line := range strings.Lines(l.buffer.String()) {
		holdsAll := true
		for _, word := range words {
			holdsAll = holdsAll && strings.Contains(line, word)
		}
		if holdsAll {
			count++
		}
	}
	return count
}

func (l *lines) log() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(l)
	return logrus.NewEntry(logger)
}

// Guards against a follower that gets no frames for minutes and writes no line, because its streams end before the first frame.
func TestFollowerWarnsOfMissingFrames(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/watch" {
			_, _ = w.Write([]byte{3, 0xff, 0xff, 0xff})
		}
	}))
	defer broken.Close()
	address := strings.TrimPrefix(broken.URL, "http://")
	var written lines
	scope := tally.NewTestScope("", nil)
	follower := registry.NewFollower(registry.FollowerSettings{
		Seeds: func() []string { return []string{address} }, IsEntry: true, Log: written.log(), Scope: scope,
		OnUpstreams: func([]roster.Entry, []roster.Entry) {},
	})
	ctx, stop := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = follower.Run(ctx) })
	require.Eventually(t, func() bool { return written.count("no frame from any replica", "read watch frame") == 1 },
		warningTimeout, 10*time.Millisecond)
	stop()
	done.Wait()
	require.Equal(t, 1, written.count("no stream to replica", address, "read watch frame"))
	require.Greater(t, scope.Snapshot().Gauges()["frame_age_seconds+"].Value(), 2.0)
	require.Greater(t, scope.Snapshot().Counters()["watch_streams_lost+"].Value(), int64(3))
}

// Guards against a replica that ends a stream without a line in its log: here, the follower reads nothing.
func TestReplicaLogsWhyAStreamEnded(t *testing.T) {
	var written lines
	g := newLoggedGroup(t, 1, 0, written.log())
	g.submit(1)
	connection, err := net.Dial("tcp", g.seeds[0])
	require.NoError(t, err)
	defer connection.Close()
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(1))
	_, err = connection.Write([]byte("GET /watch?Name=entry-9 HTTP/1.1\r\nHost: a\r\n\r\n"))
	require.NoError(t, err)
	loads := make([]registry.Load, 20_000)
	for n := range loads {
		loads[n] = registry.Load{ID: strings.Repeat("u", 50)}
	}
	require.Eventually(t, func() bool {
		g.running[g.seeds[0]].UpdateLoads("group", loads)
		return written.count("stream to follower ended", "entry-9", "cause=timeout") == 1
	}, 20*time.Second, 20*time.Millisecond)
}
