package registry_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/measure/process"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// routeBytes is the size of one route in a configuration.
const routeBytes = 280

// entries are followers of a group that record the newest version which each has received.
type entries struct{ versions []atomic.Uint64 }

func newEntries(b *testing.B, g *group, count int) *entries {
	e := &entries{versions: make([]atomic.Uint64, count)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, count)
	for i := range e.versions {
		follower := registry.NewFollower(registry.FollowerSettings{
			Seeds: func() []string { return g.seeds }, IsEntry: true, Log: quietLog(),
			OnDocument:  func(document *wire.RoutingDocument) { e.versions[i].Store(document.Version) },
			OnUpstreams: func(_, _ []roster.Entry) {},
		})
		go func() { ended <- follower.Run(ctx) }()
	}
	b.Cleanup(func() {
		cancel()
		for range e.versions {
			<-ended
		}
	})
	return e
}

// await returns once all entries have the version.
func (e *entries) await(version uint64) {
	for i := range e.versions {
		for e.versions[i].Load() < version {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// source returns the text of a configuration with the size of the given number of routes.
func source(version uint64, routes int) []byte {
	return fmt.Appendf(nil, "%d %s", version, strings.Repeat("r", routes*routeBytes))
}

// leader waits until a replica leads a group of five, and returns it.
func (g *group) leader() *replica {
	for {
		for _, r := range g.running {
			if _, leads := r.Leading(); leads && len(r.Members()) == 5 {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkAcknowledge measures a change of the configuration in a group of five that tolerates two lost disks: the
// time to its acknowledgement, and the time until it is in force on all entries. All processes share the machine.
func BenchmarkAcknowledge(b *testing.B) {
	for _, c := range []struct{ entries, routes int }{{12, 10}, {60, 10}, {12, 5000}, {60, 5000}} {
		b.Run(fmt.Sprintf("entries=%d/routes=%d", c.entries, c.routes), func(b *testing.B) {
			g := newGroup(b, 5, 2)
			g.submit(1)
			e := newEntries(b, g, c.entries)
			leader := g.leader()
			version, acknowledged := uint64(1), time.Duration(0)
			for b.Loop() {
				version++
				began := time.Now()
				require.NoError(b, leader.Submit(b.Context(), source(version, c.routes)))
				acknowledged += time.Since(began)
				e.await(version)
			}
			b.ReportMetric(float64(acknowledged)/float64(time.Millisecond)/float64(b.N), "ms-to-acknowledge")
		})
	}
}

type (
	// countingListener counts the bytes that are written to its connections.
	countingListener struct {
		net.Listener
		written *atomic.Int64
	}

	countingConn struct {
		net.Conn
		written *atomic.Int64
	}
)

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, written: l.written}, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// BenchmarkHeartbeats measures the processor time and the bytes between processes for each heartbeat. Workers are
// spread over five replicas and send one heartbeat each per iteration. Four entries follow the replicas.
func BenchmarkHeartbeats(b *testing.B) {
	for _, workers := range []int{12, 63, 760} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			g := newGroup(b, 5, 2)
			g.submit(1)
			newEntries(b, g, 4)
			var replicas []*replica
			for _, r := range g.running {
				replicas = append(replicas, r)
			}
			sequence, rounds := uint64(0), 0
			sendHeartbeats := func() {
				sequence++
				for w := range workers {
					replicas[w%len(replicas)].Announce(b.Context(), roster.Instance{
						ID: fmt.Sprint("i-", w), Born: 1, Sequence: sequence, Service: "model", Address: "10.0.0.1:80",
						Domain: "levis", State: roster.Ready, Slots: 12,
					})
				}
			}
			sendHeartbeats()
			time.Sleep(time.Second)
			before, written := processorTime(b), g.written.Load()
			for b.Loop() {
				rounds++
				sendHeartbeats()
				// Replicas collect renewals for their next frame.
				time.Sleep(1200 * time.Millisecond)
			}
			heartbeats := float64(rounds * workers)
			b.ReportMetric(float64(processorTime(b)-before)/float64(time.Microsecond)/heartbeats, "cpu-µs/heartbeat")
			b.ReportMetric(float64(g.written.Load()-written)/heartbeats, "bytes/heartbeat")
		})
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	used, err := process.ProcessorTime()
	require.NoError(b, err)
	return used
}

// catchUpTime is the time after which a restarted replica is taken to have caught up with the log.
const catchUpTime = 4 * time.Second

// BenchmarkRecover measures the time from the restart of processes to the next acknowledgement.
func BenchmarkRecover(b *testing.B) {
	for _, c := range []struct {
		name       string
		stopped    int
		losesDisks bool
	}{{"all stopped", 5, false}, {"two lost disks", 2, true}} {
		b.Run(c.name, func(b *testing.B) {
			g := newGroup(b, 5, 2)
			g.submit(1)
			g.leader()
			version, took := 1, time.Duration(0)
			for b.Loop() {
				time.Sleep(catchUpTime)
				folders := map[string]string{}
				for id := range g.running {
					if len(folders) < c.stopped {
						folders[id] = ""
					}
				}
				for id := range folders {
					folders[id] = g.stop(id)
				}
				began := time.Now()
				for id, folder := range folders {
					if c.losesDisks {
						folder = b.TempDir()
					}
					g.restart(id, folder)
				}
				version++
				g.submit(version)
				took += time.Since(began)
			}
			b.ReportMetric(float64(took)/float64(time.Millisecond)/float64(b.N), "ms-to-acknowledge")
		})
	}
}

// BenchmarkChanges measures the memory of a replica after a thousand changes of a configuration of ten routes.
func BenchmarkChanges(b *testing.B) {
	const changes = 1000
	for b.Loop() {
		g := newGroup(b, 5, 2)
		g.submit(1)
		leader := g.leader()
		before := process.MemoryInUse()
		for version := range uint64(changes) {
			require.NoError(b, leader.Submit(b.Context(), source(version+2, 10)))
		}
		b.ReportMetric(float64(process.MemoryInUse()-before)/5/(1<<20), "MB/replica")
	}
}

// BenchmarkDepartures measures the departure of 300 upstreams at the same time, on disks that take 5 ms for a sync: the time to
// an acknowledgement, the processor time of five replicas and the bytes that each writes to its disk.
func BenchmarkDepartures(b *testing.B) {
	g := newSlowGroup(b, 5, 2, slowSync)
	g.submit(1)
	g.leader()
	var took []time.Duration
	born, before, size := int64(0), processorTime(b), g.diskBytes.Load()
	for b.Loop() {
		born++
		took = append(took, g.leaveAtOnce(manyDepartures, born)...)
	}
	departures := float64(len(took))
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2])/float64(time.Millisecond), "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100])/float64(time.Millisecond), "p99-ms")
	b.ReportMetric(float64(processorTime(b)-before)/float64(time.Microsecond)/departures, "cpu-µs/departure")
	b.ReportMetric(float64(g.diskBytes.Load()-size)/departures/5, "bytes/departure")
}
