package measure

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Tables writes one Markdown table for each benchmark, in the order of their first results. The columns are the parts
// of the names and the metrics. The time per iteration is left out when there are other metrics.
func Tables(w io.Writer, results []Result) error {
	for n, name := range benchmarks(results) {
		if n > 0 {
			if _, err := fmt.Fprintln(w); err != nil {
				return eris.Wrap(err, "tables")
			}
		}
		if _, err := fmt.Fprintf(w, "%s\n\n%s", "### Benchmark"+name, Table(results, name)); err != nil {
			return eris.Wrap(err, "tables")
		}
	}
	return nil
}

// Table returns the Markdown table of one benchmark, or "" when it has no result.
func Table(results []Result, benchmark string) string {
	var rows []Result
	for _, r := range results {
		if r.Benchmark == benchmark {
			rows = append(rows, r)
		}
	}
	if len(rows) == 0 {
		return ""
	}
	parts, units := columns(rows)
	var b strings.Builder
	header := append(append([]string{}, parts...), units...)
	writeRow(&b, header)
	rule := make([]string, len(header))
	for n := range rule {
		rule[n] = "---"
		if n >= len(parts) {
			rule[n] = "---:"
		}
	}
	writeRow(&b, rule)
	for _, r := range rows {
		writeRow(&b, cells(r, parts, units))
	}
	return b.String()
}

// benchmarks returns the names of all benchmarks in the order of their first results, each once.
func benchmarks(results []Result) []string {
	var names []string
	seen := map[string]bool{}
	for _, r := range results {
		if !seen[r.Benchmark] {
			seen[r.Benchmark] = true
			names = append(names, r.Benchmark)
		}
	}
	return names
}

// columns returns the names of the parts and the units of the rows, in order of appearance.
func columns(rows []Result) (parts, units []string) {
	seenPart, seenUnit := map[string]bool{}, map[string]bool{}
	for _, r := range rows {
		for _, p := range r.Parts {
			if !seenPart[p.Name] {
				seenPart[p.Name] = true
				parts = append(parts, p.Name)
			}
		}
		for _, m := range r.Metrics {
			if !seenUnit[m.Unit] {
				seenUnit[m.Unit] = true
				units = append(units, m.Unit)
			}
		}
	}
	if len(units) > 1 && seenUnit["ns/op"] {
		units = withoutValue(units, "ns/op")
	}
	return parts, units
}

// withoutValue returns the values except the omitted one.
func withoutValue(values []string, omitted string) []string {
	var kept []string
	for _, v := range values {
		if v != omitted {
			kept = append(kept, v)
		}
	}
	return kept
}

// cells returns the cells of a result's row. A metric that the result lacks gives an empty cell.
func cells(r Result, parts, units []string) []string {
	var row []string
	for _, name := range parts {
		row = append(row, r.Part(name))
	}
	for _, unit := range units {
		cell := ""
		if value, ok := r.Value(unit); ok {
			cell = formatValue(value)
		}
		row = append(row, cell)
	}
	return row
}

// formatValue returns values from 1000 on as whole numbers, and smaller ones with four significant digits.
func formatValue(value float64) string {
	const digits, whole = 4, 1000
	if math.Abs(value) >= whole {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', digits, 64)
}

// writeRow writes one row of a Markdown table.
func writeRow(b *strings.Builder, row []string) {
	for n, cell := range row {
		row[n] = strings.ReplaceAll(cell, "|", "\\|")
	}
	b.WriteString("| " + strings.Join(row, " | ") + " |\n")
}
