package routed_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// isDeadlyBody marks requests by their body.
func isDeadlyBody(_ *http.Request, body string) bool { return body == "deadly" }

// Guards against a request that ends the upstreams that run it being sent on and on: it is resent through all entries,
// and after three upstreams have ended it must reach no more than three others. Other requests are still answered.
func TestResentDeadlyRequestIsKnownAtEveryEntry(t *testing.T) {
	const allowedEnds = 3 + 3
	c := newDeadlyCluster(t, 3, 12, nil, isDeadlyBody)
	ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
	defer stop()
	sent, whole, wait := c.sendInnocents(ctx, 15*time.Millisecond)
	for n := 0; ctx.Err() == nil; n++ {
		status, isWhole := c.send(c.entries[n%len(c.entries)], "deadly", "a,own")
		require.False(t, isWhole)
		require.NotEqual(t, http.StatusTooManyRequests, status)
		time.Sleep(100 * time.Millisecond)
	}
	wait()
	t.Logf("deadly request: %d arrivals, %d upstreams ended; others: %d of %d whole", c.arrivals.Load(), c.ended.Load(), whole.Load(), sent.Load())
	require.LessOrEqual(t, c.arrivals.Load(), int64(allowedEnds))
	require.LessOrEqual(t, c.ended.Load(), int64(allowedEnds))
	require.GreaterOrEqual(t, float64(whole.Load()), 0.9*float64(sent.Load()))
}
