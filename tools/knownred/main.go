// Command knownred runs "go test" with the given flags and packages, and excludes the tests that
// KNOWN-RED.txt lists from the verdict: they run last and their results are printed. The exit code
// is 0 if all other tests passed.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/crocusreel/crocusreel/internal/knownred"
)

// listFile is the list of known failures. It is read from the current directory, which must be the
// root of the module.
const listFile = "KNOWN-RED.txt"

func main() {
	passed, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
	}
	if err != nil || !passed {
		os.Exit(1)
	}
}

func run(args []string) (passed bool, err error) {
	file, err := os.Open(listFile)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	entries, err := knownred.Parse(file)
	if err != nil {
		return false, err
	}
	r := &knownred.Runner{Out: os.Stdout}
	var packages []string
	for _, a := range args {
		if strings.HasPrefix(a, "-") {
			r.Flags = append(r.Flags, a)
		} else {
			packages = append(packages, a)
		}
	}
	return r.Run(context.Background(), entries, packages...)
}
