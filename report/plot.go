package report

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.6 * vg.Inch
	// lineWidth is the width of a plotted line.
	lineWidth = 1.5
	// plotMargin keeps the label of the last time whole.
	plotMargin = 0.3 * vg.Inch
	// legendPadding is the space between two names in the legend.
	legendPadding = 2
	// legendRoom is the part of the height kept free above the lines for each name in the legend.
	legendRoom = 0.14
	// ticksLimit is the most labelled times of a plot.
	ticksLimit = 8
)

// tickSteps are the times between two labels.
var tickSteps = []time.Duration{
	time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour, 3 * time.Hour, 6 * time.Hour, 12 * time.Hour, 24 * time.Hour,
	7 * 24 * time.Hour,
}

// colours are told apart by most readers.
var colours = []color.RGBA{
	{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	{R: 0xb9, G: 0x1c, B: 0x1c, A: 0xff},
	{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	{R: 0x40, G: 0x40, B: 0x40, A: 0xff},
}

// drawSeries returns an SVG of the series from the first record to the end of the report.
func drawSeries(r Report, label string, least float64, all []Series) (template.HTML, error) {
	p := plot.New()
	useSans(p)
	p.Y.Label.Text = label
	p.X.Tick.Marker = plot.TickerFunc(timeTicks)
	p.X.Min, p.X.Max = unix(r.First), unix(r.To)
	p.Legend.Top = true
	p.Legend.Padding = legendPadding
	p.Add(plotter.NewGrid())
	for n, s := range all {
		if err := addSeries(p, n, s); err != nil {
			return "", eris.Wrapf(err, "plot of %s", s.Name)
		}
	}
	p.Y.Min = min(p.Y.Min, least)
	p.Y.Max = max(p.Y.Max, p.Y.Min+1)
	p.Y.Max += legendRoom * float64(len(all)) * (p.Y.Max - p.Y.Min)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(canvas), 0, -plotMargin, 0, 0))
	var page bytes.Buffer
	if _, err := canvas.WriteTo(&page); err != nil {
		return "", eris.Wrapf(err, "plot of %s", label)
	}
	svg := page.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:]
	}
	return template.HTML(svg), nil
}

// useSans sets the typeface of the page, so that texts are as wide as they are laid out.
func useSans(p *plot.Plot) {
	for _, style := range []*text.Style{
		&p.X.Tick.Label, &p.X.Label.TextStyle, &p.Y.Tick.Label, &p.Y.Label.TextStyle, &p.Legend.TextStyle,
	} {
		style.Font.Variant = "Sans"
	}
}

func addSeries(p *plot.Plot, n int, s Series) error {
	points := make(plotter.XYs, len(s.Points))
	for i, at := range s.Points {
		points[i].X, points[i].Y = unix(at.Time), at.Value
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, dots.Color = colours[n%len(colours)], colours[n%len(colours)]
	line.Width, dots.Radius = lineWidth, lineWidth
	dots.Shape = draw.CircleGlyph{}
	p.Add(line, dots)
	p.Legend.Add(s.Name, line)
	return nil
}

func unix(t time.Time) float64 { return float64(t.UnixMilli()) / 1e3 }

// movedSeries is what changes of maps had moved up to each time, by group.
func movedSeries(r Report) []Series {
	var all []Series
	sums := map[string]float64{}
	for _, m := range r.Maps {
		if sums[m.Group] == 0 {
			all = addPoint(all, m.Group, Point{r.First, 0})
		}
		all = addPoint(all, m.Group, Point{m.Time, sums[m.Group]})
		sums[m.Group] += m.MovedGB
		all = addPoint(all, m.Group, Point{m.Time, sums[m.Group]})
	}
	for _, s := range all {
		all = addPoint(all, s.Name, Point{r.To, sums[s.Name]})
	}
	return all
}

// timeTicks labels round times between two times in seconds since 1970.
func timeTicks(from, to float64) []plot.Tick {
	step := tickSteps[len(tickSteps)-1].Seconds()
	for _, s := range tickSteps {
		if (to-from)/s.Seconds() <= ticksLimit {
			step = s.Seconds()
			break
		}
	}
	var ticks []plot.Tick
	for at := math.Ceil(from/step) * step; at <= to; at += step {
		ticks = append(ticks, plot.Tick{Value: at, Label: time.Unix(int64(at), 0).UTC().Format("01-02\n15:04")})
	}
	return ticks
}
