package timeline

import (
	_ "embed"
	"html/template"
	"io"
	"slices"

	"guavahitch.example/guavahitch/operator"
)

const (
	// laneHeight is the height of a lane, and pageWidth the width of all lanes, in pixels.
	laneHeight = 26
	pageWidth  = 1100
	// nameWidth is the width of the process names to the left of the lanes, in pixels.
	nameWidth = 150
	// maxDots bounds the events drawn in the lanes, which are the latest ones; the table below them lists all events.
	maxDots = 4000
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("timeline").Parse(pageText))

type (
	// page is the data of the template.
	page struct {
		Width, Height int
		NameWidth     int
		Span          string
		Lanes         []lane
		Rows          []row
		Missing       []string
		Dropped       map[string]uint64
	}

	lane struct {
		Process string
		Y       int
		Dots    []dot
	}

	dot struct {
		X     int
		Kind  string
		Color string
		Title string
	}

	row struct {
		Time, Process, Kind, Text string
	}
)

// WriteHTML writes one self-contained page with a lane for each process and a table of all events that the reader can
// filter.
func WriteHTML(w io.Writer, all operator.Events) error {
	p := page{Width: pageWidth + nameWidth + 20, NameWidth: nameWidth, Missing: all.Missing, Dropped: all.Dropped}
	p.Lanes = lanesOf(all.Events)
	p.Height = (len(p.Lanes) + 1) * laneHeight
	for _, e := range all.Events {
		p.Rows = append(p.Rows, row{Time: timeOf(e), Process: e.Process, Kind: e.Kind, Text: describe(e)})
	}
	if n := len(all.Events); n > 0 {
		p.Span = timeOf(all.Events[0]) + " to " + timeOf(all.Events[n-1])
	}
	return pageTemplate.Execute(w, p)
}

func lanesOf(events []operator.Event) []lane {
	var names []string
	for _, e := range events {
		if !slices.Contains(names, e.Process) {
			names = append(names, e.Process)
		}
	}
	slices.Sort(names)
	lanes := make([]lane, len(names))
	for i, name := range names {
		lanes[i] = lane{Process: name, Y: (i + 1) * laneHeight}
	}
	drawn := events[max(0, len(events)-maxDots):]
	for _, e := range drawn {
		at := &lanes[slices.Index(names, e.Process)]
		at.Dots = append(at.Dots, dot{
			X: nameWidth + position(e, drawn), Kind: e.Kind, Color: colourOf(e), Title: timeOf(e) + " " + e.Kind + " " + describe(e),
		})
	}
	return lanes
}

// position returns the horizontal position of an event within the time span of the drawn events, in pixels.
func position(e operator.Event, drawn []operator.Event) int {
	first, last := drawn[0].WallUs, drawn[len(drawn)-1].WallUs
	if last == first {
		return 0
	}
	return int((e.WallUs - first) * pageWidth / (last - first))
}

// colourOf returns the colour of an event: one for each outcome other than success, and blue for all other events.
func colourOf(e operator.Event) string {
	switch e.Outcome {
	case "NotRun":
		return "#d97706"
	case "Unknown":
		return "#b91c1c"
	case "Ran":
		return "#7c3aed"
	default:
		return "#2563eb"
	}
}
