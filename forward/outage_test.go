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

// downGroup is a group of two ranks of which each refuses requests while the group is down.
type downGroup struct {
	isDown atomic.Bool
	ranks  []*fakeUpstream
	// told holds what the entry told of outages.
	told []bool
}

func newDownGroup(t *testing.T) *downGroup {
	g := &downGroup{}
	g.isDown.Store(true)
	for range 2 {
		g.ranks = append(g.ranks, newUpstream(t, func(conn net.Conn, r *http.Request, _ string) bool {
			if g.isDown.Load() {
				fmt.Fprint(conn, "HTTP/1.1 503 Down\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			events(conn, r, 1)
			fmt.Fprint(conn, "0\r\n\r\n")
			return true
		}))
	}
	return g
}

// entryOf returns a server whose warm-up is over, over the ranks of the group. It is called in a bubble.
func (g *downGroup) entryOf(isOpen bool) *forward.Server {
	settings := testSettings()
	settings.OnOutage = func(o forward.Outage) { g.told = append(g.told, o.IsDown) }
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

// Load pattern: a group forms anew after all of it was stopped, and callers are there already. Their requests wait for
// it a little, and no more than one goes to find out at a time.
func TestRequestsWaitForAGroupThatForms(t *testing.T) {
	group := newDownGroup(t)
	synctest.Test(t, func(t *testing.T) {
		server := group.entryOf(false)
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
		require.Equal(t, []bool{true, false}, group.told)
	})
}

// A request whose group stays down is refused well before its caller turns away, and told to come back later.
func TestRequestsDoNotWaitLongForAGroup(t *testing.T) {
	group := newDownGroup(t)
	synctest.Test(t, func(t *testing.T) {
		server := group.entryOf(false)
		began := time.Now()
		p := begin(server, "/match/", 2*time.Second)
		<-p.done
		require.LessOrEqual(t, time.Since(began), 500*time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, p.recorder.Code)
		require.NotEmpty(t, p.recorder.Header().Get("Retry-After"))
	})
}

// A refusal by one rank that is full says nothing of its group.
func TestARefusalByOneRankIsNoOutage(t *testing.T) {
	group := newDownGroup(t)
	synctest.Test(t, func(t *testing.T) {
		server := group.entryOf(true)
		began := time.Now()
		p := begin(server, "/match/", 8*time.Second)
		<-p.done
		require.Zero(t, time.Since(began))
		require.Equal(t, http.StatusServiceUnavailable, p.recorder.Code)
		require.Len(t, group.arrivals(), 2)
	})
}

// One of two groups of a service does not run: requests go to the other one, which has more to do.
func TestRequestsGoToTheGroupThatRuns(t *testing.T) {
	closed, open := newDownGroup(t), newDownGroup(t)
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

func (g *downGroup) arrivals() []received {
	var all []received
	for _, u := range g.ranks {
		all = append(all, u.received()...)
	}
	return all
}
