package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/wire"
)

// TestTrafficIsRecordedOnceAnInterval sends a batch twice, as an entry does after a lost reply. The batch must
// count once.
func TestTrafficIsRecordedOnceAnInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := start(t)
		report := &wire.TrafficReport{Incarnation: "a", Batch: 1, Counts: []*wire.OutcomeCount{
			{Organisation: "a/b", Service: "orders", Outcome: "NotRun", Count: 3},
		}}
		for range 2 {
			reply, err := server.Announce(t.Context(), &wire.AnnounceRequest{
				Member: &wire.Member{Name: "entry-1", Role: "entry"}, Traffic: report,
			})
			require.NoError(t, err)
			require.EqualValues(t, 1, reply.TrafficBatch)
		}
		time.Sleep(2 * control.TrafficInterval)
		reply, err := server.Records(t.Context(), &wire.RecordsRequest{Kind: control.KindTraffic})
		require.NoError(t, err)
		require.Len(t, reply.Records, 1)
		require.Len(t, reply.Records[0].Figures, 1)
		require.EqualValues(t, 3, reply.Records[0].Figures[0].Value)
		count, ok := control.ParseTrafficCount(reply.Records[0].Figures[0].Name)
		require.True(t, ok)
		require.Equal(t, control.TrafficCount{Organisation: "a/b", Service: "orders", Outcome: "NotRun"}, count)
	})
}
