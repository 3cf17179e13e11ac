// Package tomlcheck decodes TOML strictly into structs: it reports all unknown keys, wrong types and
// values out of range of a file at once.
//
// Struct tags define the rules: toml (the key), default, required, min, max, oneof (values separated
// by |), format (name, address or sha256) and secret (the value is not shown in problems).
package tomlcheck

import (
	"fmt"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	// File is the name of the file or of the part of a document.
	File string `json:"file"`
	// Key is the dotted path of the key. List entries are given by name or index in brackets.
	Key string `json:"key"`
	// Found describes the value in the file.
	Found string `json:"found"`
	// Allowed describes the values that are allowed.
	Allowed string `json:"allowed"`
}

// String implements fmt.Stringer. It formats the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: found %s; allowed: %s", p.File, p.Key, p.Found, p.Allowed)
}

// Problems lists all problems found in one run. It implements error; use Err, which returns nil for
// an empty list.
type Problems []Problem

// Error implements the error interface. It returns one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Add appends a problem.
func (ps *Problems) Add(file, key, found, allowed string) {
	*ps = append(*ps, Problem{File: file, Key: key, Found: found, Allowed: allowed})
}
