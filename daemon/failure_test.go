package daemon_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/daemon"
	"guavahitch.example/guavahitch/fake"
)

const (
	// concurrentCallers is the number of callers in a test.
	concurrentCallers = 12
	// callsPerCaller is the number of calls of each caller.
	callsPerCaller = 6
	// tokensPerAnswer is the length of each answer.
	tokensPerAnswer = 20
	// maxSends is the maximum number of times that a caller sends a call with an idempotency key.
	maxSends = 60
)

var testEngine = fake.EngineSettings{Slots: 32, Step: 3 * time.Millisecond}

// system is a cluster with two entries, two engines and two ledger services, and the record of its callers' calls.
type system struct {
	*cluster
	entries   []*daemon.Process
	sidecars  []*daemon.Process
	relays    []*relay
	history   history
	client    *http.Client
	completed atomic.Int64
	mutex     sync.Mutex
	reasons   map[string]int
}

// newSystem starts a system whose sidecars are reached through relays.
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

// openLinks makes calls at the same time until each relay carries a connection, and drops them from the history.
func (s *system) openLinks() {
	isOpen := func() bool {
		return !slices.ContainsFunc(s.relays, func(r *relay) bool { return r.connectionCount() == 0 })
	}
	for round := 0; !isOpen(); round++ {
		require.Less(s.t, round, 100, "no call reaches a relay")
		var group sync.WaitGroup
		for n := range concurrentCallers {
			group.Go(func() { s.call(n, -round-1) })
		}
		group.Wait()
	}
	require.Empty(s.t, s.history.unanswered())
	s.history.calls = nil
}

// restart aborts a sidecar and starts it again behind its relay.
func (s *system) restart(n int, name, engine, kind, service string) {
	s.abort(s.sidecars[n], name)
	settings := s.sidecarSettings(name, engine, kind, service, 32)
	settings.Listen = s.relays[n].target
	settings.Advertise = s.relays[n].address()
	s.sidecars[n] = s.start(settings)
}

// run makes the calls of all callers and runs the fault once a third of the calls has ended.
func (s *system) run(fault func()) {
	var group sync.WaitGroup
	faultDue := make(chan struct{})
	startFault := sync.OnceFunc(func() { close(faultDue) })
	for n := range concurrentCallers {
		group.Go(func() {
			for i := range callsPerCaller {
				s.call(n, i)
				if s.completed.Add(1) == concurrentCallers*callsPerCaller/3 {
					startFault()
				}
			}
		})
	}
	<-faultDue
	fault()
	group.Wait()
}

func (s *system) call(caller, number int) {
	name := fmt.Sprintf("%d %d", caller, number)
	if caller%3 == 0 {
		s.keyedCall("key "+name, caller)
		return
	}
	c := call{prompt: "mend a roof " + name, tokens: tokensPerAnswer, stream: caller%3 == 1}
	c.got = send(s.client, s.entries[caller%2].CallerAddress(), chatPath, "", chatBody(c.prompt, c.tokens, c.stream))
	s.history.add(c)
}

// keyedCall sends a call with an idempotency key until it is answered, up to maxResends times and alternating between
// the entries.
func (s *system) keyedCall(key string, caller int) {
	for i := range maxSends {
		c := call{key: key, body: `{"hours":1}`}
		c.got = send(s.client, s.entries[(caller+i)%2].CallerAddress(), "/ledger/entries", c.key, c.body)
		s.history.add(c)
		if c.got.err == nil && c.got.status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// requireHistory checks the guarantees to callers, and that at least this many calls were answered in full.
func (s *system) requireHistory(answered int) {
	require.Empty(s.t, s.history.check(s.engines, s.services))
	require.GreaterOrEqual(s.t, s.history.answered(), answered, s.history.unanswered())
}

const allCalls = concurrentCallers * callsPerCaller

// Guards against calls that hang or fail when all open connections to the sidecars silently drop their bytes.
func TestSilentConnectionsUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.openLinks()
	s.run(func() {
		for _, r := range s.relays {
			require.Positive(t, r.silence())
		}
	})
	s.requireHistory(allCalls)
}

// Guards against calls that fail because the engine they run on stops.
func TestEngineDeathUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() { s.engines[0].Stop() })
	s.requireHistory(allCalls)
}

