package experiment

import (
	"fmt"
	"math"

	"github.com/crocusreel/crocusreel/load"
)

// Bounds of the aims. Unless stated otherwise, they apply at HighLoad to the ratio of the metric of
// the reservation policy to that of another setting.
const (
	aimBaselinePreemptions = 0.10
	aimBaselineLatencies   = 0.25
	aimBestWatermark       = 0.50
	aimMistunedWatermark   = 0.10
	aimOracle              = 1.10
	// aimOverload is the minimum goodput at the highest load, as a fraction of the peak goodput
	// over all loads.
	aimOverload = 0.90
	// aimLookup is the maximum p99 latency of lookups at the highest load, as a multiple of that at
	// the lowest load.
	aimLookup = 1.5
	// equalGoodput is the minimum ratio of two goodputs that count as equal.
	equalGoodput = 0.99
)

// Aim is the result of one comparison of the reservation policy with another setting or load. Ratio
// is Ours divided by Other.
type Aim struct {
	Mix     string
	Text    string
	Ours    float64
	Other   float64
	Ratio   float64
	Bound   float64
	Reached bool
	// Undecided is set if both values are zero: the load is too low to show a difference, so there
	// is nothing to compare.
	Undecided bool
}

// verdict returns the entry of the aim in the column "reached" of the table.
func (a Aim) verdict() string {
	switch {
	case a.Undecided:
		return "undecided"
	case a.Reached:
		return "yes"
	default:
		return "no"
	}
}

// atMost compares two values of a metric for which lower is better. The aim is reached if their
// ratio is at most bound. If only other is zero, the ratio is infinite and the aim is not reached.
func atMost(mix, text string, ours, other, bound float64) Aim {
	a := Aim{Mix: mix, Text: text, Ours: ours, Other: other, Bound: bound}
	switch {
	case other > 0:
		a.Ratio = ours / other
		a.Reached = a.Ratio <= bound
	case ours == 0:
		a.Undecided = true
	default:
		a.Ratio = math.Inf(1)
	}
	return a
}

// atLeast compares two values of a metric for which higher is better. The aim is reached if their
// ratio is at least bound.
func atLeast(mix, text string, ours, other, bound float64) Aim {
	a := Aim{Mix: mix, Text: text, Ours: ours, Other: other, Bound: bound}
	if other > 0 {
		a.Ratio = ours / other
		a.Reached = a.Ratio >= bound
	} else {
		a.Undecided = ours == 0
	}
	return a
}

// Aims evaluates all aims for which the results contain the required runs.
func (r *Results) Aims() []Aim {
	cells := r.Cells()
	var out []Aim
	for _, c := range r.Calibrations {
		high := cellsAt(cells, c.Mix, HighLoad)
		if own, ok := findCell(high, FamilyReservation); ok {
			out = append(out, baselineAims(c.Mix, high, own)...)
			out = append(out, watermarkAims(c.Mix, cells, high, own)...)
			out = append(out, oracleAims(c.Mix, high, own)...)
		}
		out = append(out, overloadAims(c.Mix, cells)...)
	}
	return out
}

func baselineAims(mix string, high []Cell, own Cell) []Aim {
	var out []Aim
	for _, p := range baselinePolicies {
		other, ok := findCell(high, p.family)
		if !ok {
			continue
		}
		compare := func(m Metric, bound float64) {
			out = append(out, atMost(mix, m.Name+" against "+p.family, own.Median(m), other.Median(m), bound))
		}
		compare(metricPreemptions, aimBaselinePreemptions)
		compare(metricStall, aimBaselineLatencies)
		compare(metricGap, aimBaselineLatencies)
		out = append(out, atLeast(mix, "goodput against "+p.family, own.Median(metricGoodput), other.Median(metricGoodput), equalGoodput))
	}
	return out
}

