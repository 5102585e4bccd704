package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/outcome"
)

func TestTrafficBatchesAreBoundedAndKeptUntilAcknowledged(t *testing.T) {
	traffic := dispatch.NewTraffic("start-1")
	now := time.Unix(1000, 0)
	require.Nil(t, traffic.Report(now))
	const requests = 5000
	for n := range requests {
		traffic.Add(fmt.Sprintf("organisation-%d", n), "matching", &outcome.Error{Outcome: outcome.NotRun})
	}
	first := traffic.Report(now)
	require.Len(t, first.Counts, 65)
	sum := uint64(0)
	for _, count := range first.Counts {
		sum += count.Count
	}
	require.EqualValues(t, requests, sum)
	traffic.Add("tuulai", "drafts", nil)
	require.Same(t, first, traffic.Report(now.Add(time.Hour)), "not acknowledged yet")
	traffic.Acknowledge(first.Batch)
	second := traffic.Report(now.Add(time.Hour))
	require.EqualValues(t, 2, second.Batch)
	require.Len(t, second.Counts, 1)
	require.Equal(t, dispatch.OutcomeAnswered, second.Counts[0].Outcome)
}
