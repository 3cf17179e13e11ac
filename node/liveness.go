package node

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

var (
	errNoProbe   = eris.New("the service has no path for probes")
	errMayNotAsk = eris.New("the endpoint's notices allow no probe now")
)

// askWhetherRunning asks an endpoint whether it is running, within the limits that the endpoint has set. Its
// answer also counts for the question whether this node reaches the service.
func (n *Node) askWhetherRunning(ctx context.Context, in fleet.Instance) error {
	path, ok := n.probePath(in.Service)
	if !ok {
		return errNoProbe
	}
	if !n.fleet.TakeProbe(in.Incarnation()) {
		metrics.Count("liveness_probe_not_allowed")
		return errMayNotAsk
	}
	err := n.engines.Running(ctx, in.Address, path)
	if err == nil {
		n.reach.RecordAnswer(in.Service, true)
	}
	n.log.Info("silent endpoint asked whether it runs", zap.String("endpoint", in.ID), zap.String("address", in.Address), zap.Error(err))
	return err
}
