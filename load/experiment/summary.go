package experiment

import (
	"cmp"
	"slices"
)

// Metric defines a value that is derived from a run and shown in tables and plots.
type Metric struct {
	Name string
	// Unit is shown in headings; may be empty.
	Unit string
	// Digits is the number of decimal places in tables.
	Digits int
	// Value returns the value of the metric in a run.
	Value func(r Run) float64
}

// Metrics of a run. The slice metrics lists them in the order of the table columns.
var (
	metricGoodput         = Metric{"goodput", "tokens/s", 0, func(r Run) float64 { return r.Report.Goodput }}
	metricPreemptions     = Metric{"preemptions", "per 1,000", 1, func(r Run) float64 { return r.Report.PreemptionsPer1000 }}
	metricStall           = Metric{"stall mean", "ms", 1, func(r Run) float64 { return r.Report.StallMeanMS }}
	metricStallP99        = Metric{"stall p99", "ms", 0, func(r Run) float64 { return r.Report.StallP99MS }}
	metricGap             = Metric{"gap p99", "ms", 1, func(r Run) float64 { return r.Report.BetweenTokens.P99 }}
	metricFirstToken      = Metric{"first token p99", "ms", 0, func(r Run) float64 { return r.Report.FirstToken.P99 }}
	metricShortFirstToken = Metric{"short p99", "ms", 0, func(r Run) float64 { return r.Report.ShortFirst.P99 }}
	metricLookup          = Metric{"lookup p99", "ms", 1, func(r Run) float64 { return r.Report.Lookup.P99 }}
	metricFairness        = Metric{"fairness", "", 3, func(r Run) float64 { return r.Report.Fairness }}
	metricUnserved        = Metric{"unserved", "%", 1, unserved}
	metricCPU             = Metric{"processors", "%", 0, func(r Run) float64 { return 100 * r.CPUBusy }}

	metrics = []Metric{
		metricGoodput, metricPreemptions, metricStall, metricStallP99, metricGap,
		metricFirstToken, metricShortFirstToken, metricLookup, metricFairness, metricUnserved, metricCPU,
	}
)

// unserved returns the percentage of requests without a complete answer, or 0 if there were no
// requests.
func unserved(r Run) float64 {
	if r.Report.Requests == 0 {
		return 0
	}
	return 100 * (1 - float64(r.Report.Whole)/float64(r.Report.Requests))
}

// Spread is the median and range of a sample, for example over the seeds of a cell.
type Spread struct{ Median, Min, Max float64 }

func spreadOf(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return Spread{}
	}
	return Spread{Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Min: sorted[0], Max: sorted[n-1]}
}

// Cell groups all runs of one setting, mix and load, which differ in the seed only.
type Cell struct {
	Mix     string
	Load    float64
	Setting Setting
	Runs    []Run
}

// Spread returns the median and range of a metric over the seeds of the cell.
func (c Cell) Spread(m Metric) Spread {
	var values []float64
	for _, r := range c.Runs {
		values = append(values, m.Value(r))
	}
	return spreadOf(values)
}

// Median returns the median of a metric over the seeds of the cell.
func (c Cell) Median(m Metric) float64 { return c.Spread(m).Median }

// Cells groups the runs into cells, in the order of the first run of each cell.
func (r *Results) Cells() []Cell {
	type key struct {
		mix  string
		load float64
		name string
	}
	index := map[key]int{}
	var cells []Cell
	for _, run := range r.Runs {
		k := key{run.Mix, run.Load, run.Setting.Name}
		i, ok := index[k]
		if !ok {
			i = len(cells)
			index[k] = i
			cells = append(cells, Cell{Mix: run.Mix, Load: run.Load, Setting: run.Setting})
		}
		cells[i].Runs = append(cells[i].Runs, run)
	}
	return cells
}

// cellsAt returns the cells of one mix and load.
func cellsAt(cells []Cell, mix string, load float64) []Cell {
	var out []Cell
	for _, c := range cells {
		if c.Mix == mix && c.Load == load {
			out = append(out, c)
		}
	}
	return out
}

// loadsOfMix returns the distinct loads of a mix in ascending order.
func loadsOfMix(cells []Cell, mix string) []float64 {
	var out []float64
	for _, c := range cells {
		if c.Mix == mix {
			out = append(out, c.Load)
		}
	}
	slices.SortFunc(out, cmp.Compare[float64])
	return slices.Compact(out)
}

// cellsOfFamily returns the cells of the named family.
func cellsOfFamily(cells []Cell, name string) []Cell {
	var out []Cell
	for _, c := range cells {
		if c.Setting.Family == name {
			out = append(out, c)
		}
	}
	return out
}

// findCell returns the cell of the named setting and whether there is one.
func findCell(cells []Cell, name string) (Cell, bool) {
	for _, c := range cells {
		if c.Setting.Name == name {
			return c, true
		}
	}
	return Cell{}, false
}
