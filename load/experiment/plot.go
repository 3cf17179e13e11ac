package experiment

import (
	"cmp"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	glyphSize  = 4
)

// families lists the families in the order of their plot colours.
var families = []string{
	FamilyRoundRobin, FamilyLeastOutstanding, FamilyPowerOfTwo, FamilyWatermark, FamilyReservation, FamilyOracle,
}

// WritePlots writes plots for each mix to dir, which it creates if needed: the frontiers of
// preemptions, mean stall time and p99 gap against goodput at HighLoad, and goodput against load if
// there are several loads. It returns the names of the files relative to dir.
func (r *Results) WritePlots(dir string) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, eris.Wrap(err, "create directory of plots")
	}
	cells := r.Cells()
	var files []string
	for _, c := range r.Calibrations {
		high := cellsAt(cells, c.Mix, HighLoad)
		for _, m := range []Metric{metricPreemptions, metricStall, metricGap} {
			if len(high) == 0 {
				break
			}
			name := fmt.Sprintf("%s-%s.png", c.Mix, slug(m.Name))
			if err := plotFrontier(filepath.Join(dir, name), c.Mix, high, m); err != nil {
				return nil, err
			}
			files = append(files, name)
		}
		if len(loadsOfMix(cells, c.Mix)) > 1 {
			name := c.Mix + "-goodput.png"
			if err := plotGoodputByLoad(filepath.Join(dir, name), c, cells); err != nil {
				return nil, err
			}
			files = append(files, name)
		}
	}
	return files, nil
}

func slug(name string) string {
	out := []byte(name)
	for i, b := range out {
		if b == ' ' {
			out[i] = '-'
		}
	}
	return string(out)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.BackgroundColor = color.White
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	return p
}

// plotFrontier plots the metric against goodput, with one line per family.
func plotFrontier(file, mix string, cells []Cell, m Metric) error {
	p := newPlot(fmt.Sprintf("%s at %.2f of capacity", mix, HighLoad), heading(metricGoodput), heading(m))
	for i, name := range families {
		group := cellsOfFamily(cells, name)
		slices.SortFunc(group, func(a, b Cell) int { return cmp.Compare(frontierOrder(a.Setting), frontierOrder(b.Setting)) })
		var points plotter.XYs
		for _, c := range group {
			points = append(points, plotter.XY{X: c.Median(metricGoodput), Y: c.Median(m)})
		}
		if err := addSeries(p, i, name, points); err != nil {
			return err
		}
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), "write plot")
}

// frontierOrder returns the sort key of a point on a frontier. A baseline without watermark sorts
// after all watermarks.
func frontierOrder(s Setting) float64 {
	if s.Watermark == 0 && s.Family != FamilyReservation {
		return math.Inf(1)
	}
	return s.Watermark + s.StallWeight - s.PreemptionWeight
}

// plotGoodputByLoad plots the goodput of the best setting of each family against the offered load,
// both as fractions of capacity.
func plotGoodputByLoad(file string, calibration Calibration, cells []Cell) error {
	p := newPlot(calibration.Mix+": goodput against load", "offered, of capacity", "goodput, of capacity")
	for i, name := range families {
		var points plotter.XYs
		for _, l := range loadsOfMix(cells, calibration.Mix) {
			best := 0.0
			for _, c := range cellsOfFamily(cellsAt(cells, calibration.Mix, l), name) {
				best = max(best, c.Median(metricGoodput))
			}
			if best > 0 {
				points = append(points, plotter.XY{X: l, Y: best / calibration.Capacity})
			}
		}
		if err := addSeries(p, i, name, points); err != nil {
			return err
		}
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), "write plot")
}

func addSeries(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return eris.Wrapf(err, "plot %s", name)
	}
	line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
	marks.Shape = plotutil.Shape(i)
	marks.Radius = vg.Points(glyphSize)
	p.Add(line, marks)
	p.Legend.Add(name, line, marks)
	return nil
}
