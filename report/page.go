package report

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/rotisserie/eris"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"stamp": stamp, "state": stateOf}).Parse(pageText))

// page is the data of the template: the report and its plots. A plot without data stays empty.
type page struct {
	Report
	SkewPlot, MovedPlot, OutcomePlot template.HTML
}

// WriteHTML writes the report as one self-contained page with inline plots.
func WriteHTML(w io.Writer, r Report) error {
	p := page{Report: r}
	for _, one := range []struct {
		into      *template.HTML
		label     string
		maxOrigin float64
		all       []Series
	}{
		{&p.SkewPlot, "skew (max over mean)", 1, r.Skew},
		{&p.MovedPlot, "moved, GB", 0, movedGBSeries(r)},
		{&p.OutcomePlot, "requests in 5 min", 0, r.Outcomes},
	} {
		if len(one.all) == 0 {
			continue
		}
		svg, err := drawSeries(r, one.label, one.maxOrigin, one.all)
		if err != nil {
			return err
		}
		*one.into = svg
	}
	return eris.Wrap(pageTemplate.Execute(w, p), "write report page")
}
