// Command crocusreel-node runs the node of one VM of the platform, which serves requests of callers.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/logging"
	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
)

const description = `Serves callers, tells them where to connect, and follows the platform's store.

The settings file is named by the environment variable ` + platform.SettingsVariable + `.

Exit codes: 0 ended by a signal, 1 failed, 2 bad usage or settings.
SIGTERM drains: requests in flight may finish within the grace period.`

// Exit codes of the command.
const (
	exitFailed   = 1
	exitSettings = 2
)

type commandLine struct {
	LogLevel string   `help:"Least level of log lines: debug, info, warn or error." default:"info"`
	Without  []string `help:"Mechanisms to leave out, to measure what they are worth or while one is at fault." placeholder:"NAME"`
	With     []string `help:"Optional mechanisms to use: workspace-shares." placeholder:"NAME"`
}

func main() { os.Exit(serve()) }

func serve() int {
	var cli commandLine
	kong.Parse(&cli, kong.Name("crocusreel-node"), kong.Description(description))
	disabled, err := fleet.ParseDisabledMechanisms(cli.Without, cli.With)
	if err != nil {
		fmt.Fprintln(os.Stderr, "crocusreel-node:", err)
		return exitSettings
	}
	s, err := platform.LoadNodeSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "crocusreel-node:", err)
		return exitSettings
	}
	log, err := logging.New(cli.LogLevel, "crocusreel-node", s.Name)
	if err != nil {
		fmt.Fprintln(os.Stderr, "crocusreel-node:", err)
		return exitSettings
	}
	defer func() { _ = log.Sync() }()
	if err := node.New(s, disabled, log).Run(); err != nil {
		log.Error("node failed", zap.Error(err))
		return exitFailed
	}
	return 0
}
