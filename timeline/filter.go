// Package timeline formats the events of all processes as text and as an HTML page with a lane for each process. A
// Filter selects the events of one request, group or change.
package timeline

import (
	"fmt"
	"strings"
	"time"

	"guavahitch.example/guavahitch/operator"
)

// Filter selects events by request, group and change. An empty field matches all events.
type Filter struct {
	Request string
	Group   string
	Change  string
}

// Apply returns the events that the filter selects.
func (f Filter) Apply(all operator.Events) operator.Events {
	var selected []operator.Event
	for _, e := range all.Events {
		if f.selects(e) {
			selected = append(selected, e)
		}
	}
	all.Events = selected
	return all
}

func (f Filter) selects(e operator.Event) bool {
	return (f.Request == "" || f.Request == e.Request) && (f.Group == "" || f.Group == e.Group) &&
		(f.Change == "" || f.Change == e.Change)
}

// Text returns the events, one per line, followed by the processes whose events are missing or partly dropped.
func Text(all operator.Events) string {
	var text strings.Builder
	for _, e := range all.Events {
		fmt.Fprintf(&text, "%s  %-18s  %-20s  %s\n", timeOf(e), e.Process, e.Kind, describe(e))
	}
	for _, name := range all.Missing {
		fmt.Fprintf(&text, "missing: %s did not respond\n", name)
	}
	for name, dropped := range all.Dropped {
		fmt.Fprintf(&text, "dropped: %s has discarded %d earlier events\n", name, dropped)
	}
	return text.String()
}

func timeOf(e operator.Event) string {
	return fmt.Sprintf("%s.%d", time.UnixMicro(e.WallUs).UTC().Format("2006-01-02T15:04:05.000000Z"), e.Logical)
}

// describe returns the fields of an event other than its time, process and kind.
func describe(e operator.Event) string {
	var parts []string
	for _, part := range []struct{ name, value string }{
		{"request", e.Request}, {"group", e.Group}, {"change", e.Change}, {"peer", e.Peer}, {"outcome", e.Outcome},
	} {
		if part.value != "" {
			parts = append(parts, part.name+"="+part.value)
		}
	}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	return strings.Join(parts, " ")
}
