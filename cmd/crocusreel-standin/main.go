// Command crocusreel-standin runs one stand-in for tests and local trials: the platform, an
// inference engine or a plain service. See docs/STANDINS.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of the command.
const (
	exitFailed = 1
	exitUsage  = 2
)

const description = `Stand-ins for tests and local trials.

Example:
  crocusreel-standin engine --listen 127.0.0.1:8000 --name e1 --model m

Exit codes: 0 ended by a signal, 1 failed, 2 bad usage.`

func main() {
	var commands struct {
		Platform platformCommand `cmd:"" help:"Run a platform: tables, objects, VM list, weight store."`
		Engine   engineCommand   `cmd:"" help:"Run an inference engine."`
		Service  serviceCommand  `cmd:"" help:"Run a plain service."`
		Worker   workerCommand   `cmd:"" help:"Run an endpoint of the platform, an engine or a plain service."`
	}
	parser := kong.Must(&commands, kong.Name("crocusreel-standin"), kong.Description(description))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "crocusreel-standin:", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "crocusreel-standin:", err)
		os.Exit(exitFailed)
	}
}
