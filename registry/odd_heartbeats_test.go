package registry_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
)

// Guards against another writer whose announcement, sent once to each replica, takes a sound upstream out of use at an entry, or
// is remembered as its departure.
func TestOddHeartbeatsDoNotTakeUpstreamsOutOfUse(t *testing.T) {
	sound := heartbeat("u", 7, 1, roster.Ready)
	odd := func(id string, state roster.State) roster.Instance {
		i := heartbeat(id, 99, math.MaxUint64, state)
		i.Service, i.Address = "odd", sound.Address
		return i
	}
	for name, announced := range map[string]roster.Instance{
		"its ID":           odd("u", roster.Ready),
		"its ID, draining": odd("u", roster.Draining),
		"its address":      odd("x", roster.Ready),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3, 1)
			g.submit(1)
			o := g.observe()
			g.announce(sound)
			require.Eventually(t, func() bool { return o.stateOf("u") == roster.Ready }, 10*time.Second, 5*time.Millisecond)
			for _, r := range g.running {
				if err := r.Announce(t.Context(), announced); err != nil {
					require.ErrorIs(t, err, registry.ErrUnknownService)
				}
			}
			time.Sleep(time.Second)
			next := sound
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
