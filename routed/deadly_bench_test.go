package routed_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// BenchmarkDeadlyPart measures how many upstreams end under new requests with a deadly part, sent at rising rates through
// three entries, and the share of other requests that are answered whole.
func BenchmarkDeadlyPart(b *testing.B) {
	for _, perSecond := range []int{5, 20, 50} {
		b.Run(fmt.Sprintf("rate=%d", perSecond), func(b *testing.B) {
			for b.Loop() {
				c := newDeadlyCluster(b, 3, 12, nil, hasDeadlyPart)
				ctx, stop := context.WithTimeout(b.Context(), 5*time.Second)
				sent, whole, wait := c.sendInnocents(ctx, 15*time.Millisecond)
				var group sync.WaitGroup
				for n := 0; ctx.Err() == nil; n++ {
					group.Go(func() {
						c.send(c.entries[n%len(c.entries)], fmt.Sprint("new ", n), fmt.Sprintf("a,deadly,own%d", n))
					})
					time.Sleep(time.Second / time.Duration(perSecond))
				}
				stop()
				group.Wait()
				wait()
				b.ReportMetric(float64(c.ended.Load()), "upstreams-ended")
				b.ReportMetric(float64(c.arrivals.Load()), "arrivals")
				b.ReportMetric(float64(whole.Load())/float64(sent.Load()), "others-whole")
			}
		})
	}
}
