package consensus_test

// Tests of running nodes with faulty disks, partitions, damaged files and failing state machines.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/journal"
	"guavahitch.example/guavahitch/outcome"
)

// faultyDisk is a real folder whose writes and syncs can be made to fail.
type faultyDisk struct {
	writeErr, syncErr atomic.Pointer[error]
	// block, while it is not nil, blocks syncs until the channel is closed.
	block atomic.Pointer[chan struct{}]
}

func (d *faultyDisk) wrap(tb testing.TB, folder string) *journal.Disk {
	tb.Helper()
	disk, err := journal.NewDisk(folder)
	require.NoError(tb, err)
	open := disk.Open
	disk.Open = func(name string) (*journal.File, error) {
		f, err := open(name)
		if err != nil {
			return nil, err
		}
		write, sync := f.WriteAt, f.Sync
		f.WriteAt = func(p []byte, at int64) (int, error) {
			if err := d.writeErr.Load(); err != nil {
				return 0, *err
			}
			return write(p, at)
		}
		f.Sync = func() error {
			if block := d.block.Load(); block != nil {
				<-*block
			}
			if err := d.syncErr.Load(); err != nil {
				return *err
			}
			return sync()
		}
		return f, nil
	}
	return disk
}

func newFaultyCluster(t *testing.T, count int) (*cluster, map[string]*faultyDisk) {
	disks := map[string]*faultyDisk{}
	var c *cluster
	c = newCluster(t, count, func(s *consensus.Settings) {
		disks[s.ID] = &faultyDisk{}
		s.Disk = disks[s.ID].wrap(t, c.root+"/"+s.ID)
		s.SyncTimeout = 300 * time.Millisecond
	})
	c.start(t)
	return c, disks
}

// TestReplicaWithAFailingDiskStepsAside guards against a leader that continues to lead, or reports that a command was
// not run, after its disk is full or broken.
func TestReplicaWithAFailingDiskStepsAside(t *testing.T) {
	full, broken := errors.New("no space left on device"), errors.New("input/output error")
	for name, fail := range map[string]func(*faultyDisk){
		"full":    func(d *faultyDisk) { d.writeErr.Store(&full) },
		"failing": func(d *faultyDisk) { d.syncErr.Store(&broken) },
	} {
		t.Run(name, func(t *testing.T) {
			c, disks := newFaultyCluster(t, 3)
			defer c.closeAll()
			c.propose(t, "before")
			old := c.leader(t)
			fail(disks[old.Status().ID])
			_, err := old.Propose(context.Background(), []byte("during"))
			if err != nil {
				require.Equal(t, outcome.Unknown, outcome.FromError(err, "", "").Outcome)
			}
			require.Eventually(t, func() bool { return old.Status().Role == "aside" }, 10*time.Second, time.Millisecond)
			require.NotEmpty(t, old.Status().Fault)
			_, err = old.Propose(context.Background(), []byte("after"))
			require.Equal(t, outcome.NotRun, outcome.FromError(err, "", "").Outcome)
			require.Equal(t, outcome.NotRun, outcome.FromError(old.ReadBarrier(context.Background()), "", "").Outcome)
			c.propose(t, "on")
			require.NotEqual(t, old.Status().ID, c.leader(t).Status().ID)
			// The replica stays aside until it is opened again, and then it catches up.
			id := old.Status().ID
			c.close(id)
			n, err := c.open(id)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return n.Status().Applied == c.leader(t).Status().Commit }, 10*time.Second, time.Millisecond)
		})
	}
}

// TestSingleReplicaAnswersOnlySyncedCommands guards against a command that is applied and answered although its sync
// failed.
func TestSingleReplicaAnswersOnlySyncedCommands(t *testing.T) {
	c, disks := newFaultyCluster(t, 1)
	defer c.closeAll()
	c.propose(t, "before")
	broken := errors.New("input/output error")
	disks["r1"].syncErr.Store(&broken)
	_, err := c.node("r1").Propose(context.Background(), []byte("lost"))
	require.Equal(t, outcome.Unknown, outcome.FromError(err, "", "").Outcome)
	require.Equal(t, "before\n", string(c.states["r1"].snapshot()))
}

// TestReplicaWithASlowDiskStepsAside guards against a replica that keeps its role while its disk blocks in a sync.
func TestReplicaWithASlowDiskStepsAside(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			c, disks := newFaultyCluster(t, 3)
			defer c.closeAll()
			c.propose(t, "before")
			slow := c.leader(t)
			if role == "follower" {
				slow = c.follower(t)
			}
			block := make(chan struct{})
			disks[slow.Status().ID].block.Store(&block)
			go func() { _, _ = c.leader(t).Propose(context.Background(), []byte("during")) }()
			require.Eventually(t, func() bool { return slow.Status().Role == "aside" }, 10*time.Second, time.Millisecond)
			require.Contains(t, slow.Status().Fault, "a sync takes longer than 300ms")
			c.propose(t, "on")
			disks[slow.Status().ID].block.Store(nil)
			close(block)
		})
	}
}

// follower returns a replica that is not the leader.
func (c *cluster) follower(tb testing.TB) *consensus.Node {
	tb.Helper()
	leading := c.leader(tb)
	for _, id := range c.ids {
		if n := c.node(id); n != leading {
			return n
		}
	}
	return nil
}

