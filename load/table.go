package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes the report to w as a human-readable table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("mix, seed", "%s, %d", r.Mix, r.Seed)
	row("sending period, last answer after", "%.1f s, %.1f s", r.DurationS, r.ElapsedS)
	row("requests", "%d planned, %d complete, %d not sent at the in-flight limit", r.Requests, r.Whole, r.NotSent)
	row("tokens/s", "%.0f offered, %.0f goodput", r.OfferedTokensPerS, r.Goodput)
	row("stall time per answer", "%.2f ms mean, %.1f ms p99 (gaps beyond %.1f ms; %d of %d answers)",
		r.StallMeanMS, r.StallP99MS, r.StallThresholdMS, r.Stalled, r.Generations)
	row("preemptions per 1,000", "%.1f", r.PreemptionsPer1000)
	quantileRow(row, "between tokens", r.BetweenTokens)
	quantileRow(row, "to first token", r.FirstToken)
	quantileRow(row, "to first token, short", r.ShortFirst)
	quantileRow(row, "lookups", r.Lookup)
	row("fairness (Jain)", "%.3f", r.Fairness)
	row("client", "%d retries, %d resumes", r.Client.Retries, r.Client.Resumes)
	countRows(row, "without answer", r.Refusals)
	countRows(row, "VIOLATION", r.Violations)
	if r.OK() {
		row("tokens", "no wrong, missing or repeated token")
	}
	return t.Flush()
}

func quantileRow(row func(string, string, ...any), name string, q Quantiles) {
	row(name, "p50 %.2f  p95 %.2f  p99 %.2f  max %.1f ms (%d)", q.P50, q.P95, q.P99, q.Max, q.Count)
}

func countRows[K ~string](row func(string, string, ...any), name string, counts map[K]int) {
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		row(name+": "+string(k), "%d", counts[k])
	}
}
