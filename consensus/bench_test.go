package consensus_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/wire"
)

const (
	oneWayDelay  = time.Millisecond
	commandBytes = 128
	usPerMs      = 1000.0
)

// link delivers messages in order after oneWayDelay.
type link struct {
	queue chan delayed
}

type delayed struct {
	due time.Time
	run func()
}

func newLink(tb testing.TB) *link {
	l := &link{queue: make(chan delayed, 1<<16)}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for d := range l.queue {
			time.Sleep(time.Until(d.due))
			d.run()
		}
	}()
	tb.Cleanup(func() { close(l.queue); <-stopped })
	return l
}

func (l *link) send(run func()) { l.queue <- delayed{due: time.Now().Add(oneWayDelay), run: run} }

// delayLinks connects each pair of replicas with a link.
func (c *cluster) delayLinks(tb testing.TB) {
	links := map[[2]string]*link{}
	for _, from := range c.ids {
		for _, to := range c.ids {
			links[[2]string{from, to}] = newLink(tb)
		}
	}
	c.adjust = func(s *consensus.Settings) {
		from := s.ID
		s.Heartbeat, s.ElectionTimeout = consensus.DefaultHeartbeat, consensus.DefaultElectionTimeout
		s.Send = func(to string, m *wire.ReplicaMessage) {
			links[[2]string{from, to}].send(func() { c.deliver(from, to, m) })
		}
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func quantileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / usPerMs
}

// floorMs returns the lower bound of the commit latency in milliseconds: the median of a round trip over a link plus
// the median of writing and syncing one record in the folder.
func floorMs(b *testing.B, folder string) float64 {
	there, back := newLink(b), newLink(b)
	trips, syncs := newHistogram(), newHistogram()
	disk, err := journal.NewDisk(folder)
	require.NoError(b, err)
	j, err := journal.Open(disk, journal.Settings{})
	require.NoError(b, err)
	defer j.Close()
	for range 300 {
		start, done := time.Now(), make(chan struct{})
		there.send(func() { back.send(func() { close(done) }) })
		<-done
		_ = trips.RecordValue(time.Since(start).Microseconds())
		start = time.Now()
		require.NoError(b, j.Append(journal.FirstKind, 1, make([]byte, commandBytes)))
		require.NoError(b, j.Sync())
		_ = syncs.RecordValue(time.Since(start).Microseconds())
	}
	return quantileMs(trips, 50) + quantileMs(syncs, 50)
}

// load proposes commands from concurrent callers for the given time. It returns the latencies and the commits per
// second.
func load(b *testing.B, n *consensus.Node, callers int, d time.Duration) (*hdrhistogram.Histogram, float64) {
	var mutex sync.Mutex
	all := newHistogram()
	var group sync.WaitGroup
	start := time.Now()
	for range callers {
		group.Go(func() {
			own := newHistogram()
			for time.Since(start) < d {
				begun := time.Now()
				if _, err := n.Propose(context.Background(), make([]byte, commandBytes)); err != nil {
					b.Error(err)
					return
				}
				_ = own.RecordValue(time.Since(begun).Microseconds())
			}
			mutex.Lock()
			defer mutex.Unlock()
			all.Merge(own)
		})
	}
	group.Wait()
	return all, float64(all.TotalCount()) / time.Since(start).Seconds()
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// counter sets a state machine without state, so that only the log is measured.
func counter(s *consensus.Settings) {
	s.Apply = func(consensus.Entry) []byte { return nil }
	s.Snapshot = func() []byte { return []byte{0} }
	s.Restore = func([]byte) error { return nil }
}

func newBenchCluster(b *testing.B, count int) *cluster {
	c := newCluster(b, count, nil)
	c.delayLinks(b)
	delayed := c.adjust
	c.adjust = func(s *consensus.Settings) { delayed(s); counter(s) }
	c.start(b)
	return c
}

// BenchmarkCommit reports the commit latency of one caller with its lower bound, and the throughput of 256 callers.
func BenchmarkCommit(b *testing.B) {
	for _, count := range []int{3, 5} {
		b.Run(fmt.Sprint("replicas=", count), func(b *testing.B) {
			for b.Loop() {
				commitOnce(b, count)
			}
		})
	}
}

func commitOnce(b *testing.B, count int) {
	c := newBenchCluster(b, count)
	defer c.closeAll()
	c.propose(b, "warm")
	floor := floorMs(b, c.root+"/floor")
	single, _ := load(b, c.leader(b), 1, 3*time.Second)
	cpu := cpuTime()
	batched, rate := load(b, c.leader(b), 256, 4*time.Second)
	cpu = cpuTime() - cpu
	b.ReportMetric(rate, "commits/s")
	b.ReportMetric(quantileMs(single, 50), "p50-ms")
	b.ReportMetric(quantileMs(single, 99), "p99-ms")
	b.ReportMetric(floor, "floor-ms")
	b.ReportMetric(quantileMs(batched, 50), "batched-p50-ms")
	b.ReportMetric(quantileMs(batched, 99), "batched-p99-ms")
	b.ReportMetric(float64(cpu.Microseconds())/float64(batched.TotalCount()), "cpu-us/commit")
}

// BenchmarkFailover reports the time from cutting the leader off to the first commit under the next leader.
func BenchmarkFailover(b *testing.B) {
	const rounds = 40
	for b.Loop() {
		c := newBenchCluster(b, 3)
		times := newHistogram()
		for range rounds {
			c.propose(b, "before")
			old := c.leader(b).Status().ID
			c.setCut(old, true)
			start := time.Now()
			c.propose(b, "after")
			_ = times.RecordValue(time.Since(start).Microseconds())
			c.setCut(old, false)
			require.Eventually(b, func() bool { return c.node(old).Status().Role == "follower" }, 10*time.Second, time.Millisecond)
		}
		c.closeAll()
		b.ReportMetric(quantileMs(times, 50), "p50-ms")
		b.ReportMetric(quantileMs(times, 99), "p99-ms")
	}
}

// keys is a state machine that stores one number per key.
type keys struct {
	mutex  sync.Mutex
	values map[uint64]uint64
}

func (k *keys) settings(s *consensus.Settings) {
	s.Apply = func(e consensus.Entry) []byte {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.values[binary.LittleEndian.Uint64(e.Command)] = e.Index
		return nil
	}
	s.Snapshot = func() []byte {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		data := make([]byte, 0, 16*len(k.values))
		for key, index := range k.values {
			data = binary.LittleEndian.AppendUint64(data, key)
			data = binary.LittleEndian.AppendUint64(data, index)
		}
		return data
	}
	s.Restore = func(data []byte) error {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.values = make(map[uint64]uint64, len(data)/16)
		for ; len(data) > 0; data = data[16:] {
			k.values[binary.LittleEndian.Uint64(data)] = binary.LittleEndian.Uint64(data[8:])
		}
		return nil
	}
}

// fill proposes count commands, each with another key, from concurrent callers.
func (c *cluster) fill(b *testing.B, count, callers int) {
	n := c.leader(b)
	var next atomic.Uint64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for {
				key := next.Add(1)
				if key > uint64(count) {
					return
				}
				if _, err := n.Propose(context.Background(), binary.LittleEndian.AppendUint64(nil, key)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
}

// BenchmarkRestart reports the time to open a replica that missed commands, and the time until it has caught up.
func BenchmarkRestart(b *testing.B) {
	for _, behind := range []int{500, 1_000_000} {
		b.Run(fmt.Sprint("behind=", behind), func(b *testing.B) {
			for b.Loop() {
				restartOnce(b, behind)
			}
		})
	}
}

func restartOnce(b *testing.B, behind int) {
	c := newCluster(b, 3, func(s *consensus.Settings) {
		(&keys{values: map[uint64]uint64{}}).settings(s)
		s.Heartbeat, s.ElectionTimeout = consensus.DefaultHeartbeat, consensus.DefaultElectionTimeout
	})
	c.start(b)
	defer c.closeAll()
	c.propose(b, "warm up!")
	leading := c.leader(b).Status().ID
	away := c.ids[0]
	if away == leading {
		away = c.ids[1]
	}
	c.close(away)
	start := time.Now()
	c.fill(b, behind, min(behind, 2000))
	filled := time.Since(start)
	start = time.Now()
	n, err := c.open(away)
	require.NoError(b, err)
	opened := time.Since(start)
	want := c.node(leading).Status().Commit
	for n.Status().Applied < want {
		time.Sleep(100 * time.Microsecond)
	}
	b.ReportMetric(float64(opened.Microseconds())/usPerMs, "open-ms")
	b.ReportMetric(float64((time.Since(start)-opened).Microseconds())/usPerMs, "catchup-ms")
	b.ReportMetric(float64(behind)/filled.Seconds(), "commits/s")
}

// BenchmarkEntryMemory reports the memory per entry that no snapshot covers yet, in one replica.
func BenchmarkEntryMemory(b *testing.B) {
	for _, held := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("held=", held), func(b *testing.B) {
			for b.Loop() {
				entryMemoryOnce(b, held)
			}
		})
	}
}

func entryMemoryOnce(b *testing.B, held int) {
	c := newCluster(b, 1, func(s *consensus.Settings) {
		counter(s)
		s.SnapshotBytes = 1 << 30
	})
	c.start(b)
	defer c.closeAll()
	c.propose(b, "warm")
	before := heapBytes()
	c.fill(b, held, 500)
	b.ReportMetric(float64(heapBytes()-before)/float64(held), "B/entry")
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
