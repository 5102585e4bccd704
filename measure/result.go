// Package measure converts the output of `go test -bench` into the tables of docs/MEASUREMENTS.md and the plots under
// docs/plots. Parse reads the output, Tables writes one table for each benchmark, Update replaces the tables in the
// sections of the page, and PlotDay plots a day under several policies. `make measure` runs the benchmarks and uses
// this package.
package measure

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

type (
	// Result is one line of benchmark output.
	Result struct {
		// Package is the import path of the benchmark, empty when the output does not name it.
		Package string
		// Benchmark is the name without "Benchmark", sub-benchmark and processor count, such as "Rebalance".
		Benchmark string
		// Parts are the name=value parts of the sub-benchmark, in order.
		Parts []Part
		// Runs is the number of iterations.
		Runs int
		// Metrics are the reported values in the order of the line.
		Metrics []Metric
	}

	// Part is one name=value part of a sub-benchmark's name. Name is empty for a part without "=".
	Part struct {
		Name  string
		Value string
	}

	// Metric is one reported value with its unit.
	Metric struct {
		Unit  string
		Value float64
	}
)

// maxLine is the length of the longest line that Parse accepts, in bytes.
const maxLine = 1 << 20

// Parse reads the output of `go test -bench`. It skips lines that are not results. A line that begins like a result and
// is truncated or malformed causes an error that contains its number.
func Parse(r io.Reader) ([]Result, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	var results []Result
	packagePath := ""
	for number := 1; lines.Scan(); number++ {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "pkg: "); ok {
			packagePath = strings.TrimSpace(name)
			continue
		}
		fields := strings.Fields(line)
		if !isResult(fields) {
			continue
		}
		result, err := parseLine(fields)
		if err != nil {
			return nil, eris.Wrapf(err, "benchmark output, line %d", number)
		}
		result.Package = packagePath
		results = append(results, result)
	}
	return results, eris.Wrap(lines.Err(), "benchmark output")
}

// isResult reports whether a line begins with the name of a benchmark and a number of runs.
func isResult(fields []string) bool {
	if len(fields) < 2 || !strings.HasPrefix(fields[0], "Benchmark") {
		return false
	}
	_, err := strconv.Atoi(fields[1])
	return err == nil
}

// parseLine parses the fields of a line: name, number of runs, and pairs of value and unit.
func parseLine(fields []string) (Result, error) {
	runs, err := strconv.Atoi(fields[1])
	if err != nil {
		return Result{}, eris.Wrapf(err, "runs of %s", fields[0])
	}
	result := Result{Runs: runs}
	result.Benchmark, result.Parts = parseName(fields[0])
	values := fields[2:]
	if len(values)%2 != 0 {
		return Result{}, eris.Errorf("%s: %q has no unit", fields[0], values[len(values)-1])
	}
	for n := 0; n < len(values); n += 2 {
		value, err := strconv.ParseFloat(values[n], 64)
		if err != nil {
			return Result{}, eris.Wrapf(err, "%s: value of %s", fields[0], values[n+1])
		}
		result.Metrics = append(result.Metrics, Metric{Unit: values[n+1], Value: value})
	}
	return result, nil
}

// parseName splits a name such as BenchmarkRebalance/trace=noon/size=8x32-4.
func parseName(name string) (string, []Part) {
	name = strings.TrimPrefix(name, "Benchmark")
	if at := strings.LastIndexByte(name, '-'); at > 0 {
		if _, err := strconv.Atoi(name[at+1:]); err == nil {
			name = name[:at]
		}
	}
	pieces := strings.Split(name, "/")
	var parts []Part
	for _, piece := range pieces[1:] {
		if key, value, ok := strings.Cut(piece, "="); ok {
			parts = append(parts, Part{Name: key, Value: value})
			continue
		}
		parts = append(parts, Part{Value: piece})
	}
	return pieces[0], parts
}

// Value returns the value of the metric with the unit, and whether there is one.
func (r Result) Value(unit string) (float64, bool) {
	for _, m := range r.Metrics {
		if m.Unit == unit {
			return m.Value, true
		}
	}
	return 0, false
}

// Part returns the value of the name=value part with the name, or "" when there is none.
func (r Result) Part(name string) string {
	for _, p := range r.Parts {
		if p.Name == name {
			return p.Value
		}
	}
	return ""
}
