package answers

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a plot of the requests that were not answered completely and on time, over time and
// with one line for each cause. The extension of the file name selects the format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Answers that were not complete and on time"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests per window"
	p.Legend.Top = true
	var series []any
	for _, cause := range causesByCount(r.Causes) {
		if cause == Whole {
			continue
		}
		points := make(plotter.XYs, len(r.Windows))
		for i, w := range r.Windows {
			points[i].X = w.From.Sub(r.Windows[0].From).Seconds()
			points[i].Y = float64(w.Causes[cause])
		}
		series = append(series, string(cause), points)
	}
	if err := plotutil.AddLines(p, series...); err != nil {
		return eris.Wrap(err, "plot")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
