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
	"guavahitch.example/guavahitch/fake"
)

const (
	// callersAtOnce is the number of callers in a test.
	callersAtOnce = 12
	// callsEach is the number of calls of each caller.
	callsEach = 6
	// tokensEach is the length of each answer.
	tokensEach = 20
	// resends is how often a caller sends a keyed call again that has no answer.
	resends = 60
)

var testEngine = fake.EngineSettings{Slots: 32, Step: 3 * time.Millisecond}

// system is a cluster with two entries, two engines and two ledgers, and what its callers saw.
type system struct {
	*cluster
	entries  []*daemon.Process
	sidecars []*daemon.Process
	relays   []*relay
	history  history
	client   *http.Client
	done     atomic.Int64
	mutex    sync.Mutex
	reasons  map[string]int
}

// newSystem starts a system whose model sidecars are reached through relays.
func newSystem(t testing.TB, replicas int) *system {
	s := &system{cluster: newCluster(t, replicas), reasons: map[string]int{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(s.client.CloseIdleConnections)
	for n := range 2 {
		name := fmt.Sprintf("up-%d", n+1)
		e := fake.NewEngine(testEngine)
		require.NoError(t, e.Start(loopback))
		s.engines = append(s.engines, e)
		s.addRelayed(name, e.Address(), "model", "m")
	}
	for n := range 2 {
		ledger := fake.NewService(fake.ServiceSettings{Name: "ledger", Delay: 5 * time.Millisecond})
		require.NoError(t, ledger.Start(loopback))
		s.services = append(s.services, ledger)
		s.addRelayed(fmt.Sprintf("ledger-%d", n+1), ledger.Address(), "service", "ledger")
	}
	for n := range 2 {
		s.entries = append(s.entries, s.addEntry(fmt.Sprintf("entry-%d", n+1)))
	}
	for _, e := range s.entries {
		s.awaitRoom(e, "m", 4)
		s.awaitRoom(e, "ledger", 4)
	}
	return s
}

func (s *system) addRelayed(name, engine, kind, service string) {
	settings := s.sidecarSettings(name, engine, kind, service, 32)
	settings.Listen = freeAddress(s.t)
	r := newRelay(s.t, settings.Listen)
	settings.Advertise = r.address()
	s.relays = append(s.relays, r)
	s.sidecars = append(s.sidecars, s.start(settings))
}

// restart starts a sidecar again behind its relay after it was aborted.
func (s *system) restart(n int, name, engine, kind, service string) {
	s.abort(s.sidecars[n], name)
	settings := s.sidecarSettings(name, engine, kind, service, 32)
	settings.Listen = s.relays[n].target
	settings.Advertise = s.relays[n].address()
	s.sidecars[n] = s.start(settings)
}

// run lets all callers make their calls and runs fault when a third of the calls has ended.
func (s *system) run(fault func()) {
	var group sync.WaitGroup
	begun := make(chan struct{})
	begin := sync.OnceFunc(func() { close(begun) })
	for n := range callersAtOnce {
		group.Go(func() {
			for i := range callsEach {
				s.call(n, i)
				if s.done.Add(1) == callersAtOnce*callsEach/3 {
					begin()
				}
			}
		})
	}
	<-begun
	fault()
	group.Wait()
}

func (s *system) call(caller, number int) {
	name := fmt.Sprintf("%d %d", caller, number)
	if caller%3 == 0 {
		s.keyedCall("key "+name, caller)
		return
	}
	c := call{prompt: "mend a roof " + name, tokens: tokensEach, stream: caller%3 == 1}
	c.got = send(s.client, s.entries[caller%2].CallerAddress(), chatPath, "", chatBody(c.prompt, c.tokens, c.stream))
	s.history.add(c)
}

// keyedCall sends a call until it is answered, each time to the other entry.
func (s *system) keyedCall(key string, caller int) {
	for i := range resends {
		c := call{key: key, body: `{"hours":1}`}
		c.got = send(s.client, s.entries[(caller+i)%2].CallerAddress(), "/ledger/entries", c.key, c.body)
		s.history.add(c)
		if c.got.err == nil && c.got.status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// requireHistory checks the promises, and that this many calls were answered whole.
func (s *system) requireHistory(answered int) {
	require.Empty(s.t, s.history.check(s.engines, s.services))
	require.GreaterOrEqual(s.t, s.history.answered(), answered)
}

const allCalls = callersAtOnce * callsEach

func TestSilentConnectionsUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() {
		for _, r := range s.relays {
			require.Positive(t, r.silence())
		}
	})
	s.requireHistory(allCalls)
}

func TestEngineDeathUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() { s.engines[0].Stop() })
	s.requireHistory(allCalls)
}

func TestPlannedStopUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() {
		s.drain("up-1")
		s.drain("ledger-1")
	})
	s.requireHistory(allCalls)
}

func TestSidecarRestartUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() {
		s.restart(0, "up-1", s.engines[0].Address(), "model", "m")
		s.restart(2, "ledger-1", s.services[0].Address(), "service", "ledger")
	})
	s.requireHistory(allCalls - callersAtOnce)
}

func TestEntryCrashUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() { s.abort(s.entries[0], "entry-1") })
	s.requireHistory(allCalls / 2)
}

func TestSilentConnectionsAndSidecarRestart(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() {
		for _, r := range s.relays {
			r.silence()
		}
		s.restart(2, "ledger-1", s.services[0].Address(), "service", "ledger")
	})
	s.requireHistory(allCalls - callersAtOnce)
}

func TestSlowEngineIsNotAskedForMore(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() { s.engines[1].Pause() })
	s.requireHistory(allCalls / 2)
	s.engines[1].Resume()
}

func TestLeaderCrashUnderLoad(t *testing.T) {
	s := newSystem(t, 3)
	s.run(func() {
		leader := s.leader()
		s.abort(s.controls[leader], s.replicas[leader].Name)
	})
	s.requireHistory(allCalls)
}

func TestAnswersSurviveTheRestartOfAllReplicas(t *testing.T) {
	s := newSystem(t, 3)
	send := func() answer {
		return send(s.client, s.entries[0].CallerAddress(), "/ledger/entries", "kept", `{"hours":2}`)
	}
	first := send()
	require.Equal(t, http.StatusOK, first.status, first.body)
	for n, p := range s.controls {
		s.abort(p, s.replicas[n].Name)
	}
	for n := range s.controls {
		s.controls[n] = s.startControl(n)
	}
	require.Eventually(t, func() bool {
		again := send()
		return again.status == http.StatusOK && again.body == first.body
	}, patience, 50*time.Millisecond)
	require.Equal(t, 1, s.services[0].Runs("kept")+s.services[1].Runs("kept"))
}

func TestReplicaWithLostDiskIsReplacedUnderLoad(t *testing.T) {
	s := newSystem(t, 3)
	s.run(func() {
		lost := (s.leader() + 1) % 3
		s.abort(s.controls[lost], s.replicas[lost].Name)
		s.folders[lost] = t.TempDir()
		s.controls[lost] = s.startControl(lost)
	})
	s.requireHistory(allCalls)
}

func TestEngineThatBreaksOffIsNoCrash(t *testing.T) {
	s := newSystem(t, 1)
	ask := func() answer {
		return send(s.client, s.entries[0].CallerAddress(), chatPath, "", chatBody("broken", 4, false))
	}
	for _, e := range s.engines {
		e.SetAbortPrompt("broken")
	}
	for range 3 {
		refusal, err := refusalOf(ask().body)
		require.NoError(t, err)
		require.Equal(t, "engine-failed", refusal.Reason, "the engines live, so the request is not taken for deadly")
	}
	for _, e := range s.engines {
		e.SetAbortPrompt("")
	}
	require.Eventually(t, func() bool { return ask().status == http.StatusOK }, patience, 50*time.Millisecond)
}
