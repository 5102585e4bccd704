package registry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// Guards against a first configuration with version 0 that is acknowledged and never takes effect, because it looks like none: at
// entries that run or start, after a restart of all replicas, and beside a repeated submission.
func TestFirstConfigurationMayHaveVersionZero(t *testing.T) {
	g := newGroup(t, 3, 1)
	running := g.observe()
	g.submit(0)
	running.requireHeard(t, 0)
	g.submit(0)
	g.observe().requireHeard(t, 0)
	g.restartAll()
	g.observe().requireHeard(t, 0)
	g.submit(3)
	running.requireHeard(t, 3)
	g.submit(0)
	g.observe().requireHeard(t, 3)
	require.Equal(t, []uint64{0, 3}, running.heardVersions())
}

// offeringReplica starts a server that offers followers a version every 20 ms, none if it is nil, and answers fetches.
func offeringReplica(t *testing.T, version *uint64, answer http.HandlerFunc) (address string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/watch" {
			answer(w, r)
			return
		}
		for r.Context().Err() == nil {
			_, _ = protodelim.MarshalTo(w, &wire.WatchFrame{Version: version})
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// followFor follows a replica for a time and returns how many configurations were received.
func followFor(t *testing.T, address string, length time.Duration, log *logrus.Entry) int32 {
	var received atomic.Int32
	follower := registry.NewFollower(registry.FollowerSettings{
		Seeds: func() []string { return []string{address} }, IsEntry: true, Log: log,
		OnUpstreams: func([]roster.Entry, []roster.Entry) {}, OnDocument: func(*wire.RoutingDocument) { received.Add(1) },
	})
	ctx, stop := context.WithTimeout(t.Context(), length)
	defer stop()
	require.NoError(t, follower.Run(ctx))
	return received.Load()
}

// Guards against a follower that fetches a configuration with version 0 again with each frame, asks a replica for one that has none, or
// takes an answer without a text for one.
func TestConfigurationsAreFetchedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		version *uint64
		empty   int32
		fetches int32
	}{
		"none": {nil, 0, 0}, "version 0": {proto.Uint64(0), 0, 1}, "version 7": {proto.Uint64(7), 0, 1},
		"an empty answer before": {proto.Uint64(0), 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var fetches atomic.Int32
			address := offeringReplica(t, c.version, func(w http.ResponseWriter, _ *http.Request) {
				document := &wire.RoutingDocument{Version: *c.version, Compressed: []byte("x")}
				if fetches.Add(1) <= c.empty {
					document = &wire.RoutingDocument{}
				}
				_, _ = protodelim.MarshalTo(w, document)
			})
			received := followFor(t, address, time.Second, quietLog())
			require.Equal(t, c.fetches, fetches.Load())
			require.Equal(t, c.fetches-c.empty, received)
		})
	}
}

// Guards against an entry without any configuration that writes no line, although replicas offer one that it cannot fetch.
func TestFollowerWarnsOfAConfigurationThatIsNotFetched(t *testing.T) {
	t.Parallel()
	var written lines
	address := offeringReplica(t, proto.Uint64(0), http.NotFound)
	require.Zero(t, followFor(t, address, warningTimeout, written.log()))
	require.Equal(t, 1, written.count("the newest configuration is not fetched", "offered=0"))
}
