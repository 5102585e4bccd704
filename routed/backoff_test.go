package routed_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/forward"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
)

const (
	// backoffTime is the backoff that a resting upstream asks for, backoffNotice the time from then until no more than
	// backoffRequests may reach it.
	backoffTime     = 3 * time.Second
	backoffNotice   = 500 * time.Millisecond
	backoffRequests = 2
	// streamTime is how long a stream lasts.
	streamTime = 700 * time.Millisecond
)

// restingUpstream refuses all requests and asks for backoff in each refusal.
type restingUpstream struct {
	mutex    sync.Mutex
	asked    time.Time
	arrivals atomic.Int64
}

// ServeHTTP counts the requests that arrive in the first backoff after backoffNotice.
func (u *restingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mutex.Lock()
	if u.asked.IsZero() {
		u.asked = time.Now()
	}
	since := time.Since(u.asked)
	u.mutex.Unlock()
	if since > backoffNotice && since < backoffTime {
		u.arrivals.Add(1)
	}
	w.Header().Set("X-Request", r.Header.Get("X-Request"))
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", fmt.Sprint(backoffTime.Seconds()))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// longStream answers with two events, streamTime apart.
func longStream(w http.ResponseWriter, r *http.Request) {
	end := make(chan struct{})
	time.AfterFunc(streamTime, func() { close(end) })
	stream(end)(w, r)
}

// reportLoads reports loads of the group until the context ends, by which entries pick ranks.
func reportLoads(ctx context.Context, replica *registry.Replica, ranks int) {
	loads := make([]registry.Load, ranks)
	for rank := range loads {
		loads[rank] = registry.Load{ID: fmt.Sprint("u", rank), Pace: 1}
	}
	for ctx.Err() == nil {
		replica.UpdateLoads("g", loads)
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against requests to an upstream that has asked this entry for backoff, while two thirds of the ranks of its group
// serve. Once the backoffs are heard, no stream may be refused.
func TestRanksThatAskForBackoffGetNoStreams(t *testing.T) {
	const ranks, resting, perSecond = 12, 4, 60
	replica := startControl(t)
	var asking []*restingUpstream
	for rank := range ranks {
		address := freeAddress(t)
		handler := http.Handler(http.HandlerFunc(longStream))
		if rank < resting {
			u := &restingUpstream{}
			asking, handler = append(asking, u), u
		}
		server := &http.Server{Addr: address, Handler: handler}
		go func() { _ = server.ListenAndServe() }()
		t.Cleanup(func() { _ = server.Close() })
		replica.Announce(t.Context(), roster.Instance{
			ID: fmt.Sprint("u", rank), Born: 1, Service: "matching", Address: address, State: roster.Ready,
			Group: roster.Group{Name: "g", Rank: rank, Size: ranks, IsOpen: true},
		})
	}
	front := freeAddress(t)
	entry := newEntry(t, front, replica, forward.Settings{Headers: testHeaders, Retry: forward.RetryLimits{Ratio: 0.2, Slack: 90}})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- entry.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	require.Eventually(t, entry.IsReady, 10*time.Second, 5*time.Millisecond)
	go reportLoads(t.Context(), replica, ranks)
	var sent, refused atomic.Int64
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for start := time.Now(); time.Since(start) < backoffTime; <-ticker.C {
		isHeard := time.Since(start) > backoffNotice
		calls.Go(func() {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+front+"/match/x", http.NoBody)
			if err != nil {
				t.Error(err)
				return
			}
			request.Host = "bank.test"
			request.Header.Set("X-Request", fmt.Sprint("q", sent.Add(1)))
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Error(err)
				return
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK && isHeard {
				refused.Add(1)
			}
		})
	}
	calls.Wait()
	for n, u := range asking {
		t.Logf("upstream %d got %d requests in its backoff", n, u.arrivals.Load())
	}
	t.Logf("%d of %d refused", refused.Load(), sent.Load())
	for n, u := range asking {
		require.LessOrEqual(t, u.arrivals.Load(), int64(backoffRequests), "upstream %d", n)
	}
	require.Zero(t, refused.Load())
}
