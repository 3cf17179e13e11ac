package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/load"
)

// loadCommand sends a seeded mix of requests and reports the answers as callers received them.
type loadCommand struct {
	Gateways    []string          `required:"" help:"IP:port of gateways to ask for addresses."`
	Key         string            `help:"Caller key for workspaces that --keys does not name." env:"CROCUSREEL_KEY"`
	Keys        map[string]string `help:"Caller keys, WORKSPACE=KEY;..."`
	Mix         string            `help:"File of the mix, or name of an example mix." default:"schronisko"`
	Rate        float64           `help:"Requests a second, as a Poisson process." default:"20"`
	Concurrency int               `help:"Send in a closed loop with this many requests in flight, instead of at a rate."`
	Duration    time.Duration     `help:"How long to send." default:"10s"`
	Requests    int               `help:"Send this many requests, instead of for a time."`
	Seed        uint64            `help:"Seed of the requests." default:"1"`
	InFlight    int               `help:"Bound of requests in flight." default:"1024"`
	Drain       time.Duration     `help:"Longest wait for answers after the last request." default:"60s"`
	Warmup      time.Duration     `help:"Time at the start that is not measured."`
	Stall       time.Duration     `help:"Gap between tokens beyond which an answer stalls; default 4 times the median gap."`
	TellLengths bool              `help:"Tell each answer's length, for the oracle policy."`
	Report      string            `help:"Directory for report.json, report.txt and times.png."`
	outputFlags
}

// Help implements kong.HelpProvider.
func (loadCommand) Help() string {
	return `Sends a mix of generations, short checks, lookups and non-idempotent calls,
checks every token of every answer, and reports stall time, preemptions, times,
goodput, refusals and fairness.

Examples:
  crocusreel load --gateways 10.0.0.1:8080 --key SECRET --mix schronisko
  crocusreel load --gateways 10.0.0.1:8080 --key SECRET --mix my.toml \
      --rate 50 --duration 60s --seed 7 --output json --report out

Exit codes: 0 all answers met the guarantees (refusals are allowed), 1 the run
failed, 2 invalid usage or mix, 5 a wrong, missing or repeated token.`
}

// violationError means that an answer violated a guarantee to callers, for example by a wrong,
// missing or repeated token.
type violationError struct{}

// Error implements the error interface.
func (violationError) Error() string {
	return "some answers violated the guarantees to callers; see the report"
}

// signalContext returns a context that is cancelled on the first SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// Run sends the requests and prints the report. It returns a violationError if an answer violated
// a guarantee.
func (c *loadCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	mix, err := load.LoadMix(c.Mix)
	if err != nil {
		return usageError{err}
	}
	rep, err := load.Run(ctx, c.trace(mix), c.options())
	if err != nil {
		return err
	}
	if err := printReport(os.Stdout, rep, c.Output); err != nil {
		return err
	}
	if c.Report != "" {
		if err := saveReport(c.Report, rep); err != nil {
			return err
		}
	}
	if !rep.OK() {
		return violationError{}
	}
	return nil
}

func (c *loadCommand) trace(mix *load.Mix) load.Trace {
	if c.Requests > 0 {
		return load.NewCountTrace(mix, c.Rate, c.Requests, c.Seed)
	}
	return load.NewTrace(mix, c.Rate, c.Duration, c.Seed)
}

func (c *loadCommand) options() load.Options {
	o := load.Options{
		Gateways:        c.Gateways,
		Key:             c.key,
		MaxInFlight:     c.InFlight,
		DrainTimeout:    c.Drain,
		Warmup:          c.Warmup,
		StallThreshold:  c.Stall,
		SendLengthHints: c.TellLengths,
	}
	if c.Concurrency > 0 {
		o.MaxInFlight = c.Concurrency
		o.ClosedLoop = true
	}
	if isTerminal(os.Stderr) {
		o.Progress = func(p load.Progress) { printProgress(os.Stderr, p) }
	}
	return o
}

func (c *loadCommand) key(workspace string) string {
	if key, ok := c.Keys[workspace]; ok {
		return key
	}
	return c.Key
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printProgress(w io.Writer, p load.Progress) {
	fmt.Fprintf(w, "\r%5.1fs  %d/%d sent  %d ended  %d without answer  %d in flight  %d tokens   ",
		p.Elapsed.Seconds(), p.Sent, p.Planned, p.Ended, p.Failed, p.InFlight, p.Tokens)
	if p.Sent == int64(p.Planned) && p.InFlight == 0 {
		fmt.Fprintln(w)
	}
}

func printReport(w io.Writer, rep *load.Report, output string) error {
	if output == "json" {
		return writeJSON(w, rep)
	}
	return rep.WriteTable(w)
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "write JSON")
}

func saveReport(dir string, rep *load.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create report directory")
	}
	if err := saveFile(filepath.Join(dir, "report.json"), func(w io.Writer) error { return writeJSON(w, rep) }); err != nil {
		return err
	}
	if err := saveFile(filepath.Join(dir, "report.txt"), rep.WriteTable); err != nil {
		return err
	}
	return rep.WritePNG(filepath.Join(dir, "times.png"))
}

func saveFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "close file")
}
