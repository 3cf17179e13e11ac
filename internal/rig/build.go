package rig

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Names of the programs that a rig starts.
const (
	programGateway    = "crocusreel-gateway"
	programController = "crocusreel-controller"
	programStandin    = "crocusreel-standin"
)

// Build compiles the programs in cmd of the module at root into the directory bin.
func Build(ctx context.Context, root, bin string) error {
	target, err := filepath.Abs(bin)
	if err != nil {
		return eris.Wrap(err, "resolve output directory")
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", target+string(filepath.Separator), "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return eris.Wrapf(err, "go build: %s", out)
	}
	return nil
}
