package measure

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Tables writes one markdown table for each benchmark, in the order in which they first appear. The columns
// are the parts of the names and the metrics; the time of an iteration is left out where other metrics stand.
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

// Table returns the markdown table of one benchmark, or "" when it has no result.
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

// benchmarks returns the names of all benchmarks, each once.
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
		units = without(units, "ns/op")
	}
	return parts, units
}

// without returns the values but one.
func without(values []string, left string) []string {
	var kept []string
	for _, v := range values {
		if v != left {
			kept = append(kept, v)
		}
	}
	return kept
}

// cells returns the cells of a row.
func cells(r Result, parts, units []string) []string {
	var row []string
	for _, name := range parts {
		row = append(row, r.Part(name))
	}
	for _, unit := range units {
		cell := ""
		if value, ok := r.Value(unit); ok {
			cell = format(value)
		}
		row = append(row, cell)
	}
	return row
}

// format shows four digits of small values and whole numbers above.
func format(value float64) string {
	const digits, whole = 4, 1000
	if math.Abs(value) >= whole {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', digits, 64)
}

// writeRow writes one row of a markdown table.
func writeRow(b *strings.Builder, row []string) {
	for n, cell := range row {
		row[n] = strings.ReplaceAll(cell, "|", "\\|")
	}
	b.WriteString("| " + strings.Join(row, " | ") + " |\n")
}