// Guards against calls that a planned stop of their upstream cuts off.
func TestPlannedStopUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() {
		s.drain("up-1")
		s.drain("ledger-1")
	})
	s.requireHistory(allCalls)
}

// Guards against a start that reaches a sidecar at the end of its planned stop and is lost with its connection: the call
// would end as one that may have run, and its key could never be settled.
func TestStartOnItsWayDuringAPlannedStop(t *testing.T) {
	s := newSystem(t, 1)
	s.openLinks()
	for _, r := range s.relays {
		r.delay.Store(int64(250 * time.Millisecond))
	}
	var group sync.WaitGroup
	for n := range 8 {
		group.Go(func() { s.keyedCall(fmt.Sprintf("late %d", n), n) })
		group.Go(func() { s.call(1, n) })
	}
	time.Sleep(50 * time.Millisecond)
	s.drain("ledger-1")
	s.drain("up-1")
	group.Wait()
	s.requireHistory(16)
	require.Empty(t, s.history.refusals("unsettled"))
}

// Guards against duplicate runs, wrong answers and more than one failed call per caller when two sidecars crash and
// restart.
func TestSidecarRestartUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() {
		s.restart(0, "up-1", s.engines[0].Address(), "model", "m")
		s.restart(2, "ledger-1", s.services[0].Address(), "service", "ledger")
	})
	s.requireHistory(allCalls - concurrentCallers)
}

// Guards against duplicate runs and wrong answers when an entry crashes and callers resend through the other one. Half
// of the callers use the crashed entry.
func TestEntryCrashUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() { s.abort(s.entries[0], "entry-1") })
	s.requireHistory(allCalls / 2)
}

// Guards against duplicate runs, wrong answers and more than one failed call per caller when connections go silent and
// a sidecar restarts at the same time.
func TestSilentConnectionsAndSidecarRestart(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() {
		for _, r := range s.relays {
			r.silence()
		}
		s.restart(2, "ledger-1", s.services[0].Address(), "service", "ledger")
	})
	s.requireHistory(allCalls - concurrentCallers)
}

// Guards against an engine that accepts requests but makes no progress and holds up the calls on the other engine.
func TestPausedEngineUnderLoad(t *testing.T) {
	s := newSystem(t, 1)
	s.run(func() { s.engines[1].Pause() })
	s.requireHistory(allCalls / 2)
	s.engines[1].Resume()
}

// Guards against calls that fail while control elects a new leader.
func TestLeaderCrashUnderLoad(t *testing.T) {
	s := newSystem(t, 3)
	s.run(func() {
		leader := s.leader()
		s.abort(s.controls[leader], s.replicas[leader].Name)
	})
	s.requireHistory(allCalls)
}

// Guards against stored answers that are lost when all control replicas crash, so that a resend runs again.
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
	}, waitTimeout, 50*time.Millisecond)
	require.Equal(t, 1, s.services[0].Runs("kept")+s.services[1].Runs("kept"))
}

// Guards against calls that fail while a control replica restarts with an empty disk and rejoins the log.
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

// Guards against requests that are quarantined because the engine broke their connection, although it did not crash.
func TestBrokenEngineConnectionIsNotACrash(t *testing.T) {
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
		require.Equal(t, "engine-failed", refusal.Reason, "the engines are alive, so the request must not be quarantined")
	}
	for _, e := range s.engines {
		e.SetAbortPrompt("")
	}
	require.Eventually(t, func() bool { return ask().status == http.StatusOK }, waitTimeout, 50*time.Millisecond)
}
