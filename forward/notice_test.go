package forward_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/availability"
	"guavahitch.example/guavahitch/forward"
	"guavahitch.example/guavahitch/roster"
)

// soundUpstream starts an upstream that answers every request.
func soundUpstream(t *testing.T) *fakeUpstream {
	return newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
		writeResponse(conn, request, 200, "done")
		return true
	})
}

// writeWith writes a complete response with further header lines.
func writeWith(conn net.Conn, request *http.Request, status int, lines ...string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nX-Request: %s\r\nX-Seal: s1\r\nContent-Length: 0\r\n%s\r\n",
		status, request.Header.Get("X-Request"), strings.Join(lines, ""))
}

// leavingUpstream starts an upstream that says in each answer that it leaves.
func leavingUpstream(t *testing.T) *fakeUpstream {
	return newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
		writeWith(conn, request, 200, "X-Leaving: 1\r\n")
		return true
	})
}

// busyUpstream starts an upstream that refuses every request with this Retry-After.
func busyUpstream(t *testing.T, retryAfter string) *fakeUpstream {
	return newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
		writeWith(conn, request, 503, "X-Not-Executed: 1\r\n", "Retry-After: "+retryAfter+"\r\n")
		return true
	})
}

// sendMany sends requests one after the other and returns how many were answered with 200.
func (e *entry) sendMany(count int, target string) int {
	served := 0
	for range count {
		response, _, err := e.send("POST", target, "x")
		if err == nil && response.StatusCode == http.StatusOK {
			served++
		}
	}
	return served
}

// announce announces an incarnation of the first upstream.
func (e *entry) announce(u *fakeUpstream, born int64, sequence uint64) {
	e.fleet.Update([]roster.Entry{{LastHeartbeat: time.Now(), Instance: roster.Instance{
		ID: "u0", Born: born, Sequence: sequence, Service: "ledger", Address: u.address, State: roster.Ready,
	}}}, nil)
}

// An upstream that says in an answer that it leaves must get no further request while there is another, whatever it
// announces, until it starts again.
func TestUpstreamThatLeavesGetsNoRequests(t *testing.T) {
	leaving := leavingUpstream(t)
	e := newEntry(t, leaving, soundUpstream(t))
	require.Equal(t, 20, e.sendMany(20, "/balance/"))
	require.Len(t, leaving.received(), 1)
	e.announce(leaving, 1, 2)
	require.Equal(t, 10, e.sendMany(10, "/balance/"))
	require.Len(t, leaving.received(), 1, "a later announcement of the same incarnation")
	e.announce(leaving, 2, 1)
	e.sendMany(10, "/balance/")
	require.Len(t, leaving.received(), 2, "another incarnation at the same address")
}

// While its drain time lasts, an upstream that leaves must still serve requests that no other can serve.
func TestLastUpstreamThatLeavesServesForItsDrainTime(t *testing.T) {
	settings := testSettings()
	settings.DrainTime = 200 * time.Millisecond
	leaving := leavingUpstream(t)
	e := newEntryWith(t, settings, leaving)
	require.Equal(t, 5, e.sendMany(5, "/balance/"))
	time.Sleep(settings.DrainTime)
	response, _, err := e.send("POST", "/balance/", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Len(t, leaving.received(), 5)
}

// An upstream that answers 503 with Retry-After must get nothing until that time is over. A field that is 0 or malformed
// asks for nothing.
func TestUpstreamThatAsksForBackoffGetsNothing(t *testing.T) {
	for value, asks := range map[string]bool{
		"30": true, "3600": true, strings.Repeat("9", 300): true, "2.5": true,
		time.Now().Add(time.Minute).UTC().Format(http.TimeFormat): true,
		"0": false, "-5": false, "soon": false, "": false,
	} {
		t.Run(value, func(t *testing.T) {
			busy := busyUpstream(t, value)
			e := newEntry(t, busy, soundUpstream(t))
			require.Equal(t, 30, e.sendMany(30, "/balance/"), "requests go on to the other upstream")
			alone := busyUpstream(t, value)
			e = newEntry(t, alone)
			require.Zero(t, e.sendMany(5, "/balance/"))
			if asks {
				require.Len(t, busy.received(), 1)
				require.Len(t, alone.received(), 1)
			} else {
				require.Len(t, alone.received(), 5)
			}
		})
	}
}

// A notice in the refusal of another upstream at the same address says nothing of the upstream.
func TestNoticesOfAnotherUpstreamAreIgnored(t *testing.T) {
	isOther := true
	u := newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
		if isOther {
			writeWith(conn, request, 421, "X-Leaving: 1\r\n", "Retry-After: 30\r\n")
			return true
		}
		writeResponse(conn, request, 200, "done")
		return true
	})
	e := newEntry(t, u)
	require.Equal(t, 0, e.sendMany(1, "/balance/"))
	isOther = false
	require.Equal(t, 5, e.sendMany(5, "/balance/"))
}

