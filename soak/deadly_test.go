package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crashDelay is the time from the arrival of a deadly request to the end of its upstream, crashPause the time until the
	// upstream is back.
	crashDelay = 60 * time.Millisecond
	crashPause = 500 * time.Millisecond
	// deadlyWord marks deadly requests in their body, deadlyPart in the parts of their prompt.
	deadlyWord = "deadly"
	deadlyPart = "deadbeef"
	// spreadTime is the time within which all entries know what one of them has seen.
	spreadTime = 3 * time.Second
)

func isDeadly(r *http.Request, body string) bool {
	return strings.Contains(body, deadlyWord) || strings.Contains(r.Header.Get("Guavahitch-Prompt-Prefix"), deadlyPart)
}

// crash ends the upstream shortly and brings it back as another incarnation.
func (u *fakeUpstream) crash() {
	time.Sleep(crashDelay)
	go func() {
		u.proxy.interrupt(u.cluster, crashPause)
		u.restart(u.number)
	}()
}

func (w *cluster) deadlyArrivals() int64 {
	count := int64(0)
	for _, u := range w.upstreams {
		count += u.deadlyArrivals.Load()
	}
	return count
}

// sendDeadly sends deadly requests through all entries in turn for a time.
func (w *cluster) sendDeadly(length time.Duration, send func(entry *process, n int) answer) {
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		require.NotEqual(w.t, http.StatusOK, send(w.entries[n%entries], n).status)
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against deadly requests that real entries send on and on: one that is resent, and new ones that share a part of
// their prompts. Most control processes stand still, among them one seed, so that there is no leader, and one entry is killed and started again.
// Sound requests with the same first part are sent all the time, and answered at the end.
func TestDeadlyRequestsWithoutALeader(t *testing.T) {
	const allowedArrivals = 6
	w := newCluster(t, defaultSeed)
	c := newWorkload(w)
	w.requireRecovery(c)
	sendAs := func(entry *process, id, body, parts string) answer {
		return c.sendRequest(t.Context(), entry, "POST", "/match/x", id, body, "Guavahitch-Prompt-Prefix", parts)
	}
	var number atomic.Int64
	sound := func(entry *process) bool {
		n := number.Add(1)
		return sendAs(entry, fmt.Sprint("sound-", n), fmt.Sprint("sound ", n), fmt.Sprintf("c0:40,%x:5", n)).status == http.StatusOK
	}
	require.True(t, sound(w.entries[0]))
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			sound(w.entries[n%entries])
		}
	})
	for _, p := range w.controls[controls/2:] {
		p.signal(syscall.SIGSTOP)
		defer p.signal(syscall.SIGCONT)
	}
	w.sendDeadly(2*spreadTime, func(entry *process, n int) answer {
		return sendAs(entry, fmt.Sprint("resent-", n), deadlyWord, "c0:40,1:5")
	})
	resent := w.deadlyArrivals()
	w.entries[0].kill()
	w.entries[0].start()
	w.sendDeadly(spreadTime, func(entry *process, n int) answer {
		return sendAs(entry, fmt.Sprint("again-", n), deadlyWord, "c0:40,1:5")
	})
	again := w.deadlyArrivals()
	w.sendDeadly(2*spreadTime, func(entry *process, n int) answer {
		return sendAs(entry, fmt.Sprint("new-", n), fmt.Sprint("sound ", n), fmt.Sprintf("c0:40,%s:300,%x:5", deadlyPart, n))
	})
	parts := w.deadlyArrivals()
	t.Logf("arrivals: %d, %d after the restart of an entry, %d of new requests with a part", resent, again-resent, parts-again)
	require.LessOrEqual(t, resent, int64(allowedArrivals))
	require.Equal(t, resent, again)
	require.LessOrEqual(t, parts-again, int64(allowedArrivals))
	for _, entry := range w.entries {
		require.Eventually(t, func() bool { return sound(entry) }, recoveryTimeout, 50*time.Millisecond)
	}
	require.Empty(t, w.violations)
}
