package experiment

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Markdown renders the conditions of the experiment, the calibrations, the aims and one table per
// mix and load.
func (r *Results) Markdown() string {
	var b strings.Builder
	r.writeConditions(&b)
	r.writeAims(&b)
	cells := r.Cells()
	for _, c := range r.Calibrations {
		for _, l := range loadsOfMix(cells, c.Mix) {
			fmt.Fprintf(&b, "\n### %s at %.2f of capacity\n\n", c.Mix, l)
			writeCells(&b, cellsAt(cells, c.Mix, l))
		}
	}
	return b.String()
}

func (r *Results) writeConditions(b *strings.Builder) {
	p := r.Plan
	fmt.Fprintf(b, "Run begun %s, took %s. Each run: %d gateways and controllers, %d engines of %d tokens of KV memory, step times divided by %g, load reports %s old, requests sent for %s of which the first %s are not measured.",
		r.Started.UTC().Format("2006-01-02 15:04 MST"), (time.Duration(r.TookS) * time.Second).String(),
		p.Gateways, p.Engines, p.KVCapacity, p.TimeScale, p.ReportLag, p.Duration, p.Warmup)
	if p.Faults {
		fmt.Fprintf(b, " In each run one engine slows down to a third, another is killed and restarted, and a gateway is killed.")
	}
	b.WriteString("\n\n| mix | capacity, tokens/s | median gap, ms | stall threshold, ms | processors busy |\n|---|---|---|---|---|\n")
	for _, c := range r.Calibrations {
		fmt.Fprintf(b, "| %s | %.0f | %.2f | %.2f | %.0f%% |\n", c.Mix, c.Capacity, c.MedianGapMS, c.StallMS, 100*c.CPUBusy)
	}
	low, high := math.Inf(1), 0.0
	violations := 0
	for _, run := range r.Runs {
		low, high = min(low, run.CPUBusy), max(high, run.CPUBusy)
		for _, n := range run.Report.Violations {
			violations += n
		}
	}
	fmt.Fprintf(b, "\n%d runs; processors of the whole machine, other work included, %.0f%% to %.0f%% busy; answers with a wrong, missing or repeated token: %d.\n",
		len(r.Runs), 100*low, 100*high, violations)
}

func (r *Results) writeAims(b *strings.Builder) {
	aims := r.Aims()
	if len(aims) == 0 {
		return
	}
	b.WriteString("\n### Aims\n\nMedians over seeds; the ratio is ours to the other.\n\n")
	b.WriteString("| mix | aim | ours | other | ratio | bound | reached |\n|---|---|---|---|---|---|---|\n")
	for _, a := range aims {
		fmt.Fprintf(b, "| %s | %s | %.1f | %.1f | %.2f | %.2f | %s |\n", a.Mix, a.Text, a.Ours, a.Other, a.Ratio, a.Bound, a.verdict())
	}
}

// writeCells writes one table with the medians over seeds. If a cell has several runs, their range
// follows in parentheses.
func writeCells(b *strings.Builder, cells []Cell) {
	b.WriteString("| policy |")
	for _, m := range metrics {
		fmt.Fprintf(b, " %s |", heading(m))
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(metrics)) + "\n")
	for _, c := range cells {
		fmt.Fprintf(b, "| %s |", c.Setting.Name)
		for _, m := range metrics {
			s := c.Spread(m)
			fmt.Fprintf(b, " %.*f", m.Digits, s.Median)
			if len(c.Runs) > 1 {
				fmt.Fprintf(b, " (%.*f..%.*f)", m.Digits, s.Min, m.Digits, s.Max)
			}
			b.WriteString(" |")
		}
		b.WriteString("\n")
	}
}

func heading(m Metric) string {
	if m.Unit == "" {
		return m.Name
	}
	return m.Name + ", " + m.Unit
}
