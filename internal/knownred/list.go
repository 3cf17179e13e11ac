// Package knownred runs tests and excludes from the verdict those that are listed as failing
// because of a known fault that is not fixed yet. The listed tests still run and their results are
// printed, but they do not affect the verdict, so that a new failure stays visible while a known
// one is open.
package knownred

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

// Entry is one test on the list of known failures.
type Entry struct {
	// Package is the directory of the package of the test, such as ./tests.
	Package string
	// Test is the name of a Go test, or the full text of a Ginkgo spec: the texts of its
	// containers and its own, separated by spaces.
	Test string
	// Command reproduces the failure. It includes the seed if there is one.
	Command string
	// Seen is the observed failure, and Issue the open issue.
	Seen, Issue string
}

// String implements fmt.Stringer.
func (e Entry) String() string {
	return fmt.Sprintf("%s: %s (%s; issue %s; %s)", e.Package, e.Test, e.Seen, e.Issue, e.Command)
}

// partCount is the number of parts of a line, and separator separates them.
const (
	partCount = 4
	separator = "|"
)

// Parse reads a list with one entry per line, of the form
//
//	PACKAGE: TEST | COMMAND | SEEN | ISSUE
//
// Empty lines and lines that begin with # are skipped.
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
	if len(parts) != partCount {
		return Entry{}, eris.Errorf("entry has %d parts, expected the form PACKAGE: TEST | COMMAND | SEEN | ISSUE", len(parts))
	}
	for i := range parts {
		if parts[i] = strings.TrimSpace(parts[i]); parts[i] == "" {
			return Entry{}, eris.Errorf("part %d of the entry is empty", i+1)
		}
	}
	pkg, test, ok := strings.Cut(parts[0], ": ")
	if !ok || !strings.HasPrefix(pkg, "./") {
		return Entry{}, eris.New("first part of the entry does not have the form ./PACKAGE: TEST")
	}
	return Entry{Package: pkg, Test: test, Command: parts[1], Seen: parts[2], Issue: parts[3]}, nil
}

// goTestName matches the name of a Go test. Everything else is the text of a spec.
var goTestName = regexp.MustCompile(`^(Test|Fuzz|Example)\w*$`)

func (e Entry) isGoTest() bool { return goTestName.MatchString(e.Test) }

// pattern returns a regular expression that matches the test and no other. Ginkgo matches the
// description of the suite followed by the text of the spec, so the pattern for a spec may start
// after a space.
func (e Entry) pattern() string {
	if e.isGoTest() {
		return "^" + e.Test + "$"
	}
	return "(^| )" + regexp.QuoteMeta(e.Test) + "$"
}

// skipFlags returns the flags of "go test" that skip the given tests of one package. Only the flags
// that are needed are set, because a package without specs does not accept the flags of Ginkgo.
func skipFlags(entries []Entry) []string {
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

// focusFlag returns the flag of "go test" that runs this test alone.
func (e Entry) focusFlag() string {
	if e.isGoTest() {
		return "-run=" + e.pattern()
	}
	return "-ginkgo.focus=" + e.pattern()
}
