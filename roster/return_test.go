package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/roster"
)

// heartbeats announces upstreams each second from some second on, with rising sequences, and returns the roster's view of the first one
// after each of them.
func heartbeats(r *roster.Roster, first, count int, upstreams ...roster.Instance) []roster.State {
	var states []roster.State
	for n := range count {
		for _, u := range upstreams {
			u.Sequence = uint64(first + n + 2)
			r.Announce(u, start.Add(time.Duration(first+n)*time.Second))
		}
		states = append(states, r.Get(upstreams[0].ID).Instance.State)
	}
	return states
}

// Guards against an announcement of another sender that names the address of a healthy upstream with a later start, and keeps it out of use
// for as long as it runs.
func TestSupersededUpstreamReturns(t *testing.T) {
	r, follower := roster.New(), roster.New()
	healthy, other := instance("healthy", 1, 1, roster.Ready), instance("other", 2, 1, roster.Ready)
	r.Announce(healthy, start)
	r.Announce(other, start)
	states := heartbeats(r, 1, 15, healthy)
	require.Equal(t, roster.Gone, states[8])
	require.Equal(t, roster.Ready, states[14])
	require.Equal(t, roster.Gone, r.Get("other").Instance.State)

	follower.Announce(healthy, start)
	follower.Announce(other, start)
	for _, entry := range r.ChangedSince(0) {
		follower.Announce(entry.Instance, start.Add(time.Second))
	}
	require.Equal(t, roster.Ready, follower.Get("healthy").Instance.State, "a follower believes the replica")
	require.Equal(t, roster.Gone, follower.Get("other").Instance.State)

	states = heartbeats(r, 20, 1, other, healthy)
	require.Equal(t, roster.Ready, states[0], "the later start holds once it is heard again")
	require.Equal(t, roster.Gone, r.Get("healthy").Instance.State)
}

// Guards against late announcements of an upstream that bring it back although another one runs at its address, or it has left itself.
func TestSupersededUpstreamStaysGone(t *testing.T) {
	earlier, later := instance("earlier", 1, 1, roster.Ready), instance("later", 2, 1, roster.Ready)
	for name, run := range map[string]func(r *roster.Roster){
		"the later one is heard": func(r *roster.Roster) { heartbeats(r, 1, 60, earlier, later) },
		"no later heartbeat":     func(r *roster.Roster) { r.Announce(earlier, start.Add(time.Minute)) },
		"it has left": func(r *roster.Roster) {
			r.Leave("earlier", 1, start)
			heartbeats(r, 1, 60, earlier)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			r.Announce(earlier, start)
			r.Announce(later, start)
			run(r)
			require.Equal(t, roster.Gone, r.Get("earlier").Instance.State)
			require.Equal(t, roster.Ready, r.Get("later").Instance.State)
		})
	}
}
