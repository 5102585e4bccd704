package registry_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/registry"
	"guavahitch.example/guavahitch/roster"
	"guavahitch.example/guavahitch/route"
	"guavahitch.example/guavahitch/wire"
)

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// parse reads a configuration that consists of its version only, and has the service s.
func parse(source []byte) (*route.Configuration, error) {
	c := &route.Configuration{Services: []route.Service{{Name: "s"}}}
	if _, err := fmt.Sscan(string(source), &c.Version); err != nil {
		return nil, &route.Invalid{Subject: "configuration", Detail: err.Error()}
	}
	return c, nil
}

// group is a control group whose replicas communicate over the loopback interface.
type group struct {
	t         testing.TB
	seeds     []string
	tolerance int
	running   map[string]*replica
	// parseDelay is added to the time that the parsing of a configuration takes.
	parseDelay time.Duration
	// syncDelay is added to the time that a disk takes for a sync. If it is not 0, syncs and diskBytes count the syncs of all
	// disks and the bytes written to them.
	syncDelay time.Duration
	syncs     atomic.Int64
	diskBytes atomic.Int64
	// written counts the bytes that replicas write to connections which their peers opened.
	written atomic.Int64
	// log receives the log lines of the replicas. If it is nil, they are discarded.
	log *logrus.Entry
	// fullDisks holds the disks of the replicas by ID if it is not nil. isPartial is that of these disks.
	fullDisks map[string]*fullDisk
	isPartial bool
}

type replica struct {
	*registry.Replica
	server *http.Server
	folder string
}

func newGroup(t testing.TB, size, tolerance int) *group {
	return newSlowGroup(t, size, tolerance, 0)
}

// newLoggedGroup returns a group that writes to the log.
func newLoggedGroup(t testing.TB, size, tolerance int, log *logrus.Entry) *group {
	return (&group{t: t, tolerance: tolerance, running: map[string]*replica{}, log: log}).startAll(size)
}

// newSlowGroup returns a group whose disks take longer for each sync.
func newSlowGroup(t testing.TB, size, tolerance int, syncDelay time.Duration) *group {
	g := &group{t: t, tolerance: tolerance, running: map[string]*replica{}, syncDelay: syncDelay}
	return g.startAll(size)
}

// startAll starts replicas until the group has the size.
func (g *group) startAll(size int) *group {
	t := g.t
	var listeners []net.Listener
	for range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, listener)
		if len(g.seeds) < 3 {
			g.seeds = append(g.seeds, listener.Addr().String())
		}
	}
	for _, listener := range listeners {
		g.start(listener, t.TempDir(), true)
	}
	t.Cleanup(func() {
		for id := range g.running {
			g.stop(id)
		}
	})
	return g
}

func (g *group) start(listener net.Listener, folder string, isFounding bool) {
	id, delay := listener.Addr().String(), g.parseDelay
	r, err := registry.Open(registry.Settings{
		ID: id, Seeds: g.seeds, Folder: folder, IsFounding: isFounding, Tolerance: g.tolerance, Log: cmp.Or(g.log, quietLog()),
		Disk: g.diskOf(id, folder),
		Parse: func(source []byte) (*route.Configuration, error) {
			time.Sleep(delay)
			return parse(source)
		},
	})
	require.NoError(g.t, err)
	server := &http.Server{Handler: r.Handler()}
	counting := countingListener{Listener: listener, written: &g.written}
	go func() { _ = server.Serve(counting) }()
	g.running[id] = &replica{Replica: r, server: server, folder: folder}
}

// diskOf returns the disk of a replica, or nil for the files of the folder.
func (g *group) diskOf(id, folder string) *journal.Disk {
	if g.fullDisks == nil {
		return g.slowDisk(folder)
	}
	disk, err := journal.NewDisk(folder)
	require.NoError(g.t, err)
	if g.fullDisks[id] == nil {
		g.fullDisks[id] = &fullDisk{isPartial: g.isPartial}
	}
	return g.fullDisks[id].wrap(disk)
}

