package soak_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	// drainTime is the time after the acknowledgement of a drain during which requests may still arrive.
	drainTime = 2 * time.Second
	// streamEvents is the number of events in a stream, and eventPause the time between them.
	streamEvents = 12
	eventPause   = 25 * time.Millisecond
)

type (
	// ledger counts how many times each request ran.
	ledger struct {
		mutex sync.Mutex
		runs  map[string]int
	}

	// fakeUpstream serves requests behind a proxy and sends heartbeats to control.
	fakeUpstream struct {
		cluster *cluster
		number  int
		proxy   *proxy
		// failurePercent is the percentage of requests that fail.
		failurePercent atomic.Int64

		mutex     sync.Mutex
		id        string
		startedMs int64
		sequence  uint64
		state     string
		// drainAcknowledged is the time at which control acknowledged the drain of the current incarnation; zero until then.
		drainAcknowledged time.Time
		// deadlyArrivals counts the deadly requests that reached the upstream.
		deadlyArrivals atomic.Int64
		// incarnations is the number of incarnations so far.
		incarnations int
		notices      notices
	}
)

func newLedger() *ledger { return &ledger{runs: map[string]int{}} }

func (l *ledger) record(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[id]
}

func newFakeUpstream(w *cluster, n int) *fakeUpstream {
	u := &fakeUpstream{cluster: w, number: n}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = server.Serve(listener) }()
	u.proxy = newProxy(w, listener.Addr().String())
	u.restart(n)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(heartbeatInterval):
				u.sendHeartbeat()
			}
		}
	}()
	w.t.Cleanup(func() {
		close(done)
		_ = server.Close()
		u.proxy.close()
	})
	return u
}

// restart starts a new incarnation at the same address.
func (u *fakeUpstream) restart(n int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.incarnations++
	u.id, u.startedMs, u.sequence = fmt.Sprintf("u%d-%d", n, u.incarnations), time.Now().UnixMilli(), 0
	u.state, u.drainAcknowledged = "ready", time.Time{}
	u.notices.clear()
}

// sendHeartbeat sends a heartbeat to a random control process.
func (u *fakeUpstream) sendHeartbeat() {
	u.mutex.Lock()
	u.sequence++
	id, state := u.id, u.state
	body := map[string]any{
		"backend": "ledger", "address": u.proxy.address(), "zone": "z", "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": u.sequence, "born": u.startedMs,
	}
	u.mutex.Unlock()
	status, _ := u.cluster.call("POST", u.cluster.anyControl()+"/instances/"+id+"/heartbeat", body)
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if status == http.StatusOK && state == "draining" && id == u.id && u.drainAcknowledged.IsZero() {
		u.drainAcknowledged = time.Now()
	}
}

// drain makes the next heartbeats announce that the upstream accepts no new requests.
func (u *fakeUpstream) drain() {
	u.mutex.Lock()
	u.state = "draining"
	u.mutex.Unlock()
}

func (u *fakeUpstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Guavahitch-Attempt-Id")
	u.mutex.Lock()
	self, drainAcknowledged := u.id, u.drainAcknowledged
	u.mutex.Unlock()
	w.Header().Set("Guavahitch-Attempt-Id", id)
	if r.Header.Get("Guavahitch-Expect-Instance") != self {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !drainAcknowledged.IsZero() && time.Since(drainAcknowledged) > drainTime && u.cluster.isFaultFree() {
		u.cluster.reportViolation("request %s reached %s %v after the drain was acknowledged", id, self, time.Since(drainAcknowledged))
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("Guavahitch-Tenant") != "levis" {
		u.cluster.reportViolation("request %s has key %q and organisation %q", id, r.Header.Get("Authorization"), r.Header.Get("Guavahitch-Tenant"))
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if u.handleNotices(w, id) {
		return
	}
	if isDeadly(r, string(body)) {
		u.deadlyArrivals.Add(1)
		u.crash()
		panic(http.ErrAbortHandler)
	}
	isFailing := u.cluster.noise.intN(100) < int(u.failurePercent.Load())
	if isFailing && u.cluster.noise.chance(30) {
		w.Header().Set("Guavahitch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.cluster.ledger.record(id)
	w.Header().Set("Guavahitch-Server-Seal", "seal-"+id)
	if isFailing {
		u.failAfterRunning(w)
		return
	}
	if len(r.URL.Path) > 6 && r.URL.Path[:7] == "/match/" {
		u.stream(w, r)
		return
	}
	fmt.Fprintf(w, "answer to %s: %s", id, body)
	u.recordAnswer(id, w.Header())
}

// failAfterRunning sends no answer, an incomplete answer or an error after the request has run.
func (u *fakeUpstream) failAfterRunning(w http.ResponseWriter) {
	switch u.cluster.noise.intN(3) {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		w.Header().Set("Content-Length", "500")
		fmt.Fprint(w, "only a part")
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// stream sends events. It starts after the event that the header Last-Event-Id names.
func (u *fakeUpstream) stream(w http.ResponseWriter, r *http.Request) {
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for id := first; id <= streamEvents; id++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", id, r.Header.Get("Guavahitch-Attempt-Id"), id)
		if flush.Flush() != nil {
			return
		}
		u.recordAnswer(r.Header.Get("Guavahitch-Attempt-Id"), w.Header())
		if u.failurePercent.Load() > 0 && u.cluster.noise.intN(1000) < int(u.failurePercent.Load()) {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(eventPause)
	}
}
