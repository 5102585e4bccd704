package control_test

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/wire"
)

const (
	benchmarkKeys = 400_000
	// keysPerDay is the number of keys kept at the size expected in two years.
	keysPerDay      = 14_000_000
	benchmarkAnswer = 400
	// fullChanges is the number of last changes that contain the full inventory.
	fullChanges = 8
)

// heap returns the bytes in use after a garbage collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func folderBytes(folder string) float64 {
	total := 0.0
	filepath.WalkDir(folder, func(_ string, entry os.DirEntry, err error) error {
		if info, failed := entry.Info(); err == nil && failed == nil && !entry.IsDir() {
			total += float64(info.Size())
		}
		return nil
	})
	return total
}

// BenchmarkClaim claims and settles keys through the state machine. The baseline keeps every answer in a map in
// memory.
func BenchmarkClaim(b *testing.B) {
	b.Run("way=map", func(b *testing.B) {
		before := heap()
		held := make(map[string][]byte)
		started := time.Now()
		for n := range benchmarkKeys {
			held[fmt.Sprint("organisation-7/order-", n)] = answerOf(n)
		}
		b.ReportMetric(benchmarkKeys/time.Since(started).Seconds(), "claims/s")
		perKey := (heap() - before) / benchmarkKeys
		b.ReportMetric(perKey, "memory-B/key")
		b.ReportMetric(perKey*keysPerDay/1e6, "memory-MB/14M")
		runtime.KeepAlive(held)
	})
	b.Run("way=state", func(b *testing.B) {
		folder := b.TempDir()
		before := heap()
		s, err := control.OpenState(control.StateSettings{Directory: folder})
		require.NoError(b, err)
		started := time.Now()
		for n := range benchmarkKeys {
			claimAndSettle(s, n)
		}
		b.ReportMetric(benchmarkKeys/time.Since(started).Seconds(), "claims/s")
		size := len(s.Snapshot())
		b.ReportMetric(float64(size)/1e6, "snapshot-MB")
		held := heap() - before
		sealedKeys := float64(benchmarkKeys / claim.DefaultSealKeys * claim.DefaultSealKeys)
		filters := float64(s.MemoryBytes())
		b.ReportMetric(filters/sealedKeys, "memory-B/key")
		b.ReportMetric((held+filters/sealedKeys*(keysPerDay-sealedKeys))/1e6, "memory-MB/14M")
		b.ReportMetric(folderBytes(filepath.Join(folder, "claims"))/sealedKeys, "disk-B/key")
		resend := &wire.ClaimRequest{
			Organisation: "organisation-7", Key: "order-1", Fingerprint: fingerprintOf(1), Id: &wire.AttemptID{Request: "again"},
		}
		started = time.Now()
		for n := range 1000 {
			resend.Key, resend.Fingerprint = fmt.Sprint("order-", n*100), fingerprintOf(n*100)
			require.Equal(b, claim.StateSettled, apply(s, &wire.Command{Body: &wire.Command_Claim{Claim: resend}}).Claim.State)
		}
		b.ReportMetric(float64(time.Since(started).Microseconds())/1000, "resend-us")
		require.NoError(b, s.Close())
	})
}

func answerOf(n int) []byte {
	answer := make([]byte, benchmarkAnswer)
	copy(answer, fmt.Sprint(n))
	return answer
}

func fingerprintOf(n int) []byte { return fmt.Appendf(nil, "%016d", n) }

func claimAndSettle(s *control.State, n int) {
	id := &wire.AttemptID{Request: fmt.Sprintf("%032d", n), Attempt: 1}
	key := fmt.Sprint("order-", n)
	apply(s, &wire.Command{Body: &wire.Command_Claim{Claim: &wire.ClaimRequest{
		Organisation: "organisation-7", Key: key, Fingerprint: fingerprintOf(n), Id: id,
		Upstream: "levis-ledger-1", Epoch: 1, Entry: "entry-1",
	}}})
	apply(s, &wire.Command{Body: &wire.Command_Settle{Settle: &wire.SettleRequest{
		Organisation: "organisation-7", Key: key, Id: id, Outcome: wire.Outcome_OUTCOME_RAN,
		Answer: &wire.Answer{Status: 200, Body: answerOf(n)},
	}}})
}

// apply runs a command on the state and returns its result.
func apply(s *control.State, command *wire.Command) *wire.Result {
	encoded, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	result := &wire.Result{}
	if err := proto.Unmarshal(s.Apply(control.Entry{Index: 1, Term: 1, TimeMs: 1, Command: encoded}), result); err != nil {
		panic(err)
	}
	return result
}

// BenchmarkControlMemory measures the memory of the state at the size expected in two years: 13,000
// organisations in the inventory, 410 entries, 760 sidecars and two years of changes. The baseline keeps the
// changes in memory.
func BenchmarkControlMemory(b *testing.B) {
	for _, size := range []struct{ organisations, workers, changes int }{
		{10, 12, 1000}, {1300, 76, 10_000}, {13_000, 760, 100_000},
	} {
		b.Run(fmt.Sprintf(
			"organisations=%d/workers=%d/changes=%d", size.organisations, size.workers, size.changes,
		), func(b *testing.B) {
			before := heap()
			s, err := control.OpenState(control.StateSettings{Directory: b.TempDir()})
			require.NoError(b, err)
			fillState(s, size.organisations, size.workers, size.changes)
			size := len(s.Snapshot())
			b.ReportMetric((heap()-before)/1e6, "MB")
			b.ReportMetric(float64(size)/1e6, "snapshot-MB")
			require.NoError(b, s.Close())
		})
	}
}

func fillState(s *control.State, organisations, workers, changes int) {
	for n := range workers {
		apply(s, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{Member: &wire.Member{
			Name: fmt.Sprint("worker-", n), Role: "sidecar", Address: fmt.Sprintf("10.0.%d.%d:9000", n/250, n%250),
			FailureDomain: "levis", Region: "quebec-east", Epoch: 1, Services: []string{"matching"}, Group: "east", Ranks: 4,
		}}}})
	}
	text := inventoryOf(0)
	for n := range changes {
		if n == changes-fullChanges {
			text = inventoryOf(organisations)
		}
		apply(s, &wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitRequest{
			ChangeId: fmt.Sprintf("change-%08d", n), ExpectedRevision: uint64(n), Operator: "operations",
			Reason: "weekly change", Inventory: fmt.Appendf(nil, "%s// change %d\n", text, n),
		}}})
		apply(s, &wire.Command{Body: &wire.Command_InForce{InForce: &wire.InForce{Revision: uint64(n + 1), Term: 1}}})
	}
}

// inventoryOf returns an inventory with the given number of organisations.
func inventoryOf(organisations int) []byte {
	text := []byte("{\"Organisations\": [\n")
	for n := range organisations {
		text = fmt.Appendf(
			text, "  {\"Name\": \"organisation-%05d\", \"Weight\": 1, \"Limits\": {\"RequestsPerSecond\": 10}},\n", n,
		)
	}
	return append(text, "]}\n"...)
}
