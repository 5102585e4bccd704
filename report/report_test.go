package report_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/balance"
	"guavahitch.example/guavahitch/control"
	"guavahitch.example/guavahitch/operator"
	"guavahitch.example/guavahitch/report"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// sample returns the records of three hours, and an earlier one that the report must leave out.
func sample() []operator.Record {
	at := func(minutes int) int64 { return start.Add(time.Duration(minutes) * time.Minute).UnixMilli() }
	skew := func(value float64) []operator.Figure { return []operator.Figure{{Name: "skew", Value: value}} }
	records := []operator.Record{
		{TimeMs: at(-60), Kind: "death", Subject: "matching-9", Decision: "noted"},
		{TimeMs: at(1), Kind: "configuration", Subject: "revision 7", Decision: "accepted", ChangeID: "change-a", Cause: "two more upstreams"},
		{TimeMs: at(2), Kind: "configuration", Subject: "revision 7", Decision: "refused", ChangeID: "change-b", Cause: "<script>"},
		{TimeMs: at(3), Kind: "configuration", Subject: "revision 7", Decision: "in-force", ChangeID: "change-a"},
		{TimeMs: at(30), Kind: balance.KindNotNow, Subject: "group-1", Decision: "keep the map", Cause: "gain not worth the cost", Figures: skew(1.2)},
		{TimeMs: at(60), Kind: balance.KindNotNow, Subject: "group-1", Decision: "keep the map", Cause: "gain not worth the cost", Figures: skew(1.4)},
		{
			TimeMs: at(90), Kind: balance.KindMap, Subject: "group-1", Decision: "move 12 replicas (3.5 GB)", Cause: "gain worth the cost",
			Figures: append(skew(1.6), operator.Figure{Name: "skew expected", Value: 1.1}),
		},
		{TimeMs: at(91), Kind: "switch", Subject: "group-1", Decision: "map version 2 runs from step 900", Cause: "gain worth the cost"},
		{TimeMs: at(100), Kind: "death", Subject: "matching-2", Decision: "noted", Cause: "crash c with 3 requests running"},
		{TimeMs: at(101), Kind: "quarantine", Subject: "00ff", Decision: "suspected", Cause: "it was running when matching-2 died"},
		{TimeMs: at(102), Kind: "membership", Subject: "matching-2", Decision: "departed"},
		{TimeMs: at(140), Kind: balance.KindNotNow, Subject: "group-1", Decision: "keep the map", Cause: "ranks even enough", Figures: skew(1.1)},
	}
	for minutes := 5; minutes < 180; minutes += 5 {
		refused := control.TrafficCount{Organisation: "tuulai", Service: "drafts", Outcome: "NotRun"}
		answered := control.TrafficCount{Organisation: "tuulai", Service: "drafts", Outcome: "answered"}
		records = append(records, operator.Record{TimeMs: at(minutes), Kind: control.KindTraffic, Figures: []operator.Figure{
			{Name: refused.Name(), Value: float64(minutes % 20)}, {Name: answered.Name(), Value: 900},
		}})
	}
	for i := range records {
		records[i].Index = uint64(i + 1)
	}
	return records
}

func TestReportContainsTheRecordsOfThePeriod(t *testing.T) {
	r := report.New(sample(), start, start.Add(3*time.Hour))
	require.Len(t, r.Changes, 2)
	require.Equal(t, "in-force", r.Changes[0].State)
	require.EqualValues(t, 120_000, r.Changes[0].InForceMs)
	require.Equal(t, "refused", r.Changes[1].State)
	require.Len(t, r.Deaths, 1, "the earlier one is before the period")
	require.Len(t, r.Maps, 1)
	require.InDelta(t, 3.5, r.MovedGB(), 1e-9)
	require.InDelta(t, 1.6, r.Maps[0].SkewBefore, 1e-9)
	require.InDelta(t, 1.1, r.Maps[0].SkewExpected, 1e-9)
	require.Equal(t, 2, r.NotNow[0].Count)
	require.Len(t, r.Skew[0].Points, 4)
	require.EqualValues(t, 35*900, r.Traffic[0].Answered)
	require.Positive(t, r.Traffic[0].NotRun)
	var text bytes.Buffer
	report.WriteText(&text, r)
	require.Contains(t, text.String(), "move 12 replicas (3.5 GB): gain worth the cost, skew 1.600 to 1.100")
}

// TestPageIsSelfContained checks that the page loads no other resources and that texts from operators are escaped.
// GUAVAHITCH_REPORT names a file that the page is written to.
func TestPageIsSelfContained(t *testing.T) {
	var text bytes.Buffer
	require.NoError(t, report.WriteHTML(&text, report.New(sample(), start, start.Add(3*time.Hour))))
	require.Equal(t, 3, bytes.Count(text.Bytes(), []byte("<svg")))
	require.NotContains(t, text.String(), "<script>")
	require.NotContains(t, text.String(), "src=")
	if file := os.Getenv("GUAVAHITCH_REPORT"); file != "" {
		require.NoError(t, os.WriteFile(file, text.Bytes(), 0o600))
	}
	text.Reset()
	require.NoError(t, report.WriteHTML(&text, report.New(nil, start, start.Add(time.Hour))))
}