// When every upstream asks for backoff, requests must be refused at once and truthfully, with the time until the first one
// opens; after that its work returns by and by.
func TestAllUpstreamsAskForBackoff(t *testing.T) {
	var mutex sync.Mutex
	isBusy, running, peak := true, 0, 0
	serve := func(conn net.Conn, request *http.Request, _ string) bool {
		mutex.Lock()
		defer mutex.Unlock()
		if isBusy {
			writeWith(conn, request, 503, "X-Not-Executed: 1\r\n", "Retry-After: 1\r\n")
			return true
		}
		running++
		peak = max(peak, running)
		mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
		mutex.Lock()
		running--
		writeResponse(conn, request, 200, "done")
		return true
	}
	upstreams := []*fakeUpstream{newUpstream(t, serve), newUpstream(t, serve)}
	e := newEntry(t, upstreams...)
	e.sendMany(2, "/credit/")
	askedAt := time.Now()
	start := time.Now()
	response, _, err := e.send("POST", "/credit/", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Less(t, time.Since(start), 300*time.Millisecond)
	wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 1, wait, 0.3)
	sent := len(upstreams[0].received()) + len(upstreams[1].received())
	require.Equal(t, 2, sent)

	mutex.Lock()
	isBusy = false
	mutex.Unlock()
	time.Sleep(time.Until(askedAt.Add(time.Second)))
	var group sync.WaitGroup
	for range 24 {
		group.Go(func() { e.sendMany(1, "/credit/") })
	}
	group.Wait()
	require.LessOrEqual(t, peak, 4, "the work must not return in one wave")
	require.Positive(t, peak)
}

// Each change of what an entry believes of an upstream is reported once.
func TestNoticesAreReported(t *testing.T) {
	var mutex sync.Mutex
	var notices []forward.Notice
	settings := testSettings()
	settings.OnNotice = func(n forward.Notice) {
		mutex.Lock()
		defer mutex.Unlock()
		notices = append(notices, n)
	}
	e := newEntryWith(t, settings, busyUpstream(t, "9"), leavingUpstream(t), soundUpstream(t))
	e.sendMany(20, "/balance/")
	require.ElementsMatch(t, []forward.Notice{
		{Notice: availability.Notice{Backoff: 9 * time.Second}, Request: "q1", Service: "ledger", Upstream: "u0", Born: 1},
		{Notice: availability.Notice{IsLeaving: true}, Request: "q1", Service: "ledger", Upstream: "u1", Born: 1},
	}, notices)
}

// limitedUpstream starts an upstream that names a limit in each answer.
func limitedUpstream(t *testing.T, limit *atomic.Value) *fakeUpstream {
	return newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
		lines := []string{}
		if value := limit.Load().(string); value != "" {
			lines = append(lines, "X-Limit: "+value+"\r\n")
		}
		writeWith(conn, request, 200, lines...)
		return true
	})
}

// An entry that nobody grants quota must keep to its share of a limit, and refuse the rest at once with a time to come back. A
// field that is malformed names no limit.
func TestEntryWithoutControlKeepsToItsShare(t *testing.T) {
	for _, c := range []struct {
		limit   string
		entries int
		most    int
	}{
		{"8", 1, 8 + 5},
		{"8", 4, 2},
		{"0", 1, 1},
		{"0.1", 2, 1},
		{"8\r\nX-Limit: 900", 1, 8 + 5},
		{"NaN", 1, 100},
		{"-1", 1, 100},
		{"1e300", 1, 100},
		{"many", 1, 100},
		{strings.Repeat("9", 400), 1, 100},
	} {
		t.Run(c.limit, func(t *testing.T) {
			var limit atomic.Value
			limit.Store(c.limit)
			u := limitedUpstream(t, &limit)
			e := newEntry(t, u)
			e.server.SetEntries(c.entries)
			require.Equal(t, 1, e.sendMany(1, "/balance/"))
			sent := 1
			for start := time.Now(); time.Since(start) < time.Second && sent < 100; sent++ {
				response, _, err := e.send("POST", "/balance/", "x")
				require.NoError(t, err)
				if response.StatusCode == http.StatusOK {
					continue
				}
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Positive(t, wait)
				time.Sleep(10 * time.Millisecond)
			}
			require.LessOrEqual(t, len(u.received()), 1+c.most)
			if c.most == 100 {
				require.Len(t, u.received(), sent)
			}
		})
	}
}

