// Command crocusreel-controller runs the controller of one VM. It maintains the membership and the
// configuration, and sends orders to endpoints.
package main

import (
	"os"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/controller"
	"github.com/crocusreel/crocusreel/internal/daemon"
	"github.com/crocusreel/crocusreel/settings"
)

const description = `Maintains membership and configuration and sends orders to endpoints, for one VM.

Example:
  crocusreel-controller --settings /etc/crocusreel/controller.toml

Exit codes: 0 ended by a signal, 1 failed, 2 bad usage or settings.`

func main() {
	os.Exit(daemon.Program[*settings.Controller]{
		Name:        "crocusreel-controller",
		Description: description,
		Load:        settings.LoadController,
		Log:         func(s *settings.Controller) settings.Log { return s.Log },
		VM:          func(s *settings.Controller) settings.VM { return s.VM },
		Build: func(s *settings.Controller, log *zap.Logger) (daemon.Runner, error) {
			return controller.NewProcess(s, log)
		},
	}.Main(os.Args[1:]))
}
