package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/route"
)

// engineConfiguration returns the configuration with engines whose token steps take a fifth of the gap objective.
func engineConfiguration() *route.Configuration {
	c := configuration()
	c.Version = 2
	c.Services[0].Engine = &route.Engine{Slots: 4, Stride: 5, Step: 5 * time.Millisecond}
	for i := range c.Routes {
		c.Routes[i].GapObjective = 120 * time.Millisecond
		c.Routes[i].Timeout = 10 * time.Second
	}
	return c
}

// newEngineEntry returns an entry whose streams never count as broken because of a pause.
func newEngineEntry(t *testing.T, upstreams ...*fakeUpstream) *entry {
	settings := testSettings()
	settings.StreamIdleTimeout = time.Hour
	e := newEntryWith(t, settings, upstreams...)
	require.True(t, e.server.SetTable(route.NewTable(engineConfiguration())))
	return e
}

// slowStream starts an upstream that writes two of three events, and the third one once finish is closed.
func slowStream(t *testing.T) (u *fakeUpstream, written, finish chan struct{}) {
	written, finish = make(chan struct{}), make(chan struct{})
	u = newUpstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
		writeStream(conn, r, 1, 2)
		close(written)
		select {
		case <-finish:
		case <-t.Context().Done():
		}
		writeChunk(conn, "id: 3\ndata: piece 3\n\n")
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	})
	return u, written, finish
}

// restOfStream starts an upstream that writes those of the three events that the caller does not have yet.
func restOfStream(t *testing.T) *fakeUpstream {
	return newUpstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		var rest []int
		for id := last + 1; id <= 3; id++ {
			rest = append(rest, id)
		}
		writeStream(conn, r, rest...)
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	})
}

// A rank that becomes slow while it has streams delays every pass of its group. Its streams must migrate to another
// upstream if the rank is slow enough and the stream can be resumed, and must stay otherwise.
func TestStreamsMigrateFromSlowRank(t *testing.T) {
	for _, c := range []struct {
		name, target string
		pace         float64
		leaves       bool
	}{
		{name: "far slower", target: "/match/", pace: 4, leaves: true},
		{name: "a little slower", target: "/match/", pace: 1.5},
		{name: "may not be resumed", target: "/match/once/", pace: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			slow, written, finish := slowStream(t)
			other := restOfStream(t)
			e := newEngineEntry(t, slow, other)
			go func() {
				<-written
				e.server.UpdateLoads([]registry.Load{{ID: "u0", Running: 1, Pace: c.pace}, {ID: "u1", Pace: 1}})
				if !c.leaves {
					close(finish)
				}
			}()
			response, body, err := e.send("POST", c.target, "x", "X-Deadline", "60000")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n", body)
			require.Equal(t, c.leaves, len(other.received()) == 1)
		})
	}
}

// Streams must not migrate when most of the group is slow, since no upstream would be better.
func TestStreamsStayInASlowGroup(t *testing.T) {
	slow, written, finish := slowStream(t)
	e := newEngineEntry(t, slow)
	go func() {
		<-written
		e.server.UpdateLoads([]registry.Load{{ID: "u0", Running: 1, Pace: 4}})
		close(finish)
	}()
	_, body, err := e.send("POST", "/match/", "x", "X-Deadline", "60000")
	require.NoError(t, err)
	require.Contains(t, body, "piece 3")
	require.Len(t, slow.received(), 1)
}
