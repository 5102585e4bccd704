package leader_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/leader"
	"guavahitch.example/guavahitch/wire"
)

// renewals is the number of renewals that each iteration measures, regardless of the number of members.
const renewals = 5000

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkAnnounce measures the cost of renewing a membership: the bytes in both directions, and the CPU time of
// client and server together.
func BenchmarkAnnounce(b *testing.B) {
	for _, members := range []int{12, 100, 1170} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			server := httptest.NewServer(wire.NewControlServer(control.NewLocalServer("control-1", func([]byte) error { return nil })))
			defer server.Close()
			var bytes atomic.Int64
			transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &countedConn{Conn: inner, bytes: &bytes}, err
			}}
			client := leader.NewClient("http", []string{server.Listener.Addr().String()}, transport)
			announce := func(n int) {
				_, failure := client.Announce(context.Background(), &wire.AnnounceRequest{Member: &wire.Member{
					Name: fmt.Sprintf("upstream-%d", n%members), Role: "sidecar", Address: "127.0.0.1:9000", FailureDomain: "levis",
					Epoch: 1, Services: []string{"matching"}, Load: &wire.Load{Running: int32(n), Capacity: 16, Sequence: uint64(n)},
				}})
				require.Nil(b, failure)
			}
			for n := range members {
				announce(n)
			}
			for b.Loop() {
				bytes.Store(0)
				before := processorTime()
				for n := range renewals {
					announce(n)
				}
				b.ReportMetric(float64(bytes.Load())/renewals, "B/renewal")
				b.ReportMetric(float64((processorTime()-before).Microseconds())/renewals, "cpu-us/renewal")
			}
		})
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
