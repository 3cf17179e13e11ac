package main

import (
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/answers"
)

type answersCommand struct {
	Logs        []string      `arg:"" type:"existingfile" help:"Logs of all nodes."`
	FirstEvent  time.Duration `help:"Time to the first event from which a stream counts as late." default:"1.5s"`
	Pause       time.Duration `help:"Pause between two events from which a stream counts as paused." default:"180ms"`
	Every       time.Duration `help:"Length of the spans of time that are counted." default:"2s"`
	Plot        string        `help:"File for a plot; its ending tells the format." placeholder:"FILE"`
	outputFlags `embed:""`
}

// Run reads the logs and prints the report.
func (c *answersCommand) Run() error {
	if c.Every <= 0 {
		return usageError{eris.New("--every must be positive")}
	}
	var logs []io.Reader
	for _, name := range c.Logs {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	report, err := answers.Read(logs, answers.Thresholds{FirstEvent: c.FirstEvent, Pause: c.Pause}, c.Every)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := report.Plot(c.Plot); err != nil {
			return err
		}
	}
	return c.print(report, report.Write)
}
