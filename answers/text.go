package answers

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// causesByCount returns the causes in descending order of their counts, and by name for equal counts.
func causesByCount(counts map[Cause]int) []Cause {
	return slices.SortedFunc(maps.Keys(counts), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}

// Write writes the report as text with tab-separated columns.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "cause\trequests\tshare\n")
	for _, cause := range causesByCount(r.Causes) {
		fmt.Fprintf(w, "%s\t%d\t%.4f\n", cause, r.Causes[cause], float64(r.Causes[cause])/float64(max(r.Requests, 1)))
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(w, "refused: %s\t%d\t\n", reason, r.Reasons[reason])
	}
	fmt.Fprintf(w, "\nstreams resumed on another engine\t%d\t\n", r.Resumed)
	fmt.Fprintf(w, "time between events of long streams\t%s\t\n", r.Pace.Round(100*time.Microsecond))
	for _, q := range []struct {
		name   string
		values []time.Duration
	}{{"first event", r.FirstEvents}, {"longest pause", r.Pauses}} {
		fmt.Fprintf(w, "%s, median, 95 %%, 99 %%\t%s\t%s %s\n", q.name, roundedQuantile(q.values, 0.5), roundedQuantile(q.values, 0.95), roundedQuantile(q.values, 0.99))
	}
	fmt.Fprintf(w, "\nfrom\tnot complete and on time\t\n")
	for _, window := range r.Windows {
		if text := window.text(); text != "" {
			fmt.Fprintf(w, "%s\t%s\t\n", window.From.Format("15:04:05"), text)
		}
	}
	writeWorst(w, "workspace", r.Workspaces)
	writeWorst(w, "data centre", r.DataCentres)
	for _, at := range r.Starts {
		fmt.Fprintf(w, "node started\t%s\t\n", at.Format("15:04:05.000"))
	}
}

func roundedQuantile(sorted []time.Duration, fraction float64) time.Duration {
	return Quantile(sorted, fraction).Round(time.Millisecond)
}

// maxWorst bounds the rows of a table by name.
const maxWorst = 5

// writeWorst writes the names with the most requests that were not complete and on time.
func writeWorst(w io.Writer, title string, counts map[string]map[Cause]int) {
	if len(counts) == 0 {
		return
	}
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(notWhole(counts[b]), notWhole(counts[a])), cmp.Compare(a, b))
	})
	fmt.Fprintf(w, "\n%s\trequests\tnot complete and on time\n", title)
	for _, name := range names[:min(len(names), maxWorst)] {
		causes := counts[name]
		fmt.Fprintf(w, "%s\t%d\t%d: %s\n", name, notWhole(causes)+causes[Whole], notWhole(causes), causesText(causes))
	}
}

func notWhole(causes map[Cause]int) (count int) {
	for cause, n := range causes {
		if cause != Whole {
			count += n
		}
	}
	return count
}

func (w Window) text() string { return causesText(w.Causes) }

func causesText(causes map[Cause]int) string {
	var parts []string
	for _, cause := range causesByCount(causes) {
		if cause != Whole {
			parts = append(parts, fmt.Sprintf("%s %d", cause, causes[cause]))
		}
	}
	return strings.Join(parts, ", ")
}
