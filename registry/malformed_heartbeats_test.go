package registry_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
)

// Guards against another sender whose announcement, sent once to each replica, takes a healthy upstream out of use at an entry, or
// is remembered as its departure.
func TestMalformedHeartbeatsDoNotTakeUpstreamsOutOfUse(t *testing.T) {
	healthy := heartbeat("u", 7, 1, roster.Ready)
	unserved := func(id string, state roster.State) roster.Instance {
		i := heartbeat(id, 99, math.MaxUint64, state)
		i.Service, i.Address = "unknown", healthy.Address
		return i
	}
	for name, announced := range map[string]roster.Instance{
		"its ID":           unserved("u", roster.Ready),
		"its ID, draining": unserved("u", roster.Draining),
		"its address":      unserved("x", roster.Ready),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3, 1)
			g.submit(1)
			o := g.observe()
			g.announce(healthy)
			require.Eventually(t, func() bool { return o.stateOf("u") == roster.Ready }, 10*time.Second, 5*time.Millisecond)
			for _, r := range g.running {
				if err := r.Announce(t.Context(), announced); err != nil {
					require.ErrorIs(t, err, registry.ErrUnknownService)
				}
			}
			time.Sleep(time.Second)
			next := healthy
			next.Sequence++
			g.announce(next)
			require.Equal(t, roster.Ready, o.stateOf("u"))
			g.restartAll()
			g.announce(next)
			restarted := g.observe()
			require.Eventually(t, func() bool { return restarted.stateOf("u") == roster.Ready }, 10*time.Second, 5*time.Millisecond)
		})
	}
}

// Guards against a complete heartbeat of another sender for the address of a healthy upstream that keeps it out of use at the entries for as
// long as it runs, although its own heartbeats go on.
func TestUpstreamReturnsAfterAForgedTakeover(t *testing.T) {
	const returnTimeout = 15 * time.Second
	t.Parallel()
	g := newGroup(t, 3, 1)
	g.submit(1)
	first, second := g.observe(), g.observe()
	healthy, forged := heartbeat("u", 7, 1, roster.Ready), heartbeat("x", 9, 1, roster.Ready)
	forged.Address = healthy.Address
	g.announce(healthy)
	require.Eventually(t, func() bool { return first.stateOf("u") == roster.Ready }, 10*time.Second, 5*time.Millisecond)
	g.announce(forged)
	require.Eventually(t, func() bool { return first.stateOf("u") == roster.Gone }, 10*time.Second, 5*time.Millisecond)
	forgedAt := time.Now()
	require.Eventually(t, func() bool {
		healthy.Sequence++
		g.announce(healthy)
		isBack := true
		for _, o := range []*observer{first, second} {
			isBack = isBack && o.stateOf("u") == roster.Ready && o.stateOf("x") == roster.Gone
		}
		return isBack
	}, returnTimeout, 300*time.Millisecond)
	t.Logf("back after %v", time.Since(forgedAt))
}
