package consensus_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/consensus"
	"guavahitch.example/guavahitch/outcome"
)

// keepOpen returns a Restarter of a replica of a cluster, which has opened the node.
func keepOpen(t *testing.T, c *cluster, id string) *consensus.Restarter {
	r := &consensus.Restarter{ID: id, Open: func() (*consensus.Node, error) { return c.open(id) }}
	require.Equal(t, "aside", r.Status().Role)
	_, err := r.Propose(t.Context(), []byte("early"))
	require.Equal(t, outcome.NotRun, outcome.FromError(err, "", "").Outcome)
	isOpened, err := r.Check()
	require.NoError(t, err)
	require.True(t, isOpened)
	t.Cleanup(func() { require.NoError(t, r.Close()) })
	return r
}

// newRestartedReplica returns a group of one replica, which a Restarter keeps open, and its disk.
func newRestartedReplica(t *testing.T) (*consensus.Restarter, *faultyDisk) {
	disk := &faultyDisk{}
	var c *cluster
	c = newCluster(t, 1, func(s *consensus.Settings) {
		s.Disk = disk.wrap(t, c.root+"/"+s.ID)
		s.SyncTimeout = 300 * time.Millisecond
	})
	r := keepOpen(t, c, "r1")
	propose(t, r, "before")
	return r, disk
}

// propose repeats a command until the replica has applied it.
func propose(t *testing.T, r *consensus.Restarter, command string) {
	require.Eventually(t, func() bool {
		_, err := r.Propose(context.Background(), []byte(command))
		return err == nil && r.ReadBarrier(context.Background()) == nil
	}, 10*time.Second, time.Millisecond)
}

// Guards against a replica that stays aside after its disk was full, while its process runs.
func TestRestarterOpensTheLogAgain(t *testing.T) {
	r, disk := newRestartedReplica(t)
	full := errors.New("no space left on device")
	disk.writeErr.Store(&full)
	_, err := r.Propose(t.Context(), []byte("during"))
	require.Error(t, err)
	require.Eventually(t, func() bool { return r.Status().Fault != "" }, 10*time.Second, time.Millisecond)
	disk.writeErr.Store(nil)
	isOpened, err := r.Check()
	require.NoError(t, err)
	require.True(t, isOpened)
	propose(t, r, "after")
	isOpened, err = r.Check()
	require.NoError(t, err)
	require.False(t, isOpened)
}

// Guards against a folder that is opened again while a write of before has not ended, which would then write between the new ones.
func TestRestarterWaitsForTheLastWrite(t *testing.T) {
	r, disk := newRestartedReplica(t)
	blocked := make(chan struct{})
	disk.block.Store(&blocked)
	_, err := r.Propose(t.Context(), []byte("during"))
	require.Error(t, err)
	require.Eventually(t, func() bool { return r.Status().Fault != "" }, 10*time.Second, time.Millisecond)
	for range 2 {
		isOpened, err := r.Check()
		require.Error(t, err)
		require.False(t, isOpened)
		require.Nil(t, r.Node())
	}
	disk.block.Store(nil)
	close(blocked)
	require.Eventually(t, func() bool {
		isOpened, err := r.Check()
		return isOpened && err == nil
	}, 10*time.Second, 10*time.Millisecond)
	propose(t, r, "after")
}
