package routed_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hasDeadlyPart marks requests by a part of their prompt.
func hasDeadlyPart(r *http.Request, _ string) bool {
	return slices.Contains(sharedParts(r.Header), "deadly")
}

// Guards against ever new requests with a deadly part in their prompts that end upstream after upstream: they come through
// all entries, and after five upstreams have ended no more than three may reach others. Requests that share their first part
// are still answered. Upstreams that are the ranks of a group stall together, so there only few are answered at first.
func TestNewRequestsWithADeadlyPartAreKnownAtEveryEntry(t *testing.T) {
	const allowedEnds = 5 + 3
	for _, c := range []struct {
		name     string
		group    *rankGroup
		minWhole float64
	}{{"independent", nil, 0.9}, {"ranks", &rankGroup{}, 0.6}} {
		t.Run(c.name, func(t *testing.T) {
			cluster := newDeadlyCluster(t, 3, 12, c.group, hasDeadlyPart)
			ctx, stop := context.WithTimeout(t.Context(), 6*time.Second)
			defer stop()
			sent, whole, wait := cluster.sendInnocents(ctx, 15*time.Millisecond)
			for n := 0; ctx.Err() == nil; n++ {
				_, isWhole := cluster.send(cluster.entries[n%len(cluster.entries)], fmt.Sprint("new ", n), fmt.Sprintf("a,deadly,own%d", n))
				require.False(t, isWhole)
				time.Sleep(100 * time.Millisecond)
			}
			wait()
			arrivals, ended := cluster.arrivals.Load(), cluster.ended.Load()
			t.Logf("deadly part: %d arrivals, %d upstreams ended; others: %d of %d whole", arrivals, ended, whole.Load(), sent.Load())
			require.LessOrEqual(t, arrivals, int64(allowedEnds))
			require.LessOrEqual(t, ended, int64(allowedEnds))
			require.GreaterOrEqual(t, float64(whole.Load()), c.minWhole*float64(sent.Load()))
		})
	}
}
