package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavahitch.example/guavahitch/lease"
	_ "guavahitch.example/guavahitch/proptest"
	"guavahitch.example/guavahitch/wire"
)

func ExampleHolder() {
	sent := time.Unix(0, 0)
	holder := lease.Holder{}.WithReply(&wire.WatchReply{Revision: 7, Inventory: []byte("{}"), LeaseMs: 3500}, sent)
	late := holder.WithReply(&wire.WatchReply{Revision: 6, Inventory: []byte("old"), LeaseMs: 3500}, sent.Add(time.Second))
	fmt.Println(late.Revision(), late.RefusesWork(sent.Add(3*time.Second)), late.RefusesWork(sent.Add(4*time.Second)))
	// Output: 7 false true
}

func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := rapid.SliceOf(rapid.ByteRange(0, 2)).Draw(t, "from"), rapid.SliceOf(rapid.ByteRange(0, 2)).Draw(t, "to")
		found, ok := lease.ApplyDelta(from, lease.NewDelta(1, from, to))
		require.True(t, ok)
		require.Equal(t, string(to), string(found))
	})
}

func TestMismatchedDeltaRequestsFullInventory(t *testing.T) {
	now := time.Unix(0, 0)
	h := lease.Holder{}.WithReply(&wire.WatchReply{Revision: 1, Inventory: []byte("abc"), LeaseMs: 1000}, now)
	delta := lease.NewDelta(1, []byte("abd"), []byte("xbd"))
	h = h.WithReply(&wire.WatchReply{Revision: 2, Delta: delta, LeaseMs: 1000}, now.Add(time.Second))
	require.EqualValues(t, 1, h.Revision())
	require.True(t, h.RefusesWork(now.Add(time.Second)))
	require.EqualValues(t, 0, h.Request("entry-1", 0).Revision)
	h = h.WithReply(&wire.WatchReply{Revision: 2, Inventory: []byte("xbd"), LeaseMs: 1000}, now.Add(time.Second))
	require.EqualValues(t, 2, h.Request("entry-1", 0).Revision)
}

func FuzzApplyDelta(f *testing.F) {
	f.Add([]byte("abc"), int64(1), int64(1), []byte("x"), uint64(3))
	f.Fuzz(func(_ *testing.T, from []byte, offset, removed int64, insert []byte, checksum uint64) {
		lease.ApplyDelta(from, &wire.InventoryDelta{Offset: offset, Removed: removed, Insert: insert, Checksum: checksum})
	})
}

// simulation is a granter and holders whose clocks run at different rates within the tolerated drift. The
// network delays, loses, repeats and reorders replies.
type simulation struct {
	now      time.Duration
	revision uint64
	inForce  uint64
	table    *lease.Table
	holders  []lease.Holder
	rates    []float64
	replies  []reply
}

type reply struct {
	holder  int
	sent    time.Time
	message *wire.WatchReply
}

// clock returns the time on the clock of a process. Process 0 is the granter.
func (w *simulation) clock(process int) time.Time {
	return time.Unix(int64(process)*1000, 0).Add(time.Duration(float64(w.now) * w.rates[process]))
}

func (w *simulation) watch(holder int) {
	w.table.Renew(fmt.Sprint(holder), w.holders[holder].Revision(), w.clock(0))
	message := &wire.WatchReply{
		Revision: w.revision, Inventory: fmt.Append(nil, w.revision), LeaseMs: lease.Duration.Milliseconds(),
	}
	w.replies = append(w.replies, reply{holder, w.clock(holder + 1), message})
}

func (w *simulation) deliver(n int) {
	r := w.replies[n]
	w.holders[r.holder] = w.holders[r.holder].WithReply(r.message, r.sent)
}

// runSimulation returns how often a holder acted on a revision older than the one declared in force.
func runSimulation(t *rapid.T, ignoreExpiry, allowOlder bool) int {
	const holders = 3
	w := &simulation{revision: 1, table: lease.NewTable(), holders: make([]lease.Holder, holders)}
	w.table.IgnoreExpiry = ignoreExpiry
	const deviation = lease.MaxClockDriftPPM / 1e6
	for range holders + 1 {
		w.rates = append(w.rates, rapid.SampledFrom([]float64{1 - deviation, 1, 1 + deviation}).Draw(t, "rate"))
	}
	for n := range w.holders {
		w.holders[n].AllowOlder = allowOlder
	}
	violations := 0
	for range 60 {
		switch rapid.IntRange(0, 4).Draw(t, "action") {
		case 0:
			w.watch(rapid.IntRange(0, holders-1).Draw(t, "holder"))
		case 1, 2:
			if len(w.replies) > 0 {
				w.deliver(rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply"))
			}
		case 3:
			w.now += time.Duration(rapid.IntRange(1, 3600).Draw(t, "ms")) * time.Millisecond
		case 4:
			w.revision++
		}
		if len(w.table.HoldersBelow(w.revision, w.clock(0))) == 0 {
			w.inForce = w.revision
		}
		for n, h := range w.holders {
			if !h.RefusesWork(w.clock(n+1)) && h.Revision() < w.inForce {
				violations++
			}
		}
	}
	return violations
}

func TestNoHolderActsOnAnOlderRevisionThanTheOneInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.Zero(t, runSimulation(t, false, false)) })
}

func TestCheckDetectsIgnoredExpiryAndOlderRevisions(t *testing.T) {
	for name, fault := range map[string][2]bool{
		"expiry ignored": {true, false}, "older revision accepted": {false, true},
	} {
		violations := 0
		for seed := range 300 {
			generator := rapid.Custom(func(t *rapid.T) int { return runSimulation(t, fault[0], fault[1]) })
			violations += generator.Example(seed)
		}
		require.Positive(t, violations, name)
	}
}

// TestReorderedRenewalKeepsTheNewerRevision guards against a delayed renewal with an older revision that takes
// back an acknowledgement.
func TestReorderedRenewalKeepsTheNewerRevision(t *testing.T) {
	table := lease.NewTable()
	now := time.Unix(1000, 0)
	table.Renew("entry-1", 5, now)
	table.Renew("entry-1", 4, now.Add(time.Millisecond))
	require.EqualValues(t, 5, table.LowestRevision(9, now.Add(2*time.Millisecond)))
	require.EqualValues(t, 9, table.LowestRevision(9, now.Add(2*lease.Duration)), "no unexpired lease may be left")
}
