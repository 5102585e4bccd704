// Package losses counts the requests that callers got late or not at all, from the log lines of entries: by route, by second
// and by reason. It reads JSON lines and needs no running system.
package losses

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// answered is the message of the line of a request that was answered.
	answered = "answered"
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
)

type (
	// Count is a number of requests that were lost or late for one reason.
	Count struct {
		// Route is the name of the route, At the start of the second in which the requests ended.
		Route string
		At    time.Time
		// Reason is "late: " and what was late, or the message of the line of a request that was not answered.
		Reason   string
		Requests int
	}

	// Report holds the counts of log lines, sorted by time, route and reason.
	Report struct {
		// Requests is the number of requests in all, Skipped the number of lines that entries left out to bound their logs.
		Requests, Skipped int
		Counts            []Count
	}

	// line holds the fields of a log line that are used.
	line struct {
		Message string    `json:"msg"`
		Time    time.Time `json:"time"`
		Request *string   `json:"request"`
		Status  *int      `json:"status"`
		Route   string    `json:"route"`
		Late    string    `json:"late"`
		Skipped int       `json:"lines_skipped"`
	}

	// key identifies a Count.
	key struct {
		route, reason string
		at            time.Time
	}
)

// Read counts the log lines of the inputs. Lines that are not JSON or not about the end of a request are left out.
func Read(inputs ...io.Reader) (Report, error) {
	counts := map[key]int{}
	var r Report
	for _, input := range inputs {
		scanner := bufio.NewScanner(input)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			var l line
			if json.Unmarshal(scanner.Bytes(), &l) != nil || l.Request == nil || l.Status == nil {
				continue
			}
			r.Requests++
			r.Skipped += l.Skipped
			if reason := l.reason(); reason != "" {
				counts[key{l.Route, reason, l.Time.Truncate(time.Second)}]++
			}
		}
		if err := scanner.Err(); err != nil {
			return Report{}, eris.Wrap(err, "read log lines")
		}
	}
	for k, n := range maps.All(counts) {
		r.Counts = append(r.Counts, Count{Route: k.route, At: k.at, Reason: k.reason, Requests: n})
	}
	slices.SortFunc(r.Counts, func(a, b Count) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Reason, b.Reason))
	})
	return r, nil
}

// reason returns why a request was lost or late, empty if it was answered in time.
func (l line) reason() string {
	switch {
	case l.Message != answered:
		return l.Message
	case l.Late != "":
		return "late: " + l.Late
	default:
		return ""
	}
}

// WriteText writes the counts of all seconds together by route and reason, and then those by second and reason.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%d requests, %d more not in the logs\n\nroute\treason\trequests\n", r.Requests, r.Skipped)
	r.write(table, func(c Count) string { return c.Route })
	fmt.Fprint(table, "\nsecond\treason\trequests\n")
	r.write(table, func(c Count) string { return c.At.UTC().Format(time.RFC3339) })
	return eris.Wrap(table.Flush(), "write losses")
}

// write writes a row for each reason and each value that by returns, sorted by the values.
func (r Report) write(w io.Writer, by func(Count) string) {
	totals := map[[2]string]int{}
	for _, c := range r.Counts {
		totals[[2]string{by(c), c.Reason}] += c.Requests
	}
	rows := slices.SortedFunc(maps.Keys(totals), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\n", row[0], row[1], totals[row])
	}
}
