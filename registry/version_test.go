package registry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// Guards against a follower that fetches a configuration with version 0 again with each frame, or asks a replica for one that
// has none.
func TestConfigurationsAreFetchedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		version *uint64
		fetches int32
	}{"none": {nil, 0}, "version 0": {proto.Uint64(0), 1}, "version 7": {proto.Uint64(7), 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var fetches atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/watch" {
					fetches.Add(1)
					_, _ = protodelim.MarshalTo(w, &wire.RoutingDocument{Version: *c.version, Compressed: []byte("x")})
					return
				}
				for r.Context().Err() == nil {
					_, _ = protodelim.MarshalTo(w, &wire.WatchFrame{Version: c.version})
					_ = http.NewResponseController(w).Flush()
					time.Sleep(20 * time.Millisecond)
				}
			}))
			t.Cleanup(server.Close)
			var received atomic.Int32
			follower := registry.NewFollower(registry.FollowerSettings{
				Seeds:   func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} },
				IsEntry: true, Log: quietLog(), OnUpstreams: func([]roster.Entry, []roster.Entry) {},
				OnDocument: func(*wire.RoutingDocument) { received.Add(1) },
			})
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			defer stop()
			var done sync.WaitGroup
			done.Go(func() { _ = follower.Run(ctx) })
			done.Wait()
			require.Equal(t, c.fetches, fetches.Load())
			require.Equal(t, c.fetches, received.Load())
		})
	}
}
