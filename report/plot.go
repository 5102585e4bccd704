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
	// lineWidth is the width of a line and the radius of a dot, in points.
	lineWidth = 1.5
	// plotMargin is the margin on the right, without which the last time label is cut off.
	plotMargin = 0.3 * vg.Inch
	// legendPadding is the space between two names in the legend, in points.
	legendPadding = 2
	// legendHeightShare is the free height above the lines for each name in the legend, as a fraction of the range of
	// values.
	legendHeightShare = 0.14
	// maxTicks bounds the number of time labels on the axis.
	maxTicks = 8
)

// tickSteps are the possible intervals between two time labels.
var tickSteps = []time.Duration{
	time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour, 3 * time.Hour, 6 * time.Hour, 12 * time.Hour, 24 * time.Hour,
	7 * 24 * time.Hour,
}

// colours is a palette whose colours most readers can distinguish.
var colours = []color.RGBA{
	{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	{R: 0xb9, G: 0x1c, B: 0x1c, A: 0xff},
	{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	{R: 0x40, G: 0x40, B: 0x40, A: 0xff},
}

// drawSeries returns an SVG plot of the series from the first record to the end of the report. The vertical axis starts
// at maxOrigin or below it.
func drawSeries(r Report, label string, maxOrigin float64, all []Series) (template.HTML, error) {
	p := plot.New()
	useSansSerif(p)
	p.Y.Label.Text = label
	p.X.Tick.Marker = plot.TickerFunc(timeTicks)
	p.X.Min, p.X.Max = unixSeconds(r.First), unixSeconds(r.To)
	p.Legend.Top = true
	p.Legend.Padding = legendPadding
	p.Add(plotter.NewGrid())
	for n, s := range all {
		if err := addSeries(p, n, s); err != nil {
			return "", eris.Wrapf(err, "plot of %s", s.Name)
		}
	}
	p.Y.Min = min(p.Y.Min, maxOrigin)
	p.Y.Max = max(p.Y.Max, p.Y.Min+1)
	p.Y.Max += legendHeightShare * float64(len(all)) * (p.Y.Max - p.Y.Min)
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

// useSansSerif sets the sans-serif typeface of the page, so that the browser renders texts as wide as they are laid out.
func useSansSerif(p *plot.Plot) {
	for _, style := range []*text.Style{
		&p.X.Tick.Label, &p.X.Label.TextStyle, &p.Y.Tick.Label, &p.Y.Label.TextStyle, &p.Legend.TextStyle,
	} {
		style.Font.Variant = "Sans"
	}
}

func addSeries(p *plot.Plot, n int, s Series) error {
	points := make(plotter.XYs, len(s.Points))
	for i, at := range s.Points {
		points[i].X, points[i].Y = unixSeconds(at.Time), at.Value
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

func unixSeconds(t time.Time) float64 { return float64(t.UnixMilli()) / 1e3 }

// movedGBSeries returns the cumulative size of the weights that map changes moved, by group.
func movedGBSeries(r Report) []Series {
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

// timeTicks returns labels at round times between two Unix times in seconds.
func timeTicks(from, to float64) []plot.Tick {
	step := tickSteps[len(tickSteps)-1].Seconds()
	for _, s := range tickSteps {
		if (to-from)/s.Seconds() <= maxTicks {
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
