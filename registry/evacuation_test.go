package registry_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/evacuation"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/wire"
)

// orderTimeout bounds one call of an operator to one replica.
const orderTimeout = 1500 * time.Millisecond

// order repeats an order at the running replicas until one acknowledges it, and returns the revision.
func (g *group) order(domain string, isFinish bool) uint64 {
	var revision uint64
	require.Eventually(g.t, func() bool {
		for _, r := range g.running {
			ctx, cancel := context.WithTimeout(g.t.Context(), orderTimeout)
			acknowledged, _, err := r.Evacuate(ctx, registry.Evacuation{Domain: domain, IsFinish: isFinish})
			cancel()
			if err == nil {
				revision = acknowledged
				return true
			}
		}
		return false
	}, 30*time.Second, 20*time.Millisecond, "order for %s", domain)
	return revision
}

// requireEvacuated waits until every running replica has the set with the revision, and checks its domains.
func (g *group) requireEvacuated(revision uint64, domains ...string) {
	require.Eventually(g.t, func() bool {
		for _, r := range g.running {
			if r.Evacuated().Revision() != revision {
				return false
			}
		}
		return true
	}, 30*time.Second, 10*time.Millisecond, "revision %d", revision)
	for id, r := range g.running {
		require.Equal(g.t, domains, domainsOf(r.Evacuated()), "replica %s", id)
	}
}

func domainsOf(set evacuation.Set) []string {
	var domains []string
	for _, o := range set.Orders() {
		domains = append(domains, o.Domain)
	}
	return domains
}

func (g *group) awaitLeader() *replica {
	var found *replica
	require.Eventually(g.t, func() bool {
		for _, r := range g.running {
			if _, leads := r.Leading(); leads {
				found = r
			}
		}
		return found != nil
	}, 30*time.Second, 5*time.Millisecond)
	return found
}

func (g *group) idOf(searched *replica) string {
	for id, r := range g.running {
		if r == searched {
			return id
		}
	}
	return ""
}

// Guards against the loss of an acknowledged order. Two of five replicas lose their disks at the same time, right after the
// acknowledgement.
func TestEvacuationSurvivesTwoLostDisks(t *testing.T) {
	g := newGroup(t, 5, 2)
	require.Equal(t, uint64(1), g.order("east", false))
	for _, id := range g.seeds[:2] {
		g.stop(id)
	}
	for _, id := range g.seeds[:2] {
		g.restart(id, t.TempDir())
	}
	g.requireEvacuated(1, "east")
	require.Equal(t, uint64(2), g.order("west", false))
	require.Equal(t, uint64(3), g.order("east", true))
	g.requireEvacuated(3, "west")
}

// Guards against an acknowledgement by too few replicas, which two lost disks could make untrue.
func TestEvacuationWaitsForRequiredVoters(t *testing.T) {
	g := newGroup(t, 3, 2)
	leader := g.awaitLeader()
	_, _, err := leader.Evacuate(t.Context(), registry.Evacuation{Domain: "east"})
	require.ErrorIs(t, err, registry.ErrNoQuorum)
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		g.start(listener, t.TempDir(), true)
	}
	g.order("east", false)
	require.Len(t, g.awaitLeader().Members(), 5)
}

// Guards against an order that is lost or counted twice when the leader ends between the write to the log and the answer.
// The operator repeats the order at the other replicas.
func TestLeaderEndsBeforeItAnswers(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			g := newGroup(t, 3, 1)
			g.submit(1)
			leader := g.awaitLeader()
			called := make(chan struct{})
			go func() {
				close(called)
				_, _, _ = leader.Evacuate(t.Context(), registry.Evacuation{Domain: "east"})
			}()
			<-called
			time.Sleep(delay)
			g.stop(g.idOf(leader))
			require.Equal(t, uint64(1), g.order("east", false))
			g.requireEvacuated(1, "east")
		})
	}
}

