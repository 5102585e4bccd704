package forward_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/wire"
)

// newRivalMemory returns a memory in which the requests to /credit/ with two bodies ran in the same two crashes.
func newRivalMemory(bodies ...string) *quarantine.Memory {
	m := quarantine.NewMemory()
	for _, id := range []string{"first", "second"} {
		report := &wire.DeathReport{CrashId: id}
		for _, body := range bodies {
			report.Answering = append(report.Answering, &wire.Suspect{
				Organisation: "levis", Fingerprint: quarantine.NewFingerprint("levis", "bank.test/credit/", []byte(body)).Bytes(),
			})
		}
		m.RecordDeath(time.Now(), report)
	}
	return m
}

// Guards against a sound request that two entries send to the same upstream as a deadly one, so that the next crash tells nothing.
func TestRivalsAreSentToDifferentUpstreams(t *testing.T) {
	answer := func(conn net.Conn, request *http.Request, _ string) bool {
		writeResponse(conn, request, 200, "done")
		return true
	}
	first, second := newUpstream(t, answer), newUpstream(t, answer)
	for _, body := range []string{"x", "y"} {
		settings := testSettings()
		settings.Memory = newRivalMemory("x", "y")
		e := newEntryWith(t, settings, first, second)
		response, _, err := e.send("POST", "/credit/", body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Len(t, first.received(), 1)
	require.Len(t, second.received(), 1)
}

// Guards against a sound request that runs beside a deadly one because there is no other upstream. It waits until the other has
// ended, but not longer than a part of its time.
func TestRivalWaitsWithoutAnotherUpstream(t *testing.T) {
	for _, c := range []struct {
		name       string
		runs       time.Duration
		isTogether bool
	}{{"until the other has ended", 100 * time.Millisecond, false}, {"for a part of its time", 400 * time.Millisecond, true}} {
		t.Run(c.name, func(t *testing.T) {
			var running, most atomic.Int64
			settings := testSettings()
			settings.Memory = newRivalMemory("x", "y")
			e := newEntryWith(t, settings, newUpstream(t, func(conn net.Conn, request *http.Request, _ string) bool {
				if running.Add(1) > 1 {
					most.Store(2)
				}
				time.Sleep(c.runs)
				running.Add(-1)
				writeResponse(conn, request, 200, "done")
				return true
			}))
			var group sync.WaitGroup
			for _, body := range []string{"x", "y"} {
				group.Go(func() {
					response, _, err := e.send("POST", "/credit/", body)
					if err != nil || response.StatusCode != http.StatusOK {
						t.Error(response, err)
					}
				})
			}
			group.Wait()
			require.Equal(t, c.isTogether, most.Load() == 2)
		})
	}
}