// watermarkAims compares with two settings of the watermark policy: the one that proved best for
// this mix at equal goodput, and, for each other mix, the one that proved best for that mix.
func watermarkAims(mix string, cells, high []Cell, own Cell) []Aim {
	var out []Aim
	if best, ok := bestWatermark(high, own, mix); ok {
		for _, m := range []Metric{metricPreemptions, metricStall} {
			text := fmt.Sprintf("%s against the best %s", m.Name, best.Setting.Name)
			out = append(out, atMost(mix, text, own.Median(m), best.Median(m), aimBestWatermark))
		}
	}
	for _, c := range cells {
		if c.Mix == mix || c.Load != HighLoad || c.Setting.Name != FamilyReservation {
			continue
		}
		tuned, ok := bestWatermark(cellsAt(cells, c.Mix, HighLoad), c, c.Mix)
		if !ok {
			continue
		}
		other, ok := findCell(high, tuned.Setting.Name)
		if !ok {
			continue
		}
		for _, m := range []Metric{metricPreemptions, metricStall} {
			text := fmt.Sprintf("%s against %s, tuned on %s", m.Name, other.Setting.Name, c.Mix)
			out = append(out, atMost(mix, text, own.Median(m), other.Median(m), aimMistunedWatermark))
		}
	}
	return out
}

// bestWatermark returns the pooled watermark setting with the lowest value of the deployment's
// primary metric among those whose goodput is at least equalGoodput times that of own. If there is
// none, it returns the setting with the highest goodput.
func bestWatermark(high []Cell, own Cell, mix string) (Cell, bool) {
	candidates := cellsOfFamily(high, FamilyWatermark)
	if len(candidates) == 0 {
		return Cell{}, false
	}
	primary := primaryMetric(mix)
	minGoodput := equalGoodput * own.Median(metricGoodput)
	best, found := candidates[0], false
	for _, c := range candidates {
		switch {
		case c.Median(metricGoodput) >= minGoodput && (!found || c.Median(primary) < best.Median(primary)):
			best, found = c, true
		case !found && c.Median(metricGoodput) > best.Median(metricGoodput):
			best = c
		}
	}
	return best, true
}

// primaryMetric returns the metric that matters most to the deployment of the mix; it is the mean
// stall time if the mix cannot be loaded.
func primaryMetric(mix string) Metric {
	m, err := load.LoadMix(mix)
	if err == nil && m.FirstMeasure == "preemption" {
		return metricPreemptions
	}
	return metricStall
}

func oracleAims(mix string, high []Cell, own Cell) []Aim {
	other, ok := findCell(high, FamilyOracle)
	if !ok {
		return nil
	}
	m := primaryMetric(mix)
	return []Aim{
		atMost(mix, m.Name+" against the oracle", own.Median(m), other.Median(m), aimOracle),
		atLeast(mix, "goodput against the oracle", own.Median(metricGoodput), other.Median(metricGoodput), 1/aimOracle),
	}
}

// overloadAims checks how goodput and lookup latency of the reservation policy hold up from the
// lowest to the highest load.
func overloadAims(mix string, cells []Cell) []Aim {
	all := loadsOfMix(cells, mix)
	if len(all) < 2 {
		return nil
	}
	lowest, lowOK := findCell(cellsAt(cells, mix, all[0]), FamilyReservation)
	highest, highOK := findCell(cellsAt(cells, mix, all[len(all)-1]), FamilyReservation)
	if !lowOK || !highOK {
		return nil
	}
	peak := 0.0
	for _, l := range all {
		if c, ok := findCell(cellsAt(cells, mix, l), FamilyReservation); ok {
			peak = max(peak, c.Median(metricGoodput))
		}
	}
	top := all[len(all)-1]
	return []Aim{
		atLeast(mix, fmt.Sprintf("goodput at %.1f against its peak", top), highest.Median(metricGoodput), peak, aimOverload),
		atMost(mix, fmt.Sprintf("lookup p99 at %.1f against %.1f", top, all[0]), highest.Median(metricLookup), lowest.Median(metricLookup), aimLookup),
	}
}
