package routing_test

import (
	"fmt"
	"testing"
	"time"

	"guavahitch.example/guavahitch/fairness"
	"guavahitch.example/guavahitch/routing"
)

// table returns a table of n upstreams over four failure domains.
func table(n int) routing.Table {
	upstreams := make([]routing.Upstream, n)
	for i := range upstreams {
		upstreams[i] = upstream(fmt.Sprintf("upstream-%03d", i))
		upstreams[i].FailureDomain = fmt.Sprintf("domain-%d", i%4)
		upstreams[i].Capacity = 16
	}
	return routing.Table{}.With(upstreams...)
}

// decisionsPerRun is large enough for a single run to give a stable time per decision.
const decisionsPerRun = 20000

// BenchmarkDecision measures one whole decision: admission through the fair queue, the choice, and the end of the
// attempt.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{12, 100, 760} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) { decide(b, upstreams, 10) })
	}
	for _, organisations := range []int{10, 13000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { decide(b, 12, organisations) })
	}
}

func decide(b *testing.B, upstreams, organisations int) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1", FailureDomain: "domain-1"})
	picker.Use(table(upstreams))
	queue := fairness.NewQueue(fairness.Settings{Limit: 4 * organisations})
	names := make([]string, organisations)
	hashes := make([]uint64, 32)
	now := start
	for n := range names {
		names[n] = fmt.Sprintf("organisation-%05d", n)
		queue.Push(now, &fairness.Ticket{Organisation: names[n], Cost: 100})
	}
	decisions := b.N * decisionsPerRun
	b.ResetTimer()
	for n := range decisions {
		now = now.Add(time.Millisecond)
		queue.Push(now, &fairness.Ticket{Organisation: names[n%organisations], Cost: 100, LatestStart: now.Add(time.Hour)})
		t := queue.Pop(now)
		hashes[0] = uint64(n % 1000)
		choice, refused := picker.Pick(now, routing.Request{
			Service: "match", Organisation: t.Organisation, PromptTokens: 2048, OutputTokens: 100, PrefixHashes: hashes,
		})
		if refused != nil {
			b.Fatal(refused)
		}
		choice.Attempt.FirstToken(now)
		choice.Attempt.Ended(now)
		queue.Release(t, 100)
		queue.TakeDropped(now)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(decisions)/1000, "us/decision")
}

// BenchmarkPickParallel measures Pick from several goroutines at once, without admission.
func BenchmarkPickParallel(b *testing.B) {
	picker := routing.NewPicker(routing.Settings{Entry: "entry-1"})
	picker.Use(table(100))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			choice, refused := picker.Pick(start, routing.Request{Service: "match", PromptTokens: 500, OutputTokens: 100})
			if refused != nil {
				b.Error(refused)
				return
			}
			choice.Attempt.Ended(start)
		}
	})
}
