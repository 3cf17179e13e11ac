// Command crocusreel is the command-line tool for operators and callers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/operator"
)

// Exit codes of the command; description lists their meanings.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitViolation   = 5
)

const description = `Command line of crocusreel.

Examples:
  crocusreel config validate ./service
  crocusreel config apply --operator 10.0.0.1:7002 --key-file operator.key ./service
  crocusreel status --operator 10.0.0.1:7002 --key-file operator.key --output json
  crocusreel vm drain vm-3 --operator 10.0.0.1:7002 --key-file operator.key
  crocusreel evacuations 10.1.0.19:9464 10.2.0.13:9464
  crocusreel explain 6f1c... --gateway 10.0.0.1:7000 --key-file caller.key

Exit codes: 0 done, 1 failed, 2 bad usage, settings or configuration,
3 conflict with another edit, 4 controller, gateway or platform unreachable,
5 an answer under load violated a guarantee.`

type commandLine struct {
	Config      configCommand      `cmd:"" help:"Check, compare and apply the configuration."`
	Status      statusCommand      `cmd:"" help:"Show VMs, endpoints, the orders lease and the configuration version."`
	Evacuations evacuationsCommand `cmd:"" help:"Show which data centres nodes on the platform know to be evacuated, and what runs there still."`
	VM          vmCommand          `cmd:"" name:"vm" help:"Take VMs out of service."`
	Explain     explainCommand     `cmd:"" help:"Show what a gateway knows of a recent request."`
	Answers     answersCommand     `cmd:"" help:"Read the logs of all nodes and tell where the answers went, and why."`
	Load        loadCommand        `cmd:"" help:"Send a seeded mix of requests and report what callers saw."`
	Demo        demoCommand        `cmd:"" help:"Start the whole system on loopback, use it and stop it."`
	Experiment  experimentCommand  `cmd:"" help:"Compare scheduling policies on loopback and write tables and plots."`
}

func main() {
	var cli commandLine
	parser := kong.Must(&cli, kong.Name("crocusreel"), kong.Description(description), kong.UsageOnError())
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "crocusreel:", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "crocusreel:", err)
		os.Exit(exitCode(err))
	}
}

// usageError is an error in the arguments, or in a file that they name, that the parser of the
// command line cannot detect.
type usageError struct{ error }

// exitCode returns the exit code for a non-nil error, as listed in description.
func exitCode(err error) int {
	var usage usageError
	var problems config.Problems
	var refusal *operator.RemoteError
	var violation violationError
	switch {
	case errors.As(err, &violation):
		return exitViolation
	case errors.As(err, &usage), errors.As(err, &problems):
		return exitUsage
	case errors.Is(err, operator.ErrUnreachable):
		return exitUnreachable
	case !errors.As(err, &refusal):
		return exitFailed
	}
	switch refusal.Code {
	case operator.CodeConflict:
		return exitConflict
	case operator.CodeInvalidDocument:
		return exitUsage
	case operator.CodePlatformUnavailable, operator.CodeResultUnknown, operator.CodeVMUnreachable:
		return exitUnreachable
	}
	return exitFailed
}