// slowDisk returns a disk for the folder that delays each sync by syncDelay, or nil if there is no delay.
func (g *group) slowDisk(folder string) *journal.Disk {
	if g.syncDelay == 0 {
		return nil
	}
	disk, err := journal.NewDisk(folder)
	require.NoError(g.t, err)
	slow := *disk
	slow.Open = func(name string) (*journal.File, error) {
		file, err := disk.Open(name)
		if err != nil {
			return nil, err
		}
		slowFile := *file
		slowFile.Sync = func() error {
			g.syncs.Add(1)
			time.Sleep(g.syncDelay)
			return file.Sync()
		}
		slowFile.WriteAt = func(p []byte, offset int64) (int, error) {
			g.diskBytes.Add(int64(len(p)))
			return file.WriteAt(p, offset)
		}
		return &slowFile, nil
	}
	return &slow
}

func (g *group) stop(id string) string {
	r := g.running[id]
	delete(g.running, id)
	_ = r.server.Close()
	r.Close()
	return r.folder
}

// restart starts a replica at its previous address, with its own folder or an empty one.
func (g *group) restart(id, folder string) {
	var listener net.Listener
	require.Eventually(g.t, func() bool {
		var err error
		listener, err = net.Listen("tcp", id)
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	g.start(listener, folder, false)
}

func (g *group) submit(version int) {
	require.Eventually(g.t, func() bool {
		for _, r := range g.running {
			if r.Submit(g.t.Context(), fmt.Append(nil, version)) == nil {
				return true
			}
		}
		return false
	}, 30*time.Second, 20*time.Millisecond, "version %d", version)
}

func (g *group) requireNewest(version uint64) {
	require.Eventually(g.t, func() bool {
		for _, r := range g.running {
			if document, err := r.Newest(g.t.Context()); err == nil && document.GetVersion() == version {
				return true
			}
		}
		return false
	}, 30*time.Second, 20*time.Millisecond, "version %d", version)
}

// Guards against the loss of acknowledged configurations. Five replicas that know three seeds form one group. Two of
// them lose their disks at the same time, right after an acknowledgement.
func TestAcknowledgedChangesSurviveTwoLostDisks(t *testing.T) {
	g := newGroup(t, 5, 2)
	g.submit(3)
	g.submit(7)
	for _, id := range g.seeds[:2] {
		g.stop(id)
	}
	for _, id := range g.seeds[:2] {
		g.restart(id, t.TempDir())
	}
	g.requireNewest(7)
	g.submit(8)
	g.requireNewest(8)
}

// Guards against a group that stays one member short. A replica at a new address, whose seeds are running replicas,
// replaces one that never returns.
func TestReplacementAtAnotherAddress(t *testing.T) {
	g := newGroup(t, 5, 2)
	g.submit(1)
	for round := range 3 {
		g.stop(g.seeds[0])
		g.seeds = slices.Sorted(maps.Keys(g.running))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		g.start(listener, t.TempDir(), false)
		g.submit(2 + round)
		require.Eventually(t, func() bool {
			for id, r := range g.running {
				members := r.Members()
				if id == listener.Addr().String() && len(members) == 5 {
					return true
				}
			}
			return false
		}, 30*time.Second, 20*time.Millisecond, "round %d", round)
	}
	g.requireNewest(4)
}

// Guards against a submission that replaces a newer configuration or stores an unreadable one. An older version is
// acknowledged without effect, and an unreadable text is refused.
func TestSubmissions(t *testing.T) {
	g := newGroup(t, 1, 0)
	g.submit(5)
	g.submit(4)
	g.requireNewest(5)
	for _, r := range g.running {
		var invalid *route.Invalid
		require.ErrorAs(t, r.Submit(t.Context(), []byte("x")), &invalid)
	}
	g.requireNewest(5)
}

// Guards against a leader that cannot reach the ranks of a group, because their announcements arrive at another
// replica. Every replica must know an upstream that announces itself to one of them.
func TestReplicasShareAnnouncements(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.submit(1)
	first := g.running[g.seeds[0]]
	announced := roster.Instance{ID: "u", Born: 1, Service: "s", Address: "a", State: roster.Ready}
	lastHeartbeats := map[string]time.Time{}
	for sequence := range uint64(20) {
		announced.Sequence = sequence
		require.NoError(t, first.Announce(t.Context(), announced))
		time.Sleep(100 * time.Millisecond)
		for id, r := range g.running {
			if at, isKnown := r.LastHeartbeat("u"); isKnown && at.After(lastHeartbeats[id]) {
				lastHeartbeats[id] = at
			}
		}
	}
	latest, isKnown := first.LastHeartbeat("u")
	require.True(t, isKnown)
	for id, at := range lastHeartbeats {
		require.WithinDuration(t, latest, at, 1500*time.Millisecond, "replica %s", id)
	}
	require.Len(t, lastHeartbeats, 3)
	require.NoError(t, g.running[g.seeds[1]].Leave(t.Context(), "u", 1))
	require.Eventually(t, func() bool {
		for _, r := range g.running {
			list := r.Upstreams()
			if len(list) != 1 || list[0].State != roster.Gone {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against an acknowledgement by too few replicas. While a group that tolerates two lost disks has three
// replicas, the loss of two could remove a change that all three hold. It is acknowledged only when there are five
// replicas.
func TestChangesWaitForRequiredVoters(t *testing.T) {
	g := newGroup(t, 3, 2)
	var leader *replica
	require.Eventually(t, func() bool {
		for _, r := range g.running {
			if _, leads := r.Leading(); leads && len(r.Members()) == 3 {
				leader = r
			}
		}
		return leader != nil
	}, 10*time.Second, 5*time.Millisecond)
	require.Error(t, leader.Submit(t.Context(), []byte("1")))
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		g.start(listener, t.TempDir(), true)
	}
	g.submit(1)
	require.Len(t, leader.Members(), 5)
}

// Guards against a follower that drops the replicas which it learnt from a seed when that seed stops.
func TestFollowerKeepsReplicasListedByAStoppedOne(t *testing.T) {
	g := newGroup(t, 5, 2)
	g.submit(1)
	seed := g.seeds[0]
	var newest atomic.Uint64
	follower := registry.NewFollower(registry.FollowerSettings{
		Seeds: func() []string { return []string{seed} }, Log: quietLog(),
		OnDocument:  func(d *wire.RoutingDocument) { newest.Store(d.Version) },
		OnUpstreams: func([]roster.Entry, []roster.Entry) {},
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = follower.Run(ctx)
		close(done)
	}()
	require.Eventually(t, func() bool { return newest.Load() == 1 && follower.ConnectedReplicas() == 5 },
		10*time.Second, 5*time.Millisecond)
	g.stop(seed)
	g.submit(2)
	require.Eventually(t, func() bool { return newest.Load() == 2 }, 10*time.Second, 5*time.Millisecond)
	stop()
	<-done
}

// Guards against frames that repeat the loads of all groups whenever those of one group change.
func TestFramesHoldTheLoadsOfChangedGroups(t *testing.T) {
	g := newGroup(t, 1, 0)
	r := g.running[g.seeds[0]]
	reports := make(chan []registry.Load, 8)
	follower := registry.NewFollower(registry.FollowerSettings{
		Seeds: func() []string { return g.seeds }, OnLoads: func(loads []registry.Load) { reports <- loads },
		OnUpstreams: func(_, _ []roster.Entry) {}, Log: quietLog(),
	})
	first := registry.Load{ID: "a0", Running: 3, Pace: 1}
	second := registry.Load{ID: "b0", Running: 5, Pace: 1}
	r.UpdateLoads("a", []registry.Load{first})
	r.UpdateLoads("b", []registry.Load{second})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = follower.Run(ctx) }()
	require.ElementsMatch(t, []registry.Load{first, second}, <-reports)
	first.Running = 4
	r.UpdateLoads("a", []registry.Load{first})
	require.Equal(t, []registry.Load{first}, <-reports)
}
