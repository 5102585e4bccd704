package measure_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/measure"
)

const output = `goos: linux
pkg: guavahitch.example/guavahitch/balance
BenchmarkRebalance/trace=noon/size=8x32/policy=never-4    1   0 ns/op   1.275 skew-mean   0 moved-GB
BenchmarkRebalance/trace=noon/size=8x32/policy=oracle-4   1   0 ns/op   1.023 skew-mean   12345.6 moved-GB
BenchmarkPlan-4   20   29367501 ns/op
some log line
PASS
`

func ExampleTables() {
	results, _ := measure.Parse(strings.NewReader(output))
	_ = measure.Tables(os.Stdout, results)
	// Output:
	// ### BenchmarkRebalance
	//
	// | trace | size | policy | skew-mean | moved-GB |
	// | --- | --- | --- | ---: | ---: |
	// | noon | 8x32 | never | 1.275 | 0 |
	// | noon | 8x32 | oracle | 1.023 | 12346 |
	//
	// ### BenchmarkPlan
	//
	// | ns/op |
	// | ---: |
	// | 29367501 |
}

func TestParseReportsTheTruncatedLine(t *testing.T) {
	_, err := measure.Parse(strings.NewReader("\nBenchmarkPlan-4 20 12 ns/op 5\n"))
	require.ErrorContains(t, err, "line 2")
	_, err = measure.Parse(strings.NewReader("BenchmarkPlan-4 20 twelve ns/op\n"))
	require.ErrorContains(t, err, "ns/op")
}

func TestUpdateKeepsTheTextAroundTheTables(t *testing.T) {
	results, err := measure.Parse(strings.NewReader(output))
	require.NoError(t, err)
	page := "# Measurements\n\nBefore.\n<!-- begin BenchmarkPlan -->\nold\n<!-- end BenchmarkPlan -->\nAfter.\n"
	updated, err := measure.Update(page, results)
	require.NoError(t, err)
	require.Contains(t, updated, "Before.\n<!-- begin BenchmarkPlan -->\n| ns/op |")
	require.Contains(t, updated, "<!-- end BenchmarkPlan -->\nAfter.\n")
	require.NotContains(t, updated, "old")
	again, err := measure.Update(updated, results)
	require.NoError(t, err)
	require.Equal(t, updated, again)
	_, err = measure.Update("<!-- begin BenchmarkPlan -->\n", results)
	require.ErrorContains(t, err, "no end mark")
}

func TestPlotDayDrawsALineForEachPolicy(t *testing.T) {
	var svg bytes.Buffer
	require.NoError(t, measure.PlotDay(&svg, "noon 8x32", []measure.Day{
		{Policy: "never", Skew: []float64{1.2, 1.3}, MovedGB: []float64{0, 0}},
		{Policy: "oracle", Skew: []float64{1.0, 1.1}, MovedGB: []float64{0, 50}},
	}))
	require.Contains(t, svg.String(), "never")
	require.Contains(t, svg.String(), "oracle")
	require.NotContains(t, svg.String(), "NaN")
}
