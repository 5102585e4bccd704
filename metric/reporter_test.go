package metric_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/metric"
)

func ExampleReporter_Write() {
	scope, reporter, closer := metric.NewScope("entry-1")
	scope.Tagged(map[string]string{"reason": "draining"}).Counter("refused").Inc(3)
	scope.Timer("claim").Record(250 * time.Millisecond)
	_ = closer.Close()
	_ = reporter.Write(os.Stdout)
	// Output:
	// # TYPE guavahitch_claim summary
	// guavahitch_claim_count{process="entry-1"} 1
	// guavahitch_claim_sum{process="entry-1"} 0.25
	// # TYPE guavahitch_refused counter
	// guavahitch_refused{process="entry-1",reason="draining"} 3
	// # TYPE guavahitch_series_dropped counter
	// guavahitch_series_dropped 0
}

func TestCountersAddUp(t *testing.T) {
	_, reporter, closer := metric.NewScope("entry-1")
	defer func() { _ = closer.Close() }()
	reporter.ReportCounter("a", map[string]string{"b": `"quoted"`}, 2)
	reporter.ReportCounter("a", map[string]string{"b": `"quoted"`}, 5)
	var page strings.Builder
	require.NoError(t, reporter.Write(&page))
	require.Contains(t, page.String(), `a{b="\"quoted\""} 7`)
}
