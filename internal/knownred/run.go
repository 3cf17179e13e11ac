package knownred

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Runner runs tests with the go command.
type Runner struct {
	// Dir is the directory of the module, and Flags are the flags for "go test". An empty Dir
	// stands for the current directory.
	Dir   string
	Flags []string
	// Out receives the output of the tests.
	Out io.Writer
}

// Run runs the tests of the packages and reports whether all tests that are not listed passed. It
// returns an error if the tests could not be run, or if an entry does not match any test, since
// the state of the fault that it lists is then unknown. Entries of packages that do not match
// patterns are ignored.
func (r *Runner) Run(ctx context.Context, entries []Entry, patterns ...string) (passed bool, err error) {
	packages, err := r.goList(ctx, patterns...)
	if err != nil {
		return false, err
	}
	listed := make(map[string][]Entry)
	for _, e := range entries {
		names, err := r.goList(ctx, e.Package)
		if err != nil {
			return false, err
		}
		if len(names) != 1 {
			return false, eris.Errorf("package %s of a known-red entry must match exactly one Go package", e.Package)
		}
		if slices.Contains(packages, names[0]) {
			listed[names[0]] = append(listed[names[0]], e)
		}
	}
	passed = r.runUnlisted(ctx, packages, listed)
	return passed, r.runListed(ctx, listed)
}

// runUnlisted runs all tests that are not listed and reports whether they passed.
func (r *Runner) runUnlisted(ctx context.Context, packages []string, listed map[string][]Entry) bool {
	var withoutEntries, withEntries []string
	for _, p := range packages {
		if len(listed[p]) == 0 {
			withoutEntries = append(withoutEntries, p)
		} else {
			withEntries = append(withEntries, p)
		}
	}
	passed := len(withoutEntries) == 0 || r.goTest(ctx, r.Out, withoutEntries...) == nil
	for _, p := range withEntries {
		for _, e := range listed[p] {
			fmt.Fprintln(r.Out, "known red, skipped:", e)
		}
		passed = r.goTest(ctx, r.Out, append([]string{p}, skipFlags(listed[p])...)...) == nil && passed
	}
	return passed
}

// noTestsRan matches the output of a run whose -run or -ginkgo.focus flag matched no test.
var noTestsRan = regexp.MustCompile(`no tests to run|Ran\D+0\D+of`)

// runListed runs the listed tests one by one and prints their results. It returns an error if an
// entry does not match any test.
func (r *Runner) runListed(ctx context.Context, listed map[string][]Entry) error {
	for p, entries := range listed {
		for _, e := range entries {
			fmt.Fprintln(r.Out, "known red, not deciding:", e)
			var printed bytes.Buffer
			err := r.goTest(ctx, io.MultiWriter(r.Out, &printed), p, "-v", e.focusFlag())
			if noTestsRan.Match(printed.Bytes()) {
				return eris.Errorf("%s has no test %q", e.Package, e.Test)
			}
			fmt.Fprintf(r.Out, "known red, passed this time: %t\n", err == nil)
		}
	}
	return ctx.Err()
}

// goTest runs "go test" with the flags of the runner and the given arguments.
func (r *Runner) goTest(ctx context.Context, out io.Writer, args ...string) error {
	cmd := exec.CommandContext(ctx, "go", slices.Concat([]string{"test"}, r.Flags, args)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.Dir, out, out
	return cmd.Run()
}

// goList returns the import paths of the packages that match patterns.
func (r *Runner) goList(ctx context.Context, patterns ...string) ([]string, error) {
	cmd := exec.CommandContext(ctx, "go", append([]string{"list"}, patterns...)...)
	cmd.Dir, cmd.Stderr = r.Dir, r.Out
	out, err := cmd.Output()
	if err != nil {
		return nil, eris.Wrapf(err, "go list %s", strings.Join(patterns, " "))
	}
	return strings.Fields(string(out)), nil
}
