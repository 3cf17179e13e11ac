package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// outputFlags selects the output format.
type outputFlags struct {
	Output string `enum:"text,json" default:"text" help:"Form of the answer: text or json."`
}

// print writes v to standard output: as indented JSON, or as a table of the tab-separated rows that
// text writes.
func (f outputFlags) print(v any, text func(io.Writer)) error {
	if f.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func writeRow(w io.Writer, columns ...any) {
	for i, c := range columns {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
