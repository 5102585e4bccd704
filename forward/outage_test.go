package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/forward"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
)

// fakeGroup is a group of two ranks that both refuse requests while isDown is set.
type fakeGroup struct {
	isDown atomic.Bool
	ranks  []*fakeUpstream
	// outages records the IsDown of each reported outage.
	outages []bool
}

func newFakeGroup(t *testing.T) *fakeGroup {
	g := &fakeGroup{}
	g.isDown.Store(true)
	for range 2 {
		g.ranks = append(g.ranks, newUpstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
			if g.isDown.Load() {
				fmt.Fprint(conn, "HTTP/1.1 503 Down\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			writeStream(conn, r, 1)
			fmt.Fprint(conn, "0\r\n\r\n")
			return true
		}))
	}
	return g
}

// newServer returns a server for the ranks of the group whose warm-up is over. It must be called in a synctest bubble.
func (g *fakeGroup) newServer(isOpen bool) *forward.Server {
	settings := testSettings()
	settings.OnOutage = func(o forward.Outage) { g.outages = append(g.outages, o.IsDown) }
	fleet := forward.NewFleet(settings)
	server := forward.NewServer(settings, fleet)
	server.SetTable(route.NewTable(engineConfiguration()))
	time.Sleep(10 * time.Second)
	announced := entriesOf(g.ranks...)
	for i := range announced {
		announced[i].Instance.Group = roster.Group{Name: "g", Rank: i, Size: 2, IsOpen: isOpen}
	}
	fleet.Update(announced, nil)
	return server
}

// Callers return before a group has formed again after a complete stop. Their requests must wait for it for a short
// time instead of failing, and only one at a time may probe the group.
func TestRequestsWaitForRecoveringGroup(t *testing.T) {
	group := newFakeGroup(t)
	synctest.Test(t, func(t *testing.T) {
		server := group.newServer(false)
		first := begin(server, "/match/", 8*time.Second)
		time.Sleep(50 * time.Millisecond)
		second := begin(server, "/match/", 8*time.Second)
		time.Sleep(50 * time.Millisecond)
		require.False(t, first.isDone() || second.isDone())
		require.Len(t, group.arrivals(), 1)
		group.isDown.Store(false)
		for _, p := range []*pending{first, second} {
			<-p.done
			require.Equal(t, http.StatusOK, p.recorder.Code)
		}
		require.Equal(t, []bool{true, false}, group.outages)
	})
}

// A request whose group stays down must be refused well before its caller disconnects, with a Retry-After.
func TestWaitForDownGroupIsBounded(t *testing.T) {
	group := newFakeGroup(t)
	synctest.Test(t, func(t *testing.T) {
		server := group.newServer(false)
		began := time.Now()
		p := begin(server, "/match/", 2*time.Second)
		<-p.done
		require.LessOrEqual(t, time.Since(began), 500*time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, p.recorder.Code)
		require.NotEmpty(t, p.recorder.Header().Get("Retry-After"))
	})
}

// Guards against requests that are held for a group that cannot form. One of its ranks has been missing for a while, so
// the request is refused at once, also one that its caller sends again.
func TestNoWaitForAGroupThatLacksRanks(t *testing.T) {
	group := newFakeGroup(t)
	synctest.Test(t, func(t *testing.T) {
		fleet := forward.NewFleet(testSettings())
		server := forward.NewServer(testSettings(), fleet)
		server.SetTable(route.NewTable(engineConfiguration()))
		time.Sleep(10 * time.Second)
		announced := entriesOf(group.ranks...)
		for i := range announced {
			announced[i].Instance.Group = roster.Group{Name: "g", Rank: i, Size: 3}
		}
		fleet.Update(announced, nil)
		time.Sleep(3 * time.Second)
		for _, left := range []time.Duration{10 * time.Second, 6 * time.Second} {
			began := time.Now()
			p := begin(server, "/match/", left)
			<-p.done
			require.Zero(t, time.Since(began))
			require.Equal(t, http.StatusServiceUnavailable, p.recorder.Code)
			require.NotEmpty(t, p.recorder.Header().Get("Retry-After"))
		}
	})
}

// A refusal by one full rank must not count as an outage of its group: the request fails at once instead of waiting.
func TestARefusalByOneRankIsNoOutage(t *testing.T) {
	group := newFakeGroup(t)
	synctest.Test(t, func(t *testing.T) {
		server := group.newServer(true)
		began := time.Now()
		p := begin(server, "/match/", 8*time.Second)
		<-p.done
		require.Zero(t, time.Since(began))
		require.Equal(t, http.StatusServiceUnavailable, p.recorder.Code)
		require.Len(t, group.arrivals(), 2)
	})
}

// When one of two groups of a service is not running, all requests must go to the other one.
func TestRequestsGoToTheGroupThatRuns(t *testing.T) {
	closed, open := newFakeGroup(t), newFakeGroup(t)
	open.isDown.Store(false)
	synctest.Test(t, func(t *testing.T) {
		fleet := forward.NewFleet(testSettings())
		server := forward.NewServer(testSettings(), fleet)
		server.SetTable(route.NewTable(engineConfiguration()))
		time.Sleep(10 * time.Second)
		announced := entriesOf(append(closed.ranks, open.ranks...)...)
		for i := range announced {
			announced[i].Instance.Group = roster.Group{Name: fmt.Sprint("g", i/2), Rank: i % 2, Size: 2, IsOpen: i >= 2}
		}
		fleet.Update(announced, nil)
		for range 8 {
			p := begin(server, "/match/", 8*time.Second)
			<-p.done
			require.Equal(t, http.StatusOK, p.recorder.Code)
		}
		require.Empty(t, closed.arrivals())
	})
}

func (g *fakeGroup) arrivals() []received {
	var all []received
	for _, u := range g.ranks {
		all = append(all, u.received()...)
	}
	return all
}
