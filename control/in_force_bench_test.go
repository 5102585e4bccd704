package control_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/lease"
	"guavahitch.example/guavahitch/wire"
)

const (
	inForceChanges   = 10
	inForceIdle      = 3 * time.Second
	inForceInventory = 1300
	// inForceProcessesPerRelay is the number of processes under one relay. Fleets of at most this size have no
	// relays.
	inForceProcessesPerRelay = 36
	cutOffChanges            = 2
)

type (
	// countedListener counts the bytes on all of its connections.
	countedListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	countedConn struct {
		net.Conn
		bytes *atomic.Int64
	}

	// fleet is a control server on loopback and simulated processes that follow it.
	fleet struct {
		state  *control.State
		server *control.Server
		client wire.Control
		// relays are the relays that the processes watch instead of the leader, if any.
		relays []wire.Control
		// bytes counts the traffic of the leader, relayed the traffic between the relays and the processes
		// under them.
		bytes, relayed atomic.Int64
		poll           bool
		disconnect     context.CancelFunc
		group          sync.WaitGroup
	}
)

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// serve starts a control server on loopback and returns a client of it. bytes counts the traffic.
func serve(b *testing.B, served wire.Control, bytes *atomic.Int64, processes int) wire.Control {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	web := &http.Server{Handler: wire.NewControlServer(served)}
	go web.Serve(countedListener{listener, bytes})
	transport := &http.Transport{MaxIdleConnsPerHost: processes + 1}
	b.Cleanup(func() {
		web.Close()
		transport.CloseIdleConnections()
	})
	return wire.NewControlProtobufClient("http://"+listener.Addr().String(), &http.Client{Transport: transport})
}

func (f *fleet) addRelay(ctx context.Context, b *testing.B, name string, processes int) {
	member := &wire.Member{Name: name, Role: "entry", FailureDomain: "levis"}
	_, err := f.client.Announce(ctx, &wire.AnnounceRequest{Member: member})
	require.NoError(b, err)
	relay := control.NewRelay(name, f.client)
	f.relays = append(f.relays, serve(b, relay, &f.relayed, processes))
	f.group.Go(func() { relay.Run(ctx) })
}

func newFleet(b *testing.B, processes, relays int, poll bool) *fleet {
	f := &fleet{state: control.NewState(), poll: poll}
	f.server = control.NewServer(control.Settings{
		Name: "control-1", State: f.state, Propose: control.NewLocalLog(f.state).Propose,
		ReadBarrier: func(context.Context) error { return nil },
		Leader:      func() (string, string) { return "control-1", "" },
	})
	f.client = serve(b, f.server, &f.bytes, processes)
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(func() {
		cancel()
		f.group.Wait()
	})
	f.group.Go(func() { f.server.Run(ctx) })
	for n := range relays {
		f.addRelay(ctx, b, fmt.Sprint("relay-", n), processes)
	}
	for n := range processes {
		processCtx := ctx
		if n == 0 {
			processCtx, f.disconnect = context.WithCancel(ctx)
		}
		f.group.Go(func() { f.runProcess(processCtx, n) })
	}
	return f
}

// runProcess announces a process and watches until the context ends.
func (f *fleet) runProcess(ctx context.Context, n int) {
	name := fmt.Sprint("process-", n)
	target := f.client
	if len(f.relays) > 0 {
		target = f.relays[n%len(f.relays)]
	}
	member := &wire.Member{Name: name, Role: "entry", FailureDomain: "levis"}
	if _, err := f.client.Announce(ctx, &wire.AnnounceRequest{Member: member}); err != nil {
		return
	}
	var holder lease.Holder
	for ctx.Err() == nil {
		sent := time.Now()
		wait := lease.RenewInterval
		if f.poll {
			wait = 0
		}
		reply, err := target.Watch(ctx, holder.Request(name, wait))
		if err != nil {
			return
		}
		holder = holder.WithReply(reply, sent)
		if f.poll {
			select {
			case <-ctx.Done():
			case <-time.After(lease.RenewInterval):
			}
		}
	}
}

// change submits the next revision and returns the time from its acceptance until it is in force.
func (f *fleet) change(b *testing.B) time.Duration {
	revision, _ := f.state.Revision()
	text := fmt.Appendf(inventoryOf(inForceInventory), "// %d\n", revision)
	status, err := f.client.Submit(b.Context(), &wire.SubmitRequest{
		ChangeId: fmt.Sprint("change-", revision), ExpectedRevision: revision, Inventory: text,
	})
	require.NoError(b, err)
	accepted := time.Now()
	for f.state.InForce() < status.Revision {
		changed := f.state.Changed()
		if f.state.InForce() < status.Revision {
			<-changed
		}
	}
	return time.Since(accepted)
}

func (f *fleet) slowest(b *testing.B, changes int) float64 {
	var most time.Duration
	for range changes {
		most = max(most, f.change(b))
	}
	return float64(most.Microseconds()) / 1000
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkInForce measures the time from the acceptance of a change until it is in force in all processes,
// with every process connected and with one cut off, over twirp on loopback. One baseline watches the leader
// directly, the other polls it once a second.
func BenchmarkInForce(b *testing.B) {
	for _, processes := range []int{12, 100, 1170} {
		name := fmt.Sprint("processes=", processes)
		b.Run(name, func(b *testing.B) { measureInForce(b, processes, relaysFor(processes), false, false) })
		b.Run(name+"/way=direct", func(b *testing.B) { measureInForce(b, processes, 0, false, true) })
		b.Run(name+"/way=poll", func(b *testing.B) { measureInForce(b, processes, 0, true, true) })
	}
}

// relaysFor returns the number of relays of a fleet.
func relaysFor(processes int) int {
	if processes <= inForceProcessesPerRelay {
		return 0
	}
	return (processes + inForceProcessesPerRelay - 1) / inForceProcessesPerRelay
}

func measureInForce(b *testing.B, processes, relays int, poll, isBaseline bool) {
	f := newFleet(b, processes, relays, poll)
	f.change(b)
	time.Sleep(2 * lease.RenewInterval)
	bytes, relayed, used := f.bytes.Load(), f.relayed.Load(), processorTime()
	time.Sleep(inForceIdle)
	leaderRate := float64(f.bytes.Load()-bytes) / inForceIdle.Seconds()
	relayRate := float64(f.relayed.Load()-relayed) / inForceIdle.Seconds()
	b.ReportMetric((leaderRate+relayRate)/float64(processes), "B/s/node")
	b.ReportMetric(leaderRate, "leader-B/s")
	if relays > 0 {
		b.ReportMetric((leaderRate+relayRate)/float64(relays), "relay-B/s")
	}
	b.ReportMetric(100*(processorTime()-used).Seconds()/inForceIdle.Seconds()/float64(processes), "cpu-%/node")
	changes := inForceChanges
	if poll {
		changes = cutOffChanges
	}
	b.ReportMetric(f.slowest(b, changes), "connected-max-ms")
	b.ReportMetric(0, "ns/op")
	if !isBaseline {
		f.disconnect()
		b.ReportMetric(f.slowest(b, cutOffChanges), "max-ms")
	}
}
