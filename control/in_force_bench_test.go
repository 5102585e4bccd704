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
	cutOffChanges    = 2
)

type (
	// countedListener counts the bytes of all its connections.
	countedListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	countedConn struct {
		net.Conn
		bytes *atomic.Int64
	}

	// fleet is a control server on loopback and stand-ins for the processes that follow it.
	fleet struct {
		state  *control.State
		server *control.Server
		client wire.Control
		bytes  atomic.Int64
		poll   bool
		cut    context.CancelFunc
		group  sync.WaitGroup
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

func newFleet(b *testing.B, processes int, poll bool) *fleet {
	f := &fleet{state: control.NewState(), poll: poll}
	f.server = control.NewServer(control.Settings{
		Name: "control-1", State: f.state, Propose: control.NewLocal(f.state).Propose,
		ReadBarrier: func(context.Context) error { return nil },
		Leader:      func() (string, string) { return "control-1", "" },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	web := &http.Server{Handler: wire.NewControlServer(f.server)}
	go web.Serve(countedListener{listener, &f.bytes})
	transport := &http.Transport{MaxIdleConnsPerHost: processes + 1}
	f.client = wire.NewControlProtobufClient("http://"+listener.Addr().String(), &http.Client{Transport: transport})
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(func() {
		cancel()
		f.group.Wait()
		web.Close()
		transport.CloseIdleConnections()
	})
	f.group.Go(func() { f.server.Run(ctx) })
	for n := range processes {
		processCtx := ctx
		if n == 0 {
			processCtx, f.cut = context.WithCancel(ctx)
		}
		f.group.Go(func() { f.follow(processCtx, fmt.Sprint("process-", n)) })
	}
	return f
}

// follow announces a process and watches until the context ends.
func (f *fleet) follow(ctx context.Context, name string) {
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
		reply, err := f.client.Watch(ctx, holder.Request(name, wait))
		if err != nil {
			return
		}
		holder = holder.With(reply, sent)
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

// BenchmarkInForce measures the time from the acceptance of a change until it is in force everywhere, with
// every process connected and with one cut off, over twirp on loopback. The baseline polls once a second.
func BenchmarkInForce(b *testing.B) {
	for _, processes := range []int{12, 100, 1170} {
		name := fmt.Sprint("processes=", processes)
		b.Run(name, func(b *testing.B) { measureInForce(b, processes, false) })
		b.Run(name+"/way=poll", func(b *testing.B) { measureInForce(b, processes, true) })
	}
}

func measureInForce(b *testing.B, processes int, poll bool) {
	f := newFleet(b, processes, poll)
	f.change(b)
	time.Sleep(2 * lease.RenewInterval)
	bytes, used := f.bytes.Load(), processorTime()
	time.Sleep(inForceIdle)
	perSecond := float64(f.bytes.Load()-bytes) / inForceIdle.Seconds()
	b.ReportMetric(perSecond/float64(processes), "B/s/node")
	b.ReportMetric(perSecond, "leader-B/s")
	b.ReportMetric(100*(processorTime()-used).Seconds()/inForceIdle.Seconds()/float64(processes), "cpu-%/node")
	changes := inForceChanges
	if poll {
		changes = cutOffChanges
	}
	bytes = f.bytes.Load()
	b.ReportMetric(f.slowest(b, changes), "connected-max-ms")
	b.ReportMetric(float64(f.bytes.Load()-bytes)/float64(changes)/float64(processes), "B/change/node")
	f.cut()
	b.ReportMetric(f.slowest(b, cutOffChanges), "max-ms")
	b.ReportMetric(0, "ns/op")
}
