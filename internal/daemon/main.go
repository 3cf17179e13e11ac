package daemon

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/internal/logging"
	"github.com/crocusreel/crocusreel/settings"
)

// Exit codes of the long-running programs.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

// Runner is a process that is fully built and ready to run.
type Runner interface {
	// Run serves until a termination signal arrives, in which case it returns nil, or until it
	// fails.
	Run() error
}

// Program describes one long-running program with settings of type S.
type Program[S any] struct {
	Name string
	// Description is printed by --help.
	Description string
	// Load reads the settings file.
	Load func(path string) (S, error)
	// Log and VM return the parts of the settings that configure the logger.
	Log func(S) settings.Log
	VM  func(S) settings.VM
	// Build constructs the process but does not start it.
	Build func(S, *zap.Logger) (Runner, error)
}

type commandLine struct {
	Settings string `required:"" help:"Settings file (TOML); see docs/CONFIG.md." type:"path" placeholder:"FILE"`
}

// Main parses the command line, runs the program and returns its exit code.
func (p Program[S]) Main(args []string) int {
	var cli commandLine
	parser := kong.Must(&cli, kong.Name(p.Name), kong.Description(p.Description))
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return exitInvalidSettings
	}
	s, err := p.Load(cli.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	log, err := logging.New(p.Log(s).Level, p.Name, p.VM(s).ID)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	return p.serve(s, log)
}

func (p Program[S]) serve(s S, log *zap.Logger) int {
	defer func() { _ = log.Sync() }()
	process, err := p.Build(s, log)
	if err != nil {
		log.Error("not started", zap.Error(err))
		return exitFailed
	}
	if err := process.Run(); err != nil {
		log.Error("failed", zap.Error(err))
		return exitFailed
	}
	return 0
}