// Guards against an order that is refused or lost because another one arrives at another replica at the same time.
func TestConcurrentOrdersAtTwoReplicas(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.submit(1)
	var calls sync.WaitGroup
	var failures atomic.Int64
	for n, r := range []*replica{g.running[g.seeds[0]], g.running[g.seeds[1]]} {
		calls.Go(func() {
			if _, _, err := r.Evacuate(t.Context(), registry.Evacuation{Domain: []string{"east", "west"}[n]}); err != nil {
				failures.Add(1)
			}
		})
	}
	calls.Wait()
	require.Zero(t, failures.Load())
	g.requireEvacuated(2, "east", "west")
}

// Guards against a set that differs between replicas after start and finish of one domain were ordered at the same time.
func TestStartAndFinishAtTheSameTime(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.submit(1)
	g.order("east", false)
	var calls sync.WaitGroup
	for n, id := range g.seeds {
		r := g.running[id]
		calls.Go(func() {
			_, _, _ = r.Evacuate(t.Context(), registry.Evacuation{Domain: "east", IsFinish: n%2 == 0})
		})
	}
	calls.Wait()
	revision := g.order("west", false)
	first := g.awaitLeader().Evacuated()
	require.Equal(t, revision, first.Revision())
	g.requireEvacuated(revision, domainsOf(first)...)
}

// Guards against an order without an end that is forgotten when all replicas restart, and against a drain that begins again
// because the age of the order is counted from the restart.
func TestEvacuationOutlivesTheRestartOfAllReplicas(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.submit(1)
	g.order("east", false)
	ordered := time.Now()
	folders := map[string]string{}
	for _, id := range g.seeds {
		folders[id] = g.stop(id)
	}
	time.Sleep(time.Second)
	for _, id := range g.seeds {
		g.restart(id, folders[id])
	}
	g.requireEvacuated(1, "east")
	for _, r := range g.running {
		started := r.Evacuated().Orders()[0].Started
		require.WithinDuration(t, ordered, started, 900*time.Millisecond, "the age counts from the order")
	}
	require.Equal(t, uint64(2), g.order("east", true))
}

// Guards against a group without a quorum that acknowledges an order, or forgets the orders in force.
func TestOrderWithoutAQuorum(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.submit(1)
	g.order("east", false)
	g.requireEvacuated(1, "east")
	g.stop(g.seeds[0])
	g.stop(g.seeds[1])
	ctx, cancel := context.WithTimeout(t.Context(), orderTimeout)
	defer cancel()
	last := g.running[g.seeds[2]]
	_, _, err := last.Evacuate(ctx, registry.Evacuation{Domain: "west"})
	require.Error(t, err)
	require.Equal(t, []string{"east"}, domainsOf(last.Evacuated()))
}

// followed is what a follower received, in the order of arrival.
type followed struct {
	mutex sync.Mutex
	log   []string
	set   evacuation.Set
}

func (f *followed) follow(t *testing.T, seeds []string) (stop func()) {
	follower := registry.NewFollower(registry.FollowerSettings{
		Seeds: func() []string { return slices.Clone(seeds) }, Log: quietLog(), IsEntry: true,
		OnUpstreams: func([]roster.Entry, []roster.Entry) {},
		OnEvacuations: func(set evacuation.Set) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.log = append(f.log, "evacuations")
			f.set, _ = f.set.Merge(set)
		},
		OnDocument: func(*wire.RoutingDocument) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.log = append(f.log, "configuration")
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = follower.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (f *followed) received() ([]string, evacuation.Set) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.log), f.set
}

// Guards against an entry that serves before it knows the evacuated domains: the set arrives before the configuration.
// Later orders arrive within a frame.
func TestNewEntryReceivesTheSetBeforeTheConfiguration(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.submit(1)
	g.order("east", false)
	g.requireEvacuated(1, "east")
	received := &followed{}
	defer received.follow(t, g.seeds)()
	require.Eventually(t, func() bool {
		log, _ := received.received()
		return slices.Contains(log, "configuration")
	}, 10*time.Second, 5*time.Millisecond)
	log, set := received.received()
	require.Equal(t, "evacuations", log[0])
	require.Equal(t, []string{"east"}, domainsOf(set))
	g.order("east", true)
	ended := time.Now()
	require.Eventually(t, func() bool {
		_, set := received.received()
		return set.IsEmpty()
	}, 10*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(ended), 2*time.Second)
}

