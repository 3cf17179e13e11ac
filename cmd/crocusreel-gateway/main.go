// Command crocusreel-gateway runs the gateway of one VM, which serves requests of callers.
package main

import (
	"os"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/gateway"
	"github.com/crocusreel/crocusreel/internal/daemon"
	"github.com/crocusreel/crocusreel/settings"
)

const description = `Serves callers: generations, plain services and addresses.

Example:
  crocusreel-gateway --settings /etc/crocusreel/gateway.toml

Exit codes: 0 ended by a signal, 1 failed, 2 bad usage or settings.
SIGTERM drains: no request is cut off. A second SIGTERM exits immediately.`

func main() {
	os.Exit(daemon.Program[*settings.Gateway]{
		Name:        "crocusreel-gateway",
		Description: description,
		Load:        settings.LoadGateway,
		Log:         func(s *settings.Gateway) settings.Log { return s.Log },
		VM:          func(s *settings.Gateway) settings.VM { return s.VM },
		Build: func(s *settings.Gateway, log *zap.Logger) (daemon.Runner, error) {
			return gateway.New(s, log)
		},
	}.Main(os.Args[1:]))
}
