package node

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
)

// errNoProbe is the result of a probe of an endpoint whose service names no path for it.
var errNoProbe = eris.New("the service has no path for probes")

// askWhetherRunning asks an endpoint whether it is running. Its answer also counts for the question whether
// this node reaches the service.
func (n *Node) askWhetherRunning(ctx context.Context, in fleet.Instance) error {
	path, ok := n.probePath(in.Service)
	if !ok {
		return errNoProbe
	}
	err := n.engines.Running(ctx, in.Address, path)
	if err == nil {
		n.reach.RecordAnswer(in.Service, true)
	}
	n.log.Info("silent endpoint asked whether it runs", zap.String("endpoint", in.ID), zap.String("address", in.Address), zap.Error(err))
	return err
}
