package registry_test

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// inForceTimeout is the time within which an acknowledged configuration has to reach each entry.
const inForceTimeout = 2 * time.Second

// notUTF8 is an ID that a protobuf string cannot hold.
const notUTF8 = "u-\xff\x80"

// requireHeard checks that an entry has the version within inForceTimeout.
func (o *observer) requireHeard(t *testing.T, version uint64) {
	require.Eventually(t, func() bool {
		versions := o.heardVersions()
		return len(versions) > 0 && versions[len(versions)-1] == version
	}, inForceTimeout, time.Millisecond, "version %d", version)
}

// Guards against one item of a stream, a call or a command that cannot be encoded or is too large, and blocks the others.
func TestUnencodableItemsAreLeftOutAlone(t *testing.T) {
	large := make([]registry.Load, 400_000)
	for n := range large {
		large[n] = registry.Load{ID: strings.Repeat("u", 50)}
	}
	for name, disturb := range map[string]func(*testing.T, *replica){
		"an upstream": func(t *testing.T, r *replica) {
			require.NoError(t, r.Announce(t.Context(), heartbeat(notUTF8, 7, 1, roster.Ready)))
		},
		"a departure": func(t *testing.T, r *replica) { require.Error(t, r.Leave(t.Context(), notUTF8, 7)) },
		"a load": func(_ *testing.T, r *replica) {
			r.UpdateLoads("group", []registry.Load{{ID: notUTF8}, {ID: "u"}})
		},
		"an upstream of 2 MB": func(t *testing.T, r *replica) {
			i := heartbeat("long", 7, 1, roster.Ready)
			i.Domain = strings.Repeat("d", 2<<20)
			require.NoError(t, r.Announce(t.Context(), i))
		},
		"loads over the size of a frame": func(_ *testing.T, r *replica) { r.UpdateLoads("group", large) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3, 1)
			g.submit(1)
			o := g.observe()
			o.requireHeard(t, 1)
			for _, r := range g.running {
				disturb(t, r)
			}
			g.submit(2)
			o.requireHeard(t, 2)
			g.announce(heartbeat("u", 7, 1, roster.Ready))
			require.Eventually(t, func() bool { return o.stateOf("u") == roster.Ready }, inForceTimeout, time.Millisecond)
			g.leave("u", 7)
			require.Eventually(t, func() bool { return o.stateOf("u") == roster.Gone }, inForceTimeout, time.Millisecond)
		})
	}
}

// Guards against departures that share a log entry with one that cannot be encoded, and fail with it.
func TestUnencodableDepartureFailsAlone(t *testing.T) {
	g := newSlowGroup(t, 1, 0, slowSync)
	g.submit(1)
	r := g.running[g.seeds[0]]
	var calls sync.WaitGroup
	end := time.Now().Add(500 * time.Millisecond)
	calls.Go(func() {
		for time.Now().Before(end) {
			_ = r.Leave(t.Context(), notUTF8, 7)
		}
	})
	failures := 0
	for born := int64(1); time.Now().Before(end); born++ {
		if r.Leave(t.Context(), "u", born) != nil {
			failures++
		}
	}
	calls.Wait()
	require.Zero(t, failures)
}

// Guards against a follower that gets no configuration because it cannot read the frames of a replica.
func TestConfigurationArrivesWithoutReadableFrames(t *testing.T) {
	for name, frame := range map[string][]byte{
		"not a message":           {3, 0xff, 0xff, 0xff},
		"over the limit":          binary.AppendUvarint(nil, 1<<30),
		"cut short":               {100, 1},
		"a field of another type": {2, 0x0d, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/watch" {
					_, _ = w.Write(frame)
					return
				}
				_, _ = protodelim.MarshalTo(w, &wire.RoutingDocument{Version: 5, Compressed: []byte("5")})
			}))
			t.Cleanup(server.Close)
			received := make(chan uint64, 1)
			follower := registry.NewFollower(registry.FollowerSettings{
				Seeds:   func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} },
				IsEntry: true, Log: quietLog(), OnUpstreams: func([]roster.Entry, []roster.Entry) {},
				OnDocument: func(d *wire.RoutingDocument) { received <- d.Version },
			})
			ctx, stop := context.WithCancel(t.Context())
			var done sync.WaitGroup
			done.Go(func() { _ = follower.Run(ctx) })
			select {
			case version := <-received:
				require.Equal(t, uint64(5), version)
			case <-time.After(inForceTimeout):
				t.Error("no configuration")
			}
			stop()
			done.Wait()
		})
	}
}

// Guards against a command of a later release in the log that replicas take for a configuration.
func TestUnknownCommandsInTheLogAreIgnored(t *testing.T) {
	var written lines
	g := newLoggedGroup(t, 1, 0, written.log())
	g.awaitLeader()
	client := wire.NewRegistryProtobufClient("http://"+g.seeds[0], http.DefaultClient)
	require.Eventually(t, func() bool {
		_, err := client.Submit(t.Context(), &wire.RoutingSubmitRequest{Document: &wire.RoutingDocument{}})
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
	document, err := g.running[g.seeds[0]].Newest(t.Context())
	require.NoError(t, err)
	require.Nil(t, document)
	require.Equal(t, 1, written.count("item left out", "the command is not known"))
	g.submit(1)
	g.requireNewest(1)
}
