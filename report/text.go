package report

import (
	"fmt"
	"io"
	"time"
)

const timeLayout = "2006-01-02 15:04:05"

// WriteText writes the report as text.
func WriteText(w io.Writer, r Report) {
	fmt.Fprintf(w, "report from %s to %s UTC, %d records\n", r.From.UTC().Format(timeLayout), r.To.UTC().Format(timeLayout), r.Records)
	fmt.Fprintf(w, "\nconfiguration changes: %d\n", len(r.Changes))
	for _, c := range r.Changes {
		fmt.Fprintf(w, "  %s  %s  %s  change %s  %s\n", stamp(c.Time), c.Subject, stateOf(c), c.ChangeID, c.Cause)
	}
	fmt.Fprintf(w, "\nexpert maps: %d changes, %.1f GB moved\n", len(r.Maps), r.MovedGB())
	for _, m := range r.Maps {
		fmt.Fprintf(w, "  %s  %s  %s  %s: %s, skew %.3f to %.3f\n", stamp(m.Time), m.Record, m.Group, m.Decision, m.Cause, m.SkewBefore, m.SkewExpected)
	}
	writeLines(w, "switches", r.Switches)
	writeTallies(w, "maps left unchanged", r.NotNow)
	writeLines(w, "upstream failures", r.Deaths)
	writeLines(w, "quarantine", r.Quarantine)
	writeTallies(w, "membership", r.Membership)
	fmt.Fprintf(w, "\noutcomes of requests\n")
	for _, t := range r.Traffic {
		fmt.Fprintf(w, "  %s  %s  answered %d, refused (NotRun) %d, failed (Ran) %d, unknown %d\n",
			t.Organisation, t.Service, t.Answered, t.NotRun, t.Ran, t.Unknown)
	}
}

func writeLines(w io.Writer, title string, lines []Line) {
	fmt.Fprintf(w, "\n%s: %d\n", title, len(lines))
	for _, l := range lines {
		fmt.Fprintf(w, "  %s  %s  %s  %s: %s\n", stamp(l.Time), l.Record, l.Subject, l.Decision, l.Cause)
	}
}

func writeTallies(w io.Writer, title string, tallies []Tally) {
	fmt.Fprintf(w, "\n%s\n", title)
	for _, t := range tallies {
		fmt.Fprintf(w, "  %d times  %s  %s  %s\n", t.Count, t.Subject, t.Decision, t.Cause)
	}
}

func stateOf(c Change) string {
	if c.InForceMs > 0 {
		return fmt.Sprintf("%s after %d ms", c.State, c.InForceMs)
	}
	return c.State
}

func stamp(t time.Time) string { return t.UTC().Format(timeLayout) }