// A limit must end with the first answer that does not name it, but not with the late answer to a request from before it, or
// with a field that is malformed.
func TestLimitEndsWithAnAnswerWithoutIt(t *testing.T) {
	var limit atomic.Value
	limit.Store("1")
	release := make(chan struct{})
	u := newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
		value := limit.Load().(string)
		if request.URL.Path == "/balance/slow" {
			<-release
			value = ""
		}
		if value == "" {
			writeWith(conn, request, 200)
		} else {
			writeWith(conn, request, 200, "X-Limit: "+value+"\r\n")
		}
		return true
	})
	settings := testSettings()
	settings.Random = func() float64 { return 0 }
	e := newEntryWith(t, settings, u)
	slow := make(chan int, 1)
	go func() { slow <- e.sendMany(1, "/balance/slow") }()
	require.Eventually(t, func() bool { return len(u.received()) == 1 }, time.Second, time.Millisecond)
	require.Equal(t, 1, e.sendMany(1, "/balance/"))
	close(release)
	require.Equal(t, 1, <-slow)
	require.Zero(t, e.sendMany(1, "/balance/"), "an older answer")
	limit.Store("four")
	time.Sleep(1100 * time.Millisecond)
	require.Equal(t, 1, e.sendMany(1, "/balance/"))
	require.Zero(t, e.sendMany(1, "/balance/"), "a malformed field")
	limit.Store("")
	time.Sleep(1100 * time.Millisecond)
	require.Equal(t, 20, e.sendMany(20, "/balance/"))
}

// Guards against what an upstream said of itself being forgotten with its place in the roster: it falls silent, is removed, and
// the same incarnation announces itself again.
func TestReturningUpstreamIsRemembered(t *testing.T) {
	for name, head := range map[string]string{
		"backoff": "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nRetry-After: 3600\r\n",
		"leaving": "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\n",
		"limit":   "HTTP/1.1 200 OK\r\nX-Limit: 0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.DrainTime = time.Millisecond
			u := newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
				fmt.Fprintf(conn, "%sX-Request: %s\r\nX-Seal: s1\r\nContent-Length: 0\r\n\r\n", head, request.Header.Get("X-Request"))
				return true
			})
			e := newEntryWith(t, settings, u)
			e.sendMany(1, "/credit/")
			time.Sleep(10 * time.Millisecond)
			e.fleet.Expire(time.Now().Add(time.Minute), 30*time.Second)
			response, _, err := e.send("POST", "/credit/", "x")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			e.announce(u, 1, 9)
			e.sendMany(5, "/credit/")
			require.Len(t, u.received(), 1, "the incarnation of before")
			e.announce(u, 2, 1)
			e.sendMany(1, "/credit/")
			require.Len(t, u.received(), 2, "a new incarnation")
		})
	}
}

// Guards against a refusal that is never read because the upstream stops to read the request: it asks for backoff as soon as it has the
// head of a long request, and closes its connection or leaves the rest unread.
func TestRefusalOfAHalfReadRequestIsHeard(t *testing.T) {
	body := strings.Repeat("x", 40<<20)
	for name, isClosing := range map[string]bool{"closes": true, "keeps open": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			var arrivals atomic.Int64
			go refuseHalfRead(listener, isClosing, &arrivals)
			e := newEntry(t)
			e.allowBodies()
			e.fleet.Update([]roster.Entry{{LastHeartbeat: time.Now(), Instance: roster.Instance{
				ID: "u0", Born: 1, Sequence: 1, Service: "ledger", Address: listener.Addr().String(), State: roster.Ready,
			}}}, nil)
			for n := range 4 {
				start := time.Now()
				response, _, err := e.send("POST", "/credit/", body)
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "request %d", n)
				require.Less(t, time.Since(start), 700*time.Millisecond)
			}
			require.EqualValues(t, 1, arrivals.Load())
		})
	}
}

// refuseHalfRead refuses each request once it has read its head.
func refuseHalfRead(listener net.Listener, isClosing bool, arrivals *atomic.Int64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			_ = conn.Close()
			continue
		}
		arrivals.Add(1)
		writeWith(conn, request, 503, "X-Not-Executed: 1\r\n", "Retry-After: 60\r\n")
		if isClosing {
			_ = conn.Close()
		}
	}
}