// Guards against a replica that cannot read what an earlier version wrote: log entries and snapshots that are a
// RoutingDocument each.
func TestLogsAndSnapshotsOfEarlierVersionsAreRead(t *testing.T) {
	document := func(version uint64) []byte {
		data, err := proto.Marshal(&wire.RoutingDocument{Version: version, Compressed: []byte{1}})
		require.NoError(t, err)
		return data
	}
	for name, snapshotBytes := range map[string]int{"log": 0, "snapshot": 1} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			id, folder := listener.Addr().String(), t.TempDir()
			var newest atomic.Pointer[[]byte]
			node, err := consensus.Open(consensus.Settings{
				ID: id, Address: id, Folder: folder, Voters: 1, SnapshotBytes: snapshotBytes,
				Members: []consensus.Member{{ID: id, Address: id, IsVoter: true}},
				Apply: func(e consensus.Entry) []byte {
					newest.Store(&e.Command)
					return nil
				},
				Snapshot: func() []byte {
					// The first entry of the log is no command, so that a snapshot can come before one.
					if held := newest.Load(); held != nil {
						return *held
					}
					return nil
				},
				Restore: func([]byte) error { return nil },
				Send:    func(string, *wire.ReplicaMessage) {}, OnStatusChange: func(consensus.Status) {},
			})
			require.NoError(t, err)
			for version := range uint64(5) {
				require.Eventually(t, func() bool {
					_, err := node.Propose(t.Context(), document(version+1))
					return err == nil
				}, 10*time.Second, 10*time.Millisecond)
			}
			require.NoError(t, node.Close())
			g := &group{t: t, seeds: []string{id}, running: map[string]*replica{}}
			g.start(listener, folder, false)
			defer g.stop(id)
			g.requireNewest(5)
			require.Equal(t, uint64(1), g.order("east", false))
		})
	}
}

// Guards against a snapshot without the evacuated domains. The configurations that follow the order fill the log, so that a
// replica with an empty disk receives a snapshot instead of it.
func TestSnapshotsHoldTheEvacuatedDomains(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.submit(1)
	g.order("west", false)
	g.order("east", false)
	g.order("west", true)
	ordered := time.Now()
	g.fillLog()
	id := g.seeds[0]
	g.stop(id)
	g.restart(id, t.TempDir())
	g.requireEvacuated(3, "east")
	require.WithinDuration(t, ordered, g.running[id].Evacuated().Orders()[0].Started, 2*time.Second)
}

// fillLog submits configurations until a snapshot has replaced the first part of the log.
func (g *group) fillLog() {
	padding := make([]byte, 3<<20)
	_, _ = rand.Read(padding)
	for version := 2; version*len(padding) < 2*consensus.DefaultSnapshotBytes; version++ {
		source := append(fmt.Appendf(nil, "%d ", version), padding...)
		require.Eventually(g.t, func() bool { return g.awaitLeader().Submit(g.t.Context(), source) == nil }, 30*time.Second, 20*time.Millisecond)
	}
}

// Guards against frames that grow by the set of evacuated domains: each frame carries it, and an entry receives some ten a second
// from each replica.
func TestEvacuationsTakeFewBytesOfAFrame(t *testing.T) {
	message := &wire.WatchFrame{Evacuations: &wire.EvacuationSet{Revision: 1000}}
	for n := range 3 {
		message.Evacuations.Orders = append(message.Evacuations.Orders, &wire.EvacuationOrder{
			Domain: fmt.Sprintf("domain-north-%d", n), Revision: 1000, AgeMs: (24 * time.Hour).Milliseconds(),
		})
	}
	require.Less(t, proto.Size(message), 100)
}
