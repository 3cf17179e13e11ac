package load

import (
	"image/color"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// curve is a complementary cumulative distribution, which shows the tail: X is a time in
// milliseconds, Y the fraction of values above it.
type curve struct {
	name   string
	points plotter.XYs
}

func newCurve(name string, h *hdrhistogram.Histogram) curve {
	c := curve{name: name}
	for _, b := range h.CumulativeDistribution() {
		above := 1 - b.Quantile/100
		if above <= 0 || b.ValueAt <= 0 {
			continue
		}
		c.points = append(c.points, plotter.XY{X: float64(b.ValueAt) / 1000, Y: above})
	}
	return c
}

// WritePNG plots the latency distributions on logarithmic axes and writes them to a PNG file. It
// fails if the report has no distribution with at least two points.
func (r *Report) WritePNG(file string) error {
	p := plot.New()
	p.Title.Text = "Share of times above (" + r.Mix + ")"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share above"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.BackgroundColor = color.White
	drawn := 0
	for i, c := range r.curves {
		if len(c.points) < 2 {
			continue
		}
		line, err := plotter.NewLine(c.points)
		if err != nil {
			return eris.Wrapf(err, "plot %s", c.name)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(c.name, line)
		drawn++
	}
	if drawn == 0 {
		return eris.New("plot: report has no latency distribution with at least 2 points")
	}
	p.Y.Max = 1
	p.Y.Min = math.Max(p.Y.Min, 1e-6)
	p.Legend.Top = true
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), "write plot")
}
