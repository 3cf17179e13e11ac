package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/load/experiment"
)

// sectionMarkers returns the lines of a page that enclose the generated tables of a section.
func sectionMarkers(section string) (begin, end string) {
	return "<!-- generated " + section + ": begin -->", "<!-- generated " + section + ": end -->"
}

// experimentCommand compares scheduling policies on systems that it runs on loopback.
type experimentCommand struct {
	Bin      string    `help:"Directory of the programs." default:"bin"`
	Quick    bool      `help:"One load, one seed, few settings; under three minutes."`
	Faults   bool      `help:"Slow and kill engines and kill a gateway during each run, at 0.8 of capacity."`
	Mix      []string  `help:"Only these mixes."`
	Family   []string  `help:"Only settings of these families, such as oracle."`
	Seeds    int       `help:"Number of seeds, instead of the plan's."`
	Load     []float64 `help:"Only these loads of the plan."`
	Overhead bool      `help:"Only compare streams through a gateway with streams straight from an engine."`
	Parallel int       `help:"Runs at a time." default:"2"`
	Page     string    `help:"Markdown page whose generated part is replaced; it is made if missing."`
	Section  string    `help:"Name of the page's generated part." default:"all"`
	Images   string    `help:"Directory for plots; default img beside the page."`
	From     string    `help:"Write tables and plots from a file that --results wrote, without running."`
	Results  string    `help:"File for the results of every run, as JSON."`
}

// Help implements kong.HelpProvider.
func (experimentCommand) Help() string {
	return `Runs the same seeded traces under each scheduling policy, each run on a complete
system of its own on loopback, and writes tables, aims and plots.

Examples:
  crocusreel experiment --quick
  crocusreel experiment --overhead
  crocusreel experiment --page docs/EXPERIMENTS.md --results out.json

Exit codes: 0 all runs completed, 1 otherwise, 5 an answer violated a guarantee.`
}

// Run runs the experiment, or reads the results of an earlier one, and writes tables and plots. If
// the experiment fails midway, the results so far are written before the error is returned.
func (c *experimentCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	dir, remove, err := workDir("")
	if err != nil {
		return err
	}
	defer remove()
	if c.Overhead {
		overhead, err := experiment.MeasureOverhead(ctx, c.plan(dir).System)
		if err != nil {
			return err
		}
		return c.writeTables(overhead.Markdown(), nil)
	}
	res, err := c.results(ctx, dir)
	if res != nil && len(res.Runs) > 0 {
		if writeErr := c.write(res); writeErr != nil {
			return writeErr
		}
	}
	if err != nil {
		return err
	}
	for _, run := range res.Runs {
		if !run.Report.OK() {
			return violationError{}
		}
	}
	return nil
}

// results runs the experiment, or reads the results of an earlier one if --from is given. Results
// and error may both be non-nil.
func (c *experimentCommand) results(ctx context.Context, dir string) (*experiment.Results, error) {
	if c.From == "" {
		return experiment.Execute(ctx, c.plan(dir), c.Parallel, os.Stderr)
	}
	text, err := os.ReadFile(c.From)
	if err != nil {
		return nil, eris.Wrap(err, "read results")
	}
	res := new(experiment.Results)
	return res, eris.Wrap(json.Unmarshal(text, res), "decode results")
}

func (c *experimentCommand) plan(dir string) experiment.Plan {
	p := experiment.Full()
	switch {
	case c.Faults:
		p = experiment.FaultInjection()
	case c.Quick:
		p = experiment.Quick()
	}
	p.Bin, p.Dir = c.Bin, dir
	if len(c.Mix) > 0 {
		p.Mixes = c.Mix
	}
	if len(c.Family) > 0 {
		p = p.WithFamilies(c.Family)
	}
	if c.Seeds > 0 {
		p = p.WithSeeds(c.Seeds)
	}
	if len(c.Load) > 0 {
		p = p.WithLoads(c.Load)
	}
	return p
}

func (c *experimentCommand) write(res *experiment.Results) error {
	if c.Results != "" {
		if err := saveFile(c.Results, func(w io.Writer) error { return writeJSON(w, res) }); err != nil {
			return err
		}
	}
	if c.Page == "" {
		return c.writeTables(res.Markdown(), nil)
	}
	files, err := res.WritePlots(c.images())
	if err != nil {
		return err
	}
	return c.writeTables(res.Markdown(), files)
}

func (c *experimentCommand) images() string {
	if c.Images != "" {
		return c.Images
	}
	return filepath.Join(filepath.Dir(c.Page), "img")
}

func (c *experimentCommand) writeTables(tables string, plots []string) error {
	if c.Page == "" {
		fmt.Print(tables)
		return nil
	}
	return writePage(c.Page, c.Section, c.images(), tables, plots)
}

// writePage replaces the generated part of a section in a page and keeps the rest of the page. If the
// page has no markers for the section, the generated part is appended. A missing page is created.
func writePage(page, section, images, tables string, plots []string) error {
	old, err := os.ReadFile(page)
	if err != nil && !os.IsNotExist(err) {
		return eris.Wrap(err, "read page")
	}
	begin, end := sectionMarkers(section)
	head, tail := string(old)+"\n", "\n"
	if before, rest, ok := strings.Cut(string(old), begin); ok {
		head = before
		if _, after, ok := strings.Cut(rest, end); ok {
			tail = after
		}
	}
	rel, err := filepath.Rel(filepath.Dir(page), images)
	if err != nil {
		return eris.Wrap(err, "find path of plots relative to page")
	}
	var b strings.Builder
	b.WriteString(head + begin + "\n" + tables + "\n")
	for _, f := range plots {
		fmt.Fprintf(&b, "![%s](%s)\n", strings.TrimSuffix(f, ".png"), filepath.ToSlash(filepath.Join(rel, f)))
	}
	b.WriteString(end + tail)
	return eris.Wrap(os.WriteFile(page, []byte(b.String()), 0o644), "write page")
}
