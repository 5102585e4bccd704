package registry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/journal"
)

// fullDisk is a disk that refuses to store more while it is full.
type fullDisk struct {
	isFull atomic.Bool
	// isPartial makes a refused write store the beginning of its data.
	isPartial bool
	// isUnreadable makes the disk refuse to be opened, too.
	isUnreadable atomic.Bool
	// refused counts the writes that were refused.
	refused atomic.Int64
}

// wrap returns the disk as it is while it is or is not full.
func (f *fullDisk) wrap(disk *journal.Disk) *journal.Disk {
	wrapped := *disk
	wrapped.List = func() ([]string, error) {
		if f.isUnreadable.Load() {
			return nil, syscall.EIO
		}
		return disk.List()
	}
	wrapped.Open = func(name string) (*journal.File, error) {
		names, err := disk.List()
		if err != nil {
			return nil, err
		}
		if f.isFull.Load() && !strings.Contains(" "+strings.Join(names, " ")+" ", " "+name+" ") {
			return nil, syscall.ENOSPC
		}
		file, err := disk.Open(name)
		if err != nil {
			return nil, err
		}
		return f.wrapFile(file), nil
	}
	return &wrapped
}

func (f *fullDisk) wrapFile(file *journal.File) *journal.File {
	wrapped := *file
	wrapped.WriteAt = func(data []byte, offset int64) (int, error) {
		if !f.isFull.Load() {
			return file.WriteAt(data, offset)
		}
		f.refused.Add(1)
		written := 0
		if f.isPartial && len(data) > 0 {
			// Blocks are stored whole, or not at all.
			end := offset + rand.Int64N(int64(len(data)))
			if end = end / 4096 * 4096; end > offset {
				written, _ = file.WriteAt(data[:end-offset], offset)
			}
		}
		return written, syscall.ENOSPC
	}
	return &wrapped
}

// Guards against changes that are refused or stay unanswered for good after the disks of the replicas were full, one after the
// other, while configurations of several sizes were submitted.
func TestChangesAfterFullDisks(t *testing.T) {
	for _, c := range []struct {
		size, tolerance int
		isPartial       bool
		// bytes is the size of the configurations.
		bytes int
	}{{3, 1, false, 10}, {5, 2, false, 300 << 10}, {5, 2, true, 300 << 10}, {5, 2, true, 3 << 20}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			t.Parallel()
			g := newGroupWithFullDisks(t, c.size, c.tolerance, c.isPartial)
			g.submit(1)
			var newest atomic.Uint64
			newest.Store(1)
			ctx, stop := context.WithCancel(t.Context())
			var submitters sync.WaitGroup
			submitters.Go(func() { g.submitOn(ctx, c.bytes, &newest) })
			for id := range g.running {
				g.fullDisks[id].isFull.Store(true)
				time.Sleep(2500 * time.Millisecond)
				g.fullDisks[id].isFull.Store(false)
				time.Sleep(100 * time.Millisecond)
			}
			stop()
			submitters.Wait()
			g.requireEachWorks(newest.Load() + 100)
		})
	}
}

// newGroupWithFullDisks returns a group whose disks the test can fill.
func newGroupWithFullDisks(t testing.TB, size, tolerance int, isPartial bool) *group {
	g := &group{t: t, tolerance: tolerance, running: map[string]*replica{}, fullDisks: map[string]*fullDisk{}, isPartial: isPartial}
	return g.startAll(size)
}

// requireEachWorks requires that each replica acknowledges a configuration and then reads it back, each within 5 s. The versions
// follow the given one.
func (g *group) requireEachWorks(version uint64) {
	for id, r := range g.running {
		version++
		require.Eventually(g.t, func() bool { return r.Submit(g.t.Context(), fmt.Append(nil, version)) == nil },
			5*time.Second, 20*time.Millisecond, "submit at %s", id)
		require.Eventually(g.t, func() bool {
			document, err := r.Newest(g.t.Context())
			return err == nil && document.GetVersion() == version
		}, 5*time.Second, 20*time.Millisecond, "read at %s", id)
	}
}

