package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/daemon"
)

const (
	// stressCallers is the number of concurrent callers, and stressTime is how long they send calls.
	stressCallers = 16
	stressTime    = 6 * time.Second
	// faultAfter is the time from the start of the load to the fault.
	faultAfter = time.Second
	// refusalPause is how long a caller waits after a refusal that proves that nothing ran.
	refusalPause = 10 * time.Millisecond
)

// stress makes callers stream through all entries for stressTime and runs the fault after faultAfter. It returns how
// many calls were cut off, and how many were refused as not run.
func (s *system) stress(fault func()) (cutOff, refused int64) {
	var group sync.WaitGroup
	var cut, notRun atomic.Int64
	end := time.Now().Add(stressTime)
	for n := range stressCallers {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				c := call{prompt: fmt.Sprintf("stress %d %d", n, i), tokens: tokensPerAnswer, stream: true}
				c.got = send(s.client, s.entries[n%len(s.entries)].CallerAddress(), chatPath, "", chatBody(c.prompt, c.tokens, true))
				s.history.add(c)
				if c.got.err != nil || c.got.status != http.StatusOK {
					if s.recordFailure(c.got) == "NotRun" {
						notRun.Add(1)
						time.Sleep(refusalPause)
						continue
					}
					cut.Add(1)
				}
			}
		})
	}
	time.Sleep(faultAfter)
	fault()
	group.Wait()
	s.t.Log(s.reasons)
	return cut.Load(), notRun.Load()
}

// recordFailure counts the reason of a failed call, for the log of the benchmark, and returns the call's outcome.
func (s *system) recordFailure(got answer) string {
	reason, known := fmt.Sprint(got.err), "Unknown"
	if refusal, err := refusalOf(got.body); err == nil && got.err == nil {
		reason, known = refusal.Step+" "+refusal.Reason+" "+refusal.Outcome, refusal.Outcome
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reasons[reason]++
	return known
}

// lastDispatch returns how long after the given time the entries last dispatched to an upstream.
func lastDispatch(entries []*daemon.Process, upstream string, since time.Time) time.Duration {
	var last time.Duration
	for _, entry := range entries {
		for _, e := range eventsOf(entry) {
			at := time.UnixMicro(e.WallUs)
			if e.Kind == "dispatch" && e.Peer == upstream && at.After(since) {
				last = max(last, at.Sub(since))
			}
		}
	}
	return last
}

// BenchmarkDrain measures the time from the start of a planned stop to the last dispatch to that upstream.
func BenchmarkDrain(b *testing.B) {
	for _, name := range []string{"control=present", "control=cut-off"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s := newSystem(b, 1)
				if name == "control=cut-off" {
					s.abort(s.controls[0], "control-1")
				}
				var faultTime time.Time
				cutOff, refused := s.stress(func() {
					faultTime = time.Now()
					go s.cancels["up-1"]()
				})
				require.Empty(b, s.history.check(s.engines, s.services))
				b.ReportMetric(float64(lastDispatch(s.entries, "up-1", faultTime).Milliseconds()), "last-wrong-ms")
				b.ReportMetric(float64(cutOff), "cut-off")
				b.ReportMetric(float64(refused), "refused")
			}
		})
	}
}

// BenchmarkSilentConnection measures how long entries still send on connections after these went silent.
func BenchmarkSilentConnection(b *testing.B) {
	for b.Loop() {
		s := newSystem(b, 1)
		var faultTime time.Time
		cutOff, refused := s.stress(func() {
			faultTime = time.Now()
			for _, r := range s.relays {
				r.silence()
			}
		})
		require.Empty(b, s.history.check(s.engines, s.services))
		var last time.Duration
		for _, r := range s.relays {
			last = max(last, r.lastDiscarded().Sub(faultTime))
		}
		b.ReportMetric(float64(last.Milliseconds()), "last-wrong-ms")
		b.ReportMetric(float64(cutOff), "cut-off")
		b.ReportMetric(float64(refused), "refused")
	}
}

// BenchmarkDeadlyRequest measures how many upstreams one request that crashes its engine takes down, and how many other
// calls fail. The caller resends the request as soon as it is refused, alternating between the entries.
func BenchmarkDeadlyRequest(b *testing.B) {
	b.Run("path=whole", benchmarkDeadlyRequest)
}

func benchmarkDeadlyRequest(b *testing.B) {
	for b.Loop() {
		s := newDeadlySystem(b)
		cutOff, refused := s.stress(func() {
			for n := range 8 {
				send(s.client, s.entries[n%2].CallerAddress(), chatPath, "", chatBody("crash-the-engine", 4, false))
			}
		})
		lost := 0
		for _, e := range s.engines {
			if e.IsDead() {
				lost++
			}
		}
		b.ReportMetric(float64(lost), "upstreams-lost")
		b.ReportMetric(float64(cutOff+refused), "innocents-failed")
	}
}

// newDeadlySystem starts two entries and six engines that crash on requests that contain a certain word.
func newDeadlySystem(b testing.TB) *system {
	s := &system{cluster: newCluster(b, 1), reasons: map[string]int{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	b.Cleanup(s.client.CloseIdleConnections)
	for n := range 6 {
		settings := testEngine
		settings.CrashWord = "crash-the-engine"
		s.addModel(fmt.Sprintf("up-%d", n+1), settings)
	}
	for n := range 2 {
		s.entries = append(s.entries, s.addEntry(fmt.Sprintf("entry-%d", n+1)))
		s.awaitRoom(s.entries[n], "m", 6)
	}
	return s
}
