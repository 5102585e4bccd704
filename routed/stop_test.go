package routed_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/forward"
	"guavahitch.example/guavahitch/roster"
)

// Guards against a planned stop that cuts off a request which the entry has just accepted. Callers open a connection for each
// request until none is accepted any more; each of them gets an answer.
func TestGracefulStopAnswersWhatItAccepts(t *testing.T) {
	const entries, callers = 5, 24
	end := make(chan struct{})
	close(end)
	address := freeAddress(t)
	upstream := &http.Server{Addr: address, Handler: stream(end)}
	go func() { _ = upstream.ListenAndServe() }()
	defer upstream.Close()
	replica := startControl(t)
	replica.Announce(t.Context(), roster.Instance{ID: "u1", Born: 1, Service: "matching", Address: address, State: roster.Ready})
	var group sync.WaitGroup
	var answered, cut atomic.Int64
	for range entries {
		group.Go(func() {
			front := freeAddress(t)
			entry := newEntry(t, front, replica, forward.Settings{Headers: testHeaders})
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- entry.Run(ctx) }()
			for !entry.IsReady() {
				time.Sleep(5 * time.Millisecond)
			}
			var calls sync.WaitGroup
			for range callers {
				calls.Go(func() {
					for {
						conn, err := net.Dial("tcp", front)
						if err != nil {
							return
						}
						if isAnswered(conn) {
							answered.Add(1)
						} else {
							cut.Add(1)
						}
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			stop()
			calls.Wait()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	t.Logf("%d answered, %d cut off", answered.Load(), cut.Load())
	require.Zero(t, cut.Load())
	require.Positive(t, answered.Load())
}

// isAnswered sends a request over a new connection and reports whether any response arrives.
func isAnswered(conn net.Conn) bool {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprint(conn, "POST /match/x HTTP/1.1\r\nHost: bank.test\r\nX-Request: q1\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

// Guards against a planned stop that cuts off, without an answer, requests whose upstreams work longer than the grace time: those
// under way at its start, and those that come on open connections during the notice. None is passed on after the notice.
func TestGracefulStopAnswersLongRequests(t *testing.T) {
	const grace = 4 * time.Second
	address := freeAddress(t)
	var lastStart atomic.Int64
	upstream := &http.Server{Addr: address, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		lastStart.Store(time.Now().UnixNano())
		<-r.Context().Done()
	})}
	go func() { _ = upstream.ListenAndServe() }()
	defer upstream.Close()
	replica := startControl(t)
	replica.Announce(t.Context(), roster.Instance{ID: "u1", Born: 1, Service: "matching", Address: address, State: roster.Ready})
	front := freeAddress(t)
	entry := newEntryWithGrace(t, front, replica, forward.Settings{Headers: testHeaders}, grace)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- entry.Run(ctx) }()
	require.Eventually(t, entry.IsReady, 10*time.Second, 5*time.Millisecond)
	var connections []net.Conn
	for range 6 {
		conn, err := net.Dial("tcp", front)
		require.NoError(t, err)
		connections = append(connections, conn)
	}
	var answered atomic.Int64
	var calls sync.WaitGroup
	ask := func(conn net.Conn, wait time.Duration) {
		calls.Go(func() {
			time.Sleep(wait)
			if isAnswered(conn) {
				answered.Add(1)
			}
		})
	}
	ask(connections[0], 0)
	require.Eventually(t, func() bool { return lastStart.Load() > 0 }, 10*time.Second, 5*time.Millisecond)
	stopped := time.Now()
	stop()
	for n, conn := range connections[1:] {
		ask(conn, time.Duration(n)*600*time.Millisecond)
	}
	calls.Wait()
	require.NoError(t, <-done)
	require.Less(t, time.Since(stopped), grace)
	require.EqualValues(t, len(connections), answered.Load())
	require.Less(t, time.Unix(0, lastStart.Load()).Sub(stopped), 2600*time.Millisecond)
}