// TestCutOffLeaderReportsOutcomeUnknown guards against a leader that claims to know the outcome of a proposal that it
// could not replicate, or serves reads, while it is cut off.
func TestCutOffLeaderReportsOutcomeUnknown(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.start(t)
	defer c.closeAll()
	c.propose(t, "before")
	old := c.leader(t)
	c.setCut(old.Status().ID, true)
	_, err := old.Propose(context.Background(), []byte("lost"))
	require.Equal(t, outcome.Unknown, outcome.FromError(err, "", "").Outcome)
	require.Error(t, old.ReadBarrier(context.Background()))
	c.propose(t, "after")
	c.setCut(old.Status().ID, false)
	require.Eventually(t, func() bool {
		return string(c.states[old.Status().ID].snapshot()) == "before\nafter\n"
	}, 10*time.Second, time.Millisecond)
}

func TestLostDiskIsReplacedAndCaughtUpBySnapshot(t *testing.T) {
	c := newCluster(t, 3, func(s *consensus.Settings) {
		s.IsAutoReplacing = true
		s.SnapshotBytes = 8 << 10
	})
	c.start(t)
	defer c.closeAll()
	for i := range 300 {
		c.propose(t, fmt.Sprint(i))
	}
	lost := c.ids[0]
	old := c.node(lost).Status().Incarnation
	c.close(lost)
	require.NoError(t, os.RemoveAll(filepath.Join(c.root, lost)))
	n, err := c.open(lost)
	require.NoError(t, err)
	require.NotEqual(t, old, n.Status().Incarnation)
	require.Eventually(t, func() bool {
		members := c.leader(t).Status().Members
		for _, m := range members {
			if !m.IsVoter || m.Incarnation == old {
				return false
			}
		}
		return len(members) == 3
	}, 20*time.Second, time.Millisecond)
	require.Equal(t, string(c.states[c.leader(t).Status().ID].snapshot()), string(c.states[lost].snapshot()))
	// Losing another replica right after the replacement still leaves a quorum.
	c.close(c.leader(t).Status().ID)
	c.propose(t, "on")
}

func TestFolderOfAnotherFormatOrReplicaIsRefused(t *testing.T) {
	for text, want := range map[string]string{
		`{"Format":2,"ID":"r1","Incarnation":5}`: "identity.json: has folder format 2, this program knows format 1",
		`{"Format":1,"ID":"r2","Incarnation":5}`: "identity.json: belongs to replica r2, not r1",
		`{"Format":1`:                            "identity.json: is damaged: unexpected end of JSON input",
		`{"Format":1,"ID":"r1","Incarnation":5}`: "identity.json: has no journal beside it",
	} {
		c := newCluster(t, 1, nil)
		require.NoError(t, os.MkdirAll(c.root+"/r1", 0o700))
		require.NoError(t, os.WriteFile(c.root+"/r1/identity.json", []byte(text), 0o600))
		_, err := c.open("r1")
		require.EqualError(t, err, want)
	}
}

func TestDamagedFilesAreRefused(t *testing.T) {
	c := newCluster(t, 1, func(s *consensus.Settings) { s.SnapshotBytes = 4 << 10 })
	c.start(t)
	for i := range 200 {
		c.propose(t, fmt.Sprint(i))
	}
	c.closeAll()
	snapshots, err := filepath.Glob(c.root + "/r1/snapshot-*")
	require.NoError(t, err)
	require.Len(t, snapshots, 1)
	data, err := os.ReadFile(snapshots[0])
	require.NoError(t, err)
	data[len(data)/2]++
	require.NoError(t, os.WriteFile(snapshots[0], data, 0o600))
	_, err = c.open("r1")
	require.ErrorContains(t, err, filepath.Base(snapshots[0])+": is corrupt: the checksum differs")
}

func TestCallsAfterCloseAreRefused(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.start(t)
	n := c.leader(t)
	c.closeAll()
	_, err := n.Propose(context.Background(), []byte("x"))
	require.Equal(t, outcome.NotRun, outcome.FromError(err, "", "").Outcome)
	require.Equal(t, outcome.NotRun, outcome.FromError(n.ReadBarrier(context.Background()), "", "").Outcome)
	require.Error(t, n.TransferLeadership(context.Background(), ""))
	require.Equal(t, "closed", n.Status().Role)
	require.NoError(t, n.Close())
}

func TestReplicaWhoseStateMachinePanicsStepsAside(t *testing.T) {
	var isBroken atomic.Bool
	c := newCluster(t, 1, func(s *consensus.Settings) {
		apply := s.Apply
		s.Apply = func(e consensus.Entry) []byte {
			if isBroken.Load() {
				panic("no space for the answers")
			}
			return apply(e)
		}
	})
	c.start(t)
	defer c.closeAll()
	c.propose(t, "before")
	isBroken.Store(true)
	_, err := c.node("r1").Propose(context.Background(), []byte("during"))
	require.Equal(t, outcome.Unknown, outcome.FromError(err, "", "").Outcome)
	require.Eventually(t, func() bool { return c.node("r1").Status().Role == "aside" }, 10*time.Second, time.Millisecond)
	require.Equal(t, "state machine: panic: no space for the answers", c.node("r1").Status().Fault)
	_, err = c.node("r1").Propose(context.Background(), []byte("after"))
	require.Equal(t, outcome.NotRun, outcome.FromError(err, "", "").Outcome)
}
