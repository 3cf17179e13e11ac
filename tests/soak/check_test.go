package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// findViolations compares the results of the callers with the endpoints' own records of runs and
// describes each violated guarantee.
func findViolations(ctx context.Context, r *rig.Rig, results []result) []string {
	runs := map[string]int{}
	for _, e := range append(r.Engines, r.Services...) {
		list, err := e.Admin.Runs(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, run := range list {
			runs[requestKey(run)]++
		}
	}
	var violations []string
	for _, res := range results {
		if problem := res.violation(runs[res.key]); problem != "" {
			violations = append(violations, fmt.Sprintf("%s %s: %s", res.kind, res.key, problem))
		}
	}
	return violations
}

// requestKey returns the key of the request that a run belongs to. Idempotent work is sent to
// engines without its key, but its prompt begins with the key.
func requestKey(run admin.Run) string {
	if run.IdempotencyKey != "" {
		return run.IdempotencyKey
	}
	key, _, _ := strings.Cut(run.PromptHead, " ")
	return key
}

// violation describes the guarantee that the result violates, given the number of runs that
// endpoints started for the request. It returns an empty string if there is none.
func (r result) violation(runs int) string {
	once := r.kind == kindBooking || r.kind == kindSingle || r.kind == kindLetter
	switch {
	case r.mismatch != "":
		return r.mismatch
	case once && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case r.outcome() == crocusreel.OutcomeNotRun && runs > 0:
		return fmt.Sprintf("reported as not_run (%v), but ran %d times", r.err, runs)
	case r.err == nil && runs == 0 && r.kind != kindLookup:
		return "answered, but no endpoint ran it"
	default:
		return ""
	}
}

// summary returns the tables of requests and faults of a run, and its violations, in Markdown.
func summary(seed int, results []result, c *chaos, violations []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\nseed %d, %d requests\n\n", seed, len(results))
	fmt.Fprintln(&b, "| kind | requests | answered | outcome not_run | outcome unknown | outcome ran, incomplete | no outcome |")
	fmt.Fprintln(&b, "|---|---|---|---|---|---|---|")
	for _, w := range weights {
		fmt.Fprintln(&b, row(w.kind, results))
	}
	fmt.Fprintln(&b, "\n| fault | times |\n|---|---|")
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		fmt.Fprintf(&b, "| %s | %d |\n", name, c.counts[name])
	}
	fmt.Fprintf(&b, "\nviolations: %d\n", len(violations))
	for _, problem := range violations {
		fmt.Fprintln(&b, "-", problem)
	}
	return b.String()
}

func row(k kind, results []result) string {
	var all, answered, notRun, unknown, ran, gaveUp int
	for _, r := range results {
		if r.kind != k {
			continue
		}
		all++
		switch outcome := r.outcome(); {
		case r.err == nil:
			answered++
		case outcome == crocusreel.OutcomeNotRun:
			notRun++
		case outcome == crocusreel.OutcomeUnknown:
			unknown++
		case outcome == crocusreel.OutcomeRan:
			ran++
		default:
			gaveUp++
		}
	}
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d |", k, all, answered, notRun, unknown, ran, gaveUp)
}