// fill makes the disk of a replica full until the replica has met that, and submits the version meanwhile.
func (g *group) fill(id string, version int) {
	disk := g.fullDisks[id]
	refused := disk.refused.Load()
	disk.isFull.Store(true)
	defer disk.isFull.Store(false)
	g.submit(version)
	require.Eventually(g.t, func() bool { return disk.refused.Load() > refused }, 10*time.Second, time.Millisecond)
}

// Guards against a replica whose disk was full and that applies its log a second time on top of its state: its set of evacuated
// domains then has another revision than that of the others, which entries take for a newer one.
func TestEvacuationsAfterAFullDisk(t *testing.T) {
	g := newGroupWithFullDisks(t, 3, 1, false)
	g.submit(1)
	g.order("west", false)
	g.order("west", true)
	g.order("east", false)
	g.requireEvacuated(3, "east")
	received := &followed{}
	defer received.follow(t, g.seeds)()
	version := 0
	for _, id := range g.seeds {
		version += 10
		g.fill(id, version)
		g.requireEachWorks(uint64(version))
		g.requireEvacuated(3, "east")
	}
	require.EqualValues(t, 4, g.order("east", true))
	require.Eventually(t, func() bool {
		_, set := received.received()
		return set.Revision() == 4 && set.IsEmpty()
	}, 10*time.Second, 5*time.Millisecond)
}

// Guards against an entry that starts and gets an older configuration from a replica whose disk was full: the replica goes back to
// its last snapshot when it opens its log again, and must not count as caught up until it has heard from a leader.
func TestReopenedReplicaServesNothingOlder(t *testing.T) {
	g := newGroupWithFullDisks(t, 3, 1, false)
	g.submit(1)
	g.fillLog()
	for _, r := range g.running {
		require.Eventually(t, func() bool {
			snapshots, err := filepath.Glob(filepath.Join(r.folder, "snapshot-*"))
			return err == nil && len(snapshots) > 0
		}, 10*time.Second, 10*time.Millisecond)
	}
	const last = 100
	g.submit(last)
	leader, reopened := g.idOf(g.awaitLeader()), ""
	for _, id := range g.seeds {
		if id != leader {
			reopened = id
		}
	}
	require.Eventually(t, func() bool { return g.running[reopened].Table().Version() == last }, 10*time.Second, 10*time.Millisecond)
	g.fullDisks[reopened].isUnreadable.Store(true)
	g.fill(reopened, last+1)
	for _, id := range g.seeds {
		if id != reopened {
			g.stop(id)
		}
	}
	g.fullDisks[reopened].isUnreadable.Store(false)
	// The replica opens its log again within that time.
	time.Sleep(2 * time.Second)
	o := g.observe()
	time.Sleep(observationTime)
	for _, version := range o.heardVersions() {
		require.GreaterOrEqual(t, version, uint64(last))
	}
}

// submitOn submits one configuration after the other to the replicas in turn until the context ends, and stores the newest version
// that was acknowledged.
func (g *group) submitOn(ctx context.Context, size int, newest *atomic.Uint64) {
	for version := newest.Load() + 1; ctx.Err() == nil; version++ {
		for _, r := range g.running {
			if ctx.Err() != nil {
				return
			}
			submitCtx, cancel := context.WithTimeout(ctx, time.Second)
			err := r.Submit(submitCtx, fmt.Appendf(nil, "%d %s", version, filler(size)))
			cancel()
			if err == nil {
				newest.Store(version)
				break
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// filler returns random letters, which can hardly be compressed.
func filler(size int) []byte {
	letters := make([]byte, size)
	for i := range letters {
		letters[i] = byte('a' + rand.IntN(26))
	}
	return letters
}
