// Package knownred runs tests and passes over those that are listed as failing for a fault
// that is known and not mended yet. These run too and are printed, but do not decide: a new
// failure stays visible although an old one is open.
package knownred

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

// Entry is one listed test.
type Entry struct {
	// Package is the directory of the test's package, as ./tests.
	Package string
	// Test is the name of a Go test, or the full text of a spec: the texts of its containers
	// and its own, with a space between.
	Test string
	// Command makes the fault come; it names the seed if there is one.
	Command string
	// Seen is what a failing run shows, and Issue the open issue.
	Seen, Issue string
}

// String implements fmt.Stringer.
func (e Entry) String() string {
	return fmt.Sprintf("%s: %s (%s; issue %s; %s)", e.Package, e.Test, e.Seen, e.Issue, e.Command)
}

// fields is the number of parts of a line, with separator between them.
const (
	fields    = 4
	separator = "|"
)

// Parse reads a list: a line each of the form
//
//	PACKAGE: TEST | COMMAND | SEEN | ISSUE
//
// Empty lines and those that begin with # are skipped.
func Parse(r io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseLine(line)
		if err != nil {
			return nil, eris.Wrapf(err, "line %d", n)
		}
		entries = append(entries, e)
	}
	return entries, lines.Err()
}

func parseLine(line string) (Entry, error) {
	parts := strings.Split(line, separator)
	if len(parts) != fields {
		return Entry{}, eris.Errorf("%d parts, want PACKAGE: TEST | COMMAND | SEEN | ISSUE", len(parts))
	}
	for i := range parts {
		if parts[i] = strings.TrimSpace(parts[i]); parts[i] == "" {
			return Entry{}, eris.Errorf("part %d is empty", i+1)
		}
	}
	pkg, test, ok := strings.Cut(parts[0], ": ")
	if !ok || !strings.HasPrefix(pkg, "./") {
		return Entry{}, eris.New("the first part is not of the form ./PACKAGE: TEST")
	}
	return Entry{Package: pkg, Test: test, Command: parts[1], Seen: parts[2], Issue: parts[3]}, nil
}

// goTest is what the name of a Go test looks like; everything else is the text of a spec.
var goTest = regexp.MustCompile(`^(Test|Fuzz|Example)\w*$`)

func (e Entry) isGoTest() bool { return goTest.MatchString(e.Test) }

// pattern matches the test and no other. The text of a spec comes behind the description
// of its suite.
func (e Entry) pattern() string {
	if e.isGoTest() {
		return "^" + e.Test + "$"
	}
	return "(^| )" + regexp.QuoteMeta(e.Test) + "$"
}

// skip returns the flags of "go test" that leave the tests out, and only those that their
// package needs: a package without specs does not know the flags for specs.
func skip(entries []Entry) []string {
	var tests, specs []string
	for _, e := range entries {
		if e.isGoTest() {
			tests = append(tests, e.pattern())
		} else {
			specs = append(specs, e.pattern())
		}
	}
	var flags []string
	if len(tests) > 0 {
		flags = append(flags, "-skip="+strings.Join(tests, "|"))
	}
	if len(specs) > 0 {
		flags = append(flags, "-ginkgo.skip="+strings.Join(specs, "|"))
	}
	return flags
}

// only returns the flag that runs nothing but the test.
func (e Entry) only() string {
	if e.isGoTest() {
		return "-run=" + e.pattern()
	}
	return "-ginkgo.focus=" + e.pattern()
}
