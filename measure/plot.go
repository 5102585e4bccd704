package measure

import (
	"image/color"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
	panelGap   = 6
	// legendHeightShare is the free height above the lines for the legend, as a fraction of the skew's range.
	legendHeightShare = 0.6
	hoursPerDay       = 24
)

// colours can be distinguished by most readers. dashes distinguish the policies in print.
var (
	colours = []color.RGBA{
		{R: 0x80, G: 0x80, B: 0x80, A: 0xff},
		{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
		{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
		{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
		{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
		{R: 0x00, G: 0x00, B: 0x00, A: 0xff},
	}
	dashes = [][]vg.Length{nil, {6, 2}, {2, 2}, nil, nil, {1, 2}}
)

// Day holds the results of one policy over a day, with values at equal intervals.
type Day struct {
	Policy string
	// Skew is the step time of the slowest rank over the mean. MovedGB is the size of the weights moved so far.
	Skew    []float64
	MovedGB []float64
}

// PlotDay writes an SVG with two panels over the hours of a day: the skew in the upper one and the moved gigabytes in
// the lower one. Each policy has a line in both.
func PlotDay(w io.Writer, title string, days []Day) error {
	skew, moved := plot.New(), plot.New()
	skew.Title.Text = title
	skew.Y.Label.Text = "skew (max over mean)"
	moved.Y.Label.Text = "moved, GB (log)"
	moved.X.Label.Text = "hour of the day"
	moved.Y.Scale = plot.LogScale{}
	moved.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	moved.Y.Min = 1
	for n, d := range days {
		if err := addLine(skew, n, d.Policy, d.Skew, 0); err != nil {
			return err
		}
		if err := addLine(moved, n, "", d.MovedGB, 1); err != nil {
			return err
		}
	}
	skew.Legend.Top = true
	skew.Y.Max += legendHeightShare * (skew.Y.Max - skew.Y.Min)
	skew.X.Tick.Marker, moved.X.Tick.Marker = hourTicks(), hourTicks()
	moved.Y.Max = max(moved.Y.Max, 10)
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: panelGap}
	panels := plot.Align([][]*plot.Plot{{skew}, {moved}}, tiles, draw.New(canvas))
	skew.Draw(panels[0][0])
	moved.Draw(panels[1][0])
	_, err := canvas.WriteTo(w)
	return eris.Wrap(err, "write plot of a day")
}

// hourTicks returns a label at every third hour.
func hourTicks() plot.ConstantTicks {
	const every = 3
	var ticks plot.ConstantTicks
	for hour := 0; hour <= hoursPerDay; hour += every {
		ticks = append(ticks, plot.Tick{Value: float64(hour), Label: strconv.Itoa(hour)})
	}
	return ticks
}

// addLine adds the line of one policy over 24 hours. Values below minValue are drawn at minValue.
func addLine(p *plot.Plot, n int, name string, values []float64, minValue float64) error {
	points := make(plotter.XYs, len(values))
	for at, v := range values {
		points[at].X = hoursPerDay * float64(at) / float64(len(values))
		points[at].Y = max(v, minValue)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return eris.Wrapf(err, "plot of a day: policy %s", name)
	}
	line.Color = colours[n%len(colours)]
	line.Dashes = dashes[n%len(dashes)]
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}
