package roster_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/roster"
)

// invented returns a heartbeat with an ID of 100 bytes that no other heartbeat has.
func invented(n int, service string) roster.Instance {
	return roster.Instance{
		ID: fmt.Sprintf("%s%08d", strings.Repeat("x", 92), n), Born: 1, Sequence: 1, Service: service, Address: "10.9.9.9:80",
		State: roster.Ready,
	}
}

// Guards against another sender with ever new IDs that fills the memory of a process, or displaces upstreams in use.
func TestInventedIDsDoNotDisplaceUpstreams(t *testing.T) {
	const count = 100_000
	for _, service := range []string{"unknown", "ledger"} {
		t.Run(service, func(t *testing.T) {
			r := roster.New()
			r.SetServices(func(service string) bool { return service == "ledger" })
			r.Announce(instance("before", 1, 1, roster.Ready), start)
			now := start
			for n := range count {
				now = now.Add(100 * time.Microsecond)
				r.Announce(invented(n, service), now)
				if n%1000 == 0 {
					r.Announce(instance("before", 1, uint64(n+2), roster.Ready), now)
				}
			}
			next := instance("after", 1, 1, roster.Ready)
			next.Address = "10.0.0.2:80"
			r.Announce(next, now)
			require.Equal(t, roster.Ready, r.Get("before").Instance.State)
			require.Equal(t, roster.Ready, r.Get("after").Instance.State)
			require.LessOrEqual(t, len(r.Entries()), roster.MaxServed+roster.MaxUnserved)
		})
	}
}

// Guards against more entries of services that are not served than the bound, after a configuration that drops a service.
func TestDroppedServicesAreBounded(t *testing.T) {
	r := roster.New()
	for n := range roster.MaxUnserved + 100 {
		next := invented(n, "ledger")
		next.Address = fmt.Sprint("10.0.0.1:", n)
		r.Announce(next, start)
	}
	r.SetServices(func(string) bool { return false })
	require.Len(t, r.Entries(), roster.MaxUnserved)
}

// Guards against departures of invented IDs that fill the memory of a process.
func TestDeparturesOfInventedIDsAreBounded(t *testing.T) {
	r := roster.New()
	r.Announce(instance("a", 1, 1, roster.Ready), start)
	for n := range 20_000 {
		r.Leave(invented(n, "").ID, 0, start)
	}
	require.LessOrEqual(t, len(r.Entries()), roster.MaxUnserved+1)
	require.Equal(t, roster.Ready, r.Get("a").Instance.State)
}

// Guards against upstreams that stay unknown to others after their service has come into the configuration.
func TestNewlyServedUpstreamsCountAsChanged(t *testing.T) {
	r := roster.New()
	served := map[string]bool{}
	r.SetServices(func(service string) bool { return served[service] })
	r.Announce(instance("a", 1, 1, roster.Ready), start)
	revision := r.Revision()
	require.Empty(t, r.ChangedSince(revision))
	served["ledger"] = true
	r.SetServices(func(service string) bool { return served[service] })
	changed := r.ChangedSince(revision)
	require.Len(t, changed, 1)
	require.Equal(t, "a", changed[0].Instance.ID)
}

// BenchmarkHeartbeat measures one heartbeat of an upstream in use, and the changes for a follower, beside other entries.
func BenchmarkHeartbeat(b *testing.B) {
	for _, others := range []int{400, 4_000, 40_000} {
		b.Run(fmt.Sprint(others), func(b *testing.B) {
			r := roster.New()
			r.SetServices(func(service string) bool { return service == "ledger" })
			for n := range others {
				r.Announce(invented(n, "unknown"), start)
			}
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				revision := r.Revision()
				r.Announce(instance("a", 1, sequence, roster.Ready), start.Add(time.Duration(sequence)))
				_ = r.ChangedSince(revision)
			}
		})
	}
}
