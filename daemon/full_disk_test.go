package daemon_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/wire"
)

// largeInventory fills a large part of a segment of the log. A few make each replica create the next one.
var largeInventory = clusterInventory + "// " + strings.Repeat("x", 2<<20) + "\n"

// fillDisk makes a control replica unable to create a segment of its log, as on a full disk, and returns the function that ends this.
func (c *cluster) fillDisk(n int) func() {
	// The file of a new segment has this name until it is complete.
	path := filepath.Join(c.folders[n], "log", "temporary-journal")
	require.NoError(c.t, os.Mkdir(path, 0o700))
	return func() { require.NoError(c.t, os.Remove(path)) }
}

// hasSteppedAside reports whether a control replica has met a fault of its disk.
func (c *cluster) hasSteppedAside(n int) bool {
	reply, err := c.controls[n].Events().List(context.Background(), &wire.EventsRequest{})
	require.NoError(c.t, err)
	for _, event := range reply.Events {
		if event.Kind == "replica-aside" {
			return true
		}
	}
	return false
}

// Guards against changes that are refused for good after the disks of the control replicas were full, one after the other and never
// two at once, while all processes ran.
func TestChangesAfterFullDisks(t *testing.T) {
	c := newCluster(t, 3)
	revision := uint64(1)
	for n := range c.controls {
		end := c.fillDisk(n)
		for !c.hasSteppedAside(n) {
			c.replaceInventory(revision, largeInventory)
			revision++
		}
		end()
	}
	c.replaceInventory(revision, clusterInventory)
	for n, p := range c.controls {
		require.Eventually(t, func() bool {
			newest, inventory := p.ControlState().Revision()
			return newest == revision+1 && string(inventory) == clusterInventory
		}, waitTimeout, 10*time.Millisecond, "replica %d", n)
	}
}

// replaceInventory submits an inventory that replaces the given revision to the replicas in turn until one accepts it.
func (c *cluster) replaceInventory(revision uint64, inventory string) {
	request := &wire.SubmitRequest{ChangeId: fmt.Sprintf("change-of-%d", revision), ExpectedRevision: revision, Inventory: []byte(inventory)}
	require.Eventually(c.t, func() bool {
		for _, p := range c.controls {
			status, err := p.ControlServer().Submit(context.Background(), request)
			if err == nil && status.Failure == nil {
				return true
			}
		}
		return false
	}, waitTimeout, 10*time.Millisecond, "revision %d", revision+1)
}
