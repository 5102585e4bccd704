package routed_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that ends its upstreams late in its answer and is sent on and on: the part of the answer that has arrived
// shows nothing. Other requests, which are cut off by the same crashes, are still answered.
func TestLateCrashIsNoSignOfASoundRequest(t *testing.T) {
	const (
		allowedEnds = 3 + 3
		length      = 6 * time.Second
	)
	for _, c := range []struct {
		name       string
		crashAfter time.Duration
		group      *rankGroup
		// outage is the time around each end in which others are not answered: until the group serves again, and an answer before.
		outage time.Duration
	}{
		{"in place of the last event", 0, nil, 0},
		// The rest of the stream that another upstream sends ends before that, so each sending is answered whole.
		{"at a time within each run", 300 * time.Millisecond, nil, 0},
		// The ranks of a group stall together.
		{"ranks, in place of the last event", 0, &rankGroup{}, restartDelay + formTime + streamEvents*eventPause},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newDeadlyCluster(t, 3, 12, c.group, isDeadlyBody)
			cluster.crashAfter = c.crashAfter
			ctx, stop := context.WithTimeout(t.Context(), length)
			defer stop()
			sent, whole, wait := cluster.sendInnocents(ctx, 15*time.Millisecond)
			for n := 0; ctx.Err() == nil; n++ {
				cluster.send(cluster.entries[n%len(cluster.entries)], "deadly", "a,own")
				time.Sleep(100 * time.Millisecond)
			}
			wait()
			arrivals, ended := cluster.arrivals.Load(), cluster.ended.Load()
			t.Logf("deadly request: %d arrivals, %d upstreams ended; others: %d of %d whole", arrivals, ended, whole.Load(), sent.Load())
			require.LessOrEqual(t, ended, int64(allowedEnds))
			lost := float64(ended) * c.outage.Seconds() / length.Seconds()
			require.GreaterOrEqual(t, float64(whole.Load()), (0.9-lost)*float64(sent.Load()))
		})
	}
}

// Guards against requests that are refused as deadly because they ran beside one that ends its upstreams late: with few upstreams they
// are resumed, and resent by their callers, where that one runs.
func TestStreamsBesideALateCrashAreNotAccused(t *testing.T) {
	const clients, tries = 8, 6
	for seed := range 6 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newDeadlyCluster(t, 2, 3, nil, isDeadlyBody)
			c.crashAfter = 0
			ctx, stop := context.WithTimeout(t.Context(), 6*time.Second)
			defer stop()
			var group sync.WaitGroup
			var accused, asked, answered atomic.Int64
			for client := range clients {
				group.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						asked.Add(1)
						for try := range tries {
							_, text, isWhole := c.exchange(c.entries[(client+try)%2], fmt.Sprintf("innocent %d %d", client, n), "")
							if isWhole {
								answered.Add(1)
								break
							}
							if text == "deadly request\n" {
								accused.Add(1)
							}
							time.Sleep(100 * time.Millisecond)
						}
					}
				})
			}
			for n := 0; ctx.Err() == nil; n++ {
				c.send(c.entries[n%2], "deadly", "")
				time.Sleep(100 * time.Millisecond)
			}
			group.Wait()
			t.Logf("deadly request: %d arrivals, %d upstreams ended; others: %d accused, %d of %d answered", c.arrivals.Load(), c.ended.Load(),
				accused.Load(), answered.Load(), asked.Load())
			require.Zero(t, accused.Load())
		})
	}
}
